"""What became of jobs: the one place that knows whether an outcome is open, in doubt or durable.

An outcome is *open* until it is sent to the state service, *in doubt* from then on until its fate
is known, and *durable* once the service or a record read there says so. In doubt, another
controller may have read it and told a user, so nothing is told from memory; and a job whose
cancellation is asked for is marked so before anything is sent, so that its tasks are stopping
whoever tells of it first.
"""

from __future__ import annotations

import asyncio
import logging
import time
from itertools import islice
from typing import Protocol

from salthead.cluster.model import Job
from salthead.event_log import event
from salthead.leader.context import TermContext
from salthead.leader.controller_interface import JobLookup
from salthead.leader.save_loop import SaveLoop
from salthead.leader.worker_calls import WorkerCalls
from salthead.protocol import wire_names
from salthead.state_store import records
from salthead.state_store.client import (
    RETRYABLE_ERRORS,
    Change,
    ConflictError,
    RequestRefusedError,
    delete,
    put,
)
from salthead.transport.client import UnansweredError

log = logging.getLogger(__name__)

RETRY_S = 0.5


def _phase_of(job: Job) -> str:
    if job.complete and not job.dependency_cancelled:
        return wire_names.DONE
    return wire_names.ABORTED


class OutcomeMemory(Protocol):
    """Where a controller remembers outcomes."""

    def __call__(self, job_id: str, phase: str, task_count: int, at: float | None = None) -> None:
        """Remember a job's outcome."""


class Outcomes:
    """What becomes of jobs: to be written, in doubt, durable; and the loop that writes it."""

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
        self.job_lookup = job_lookup
        self.remember_outcome = remember_outcome
        self.worker_calls = worker_calls
        self.save_loop = save_loop
        # Jobs that are complete or to be cancelled, and not known to have a durable outcome.
        self.pending_writes: dict[str, Job] = {}
        self.indeterminate: dict[str, str] = {}  # sent, by job, with the phase that was sent last
        self.write_requested = asyncio.Event()
        self.waiters: dict[str, asyncio.Future[None]] = {}  # users who wait for a cancellation

    # -- what others ask ----------------------------------------------------------------

    def request_write(self, job: Job) -> None:
        """The job is complete or to be cancelled: its outcome is to be written."""
        if not job.terminal_phase:
            self.pending_writes[job.job_id] = job
            self.write_requested.set()

    def is_indeterminate(self, job: Job) -> bool:
        """Whether another controller may have told more of the job than this leader knows.

        Guards against a job being called running here after a controller that read its outcome,
        sent from here a moment ago, called it done; the same for what needs a job that is being
        cancelled. Seen on steady, prairie-ledger-lean.
        """
        if job.job_id in self.indeterminate:
            return True
        return job.blocked_on_dependencies and self.ledger.dependency_graph.needs(
            job.job_id,
            {job_id for job_id, phase in self.indeterminate.items() if phase == wire_names.ABORTED},
        )

    async def cancel(self, job: Job) -> None:
        """Returns once the job's outcome is durable; raises when that can't be had now."""
        if not job.complete:
            # Before anything is sent: the write may be carried out without an answer, another
            # controller then confirms the cancellation, and the state service may be down from then
            # on.
            self.ledger.request_cancel(job)
            self.worker_calls.send_stops()
        self.request_write(job)
        waiter = self.waiters.setdefault(job.job_id, asyncio.get_running_loop().create_future())
        await asyncio.shield(waiter)

    # -- writing ------------------------------------------------------------------------

    async def loop(self) -> None:
        """Outcomes, as soon as there are any: what awaits a job starts only after that."""
        try:
            while True:
                await self.write_requested.wait()
                self.write_requested.clear()
                try:
                    await self.save()
                except (ConflictError, *RETRYABLE_ERRORS) as error:
                    self.context.log_throttled("outcomes", error)
                    self._failed(error)
                    self.write_requested.set()
                    await self.context.sleep_with_jitter(RETRY_S)
        finally:
            self._failed(UnansweredError("this term is over"))

    def _failed(self, error: Exception) -> None:
        waiters, self.waiters = self.waiters, {}
        for waiter in waiters.values():
            if not waiter.done():
                waiter.set_exception(UnansweredError(str(error)))
                waiter.exception()  # whoever asked may have gone

    async def save(self) -> None:
        """Write the outcomes that are wanted, as many as a transaction takes."""
        most = max(1, self.context.state_limits.txn_ops // 2)
        while self.pending_writes or self.ledger.pending_aborts:
            # What users wait for, then what other jobs wait for; what follows from a durable
            # outcome may be told already, and a thousand of that must not hold up the rest.
            first = sorted(
                self.pending_writes.values(),
                key=lambda job: (
                    not job.cancel_requested,
                    not self.ledger.dependency_graph.has_dependents(job.job_id),
                ),
            )
            await self.write(
                first[:most]
                or [self.ledger.jobs[job_id] for job_id in islice(self.ledger.pending_aborts, most)]
            )

    async def write(self, jobs: list[Job]) -> None:
        """One transaction with the outcomes of a few jobs."""
        at = time.time()
        phases = {job.job_id: _phase_of(job) for job in jobs}
        changes = self._changes(jobs, phases, at)
        # A try that is refused was not carried out; those before it that had no answer may yet be.
        fresh = [
            job.job_id
            for job in jobs
            if job.job_id not in self.indeterminate and not job.dependency_cancelled
        ]
        self.indeterminate |= {
            job.job_id: phases[job.job_id] for job in jobs if not job.dependency_cancelled
        }
        conditions = {records.outcome_key(job.job_id): 0 for job in jobs}
        try:
            await self.context.transaction(conditions, changes)
        except RequestRefusedError:
            for job_id in fresh:
                del self.indeterminate[job_id]
            raise
        except ConflictError:
            await self._read_back(jobs, fresh)
            return
        for job in jobs:
            self.ended(job, phases[job.job_id], at)

    def _changes(self, jobs: list[Job], phases: dict[str, str], at: float) -> list[Change]:
        """Each job moves from the active jobs to the outcomes."""
        max_kb = self.context.state_limits.value_kb
        changes: list[Change] = []
        for job in jobs:
            outcome = records.outcome_value(job.spec, phases[job.job_id], at, max_kb)
            changes.append(put(records.outcome_key(job.job_id), outcome))
            changes.append(delete(records.job_key(job.job_id)))
        return changes

    async def _read_back(self, jobs: list[Job], fresh: list[str]) -> None:
        """An earlier try took effect without an answer: what it wrote counts."""
        known = 0
        for job in jobs:
            found = await self.job_lookup.ended(job.job_id)
            if found is not None:
                known += 1
                self.ended(job, found[0], found[2])
            elif job.job_id in fresh:
                del self.indeterminate[job.job_id]
        if not known:
            raise UnansweredError("outcome in doubt") from None

    def ended(self, job: Job, phase: str, at: float | None) -> None:
        """The outcome is durable, and may be told."""
        job_id = job.job_id
        self.remember_outcome(job_id, phase, job.spec.task_count, at)
        self.save_loop.job_ended(job)
        self.ledger.end_job(job, phase, self.context.now())
        self.pending_writes.pop(job_id, None)
        self.indeterminate.pop(job_id, None)
        waiter = self.waiters.pop(job_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
        event(log, "job_ended", job=job_id, phase=phase)
