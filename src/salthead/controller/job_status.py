"""Status and cancellation of jobs, at any controller."""

from __future__ import annotations

from salthead.controller.job_cache import JobCache
from salthead.controller.job_reader import JobReader
from salthead.controller.leader_calls import LeaderCalls
from salthead.controller.leader_view import LeaderView
from salthead.errors import UnavailableError
from salthead.failure_detection.preconditions import Action, Precondition, permits
from salthead.leader.term import Term
from salthead.protocol import wire_names
from salthead.protocol.messages import JobStatus
from salthead.state_store.request_stats import RequestClass

MAX_LISTED_DEPENDENCIES = 20
STATUS_TIMEOUT_S, CANCEL_TIMEOUT_S = 0.8, 3.0  # of calls to the leader
OUTCOMES_DETERMINATE = int(Precondition.OUTCOMES_DETERMINATE)


class JobStatusService:
    """Answers from memory where that is certain, else from the leader, else from the records."""

    def __init__(
        self,
        leader_view: LeaderView,
        job_cache: JobCache,
        job_reader: JobReader,
        leader_calls: LeaderCalls,
    ) -> None:
        self.leader_view = leader_view
        self.job_cache = job_cache
        self.job_reader = job_reader
        self.leader_calls = leader_calls

    @staticmethod
    def _status_with_progress(term: Term, job_id: str) -> JobStatus:
        ledger = term.ledger
        return JobStatus.with_progress(
            job_id,
            *ledger.phase_of(ledger.jobs[job_id]),
            depends_on=ledger.dependencies.unfinished(job_id, MAX_LISTED_DEPENDENCIES),
        )

    def from_term(self, term: Term, job_id: str) -> JobStatus | None:
        """Return a job's status from the term's ledger; None if only a read can be certain."""
        job = term.ledger.jobs.get(job_id)
        if job is None:
            return None
        held = term.ledger.confirmed_preconditions()
        unresolved = (
            job.blocked_on_dependencies
            and term.ledger.dependency_graph.has_unresolved_dependency(job_id)
        )
        if not unresolved and not term.outcomes.is_indeterminate(job):
            held |= OUTCOMES_DETERMINATE
        return (
            self._status_with_progress(term, job_id)
            if permits(Action.ANSWER_JOB_STATUS, held)
            else None
        )

    def from_memory(self, job_id: str) -> JobStatus | None:
        """Return a job's status from the cache or the own term; None if neither is certain."""
        outcome = self.job_cache.terminal_outcomes.get(job_id)
        if outcome is not None:
            return outcome.status(job_id)
        term = self.leader_view.leading()
        return None if term is None else self.from_term(term, job_id)

    async def as_leader(self, term: Term, job_id: str) -> JobStatus | None:
        """Return a job's status to a repeated submission; None if the job was never accepted."""
        return self.from_term(term, job_id) or await self.job_reader.read_status(
            job_id, RequestClass.SUBMISSION
        )

    async def poll(self, job_id: str) -> JobStatus | None:
        """Return a job's status; None if the job was never accepted."""
        status = self.from_memory(job_id)
        if status is None and self.leader_view.leading() is None:
            status = await self.leader_calls.query_or_cancel_job(
                wire_names.PEER_STATUS_PATH, job_id, STATUS_TIMEOUT_S
            )
        return status if status is not None else await self.job_reader.read_status(job_id)

    async def cancel(self, job_id: str) -> JobStatus | None:
        """Cancel a job and return its status; None if the job was never accepted.

        Raises UnavailableError if the leader, which alone may cancel an active job, does not
        answer.
        """
        outcome = self.job_cache.terminal_outcomes.get(job_id)
        if outcome is not None:
            return JobStatus(job_id, outcome.phase)
        term = self.leader_view.leading()
        if term is not None:
            return await term.cancel(job_id)
        status = await self.leader_calls.query_or_cancel_job(
            wire_names.PEER_CANCEL_PATH, job_id, CANCEL_TIMEOUT_S
        )
        if status is not None:
            return status
        # Without the leader, only a job that has ended or was never accepted has a certain answer.
        status = await self.job_reader.read_status(job_id, RequestClass.SUBMISSION)
        if status is None or status.is_terminal:
            return status
        raise UnavailableError("no leader")
