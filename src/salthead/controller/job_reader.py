"""What a controller reads of jobs in the state service, for answers that its memory can't give."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

import msgspec

from salthead.controller.context import ControllerContext
from salthead.controller.job_cache import JobCache, TerminalOutcome
from salthead.controller.leader_view import LeaderView
from salthead.errors import InvalidJobError, UnavailableError
from salthead.protocol import wire_names
from salthead.protocol.messages import JobStatus, Submission
from salthead.state_store import records
from salthead.state_store.client import VersionedValue
from salthead.transport.client import UnansweredError

# Single reads in a walk over what a job depends on, before all active jobs are read at once.
MAX_SINGLE_READS = 12


@dataclass
class _WalkReads:
    """What one walk over dependencies has read."""

    count: int = 0
    active: dict[str, VersionedValue] | None = None  # all active jobs, once they are read


class JobReader:
    """Consistent reads of one controller."""

    def __init__(
        self, context: ControllerContext, leader_view: LeaderView, job_cache: JobCache
    ) -> None:
        self.context = context
        self.leader_view = leader_view
        self.job_cache = job_cache

    async def whole(self, spec: Submission) -> Submission:
        """A job with all its dependencies, where its record is continued in further values."""
        depends_on = list(spec.depends_on or [])
        for number in range(spec.more):
            row = await self.context.state_store.get(records.dependencies_key(spec.job_id, number))
            if row is None:
                raise UnansweredError("job record: a part is missing")
            depends_on += records.dependencies_from(row.value)
        return msgspec.structs.replace(spec, depends_on=depends_on or None)

    async def depends_on_cancelled(
        self,
        depends_on: list[str],
        end: float = math.inf,
        every: bool = False,
    ) -> bool:
        """Whether one of these jobs, or any that they depend on, was cancelled.

        ``every``: each of them has to have been accepted, also beside one that was cancelled.
        Seen on troubles, prairie-ledger-next: the first was cancelled, and the next, which nobody
        had submitted, was not looked up.

        The durable outcome of the cancelled one decides; it needs no leader to be told. A job
        whose own outcome is known needs no look at what it depends on. Raises InvalidJobError if
        one of them was never accepted, and UnavailableError if that is not known by ``end``.
        """
        named, seen, pending = set(depends_on), set(depends_on), deque(depends_on)
        reads = _WalkReads()
        cancelled = False
        while pending:
            job_id = pending.popleft()
            if cancelled and job_id not in named:
                break  # those that are named come first
            if self.context.now() > end:
                raise UnavailableError("still looking up the jobs that it awaits")
            phase = await self._dependency_phase(job_id, reads)
            if phase == wire_names.ABORTED:
                if not every:
                    return True
                cancelled = True
            if phase is None:
                for dependency in self.job_cache.dependencies.get(job_id, ()):
                    if dependency not in seen:
                        seen.add(dependency)
                        pending.append(dependency)
        return cancelled

    async def _dependency_phase(self, job_id: str, reads: _WalkReads) -> str | None:
        """The terminal phase of a job that another depends on; None while it has none."""
        known, phase = self._in_memory(job_id)
        if known:
            return phase
        if reads.count == MAX_SINGLE_READS:  # deep or wide: all active jobs at once
            reads.active, _ = await self.context.state_store.list_prefix(records.JOBS)
        reads.count += 1
        row = reads.active.get(records.job_key(job_id)) if reads.active is not None else None
        return await self.look_up(job_id, row)

    def _in_memory(self, job_id: str) -> tuple[bool, str | None]:
        """Whether this controller knows the job's terminal phase, or that it has none; and that
        phase."""
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

    async def look_up(self, job_id: str, row: VersionedValue | None) -> str | None:
        """A job's terminal phase, or None when it is active and its dependencies are known."""
        if row is None:
            if (ended := await self.ended(job_id)) is not None:
                return ended.phase
            if job_id in self.job_cache.dependencies:
                return None
            row = await self.context.state_store.get(records.job_key(job_id))
        if row is None:  # it has ended since, or was never accepted
            if (ended := await self.ended(job_id)) is not None:
                return ended.phase
            raise InvalidJobError(f"awaits: {job_id} was never accepted")
        if job_id not in self.job_cache.dependencies:
            self.job_cache.remember_accepted(await self.whole(records.job_from(row.value)))
        return None

    async def ended(self, job_id: str) -> TerminalOutcome | None:
        """The outcome of a job, if it has one."""
        row = await self.context.state_store.get(records.outcome_key(job_id))
        if row is None:
            return None
        phase, spec = records.outcome_from(row.value)
        self.job_cache.remember_outcome(job_id, phase, spec.task_count, records.ended_at(row.value))
        return self.job_cache.terminal_outcomes[job_id]

    async def read(self, job_id: str) -> JobStatus | None:
        """A job's status by a consistent read; None when it was never accepted."""
        row = await self.context.state_store.get(records.job_key(job_id))
        if row is None:
            outcome = await self.ended(job_id)
            return None if outcome is None else outcome.status(job_id)
        spec = await self.whole(records.job_from(row.value))
        self.job_cache.remember_accepted(spec)
        try:
            cancelled = spec.depends_on is not None and await self.depends_on_cancelled(
                spec.depends_on
            )
        except InvalidJobError as error:
            raise UnansweredError(str(error)) from None
        return JobStatus.with_progress(
            job_id, wire_names.ABORTED if cancelled else wire_names.QUEUED
        )
