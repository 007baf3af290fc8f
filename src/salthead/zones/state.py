"""The phase of one zone: a pure state machine over counts of its machines."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from salthead.policy import ZonePolicy

# A suspicion ends at this part of the share at which it begins, so that it does not come and go.
SUSPICION_CLEAR_SHARE = 0.5
# A recovering zone is not lost again for fewer silent machines than these.
MIN_SILENT_AGAIN = 2
# Earlier losses that count for less than this part of one are forgotten.
MIN_PENALTY = 0.05


class ZonePhase(enum.StrEnum):
    """How a zone is judged."""

    AVAILABLE = "available"
    SUSPECTED = "suspected"  # many machines are silent, and may still run their tasks
    LOST = "lost"  # their leases have ended, and with them all tasks there
    RECOVERING = "recovering"  # heartbeats arrive again, and new work is admitted step by step


# Phases in which a zone gets no new work, or not all that it has room for.
OUT_OF_SERVICE = (ZonePhase.LOST, ZonePhase.RECOVERING)


@dataclass(frozen=True, slots=True)
class ZoneHealth:
    """What is known of a zone's machines at one moment."""

    machines: int  # that are up, or whose lease ended lately
    silent: int  # of which no heartbeat has arrived lately
    expired: int  # whose lease has certainly ended
    # A controller behind a cut renews the leases there, so the tasks there run on.
    delegated: bool = False

    @property
    def heard(self) -> int:
        """How many machines have sent a heartbeat lately."""
        return self.machines - self.silent

    def share(self, count: int) -> float:
        """A count as a share of all machines; 0 where there is none."""
        return count / self.machines if self.machines else 0.0


class ZoneState:
    """The phase of one zone, since when and why, and how it was lost before."""

    def __init__(self, policy: ZonePolicy, now: float) -> None:
        self.policy = policy
        self.phase = ZonePhase.AVAILABLE
        self.since = now
        self.reason = ""
        self.losses = 0.0  # earlier losses, as they are remembered at ``losses_at``
        self.losses_at = now
        # Since when enough machines of a lost zone have been heard.
        self.recovering_since: float | None = None

    def remembered_losses(self, now: float) -> float:
        """Earlier losses, each of which counts half after the policy's half-life."""
        passed = max(0.0, now - self.losses_at)
        found = float(self.losses * 0.5 ** (passed / self.policy.penalty_half_life_s))
        return found if found >= MIN_PENALTY else 0.0

    def return_after_s(self, now: float) -> float:
        """For how long heartbeats have to arrive from a lost zone: longer for each recent loss."""
        again = max(0.0, self.remembered_losses(now) - 1.0)
        wanted = self.policy.return_after_s * 2.0**again
        return float(min(self.policy.max_return_after_s, wanted))

    def enter(self, phase: ZonePhase, reason: str, now: float) -> None:
        """Change the phase. A loss is remembered for what it does to later returns."""
        if phase is ZonePhase.LOST:
            self.losses = self.remembered_losses(now) + 1.0
            self.losses_at = now
        self.phase, self.since, self.reason = phase, now, reason
        self.recovering_since = None

    def observe(self, health: ZoneHealth, now: float) -> bool:
        """Judge the zone anew; whether its phase has changed."""
        before = self.phase
        if before is ZonePhase.LOST:
            self._check_for_return(health, now)
        elif before is ZonePhase.RECOVERING:
            self._check_for_relapse(health, now)
        else:
            self._check_for_loss(health, now)
        return self.phase is not before

    def _check_for_loss(self, health: ZoneHealth, now: float) -> None:
        policy = self.policy
        enough = health.silent >= policy.min_machines
        if (
            enough
            and not health.delegated
            and health.expired >= policy.min_machines
            and health.share(health.expired) >= policy.lost_share
        ):
            reason = f"{health.expired} of {health.machines} leases have ended"
            self.enter(ZonePhase.LOST, reason, now)
        elif self.phase is ZonePhase.AVAILABLE:
            if enough and health.share(health.silent) >= policy.suspect_share:
                reason = f"{health.silent} of {health.machines} machines are unheard"
                self.enter(ZonePhase.SUSPECTED, reason, now)
        elif (
            not enough or health.share(health.silent) < SUSPICION_CLEAR_SHARE * policy.suspect_share
        ):
            self.enter(ZonePhase.AVAILABLE, "", now)

    def _check_for_return(self, health: ZoneHealth, now: float) -> None:
        heard = health.heard
        # Of terminated machines only the ends of their leases are known, so what has to be heard is
        # a share of the machines that are there or came back.
        present = max(heard, health.machines - health.expired)
        if heard == 0 or heard < self.policy.return_share * present:
            self.recovering_since = None
        elif self.recovering_since is None:
            self.recovering_since = now
        elif now - self.recovering_since >= self.return_after_s(now):
            self.enter(ZonePhase.RECOVERING, f"{heard} machines are heard again", now)

    def _check_for_relapse(self, health: ZoneHealth, now: float) -> None:
        present = health.machines - health.expired
        silent = max(0, present - health.heard)
        lost_again = (
            present > 0
            and silent >= MIN_SILENT_AGAIN
            and silent >= self.policy.suspect_share * present
        )
        if lost_again or health.heard == 0:
            self.enter(ZonePhase.LOST, f"{silent} of {present} machines are unheard again", now)
