"""What a controller reads of jobs in the state service, for answers that its memory can't give."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import msgspec

from salthead.errors import InvalidJobError, UnavailableError
from salthead.protocol import wire_names
from salthead.protocol.messages import JobStatus, Submission
from salthead.state_store import records
from salthead.state_store.client import VersionedValue
from salthead.transport.client import UnansweredError

if TYPE_CHECKING:
    from salthead.controller.controller import Controller

# Single reads in a walk over what a job needs, before all active jobs are read at once.
MAX_SINGLE_READS = 12


class JobReader:
    """Consistent reads of one controller."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller

    async def whole(self, spec: Submission) -> Submission:
        """A job with all that it awaits, where its record is continued in further values."""
        depends_on = list(spec.depends_on or [])
        for n in range(spec.more):
            row = await self.controller.state_store.get(records.dependencies_key(spec.job_id, n))
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
        """Whether one of these jobs, or any that they need, was cancelled.

        ``every``: each of them has to have been accepted, also beside one that was cancelled.
        Seen on troubles, prairie-ledger-next: the first was cancelled, and the next, which nobody
        had submitted, was not looked up.

        The durable outcome of the cancelled one decides; it needs no leader to be told. A job
        whose own outcome is known needs no look at what is before it. Raises InvalidJobError if
        one of them was never accepted.
        """
        seen, line = set(depends_on), deque(depends_on)
        named, cut = set(depends_on), False
        active: dict[str, VersionedValue] | None = None
        reads = 0
        while line:
            job_id = line.popleft()
            if cut and job_id not in named:
                break  # those that are named come first
            if self.controller.now() > end:
                raise UnavailableError("still looking up the jobs that it awaits")
            known, found = self._in_memory(job_id)
            if not known:
                if reads == MAX_SINGLE_READS:  # deep or wide: all jobs that are not over at once
                    active, _ = await self.controller.state_store.list_prefix(records.JOBS)
                reads += 1
                row = active.get(records.job_key(job_id)) if active is not None else None
                found = await self.look_up(job_id, row)
            if found == wire_names.ABORTED:
                if not every:
                    return True
                cut = True
            for before in self.controller.accepted.get(job_id, ()) if found is None else ():
                if before not in seen:
                    seen.add(before)
                    line.append(before)
        return cut

    def _in_memory(self, job_id: str) -> tuple[bool, str | None]:
        """Whether this controller knows the job's outcome, or that it has none; and that
        outcome."""
        if job_id in self.controller.terminal_outcomes:
            return True, self.controller.terminal_outcomes[job_id][0]
        term = self.controller.leading()
        if term is None or job_id in term.outcomes.indeterminate:
            return False, None
        job = term.ledger.jobs.get(job_id)
        if job is None:
            return False, None
        self.controller.remember_accepted(job.spec)
        return True, job.terminal_phase or (
            wire_names.ABORTED if job.dependency_cancelled else None
        )

    async def look_up(self, job_id: str, row: VersionedValue | None) -> str | None:
        """A job's outcome, or None when it is not over and what it awaits is known."""
        if row is None:
            if (ended := await self.ended(job_id)) is not None:
                return ended[0]
            if job_id in self.controller.accepted:
                return None
            row = await self.controller.state_store.get(records.job_key(job_id))
        if row is None:  # it has ended since, or was never accepted
            if (ended := await self.ended(job_id)) is not None:
                return ended[0]
            raise InvalidJobError(f"awaits: {job_id} was never accepted")
        if job_id not in self.controller.accepted:
            self.controller.remember_accepted(await self.whole(records.job_from(row.value)))
        return None

    async def ended(self, job_id: str) -> tuple[str, int, float | None] | None:
        """The outcome of a job, if it has one."""
        row = await self.controller.state_store.get(records.outcome_key(job_id))
        if row is None:
            return None
        phase, spec = records.outcome_from(row.value)
        self.controller.remember_outcome(
            job_id, phase, spec.task_count, records.ended_at(row.value)
        )
        return self.controller.terminal_outcomes[job_id]

    async def read(self, job_id: str) -> JobStatus | None:
        """A job's state by a consistent read; None when it was never accepted."""
        row = await self.controller.state_store.get(records.job_key(job_id))
        if row is not None:
            spec = await self.whole(records.job_from(row.value))
            self.controller.remember_accepted(spec)
            try:
                cut = spec.depends_on is not None and await self.depends_on_cancelled(
                    spec.depends_on
                )
            except InvalidJobError as error:
                raise UnansweredError(str(error)) from None
            return JobStatus.with_progress(job_id, wire_names.ABORTED if cut else wire_names.QUEUED)
        found = await self.ended(job_id)
        if found is None:
            return None
        phase, task_count, _ = found
        return JobStatus.with_progress(job_id, phase, task_count if phase == wire_names.DONE else 0)
