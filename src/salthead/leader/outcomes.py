"""Terminal outcomes of jobs: which are pending, indeterminate or durable.

An outcome is *pending* until its write is sent to the state service, *indeterminate* from then on
until the result of the write is known, and *durable* once the service has confirmed the write or a
record read there shows it. Another controller may have read an indeterminate outcome and reported
it to a user, so this leader reports no status from memory for such a job. A job is marked as
cancelled before its outcome is sent, so that its tasks are being stopped whichever controller is
the first to confirm the cancellation.
"""

from __future__ import annotations

import asyncio
import logging
from itertools import islice
from typing import Protocol

from salthead import metrics
from salthead.cluster.model import Job
from salthead.event_log import event
from salthead.leader.context import TermContext
from salthead.leader.controller_interface import JobLookup
from salthead.leader.indeterminate_outcomes import IndeterminateOutcomes
from salthead.leader.outcome_writer import OutcomeWriter
from salthead.leader.save_loop import SaveLoop
from salthead.leader.worker_calls import WorkerCalls
from salthead.protocol import wire_names
from salthead.state_store.messages import RETRYABLE_ERRORS, ConflictError
from salthead.transport.client import UnansweredError

log = logging.getLogger(__name__)

RETRY_S = 0.5
CHANGES_PER_OUTCOME = 2  # one that sets the outcome, and one that deletes the job's record


class OutcomeMemory(Protocol):
    """The function that adds an outcome to a controller's cache."""

    def __call__(self, job_id: str, phase: str, task_count: int, at: float | None = None) -> None:
        """Add a job's outcome to the cache."""


class Outcomes:
    """The pending and indeterminate outcomes of a term, and the loop that writes them."""

    def __init__(
        self,
        context: TermContext,
        job_lookup: JobLookup,
        remember_outcome: OutcomeMemory,
        worker_calls: WorkerCalls,
        save_loop: SaveLoop,
    ) -> None:
        self.context = context
        self.ledger = context.ledger
        self.remember_outcome = remember_outcome
        self.worker_calls = worker_calls
        self.save_loop = save_loop
        # Jobs that are complete or to be cancelled and have no outcome known to be durable.
        self.pending_writes: dict[str, Job] = {}
        self.indeterminate = IndeterminateOutcomes()
        self.writer = OutcomeWriter(context, job_lookup, self.indeterminate, self.mark_durable)
        self.write_requested = asyncio.Event()
        self.waiters: dict[str, asyncio.Future[None]] = {}  # cancel requests by job id

    def request_write(self, job: Job) -> None:
        """Request that the outcome of a complete or cancelled job be written."""
        if not job.terminal_phase:
            self.pending_writes[job.job_id] = job
            self.write_requested.set()

    def is_indeterminate(self, job: Job) -> bool:
        """Return whether another controller may have reported a later status than is known here.

        Without this check a job was reported as running here after another controller had read
        the outcome sent from here and reported the job as done. The same applies to the
        dependents of a job that is being cancelled.
        """
        if job.dependency_cancelled:  # reported as aborted
            return wire_names.DONE in self.indeterminate.phases(job.job_id)
        if job.job_id in self.indeterminate:
            return True
        return job.blocked_on_dependencies and self.ledger.dependency_graph.needs(
            job.job_id, self.indeterminate.possibly_aborted
        )

    async def cancel(self, job: Job) -> None:
        """Cancel a job and return once its outcome is durable.

        Raises UnansweredError if the outcome can't be made durable now.
        """
        if not job.complete:
            # The job is marked before the write is sent: if the write takes effect without an
            # answer, another controller may confirm the cancellation while this leader can't reach
            # the state service any more.
            self.ledger.request_cancel(job)
            self.worker_calls.send_stops()
        self.request_write(job)
        waiter = self.waiters.setdefault(job.job_id, asyncio.get_running_loop().create_future())
        await asyncio.shield(waiter)

    async def loop(self) -> None:
        """Write outcomes as soon as there are any, because dependent jobs start only then."""
        try:
            while True:
                await self.write_requested.wait()
                self.write_requested.clear()
                try:
                    await self.write_pending()
                except (ConflictError, *RETRYABLE_ERRORS) as error:
                    self.context.log_throttled("outcomes", error)
                    self._fail_waiters(error)
                    self.write_requested.set()
                    await self.context.sleep_with_jitter(RETRY_S)
        finally:
            metrics.INDETERMINATE_OUTCOMES.set(0)
            self._fail_waiters(UnansweredError("this term is over"))

    def _fail_waiters(self, error: Exception) -> None:
        waiters, self.waiters = self.waiters, {}
        for waiter in waiters.values():
            if not waiter.done():
                waiter.set_exception(UnansweredError(str(error)))
                waiter.exception()  # mark it as retrieved: the requester may have disconnected

    async def write_pending(self) -> None:
        """Write all pending outcomes, in batches that fit into a transaction."""
        batch_size = max(1, self.context.state_limits.txn_ops // CHANGES_PER_OUTCOME)
        while self.pending_writes or self.ledger.pending_aborts:
            await self.write_batch(self._next_jobs(batch_size))

    def _next_jobs(self, max_jobs: int) -> list[Job]:
        """Return the jobs whose outcomes are written next.

        Cancelled jobs come first, because users wait for them, then jobs with dependents. Aborts
        that follow from a durable outcome come last: they may be reported before they are written,
        and a thousand of them must not hold up the others.
        """
        if not self.pending_writes:
            return [
                self.ledger.jobs[job_id] for job_id in islice(self.ledger.pending_aborts, max_jobs)
            ]
        by_priority = sorted(
            self.pending_writes.values(),
            key=lambda job: (
                not job.cancel_requested,
                not self.ledger.dependency_graph.has_dependents(job.job_id),
            ),
        )
        return by_priority[:max_jobs]

    async def write_batch(self, jobs: list[Job]) -> None:
        """Write the outcomes of some jobs in one transaction."""
        await self.writer.write(jobs)

    def mark_durable(self, job: Job, phase: str, ended_at: float | None) -> None:
        """End a job whose outcome is durable, and answer the cancel requests that wait for it."""
        job_id = job.job_id
        self.remember_outcome(job_id, phase, job.spec.task_count, ended_at)
        self.save_loop.discard_job(job)
        self.ledger.end_job(job, phase, self.context.now())
        self.pending_writes.pop(job_id, None)
        self.indeterminate.remove_job(job_id)
        waiter = self.waiters.pop(job_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
        event(log, "job_ended", job=job_id, phase=phase)
