"""The jobs that ended in one term, which no record that was read before their end may add again."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from salthead.cluster.machine_registry import REMEMBERED_FLEET_SIZES, MachineRegistry
from salthead.cluster.resources import Resources

# Minimum number of ended jobs whose team and request are remembered, for their orphan tasks.
# A larger fleet raises it.
MIN_REMEMBERED_JOBS = 5000


class EndedJob(NamedTuple):
    """What is remembered of an ended job."""

    team: int  # negative if it is unknown
    request: Resources
    number: int  # counts the ended jobs of the term


class EndedJobs:
    """The jobs that ended last; the oldest are evicted first.

    A job is not evicted while a read of records is in progress that began before the job ended: the
    answer may still show the job as active, however late it arrives. A read that begins after the
    outcome is durable can't show it.
    """

    def __init__(self, registry: MachineRegistry) -> None:
        self.registry = registry
        self._jobs: dict[str, EndedJob] = {}
        self._count = 0
        # By read in progress, the oldest first: the number of the last job that had ended before.
        self._reads: dict[object, int] = {}

    def __contains__(self, job_id: str) -> bool:
        """Return whether the job has ended and is remembered."""
        return job_id in self._jobs

    def __len__(self) -> int:
        """Return the number of remembered jobs."""
        return len(self._jobs)

    def get(self, job_id: str) -> EndedJob | None:
        """Return what is remembered of an ended job, or None."""
        return self._jobs.get(job_id)

    def add(self, job_id: str, team: int, request: Resources) -> None:
        """Remember an ended job; a later call replaces its team and request."""
        known = self._jobs.get(job_id)
        if known is None:
            self._count += 1
        self._jobs[job_id] = EndedJob(team, request, known.number if known else self._count)
        self._evict()

    @contextmanager
    def kept_during_read(self) -> Iterator[None]:
        """Keep the jobs that end before the block does, in which records are read and applied."""
        read = object()
        self._reads[read] = self._count
        try:
            yield
        finally:
            del self._reads[read]
            self._evict()

    def _evict(self) -> None:
        largest_fleet = self.registry.largest_fleet
        max_remembered = max(MIN_REMEMBERED_JOBS, REMEMBERED_FLEET_SIZES * largest_fleet)
        oldest_read = next(iter(self._reads.values()), self._count)
        while len(self._jobs) > max_remembered:
            job_id, job = next(iter(self._jobs.items()))
            if job.number > oldest_read:
                return
            del self._jobs[job_id]
