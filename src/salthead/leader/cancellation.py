"""Cancellations of one term: what a user is told, and what has to be durable before."""

from __future__ import annotations

from salthead.cluster.model import Job
from salthead.failure_detection.preconditions import Action, Precondition
from salthead.leader.context import TermContext
from salthead.leader.controller_interface import JobLookup
from salthead.leader.job_records import JobRecords
from salthead.leader.outcomes import Outcomes
from salthead.protocol import wire_names
from salthead.protocol.messages import JobStatus
from salthead.state_store import records
from salthead.transport.client import UnansweredError


class Cancellations:
    """Cancels jobs, also those that the ledger does not hold yet."""

    def __init__(
        self,
        context: TermContext,
        job_lookup: JobLookup,
        job_records: JobRecords,
        outcomes: Outcomes,
    ) -> None:
        self.context = context
        self.ledger = context.ledger
        self.job_lookup = job_lookup
        self.job_records = job_records
        self.outcomes = outcomes

    async def cancel(self, job_id: str) -> JobStatus | None:
        """Cancel a job; its status then, or None if there is no such job.

        UnansweredError if the cancellation can't be confirmed now.
        """
        job = self.ledger.jobs.get(job_id) if self.ledger.loaded else None
        if job is None:
            found = await self.job_lookup.read(job_id)
            if found is None or found.is_terminal:
                return found
            job = await self._take_in(job_id)
        if not job.terminal_phase and not job.dependency_cancelled:
            await self.outcomes.cancel(job)
        # What follows from a durable outcome may be told before it is written itself.
        durable = (
            Precondition.OUTCOME_DURABLE
            if job.terminal_phase or job.dependency_cancelled
            else Precondition(0)
        )
        if not self.context.permits(Action.CONFIRM_CANCELLATION, durable):
            raise UnansweredError("cancel in doubt")
        return JobStatus(job_id, job.terminal_phase or wire_names.ABORTED)

    async def _take_in(self, job_id: str) -> Job:
        """Read a job that was accepted, and is not over, into the ledger."""
        row = await self.context.state_store.get(records.job_key(job_id))
        if row is None or not self.ledger.loaded:
            raise UnansweredError("cancel in doubt")
        self.job_records.take_row(records.job_key(job_id), *row)
        if job_id in self.job_records.incomplete:
            await self.job_records.look_up(job_id)
        job = self.ledger.jobs.get(job_id)
        if job is None:
            raise UnansweredError("cancel in doubt")
        return job
