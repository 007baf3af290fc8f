"""Outcomes that were sent to the state service and may be durable without this leader knowing.

A write without an answer may have been executed, or may be executed later in the term. The phase
that is sent for a job can change between two writes of its outcome, since a cancelled job may turn
out to be complete. Every phase that was sent may then be the durable one, not only the last.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Set

from salthead import metrics
from salthead.protocol import wire_names

TERMINAL_PHASES = (wire_names.DONE, wire_names.ABORTED)


class IndeterminateOutcomes:
    """The phases that may be durable, by job, until the outcome of the job is known."""

    def __init__(self) -> None:
        # By job id and phase: how many writes have contained the phase and have no result.
        self._unresolved_writes: dict[str, Counter[str]] = {}
        self._possibly_aborted: set[str] = set()

    def __contains__(self, job_id: str) -> bool:
        """Return whether the job may have a durable outcome."""
        return job_id in self._unresolved_writes

    def __len__(self) -> int:
        """Return the number of jobs that may have a durable outcome."""
        return len(self._unresolved_writes)

    @property
    def possibly_aborted(self) -> Set[str]:
        """The ids of the jobs that may have been durably aborted."""
        return self._possibly_aborted

    def phases(self, job_id: str) -> list[str]:
        """Return the phases that may be durable, in the order in which they were first sent."""
        return list(self._unresolved_writes.get(job_id, ()))

    def add_write(self, phases: Mapping[str, str]) -> None:
        """Record that a write is sent; ``phases`` has the phase of each job in it."""
        for job_id, phase in phases.items():
            self._unresolved_writes.setdefault(job_id, Counter())[phase] += 1
            self._update(job_id)

    def remove_write(self, phases: Mapping[str, str]) -> None:
        """Record that a write that was added was not executed and never will be."""
        for job_id, phase in phases.items():
            writes = self._unresolved_writes.get(job_id)
            if writes is None:
                continue
            writes[phase] -= 1
            if writes[phase] <= 0:
                del writes[phase]
            self._update(job_id)

    def add_unread_outcome(self, job_id: str) -> None:
        """Record that a job has a durable outcome whose phase has not been read."""
        if job_id not in self:
            for phase in TERMINAL_PHASES:
                self.add_write({job_id: phase})

    def remove_job(self, job_id: str) -> None:
        """Record that the outcome of a job is known."""
        self._unresolved_writes.pop(job_id, None)
        self._update(job_id)

    def _update(self, job_id: str) -> None:
        """Update what is derived from the writes of one job."""
        writes = self._unresolved_writes.get(job_id)
        if not writes:
            self._unresolved_writes.pop(job_id, None)
        if writes and wire_names.ABORTED in writes:
            self._possibly_aborted.add(job_id)
        else:
            self._possibly_aborted.discard(job_id)
        metrics.INDETERMINATE_OUTCOMES.set(len(self._unresolved_writes))
