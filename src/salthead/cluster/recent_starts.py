"""Starts that were sent to a machine so recently that a copy may still reach its worker."""

from __future__ import annotations

from salthead.leases.leader_lease import MAX_CLOCK_DRIFT, WORKER_TIMER_SLACK_S

# A worker drops an answer that arrives later than this after it sent the heartbeat.
WORKER_ANSWER_TIMEOUT_S = 4.0
# By the leader's clock, counted from when it composed the answer.
MAX_IN_TRANSIT_S = WORKER_ANSWER_TIMEOUT_S * (1.0 + MAX_CLOCK_DRIFT) + WORKER_TIMER_SLACK_S

TaskKey = tuple[str, int]  # job and task number


class RecentStarts:
    """The latest starts in answers to one machine, for as long as a copy may be executed.

    A copy has no effect while the worker knows the attempt, exited or not. After a reap it would
    run the task again, perhaps while the task runs on another machine.
    """

    __slots__ = ("_starts",)

    def __init__(self) -> None:
        # By task: the attempt, and when it was sent last. The earliest comes first.
        self._starts: dict[TaskKey, tuple[int, float]] = {}

    def record(self, task: TaskKey, attempt: int, now: float) -> None:
        """Record that an answer with this start is sent."""
        self._starts.pop(task, None)
        self._starts[task] = attempt, now

    def may_be_copied(self, task: TaskKey, attempt: int, now: float) -> bool:
        """Return whether a copy of this attempt's start may still be executed."""
        return self._attempt(task, now) == attempt

    def other_may_be_copied(self, task: TaskKey, attempt: int, now: float) -> bool:
        """Return whether a copy of the start of another attempt may still be executed."""
        return self._attempt(task, now) not in (None, attempt)

    def _attempt(self, task: TaskKey, now: float) -> int | None:
        self._drop_old(now)
        start = self._starts.get(task)
        return None if start is None else start[0]

    def _drop_old(self, now: float) -> None:
        while self._starts:
            task, (_, sent_at) = next(iter(self._starts.items()))
            if now - sent_at <= MAX_IN_TRANSIT_S:
                return
            del self._starts[task]
