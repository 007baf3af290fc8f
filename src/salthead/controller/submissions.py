"""Acceptance of jobs: validation, durable records, and forwarding to another controller."""

from __future__ import annotations

import contextlib
import logging
import time
from typing import Any, NamedTuple

from salthead.controller.connectivity import Connectivity
from salthead.controller.context import ControllerContext
from salthead.controller.job_cache import JobCache
from salthead.controller.job_reader import JobReader
from salthead.controller.job_status import JobStatusService
from salthead.controller.leader_view import LeaderView
from salthead.controller.load import LoadMonitor
from salthead.errors import InvalidJobError, UnavailableError
from salthead.event_log import event
from salthead.protocol import wire_names
from salthead.protocol.messages import (
    JOB_ID,
    JobStatus,
    MachineType,
    MalformedMessageError,
    Submission,
    shape,
)
from salthead.state_store import records
from salthead.state_store.messages import ConflictError, RequestRefusedError, put
from salthead.state_store.request_stats import RequestClass
from salthead.transport.client import Answer, HttpClient, UnansweredError

log = logging.getLogger(__name__)

# A submission has to be answered within 5 s. What was looked up is cached for its retry.
MAX_LOOKUP_S = 3.0
FORWARD_TIMEOUT_S = 0.8
CPU_TOLERANCE = 1e-6  # for rounding errors in sums of CPUs

Record = tuple[str, dict[str, Any]]  # key and value


class SubmissionResult(NamedTuple):
    """The status of a submitted job, and whether this submission created it."""

    status: JobStatus
    created: bool


