"""Slow start of a recovering zone: a growing share of its machines gets new work."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from pyroaring import BitMap

from salthead.policy import ZonePolicy
from salthead.zones.start_times import StartTimes, slow_classes

# Relative jitter of a step's length, so that zones which recover together do not grow in lockstep.
JITTER = 0.2
# A larger share of failed tasks than this delays the next step.
MAX_FAILED_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class Progress:
    """Pending starts on the open machines of a zone: those that may get new work."""

    pending: int  # tasks that were placed on open machines and have not started yet
    oldest_pending_age_s: float


class SlowStart:
    """Slow start of one zone, from its first step to its last."""

    def __init__(self, policy: ZonePolicy, zone: int, rng: random.Random, now: float) -> None:
        self.policy = policy
        self.zone = zone
        self.rng = rng
        self.step = 0
        self.open_machines = BitMap()  # machines that may get new work
        self.held_back_by = ""
        self._begin_step(now)

    def _begin_step(self, now: float) -> None:
        self.step_since = now
        self.step_until = now + self.policy.step_s * self.rng.uniform(1.0 - JITTER, 1.0 + JITTER)
        self.started = 0
        self.failed = 0
        self.recent = StartTimes()

    @property
    def complete(self) -> bool:
        """Return whether the last step is over."""
        return self.step >= len(self.policy.steps)

    @property
    def share(self) -> float:
        """Return the share of the zone's machines that may get new work."""
        return 1.0 if self.complete else self.policy.steps[self.step]

    def record_start(self, job_class: str, seconds: float) -> None:
        """Record that a task has started in the zone, with the time from its placement."""
        self.started += 1
        self.recent.add(self.zone, job_class, seconds)

    def record_failure(self) -> None:
        """Count a task that failed on a machine of the zone."""
        self.failed += 1

    def advance(self, progress: Progress, baseline: StartTimes, now: float) -> bool:
        """Go to the next step if it is due and tasks start well; return whether it was taken.

        A step is held back for at most the policy's ``max_hold_s``.
        """
        if now < self.step_until:
            return False
        self.held_back_by = self._reason_to_wait(progress, baseline)
        if self.held_back_by and now - self.step_since < self.policy.max_hold_s:
            return False
        self.step += 1
        self._begin_step(now)
        return True

    def _reason_to_wait(self, progress: Progress, baseline: StartTimes) -> str:
        if self.failed > MAX_FAILED_SHARE * (self.started + self.failed):
            return f"{self.failed} tasks failed"
        if slow := slow_classes(self.recent, baseline, self.zone, self.policy.slow_factor):
            return f"slow starts of {', '.join(slow)}"
        if progress.pending and not self.started:
            return f"{progress.pending} tasks have not started yet"
        if progress.oldest_pending_age_s > self.policy.slow_factor * self.policy.step_s:
            return f"a task has waited {progress.oldest_pending_age_s:.0f} s for its start"
        return ""

    def open_some(self, reporting: BitMap) -> None:
        """Open the step's share of the machines with recent heartbeats; open ones stay open."""
        target = len(reporting) if self.complete else math.ceil(self.share * len(reporting))
        self.open_machines &= reporting
        closed = reporting - self.open_machines
        count = min(target - len(self.open_machines), len(closed))
        if count > 0:
            self.open_machines.update(self.rng.sample(list(closed), count))
