"""The final state of a job, which never changes once it is durable."""

from __future__ import annotations

from typing import NamedTuple

from salthead.protocol import wire_names
from salthead.protocol.messages import JobStatus


class TerminalOutcome(NamedTuple):
    """The final phase of a job, its size, and when it ended."""

    phase: str
    task_count: int
    ended_at: float | None  # Unix time, if known

    def status(self, job_id: str) -> JobStatus:
        """Return the status that users see."""
        done = self.task_count if self.phase == wire_names.DONE else 0
        return JobStatus(job_id, self.phase, done, 0)
