"""Accepting jobs: what is checked, what is written, and who else may write it."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Any

import msgspec

from salthead.errors import InvalidJobError, UnavailableError
from salthead.protocol import wire_names
from salthead.protocol.messages import JOB_ID, JobStatus, MalformedMessageError, Submission, shape
from salthead.state_store import records
from salthead.state_store.client import ConflictError, RequestRefusedError, put
from salthead.transport.client import UnansweredError

if TYPE_CHECKING:
    from salthead.controller.controller import Controller

log = logging.getLogger(__name__)

# A submission has 5 s; what was looked up by then is known when it comes again.
MAX_LOOKUP_S = 3.0


class Submissions:
    """Submissions to one controller."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller

    def _check(self, job: Submission) -> None:
        """422 and 503 by what is known of teams and machine types."""
        team = next((team for team in self.controller.limits.teams if team.name == job.team), None)
        if team is None:
            raise InvalidJobError(f"unknown team {job.team[:60]}")
        many = job.task_count if job.shape == wire_names.GANG else 1
        gpus = job.accelerators * many
        if job.vcpus * many > team.cpus_max + 1e-6 or gpus > team.gpus_max + 1e-6:
            raise InvalidJobError("more than the team's limit")
        if not self.controller.machine_types:
            raise UnavailableError("machine types not known yet")
        if not any(
            job.vcpus <= f.vcpus
            and job.accelerators <= f.accelerators
            and job.ram_gb <= f.ram_gb
            and (job.machine_types is None or f.name in job.machine_types)
            and (job.zone is None or job.zone in f.zones)
            for f in self.controller.machine_types.values()
        ):
            raise InvalidJobError("a task fits no allowed machine type")
        if job.machine_types is not None:  # only names that exist are kept
            job.machine_types = sorted(
                {name for name in job.machine_types if name in self.controller.machine_types}
            )

    async def accept(self, job: Submission, forwarded: bool) -> tuple[int, JobStatus]:
        """Status and body for a submission, new or repeated."""
        if (known := await self._known(job.job_id)) is not None:
            return 200, known
        try:
            rows, dependency_cancelled = await self._rows_of(job)
        except InvalidJobError:
            # A repeat of a job that was accepted must not be refused, whatever changed since.
            if (found := await self.controller.job_reader.read(job.job_id)) is not None:
                return 200, found
            raise
        try:
            revision = await self.controller.state_store.transaction(
                {records.job_key(job.job_id): 0, records.outcome_key(job.job_id): 0},
                [put(key, value) for key, value in rows],
            )
        except (RequestRefusedError, UnansweredError):
            if forwarded:
                raise
            return await self._forward(job)
        except ConflictError:
            found = await self.controller.job_reader.read(job.job_id)
            if found is None:
                raise UnavailableError("in doubt") from None
            return 200, found
        log.debug("accepted %s: %d tasks", job.job_id, job.task_count)
        return 201, self._accepted(job, len(rows) - 1, dependency_cancelled, revision)

    async def _known(self, job_id: str) -> JobStatus | None:
        """The state of a job that this controller knows, in its memory or as the leader."""
        known = self.controller.terminal_outcomes.get(job_id)
        if known is not None:
            return JobStatus.with_progress(
                job_id, known[0], known[1] if known[0] == wire_names.DONE else 0
            )
        term = self.controller.leading()
        if term is not None and job_id in term.ledger.jobs:
            return await self.controller.poll_here(term, job_id)
        return None

    async def _rows_of(self, job: Submission) -> tuple[list[tuple[str, dict[str, Any]]], bool]:
        """The records of a new job, and whether a dependency was cancelled; or InvalidJobError."""
        self._check(job)
        dependency_cancelled = bool(job.depends_on) and await self._check_awaits(job)
        # The time is noted before the record is made, for what it takes up in it.
        job.at = time.time()
        limits = self.controller.state_limits
        try:
            rows = records.job_rows(job, limits.value_kb, limits.txn_ops)
        except records.RecordTooLargeError as error:
            raise InvalidJobError(str(error)) from None
        if dependency_cancelled:
            # What it needs was cancelled, so its outcome is known before it is written.
            value = records.outcome_value(job, wire_names.ABORTED, job.at, limits.value_kb)
            rows = [(records.outcome_key(job.job_id), value)]
        return rows, dependency_cancelled

    def _accepted(
        self, job: Submission, more: int, dependency_cancelled: bool, revision: int
    ) -> JobStatus:
        """The job is durable: what this controller remembers of it, and what its user is told."""
        if dependency_cancelled:
            self.controller.remember_outcome(job.job_id, wire_names.ABORTED, job.task_count, job.at)
            return JobStatus(job.job_id, wire_names.ABORTED)
        job.more = more
        self.controller.remember_accepted(job)
        term = self.controller.leading()
        if term is not None and term.ledger.loaded:
            term.job_records.add_job(job, revision)
        return JobStatus(job.job_id, wire_names.QUEUED)

    async def _check_awaits(self, job: Submission) -> bool:
        """Whether a dependency was cancelled; InvalidJobError if one was never accepted."""
        depends_on = job.depends_on or []
        for job_id in depends_on:
            if job_id == job.job_id or not JOB_ID.match(job_id):
                raise InvalidJobError(f"awaits: {job_id[:60]!r} is no job that was accepted")
        return await self.controller.job_reader.depends_on_cancelled(
            depends_on, self.controller.now() + MAX_LOOKUP_S, every=True
        )

    async def _forward(self, job: Submission) -> tuple[int, JobStatus]:
        """Let another controller accept a job that this one can't write: the service may refuse
        this
        controller alone. A job has one id, so that two controllers may try to accept it."""
        for peer in (
            self.controller.peers.values() if self.controller.connectivity.refused_alone() else ()
        ):
            try:
                answer = await peer.call(
                    "POST", wire_names.PEER_SUBMIT_PATH, msgspec.to_builtins(job), timeout=0.8
                )
            except UnansweredError as error:
                self.controller.log_throttled("pass on", error)
                continue
            if answer.status not in (200, 201):
                continue
            try:
                status = shape(answer.body, JobStatus)
            except MalformedMessageError as error:
                self.controller.log_throttled("pass on", error)
                continue
            if status.job_id == job.job_id:
                return answer.status, status
        raise UnavailableError("the state service does not answer")
