"""Accepting jobs: what is checked, what is written, and which other controller may write it."""

from __future__ import annotations

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
from salthead.state_store.client import ConflictError, RequestRefusedError, put
from salthead.transport.client import Answer, HttpClient, UnansweredError

log = logging.getLogger(__name__)

# A submission has 5 s; what was looked up by then is known when it comes again.
MAX_LOOKUP_S = 3.0
FORWARD_TIMEOUT_S = 0.8
CPU_TOLERANCE = 1e-6  # for sums of CPUs, which are not exact


class SubmissionResult(NamedTuple):
    """What the user is told of a submitted job, and whether it is new."""

    status: JobStatus
    created: bool


class Submissions:
    """Submissions to one controller."""

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
        """Accept a job, or tell the status of one that was accepted before.

        ``forwarded``: by another controller, so it is not forwarded again. InvalidJobError if the
        job can never run; UnavailableError and errors of the state service if that, or whether it
        is accepted, is not known now.
        """
        if self.load.overloaded():
            raise UnavailableError("overloaded")
        self.load.submissions_in_progress += 1
        try:
            return await self._accept(job, forwarded)
        finally:
            self.load.submissions_in_progress -= 1

    async def _accept(self, job: Submission, forwarded: bool) -> SubmissionResult:
        if (known := await self._known(job.job_id)) is not None:
            return SubmissionResult(known, created=False)
        try:
            rows, dependency_cancelled = await self._rows_of(job)
        except InvalidJobError:
            # A repeat of a job that was accepted must not be refused, whatever changed since.
            if (status := await self.job_reader.read(job.job_id)) is not None:
                return SubmissionResult(status, created=False)
            raise
        try:
            revision = await self.context.state_store.transaction(
                {records.job_key(job.job_id): 0, records.outcome_key(job.job_id): 0},
                [put(key, value) for key, value in rows],
            )
        except (RequestRefusedError, UnansweredError):
            if forwarded:
                raise
            return await self._forward(job)
        except ConflictError:
            status = await self.job_reader.read(job.job_id)
            if status is None:
                raise UnavailableError("in doubt") from None
            return SubmissionResult(status, created=False)
        event(log, "job_accepted", logging.DEBUG, job=job.job_id, tasks=job.task_count)
        if dependency_cancelled:
            return SubmissionResult(self._remember_cancelled(job), created=True)
        job.more = len(rows) - 1
        return SubmissionResult(self._remember_accepted(job, revision), created=True)

    async def _known(self, job_id: str) -> JobStatus | None:
        """The status of a job that this controller knows, in its memory or as the leader."""
        outcome = self.job_cache.terminal_outcomes.get(job_id)
        if outcome is not None:
            return outcome.status(job_id)
        term = self.leader_view.leading()
        if term is not None and job_id in term.ledger.jobs:
            return await self.job_status.as_leader(term, job_id)
        return None

    # -- checks -------------------------------------------------------------------------

    def _check(self, job: Submission) -> None:
        """InvalidJobError or UnavailableError by what is known of teams and machine types."""
        self._check_team_limit(job)
        if not self.context.machine_types:
            raise UnavailableError("machine types not known yet")
        if not any(_fits(job, found) for found in self.context.machine_types.values()):
            raise InvalidJobError("a task fits no allowed machine type")
        if job.machine_types is not None:  # only names that exist are kept
            job.machine_types = sorted(
                {name for name in job.machine_types if name in self.context.machine_types}
            )

    def _check_team_limit(self, job: Submission) -> None:
        team = next((team for team in self.context.limits.teams if team.name == job.team), None)
        if team is None:
            raise InvalidJobError(f"unknown team {job.team[:60]}")
        at_once = job.task_count if job.shape == wire_names.GANG else 1
        gpus = job.accelerators * at_once
        if (
            job.vcpus * at_once > team.max_cpus + CPU_TOLERANCE
            or gpus > team.max_gpus + CPU_TOLERANCE
        ):
            raise InvalidJobError("more than the team's limit")

    async def _check_dependencies(self, job: Submission) -> bool:
        """Whether a dependency was cancelled; InvalidJobError if one was never accepted."""
        depends_on = job.depends_on or []
        for job_id in depends_on:
            if job_id == job.job_id or not JOB_ID.match(job_id):
                raise InvalidJobError(f"awaits: {job_id[:60]!r} is no job that was accepted")
        return await self.job_reader.depends_on_cancelled(
            depends_on, self.context.now() + MAX_LOOKUP_S, every=True
        )

    # -- records ------------------------------------------------------------------------

    async def _rows_of(self, job: Submission) -> tuple[list[tuple[str, dict[str, Any]]], bool]:
        """The records of a new job, and whether a dependency was cancelled; or InvalidJobError."""
        self._check(job)
        dependency_cancelled = bool(job.depends_on) and await self._check_dependencies(job)
        # The time is set before the record is made, for what it takes up in it.
        job.at = time.time()
        limits = self.context.state_limits
        try:
            rows = records.job_rows(job, limits.value_kb, limits.txn_ops)
        except records.RecordTooLargeError as error:
            raise InvalidJobError(str(error)) from None
        if dependency_cancelled:
            # The job's outcome follows from that of its dependency before anything is written.
            value = records.outcome_value(job, wire_names.ABORTED, job.at, limits.value_kb)
            rows = [(records.outcome_key(job.job_id), value)]
        return rows, dependency_cancelled

    def _remember_cancelled(self, job: Submission) -> JobStatus:
        self.job_cache.remember_outcome(job.job_id, wire_names.ABORTED, job.task_count, job.at)
        return JobStatus(job.job_id, wire_names.ABORTED)

    def _remember_accepted(self, job: Submission, revision: int) -> JobStatus:
        """The job is durable, by a write with this revision: what its user is told."""
        self.job_cache.remember_accepted(job)
        term = self.leader_view.leading()
        if term is not None and term.ledger.loaded:
            term.job_records.add_job(job, revision)
        return JobStatus(job.job_id, wire_names.QUEUED)

    # -- other controllers --------------------------------------------------------------

    async def _forward(self, job: Submission) -> SubmissionResult:
        """Let another controller accept a job that this one can't write.

        The state service may refuse this controller alone. A job has one id, so that two
        controllers may try to accept it.
        """
        if self.connectivity.refused_alone():
            for peer in self.context.peers.values():
                if (result := await self._forward_to(peer, job)) is not None:
                    return result
        raise UnavailableError("the state service does not answer")

    async def _forward_to(self, peer: HttpClient, job: Submission) -> SubmissionResult | None:
        """What a peer answers to a submission; None if it is not accepted there."""
        try:
            answer = await peer.call(
                "POST", wire_names.PEER_SUBMIT_PATH, job, timeout=FORWARD_TIMEOUT_S
            )
            return _result_in(answer, job.job_id)
        except (UnansweredError, MalformedMessageError) as error:
            self.context.log_throttled("pass on", error)
            return None


def _fits(job: Submission, machine_type: MachineType) -> bool:
    """Whether one task of a job fits an empty machine of a type that it allows."""
    return (
        job.vcpus <= machine_type.vcpus
        and job.accelerators <= machine_type.accelerators
        and job.ram_gb <= machine_type.ram_gb
        and (job.machine_types is None or machine_type.name in job.machine_types)
        and (job.zone is None or job.zone in machine_type.zones)
    )


def _result_in(answer: Answer, job_id: str) -> SubmissionResult | None:
    """What a peer answers to a submission; MalformedMessageError if it can't be understood."""
    if answer.status not in (200, 201):
        return None
    status = shape(answer.body, JobStatus)
    return SubmissionResult(status, answer.status == 201) if status.job_id == job_id else None
