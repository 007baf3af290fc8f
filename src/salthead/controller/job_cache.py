"""Cache of immutable facts about jobs, so that no read is needed."""

from __future__ import annotations

from collections import OrderedDict

from salthead.protocol.messages import Submission
from salthead.protocol.terminal_outcome import TerminalOutcome

MAX_REMEMBERED_OUTCOMES = 20_000  # also the limit of remembered accepted jobs


class JobCache:
    """Terminal outcomes and dependencies of accepted jobs; the oldest entries are evicted first."""

    def __init__(self) -> None:
        self.terminal_outcomes: OrderedDict[str, TerminalOutcome] = OrderedDict()
        # Direct dependencies of accepted jobs.
        self.dependencies: OrderedDict[str, list[str]] = OrderedDict()

    def remember_outcome(
        self, job_id: str, phase: str, task_count: int, at: float | None = None
    ) -> None:
        """Remember a job's outcome; one without a time does not replace an earlier one."""
        if at is not None or job_id not in self.terminal_outcomes:
            self.terminal_outcomes[job_id] = TerminalOutcome(phase, task_count, at)
        if len(self.terminal_outcomes) > MAX_REMEMBERED_OUTCOMES:
            self.terminal_outcomes.popitem(last=False)

    def remember_accepted(self, submission: Submission) -> None:
        """Remember that a job was accepted, and its direct dependencies."""
        self.dependencies[submission.job_id] = submission.depends_on or []
        if len(self.dependencies) > MAX_REMEMBERED_OUTCOMES:
            self.dependencies.popitem(last=False)
