"""Transactions that write the outcomes of jobs, and what their results mean.

Every write has the condition that the job has no outcome yet. Of several writes for a job, the
first that is executed counts; each later one is a conflict, after which the outcome is read.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from itertools import islice

from salthead import metrics
from salthead.cluster.model import Job
from salthead.event_log import event
from salthead.leader.context import LeaseUncertainError, TermContext
from salthead.leader.controller_interface import JobLookup
from salthead.leader.indeterminate_outcomes import IndeterminateOutcomes
from salthead.protocol import wire_names
from salthead.state_store import records
from salthead.state_store.messages import Change, ConflictError, RequestRefusedError, delete, put
from salthead.state_store.request_stats import RequestClass
from salthead.transport.client import UnansweredError

log = logging.getLogger(__name__)

MAX_LOGGED_JOBS = 5  # per event

# Ends a job with a durable phase; the Unix time of the end is None if it is not known.
OutcomeHandler = Callable[[Job, str, float | None], None]


class WriteResult(Enum):
    """The result of a transaction that writes outcomes."""

    CONFIRMED = "confirmed"
    UNANSWERED = "unanswered"  # it may have been executed, or may be later
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    CONFLICT = "conflict"


# Results of a transaction that was not executed and never will be.
NOT_EXECUTED = frozenset({WriteResult.NOT_SENT, WriteResult.REFUSED, WriteResult.CONFLICT})


def _terminal_phase(job: Job) -> str:
    if job.complete and not job.dependency_cancelled:
        return wire_names.DONE
    return wire_names.ABORTED


def _failure(error: Exception) -> WriteResult:
    """Return the result of a transaction that raised an error."""
    if isinstance(error, ConflictError):
        return WriteResult.CONFLICT
    if isinstance(error, RequestRefusedError):
        return WriteResult.REFUSED
    if isinstance(error, LeaseUncertainError):
        return WriteResult.NOT_SENT
    return WriteResult.UNANSWERED


def _first_phases(phases: Mapping[str, str]) -> str:
    """Return the first jobs with their phases, for the log."""
    return ",".join(
        f"{job_id}:{phase}" for job_id, phase in islice(phases.items(), MAX_LOGGED_JOBS)
    )


@dataclass(frozen=True)
class OutcomeBatch:
    """The outcomes of some jobs, to be written in one transaction."""

    jobs: list[Job]
    phases: dict[str, str]  # by job id
    ended_at: float  # Unix time
    # The phases of the jobs whose outcome is not certain before the result of the write is known.
    # The cancellation of a job that depends on a durably cancelled one is certain already.
    uncertain_phases: dict[str, str]

    @classmethod
    def of(cls, jobs: list[Job]) -> OutcomeBatch:
        """Return the outcomes that the jobs have now."""
        phases = {job.job_id: _terminal_phase(job) for job in jobs}
        uncertain = {job.job_id: phases[job.job_id] for job in jobs if not job.dependency_cancelled}
        return cls(jobs, phases, time.time(), uncertain)

    def conditions(self) -> dict[str, int]:
        """Return the conditions that no job has an outcome."""
        return {records.outcome_key(job.job_id): 0 for job in self.jobs}

    def changes(self, max_kb: float) -> list[Change]:
        """Return the changes that replace the record of each job with its outcome."""
        changes: list[Change] = []
        for job in self.jobs:
            phase = self.phases[job.job_id]
            outcome = records.outcome_value(job.spec, phase, self.ended_at, max_kb)
            changes.append(put(records.outcome_key(job.job_id), outcome))
            changes.append(delete(records.job_key(job.job_id)))
        return changes


class OutcomeWriter:
    """Writes batches of outcomes, and passes on those that are known to be durable."""

    def __init__(
        self,
        context: TermContext,
        job_lookup: JobLookup,
        indeterminate: IndeterminateOutcomes,
        on_durable: OutcomeHandler,
    ) -> None:
        self.context = context
        self.job_lookup = job_lookup
        self.indeterminate = indeterminate
        self.on_durable = on_durable

    async def write(self, jobs: list[Job]) -> None:
        """Write the outcomes of some jobs in one transaction.

        After a conflict the outcomes of earlier writes are adopted. Raises the error of a
        transaction that failed otherwise, and UnansweredError if no outcome could be adopted.
        """
        batch = OutcomeBatch.of(jobs)
        self._log_repeated(batch)
        changes = batch.changes(self.context.state_limits.value_kb)
        self.indeterminate.add_write(batch.uncertain_phases)
        try:
            await self.context.transaction(batch.conditions(), changes)
        except ConflictError as conflict:
            self._record_result(batch, WriteResult.CONFLICT)
            await self._read_conflicting(jobs, conflict)
            return
        except (RequestRefusedError, UnansweredError) as error:
            self._record_result(batch, _failure(error))
            raise
        self._record_result(batch, WriteResult.CONFIRMED)
        for job in jobs:
            self.on_durable(job, batch.phases[job.job_id], batch.ended_at)

    def _log_repeated(self, batch: OutcomeBatch) -> None:
        """Log the jobs of a batch for which an earlier write has no result."""
        phases_sent = {
            job_id: "+".join([*self.indeterminate.phases(job_id), phase])
            for job_id, phase in batch.phases.items()
            if job_id in self.indeterminate
        }
        if phases_sent:
            event(
                log,
                "outcome_write_repeated",
                jobs=len(phases_sent),
                first=_first_phases(phases_sent),
            )

    def _record_result(self, batch: OutcomeBatch, result: WriteResult) -> None:
        """Count a write by its result, log it unless confirmed, and take back one not executed."""
        metrics.OUTCOME_WRITES.labels(result.value).inc()
        if result in NOT_EXECUTED:
            self.indeterminate.remove_write(batch.uncertain_phases)
        if result is not WriteResult.CONFIRMED:
            event(
                log,
                "outcome_write_failed",
                result=result.value,
                jobs=len(batch.jobs),
                first=_first_phases(batch.phases),
            )

    async def _read_conflicting(self, jobs: list[Job], conflict: ConflictError) -> None:
        """Adopt the outcomes of an earlier write that took effect without an answer.

        Raises UnansweredError if none of the jobs has an outcome.
        """
        conflicting = [job for job in jobs if records.outcome_key(job.job_id) in conflict.failed]
        for job in conflicting:
            if not job.dependency_cancelled:
                self.indeterminate.add_unread_outcome(job.job_id)
        durable_count = 0
        for job in conflicting or jobs:
            outcome = await self.job_lookup.read_outcome(job.job_id, RequestClass.LEADER)
            if outcome is not None:
                durable_count += 1
                self.on_durable(job, outcome.phase, outcome.ended_at)
        if not durable_count:
            raise UnansweredError("outcome in doubt") from None
