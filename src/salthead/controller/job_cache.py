"""What a controller remembers of jobs: facts that never change, so that no read is needed."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from salthead.protocol import wire_names
from salthead.protocol.messages import JobStatus, Submission

MAX_REMEMBERED_OUTCOMES = 20_000  # and as many accepted jobs


class TerminalOutcome(NamedTuple):
    """How a job ended."""

    phase: str
    task_count: int
    at: float | None  # time of day at which it ended, if that is known

    def status(self, job_id: str) -> JobStatus:
        """What users are told of the job."""
        done = self.task_count if self.phase == wire_names.DONE else 0
        return JobStatus(job_id, self.phase, done, 0)


class JobCache:
    """Terminal outcomes and accepted jobs that this controller has seen; the oldest go first."""

    def __init__(self) -> None:
        self.terminal_outcomes: OrderedDict[str, TerminalOutcome] = OrderedDict()
        # What accepted jobs directly depend on.
        self.dependencies: OrderedDict[str, list[str]] = OrderedDict()

    def remember_outcome(
        self, job_id: str, phase: str, task_count: int, at: float | None = None
    ) -> None:
        """Remember how a job ended; a time that is known is not replaced by an unknown one."""
        if at is not None or job_id not in self.terminal_outcomes:
            self.terminal_outcomes[job_id] = TerminalOutcome(phase, task_count, at)
        if len(self.terminal_outcomes) > MAX_REMEMBERED_OUTCOMES:
            self.terminal_outcomes.popitem(last=False)

    def remember_accepted(self, submission: Submission) -> None:
        """Remember that a job was accepted, and what it directly depends on."""
        self.dependencies[submission.job_id] = submission.depends_on or []
        if len(self.dependencies) > MAX_REMEMBERED_OUTCOMES:
            self.dependencies.popitem(last=False)