class Submissions:
    """Accepts the jobs that are submitted to one controller."""

    def __init__(
        self,
        context: ControllerContext,
        leader_view: LeaderView,
        load: LoadMonitor,
        connectivity: Connectivity,
        job_cache: JobCache,
        job_reader: JobReader,
        job_status: JobStatusService,
    ) -> None:
        self.context = context
        self.leader_view = leader_view
        self.load = load
        self.connectivity = connectivity
        self.job_cache = job_cache
        self.job_reader = job_reader
        self.job_status = job_status

    async def submit(self, job: Submission, forwarded: bool = False) -> SubmissionResult:
        """Accept a job, or return the status of one that was accepted before.

        ``forwarded``: another controller forwarded it, so it is not forwarded again.

        Raises InvalidJobError if the job can never run, and UnavailableError or an error of the
        state service if it is not known whether it can run or whether it was accepted.
        """
        if self.load.overloaded():
            raise UnavailableError("overloaded")
        self.load.submissions_in_progress += 1
        try:
            return await self._accept(job, forwarded)
        finally:
            self.load.submissions_in_progress -= 1

    async def _accept(self, job: Submission, forwarded: bool) -> SubmissionResult:
        if (status := await self._known_status(job.job_id)) is not None:
            return SubmissionResult(status, created=False)
        try:
            rows, dependency_cancelled = await self._build_records(job)
        except InvalidJobError:
            # A retry of an accepted job must not be refused, even if its checks fail by now.
            if (
                status := await self.job_reader.read_status(job.job_id, RequestClass.SUBMISSION)
            ) is not None:
                return SubmissionResult(status, created=False)
            raise
        try:
            status = await self._write_records(job, rows, dependency_cancelled)
        except (RequestRefusedError, UnansweredError):
            if forwarded:
                raise
            return await self._forward(job)
        except ConflictError:
            known = await self.job_reader.read_status(job.job_id, RequestClass.SUBMISSION)
            if known is None:
                raise UnavailableError("in doubt") from None
            return SubmissionResult(known, created=False)
        return SubmissionResult(status, created=True)

    async def accepted_status(self, job_id: str) -> JobStatus | None:
        """Return the status of a job that was accepted before, or None.

        Raises UnavailableError or an error of the state service if that is not known.
        """
        if self.load.overloaded():
            raise UnavailableError("overloaded")
        status = await self._known_status(job_id)
        return status or await self.job_reader.read_status(job_id, RequestClass.SUBMISSION)

    async def _known_status(self, job_id: str) -> JobStatus | None:
        """Return the status of a job that is in the cache or, at the leader, in the ledger."""
        outcome = self.job_cache.terminal_outcomes.get(job_id)
        if outcome is not None:
            return outcome.status(job_id)
        term = self.leader_view.leading()
        if term is not None and job_id in term.ledger.jobs:
            return await self.job_status.as_leader(term, job_id)
        return None

    # -- checks -------------------------------------------------------------------------

    def _check_team_and_machine_types(self, job: Submission) -> None:
        """Check a job against the team's limit and the machine types.

        Raises InvalidJobError, or UnavailableError while the machine types are not known. Drops
        unknown names from the machine types that the job allows.
        """
        self._check_team_limit(job)
        if not self.context.machine_types:
            raise UnavailableError("machine types not known yet")
        if not any(
            _fits(job, machine_type) for machine_type in self.context.machine_types.values()
        ):
            raise InvalidJobError("a task fits no allowed machine type")
        if job.machine_types is not None:
            job.machine_types = sorted(
                {name for name in job.machine_types if name in self.context.machine_types}
            )

    def _check_team_limit(self, job: Submission) -> None:
        team = next((team for team in self.context.limits.teams if team.name == job.team), None)
        if team is None:
            raise InvalidJobError(f"unknown team {job.team[:60]}")
        concurrent_tasks = job.task_count if job.shape == wire_names.GANG else 1
        gpus = job.accelerators * concurrent_tasks
        if (
            job.vcpus * concurrent_tasks > team.max_cpus + CPU_TOLERANCE
            or gpus > team.max_gpus + CPU_TOLERANCE
        ):
            raise InvalidJobError("more than the team's limit")

    async def _check_dependencies(self, job: Submission) -> bool:
        """Return whether a dependency was cancelled.

        Raises InvalidJobError if one was never accepted.
        """
        depends_on = job.depends_on or []
        for job_id in depends_on:
            if job_id == job.job_id or not JOB_ID.match(job_id):
                raise InvalidJobError(f"awaits: {job_id[:60]!r} is no job that was accepted")
        return await self.job_reader.depends_on_cancelled(
            depends_on,
            self.context.now() + MAX_LOOKUP_S,
            check_all=True,
            request_class=RequestClass.SUBMISSION,
        )

    # -- records ------------------------------------------------------------------------

    async def _build_records(self, job: Submission) -> tuple[list[Record], bool]:
        """Return the records of a new job, and whether a dependency was cancelled.

        Raises InvalidJobError if the job can never run or is too large to be stored.
        """
        self._check_team_and_machine_types(job)
        dependency_cancelled = bool(job.depends_on) and await self._check_dependencies(job)
        # Set before the records are built, since their size includes it.
        job.at = time.time()
        limits = self.context.state_limits
        try:
            rows = records.job_rows(job, limits.value_kb, limits.txn_ops)
        except records.RecordTooLargeError as error:
            raise InvalidJobError(str(error)) from None
        if dependency_cancelled:
            # The job is cancelled with its dependency, so only its outcome is written.
            value = records.outcome_value(job, wire_names.ABORTED, job.at, limits.value_kb)
            rows = [(records.outcome_key(job.job_id), value)]
        return rows, dependency_cancelled

    async def _write_records(
        self, job: Submission, rows: list[Record], dependency_cancelled: bool
    ) -> JobStatus:
        """Write the records of a new job, and return its status.

        Raises ConflictError if the job was accepted before, and RequestRefusedError or
        UnansweredError if it may not be accepted now.
        """
        # The leader may learn of the job, and end it, before its own write is answered.
        term = self.leader_view.leading()
        with contextlib.nullcontext() if term is None else term.job_records.reading():
            revision = await self.context.state_store.transaction(
                {records.job_key(job.job_id): 0, records.outcome_key(job.job_id): 0},
                [put(key, value) for key, value in rows],
            )
            event(log, "job_accepted", logging.DEBUG, job=job.job_id, tasks=job.task_count)
            if dependency_cancelled:
                return self._remember_cancelled(job)
            job.more = len(rows) - 1
            self.job_cache.remember_accepted(job)
            # A term that has begun meanwhile learns of the job by its watch.
            if term is not None and term is self.leader_view.leading():
                term.job_records.add_job(job, revision)
            return JobStatus(job.job_id, wire_names.QUEUED)

    def _remember_cancelled(self, job: Submission) -> JobStatus:
        self.job_cache.remember_outcome(job.job_id, wire_names.ABORTED, job.task_count, job.at)
        return JobStatus(job.job_id, wire_names.ABORTED)

    # -- other controllers --------------------------------------------------------------

    async def _forward(self, job: Submission) -> SubmissionResult:
        """Forward a job to one peer after another, because this controller can't write it.

        The state service may refuse this controller alone. Writes are conditional on the job's id,
        so that the job is accepted only once even if several controllers try.
        """
        if self.connectivity.refused_by_state_service():
            for peer in self.context.peers.values():
                if (result := await self._forward_to(peer, job)) is not None:
                    return result
        raise UnavailableError("the state service does not answer")

    async def _forward_to(self, peer: HttpClient, job: Submission) -> SubmissionResult | None:
        """Forward a job to a peer; return None if the peer does not accept it."""
        try:
            answer = await peer.call(
                "POST", wire_names.PEER_SUBMIT_PATH, job, timeout=FORWARD_TIMEOUT_S
            )
            return _decode_result(answer, job.job_id)
        except (UnansweredError, MalformedMessageError) as error:
            self.context.log_throttled("pass on", error)
            return None


def _fits(job: Submission, machine_type: MachineType) -> bool:
    """Return whether the job allows a machine type, and one task fits an empty machine of it."""
    return (
        job.vcpus <= machine_type.vcpus
        and job.accelerators <= machine_type.accelerators
        and job.ram_gb <= machine_type.ram_gb
        and (job.machine_types is None or machine_type.name in job.machine_types)
        and (job.zone is None or job.zone in machine_type.zones)
    )


def _decode_result(answer: Answer, job_id: str) -> SubmissionResult | None:
    """Decode a peer's answer to a submission.

    None if the peer did not accept the job, or if its answer names another job id. Raises
    MalformedMessageError if the peer accepted the job but its answer is no valid job status.
    """
    if answer.status not in (200, 201):
        return None
    status = shape(answer.body, JobStatus)
    return SubmissionResult(status, answer.status == 201) if status.job_id == job_id else None
