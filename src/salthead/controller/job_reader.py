"""Consistent reads of jobs in the state service, for what is not in the cache or the ledger."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from salthead.controller.context import ControllerContext
from salthead.controller.job_cache import JobCache
from salthead.controller.leader_view import LeaderView
from salthead.errors import InvalidJobError, UnavailableError
from salthead.protocol import wire_names
from salthead.protocol.messages import JobStatus, Submission
from salthead.protocol.terminal_outcome import TerminalOutcome
from salthead.state_store import records
from salthead.state_store.messages import VersionedValue
from salthead.state_store.request_stats import RequestClass
from salthead.transport.client import UnansweredError

# A walk over dependencies that needs more reads than this reads all active jobs at once.
MAX_SINGLE_READS = 12


@dataclass
class _DependencyWalk:
    """A breadth-first walk over the dependencies of a job, and its reads."""

    request_class: RequestClass
    pending: deque[str] = field(default_factory=deque)
    visited: set[str] = field(default_factory=set)  # includes those that are pending
    read_count: int = 0  # reads of jobs that were not in memory
    active_jobs: dict[str, VersionedValue] | None = None  # once they have been listed

    def add(self, job_ids: Iterable[str]) -> None:
        """Add the jobs that the walk has not reached yet."""
        for job_id in job_ids:
            if job_id not in self.visited:
                self.visited.add(job_id)
                self.pending.append(job_id)


class JobReader:
    """Reads jobs for one controller, and caches what can't change."""

    def __init__(
        self, context: ControllerContext, leader_view: LeaderView, job_cache: JobCache
    ) -> None:
        self.context = context
        self.leader_view = leader_view
        self.job_cache = job_cache

    async def read_dependencies(self, spec: Submission, request_class: RequestClass) -> Submission:
        """Return a job with all its dependencies, including those stored under further keys.

        Raises UnansweredError if one of these keys is missing.
        """
        depends_on = list(spec.depends_on or [])
        for number in range(spec.more):
            row = await self.context.state_store.get(
                records.dependencies_key(spec.job_id, number), request_class
            )
            if row is None:
                raise UnansweredError("job record: a part is missing")
            depends_on += records.decode_dependencies(row.value)
        return msgspec.structs.replace(spec, depends_on=depends_on or None)

    async def depends_on_cancelled(
        self,
        depends_on: list[str],
        deadline: float = math.inf,
        check_all: bool = False,
        request_class: RequestClass = RequestClass.USER,
    ) -> bool:
        """Return whether one of these jobs, or any job that they depend on, was cancelled.

        ``check_all``: check that each of these jobs was accepted, even after a cancelled one is
        found. Without it, a job could be accepted that depends on a cancelled job and on one that
        was never submitted.

        The durable outcome of the cancelled job decides, so no leader is needed. The dependencies
        of a job with an outcome are not looked up. Raises InvalidJobError if one of the jobs was
        never accepted, and UnavailableError if the walk has not ended by ``deadline``.
        """
        direct = set(depends_on)
        walk = _DependencyWalk(request_class)
        walk.add(depends_on)
        cancelled = False
        while walk.pending:
            job_id = walk.pending.popleft()
            if cancelled and job_id not in direct:
                break  # direct dependencies come first in the queue
            if self.context.now() > deadline:
                raise UnavailableError("still looking up the jobs that it awaits")
            phase = await self._dependency_phase(job_id, walk)
            if phase is None:
                walk.add(self.job_cache.dependencies.get(job_id, ()))
            elif phase == wire_names.ABORTED:
                if not check_all:
                    return True
                cancelled = True
        return cancelled

    async def _dependency_phase(self, job_id: str, walk: _DependencyWalk) -> str | None:
        """Return the terminal phase of a dependency, or None while it is active."""
        in_memory, phase = self._phase_in_memory(job_id)
        if in_memory:
            return phase
        if walk.read_count == MAX_SINGLE_READS:
            walk.active_jobs, _ = await self.context.state_store.list_prefix(
                records.JOBS, walk.request_class
            )
        walk.read_count += 1
        return await self._read_phase(job_id, walk)

    def _phase_in_memory(self, job_id: str) -> tuple[bool, str | None]:
        """Return whether the phase is known from memory, and the terminal phase.

        The phase is None for a job that is known to be active.
        """
        if job_id in self.job_cache.terminal_outcomes:
            return True, self.job_cache.terminal_outcomes[job_id].phase
        term = self.leader_view.leading()
        if term is None or job_id in term.outcomes.indeterminate:
            return False, None
        job = term.ledger.jobs.get(job_id)
        if job is None:
            return False, None
        self.job_cache.remember_accepted(job.spec)
        return True, job.terminal_phase or (
            wire_names.ABORTED if job.dependency_cancelled else None
        )

    async def _read_phase(self, job_id: str, walk: _DependencyWalk) -> str | None:
        """Read a job's terminal phase; None for an active job, whose dependencies are then cached.

        Raises InvalidJobError if the job was never accepted.
        """
        key = records.job_key(job_id)
        row = None
        if walk.active_jobs is not None:
            row = walk.active_jobs.get(key)
            # Nearly all that are not listed have ended; the others were accepted since.
            if row is None and (outcome := await self.read_outcome(job_id, walk.request_class)):
                return outcome.phase
        if row is None:
            row = await self.context.state_store.get(key, walk.request_class)
        if row is None:
            outcome = await self.read_outcome(job_id, walk.request_class)
            if outcome is None:
                raise InvalidJobError(f"awaits: {job_id} was never accepted")
            return outcome.phase
        if job_id not in self.job_cache.dependencies:
            self.job_cache.remember_accepted(
                await self.read_dependencies(records.decode_job(row.value), walk.request_class)
            )
        return None

    async def read_outcome(
        self, job_id: str, request_class: RequestClass
    ) -> TerminalOutcome | None:
        """Read and cache the outcome of a job; None if it has none."""
        row = await self.context.state_store.get(records.outcome_key(job_id), request_class)
        if row is None:
            return None
        phase, spec = records.decode_outcome(row.value)
        self.job_cache.remember_outcome(job_id, phase, spec.task_count, records.ended_at(row.value))
        return self.job_cache.terminal_outcomes[job_id]

    async def read_status(
        self, job_id: str, request_class: RequestClass = RequestClass.USER
    ) -> JobStatus | None:
        """Return a job's status by a consistent read; None if the job was never accepted."""
        row = await self.context.state_store.get(records.job_key(job_id), request_class)
        if row is None:
            outcome = await self.read_outcome(job_id, request_class)
            return None if outcome is None else outcome.status(job_id)
        spec = await self.read_dependencies(records.decode_job(row.value), request_class)
        self.job_cache.remember_accepted(spec)
        try:
            cancelled = spec.depends_on is not None and await self.depends_on_cancelled(
                spec.depends_on, request_class=request_class
            )
        except InvalidJobError as error:
            raise UnansweredError(str(error)) from None
        return JobStatus.with_progress(
            job_id, wire_names.ABORTED if cancelled else wire_names.QUEUED
        )
