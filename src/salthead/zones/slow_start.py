"""The slow start of a recovering zone: which of its machines get new work, and when more do."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from pyroaring import BitMap

from salthead.policy import ZonePolicy
from salthead.zones.start_times import StartTimes, slow_classes

# Steps are not equally long, so that zones which recover together do not grow in lockstep.
JITTER = 0.2
# A larger share of failed starts than this delays the next step.
MAX_FAILED_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class Progress:
    """The starts that a step of the slow start still waits for."""

    pending: int  # tasks that were given to open machines and have not started yet
    oldest_pending_s: float


class SlowStart:
    """One slow start of one zone, from its first step to its last."""

    def __init__(self, policy: ZonePolicy, zone: int, rng: random.Random, now: float) -> None:
        self.policy = policy
        self.zone = zone
        self.rng = rng
        self.step = 0
        self.open = BitMap()  # machines that may get new work
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
        """Whether the last step is over, so that the zone is like any other."""
        return self.step >= len(self.policy.steps)

    @property
    def share(self) -> float:
        """The share of the zone's machines that may get new work now."""
        return 1.0 if self.complete else self.policy.steps[self.step]

    def note_start(self, job_class: str, seconds: float) -> None:
        """A task that was given to the zone has started there."""
        self.started += 1
        self.recent.add(self.zone, job_class, seconds)

    def note_failure(self) -> None:
        """A task has failed on a machine of the zone."""
        self.failed += 1

    def advance(self, progress: Progress, usual: StartTimes, now: float) -> bool:
        """Go on to the next step once tasks start well in this one; whether that was done now."""
        if now < self.step_until:
            return False
        self.held_back_by = self._reason_to_wait(progress, usual)
        if self.held_back_by and now - self.step_since < self.policy.max_hold_s:
            return False
        self.step += 1
        self._begin_step(now)
        return True

    def _reason_to_wait(self, progress: Progress, usual: StartTimes) -> str:
        if self.failed > MAX_FAILED_SHARE * (self.started + self.failed):
            return f"{self.failed} tasks failed"
        if slow := slow_classes(self.recent, usual, self.zone, self.policy.slow_factor):
            return f"slow starts of {', '.join(slow)}"
        if progress.pending and not self.started:
            return f"{progress.pending} tasks have not started yet"
        if progress.oldest_pending_s > self.policy.slow_factor * self.policy.step_s:
            return f"a task has waited {progress.oldest_pending_s:.0f} s for its start"
        return ""

    def choose(self, heard: BitMap) -> None:
        """Open as many machines as the step allows, those that are open already first."""
        wanted = len(heard) if self.complete else math.ceil(self.share * len(heard))
        self.open &= heard
        closed = heard - self.open
        missing = min(wanted - len(self.open), len(closed))
        if missing > 0:
            self.open.update(self.rng.sample(list(closed), missing))
