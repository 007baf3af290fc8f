"""Cancellations of one term, which are confirmed to users only once they are durable."""

from __future__ import annotations

from salthead.cluster.model import Job
from salthead.failure_detection.preconditions import Action, Precondition
from salthead.leader.context import TermContext
from salthead.leader.controller_interface import JobLookup
from salthead.leader.job_records import JobRecords
from salthead.leader.outcomes import Outcomes
from salthead.protocol import wire_names
from salthead.protocol.messages import JobStatus
from salthead.state_store.request_stats import RequestClass
from salthead.transport.client import UnansweredError


class Cancellations:
    """Cancels jobs, including those that are not in the ledger yet."""

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
        """Cancel a job and return its status, or None if there is no such job.

        Raises UnansweredError if the cancellation can't be confirmed now.
        """
        job = self.ledger.jobs.get(job_id) if self.ledger.loaded else None
        if job is None:
            status = await self.job_lookup.read_status(job_id, RequestClass.SUBMISSION)
            if status is None or status.is_terminal:
                return status
            job = await self._load_job(job_id)
        if not job.terminal_phase and not job.dependency_cancelled:
            await self.outcomes.cancel(job)
        # A cancellation that follows from the durable outcome of a dependency may be confirmed
        # before its own outcome is written.
        durable = (
            Precondition.OUTCOME_DURABLE
            if job.terminal_phase or job.dependency_cancelled
            else Precondition(0)
        )
        if not self.context.permits(Action.CONFIRM_CANCELLATION, durable):
            raise UnansweredError("cancel in doubt")
        return JobStatus(job_id, job.terminal_phase or wire_names.ABORTED)

    async def _load_job(self, job_id: str) -> Job:
        """Load an accepted job that is not over into the ledger, and return it."""
        await self.job_records.read_job(job_id, RequestClass.SUBMISSION)
        job = self.ledger.jobs.get(job_id)
        if job is None:
            raise UnansweredError("cancel in doubt")
        return job
