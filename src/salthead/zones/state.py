"""The state of one zone, a pure state machine over counts of its machines."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from salthead.policy import ZonePolicy

# A suspicion ends at this part of the share at which it begins, so that it does not come and go.
SUSPICION_CLEAR_SHARE = 0.5
# A penalty below this part of one loss is none.
MIN_PENALTY = 0.05


class ZonePhase(enum.StrEnum):
    """What is thought of a zone."""

    AVAILABLE = "available"
    SUSPECTED = "suspected"  # many machines are unheard, and may yet run what they were given
    LOST = "lost"  # their leases have ended, and with them what ran there
    RECOVERING = "recovering"  # they are heard again, and get new work step by step


@dataclass(frozen=True, slots=True)
class ZoneHealth:
    """What is known of a zone's machines at one moment."""

    machines: int  # that are up, or whose lease ended lately
    unheard: int
    expired: int  # whose lease has surely ended
    # A controller behind a cut keeps the leases there, so what runs there runs on
    kept: bool = False

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
        self.recovering_since: float | None = None  # since when a lost zone is heard well enough

    def remembered_losses(self, now: float) -> float:
        """Earlier losses, each of which counts half after the policy's half-life."""
        passed = max(0.0, now - self.losses_at)
        found = float(self.losses * 0.5 ** (passed / self.policy.penalty_half_life_s))
        return found if found >= MIN_PENALTY else 0.0

    def return_after_s(self, now: float) -> float:
        """For how long a lost zone has to be heard: longer the more often it was lost lately."""
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

    def observe(self, evidence: ZoneHealth, now: float) -> bool:
        """Take new evidence in; whether the phase has changed."""
        before = self.phase
        if before is ZonePhase.LOST:
            self._look_for_return(evidence, now)
        elif before is ZonePhase.RECOVERING:
            self._look_for_relapse(evidence, now)
        else:
            self._look_for_loss(evidence, now)
        return self.phase is not before

    def _look_for_loss(self, evidence: ZoneHealth, now: float) -> None:
        policy = self.policy
        enough = evidence.unheard >= policy.min_machines
        if (
            enough
            and not evidence.kept
            and evidence.expired >= policy.min_machines
            and evidence.share(evidence.expired) >= policy.lost_share
        ):
            reason = f"{evidence.expired} of {evidence.machines} leases have ended"
            self.enter(ZonePhase.LOST, reason, now)
        elif self.phase is ZonePhase.AVAILABLE:
            if enough and evidence.share(evidence.unheard) >= policy.suspect_share:
                reason = f"{evidence.unheard} of {evidence.machines} machines are unheard"
                self.enter(ZonePhase.SUSPECTED, reason, now)
        elif (
            not enough
            or evidence.share(evidence.unheard) < SUSPICION_CLEAR_SHARE * policy.suspect_share
        ):
            self.enter(ZonePhase.AVAILABLE, "", now)

    def _look_for_return(self, evidence: ZoneHealth, now: float) -> None:
        heard = evidence.machines - evidence.unheard
        # Of machines that were returned only the ends of their leases are known, so what has to be
        # heard is a share of those that are there or came back.
        there = max(heard, evidence.machines - evidence.expired)
        if heard == 0 or heard < self.policy.return_share * there:
            self.recovering_since = None
        elif self.recovering_since is None:
            self.recovering_since = now
        elif now - self.recovering_since >= self.return_after_s(now):
            self.enter(ZonePhase.RECOVERING, f"{heard} machines are heard again", now)

    def _look_for_relapse(self, evidence: ZoneHealth, now: float) -> None:
        there = evidence.machines - evidence.expired
        heard = evidence.machines - evidence.unheard
        unheard = max(0, there - heard)
        lost_again = there > 0 and unheard >= 2 and unheard >= self.policy.suspect_share * there
        if lost_again or heard == 0:
            self.enter(ZonePhase.LOST, f"{unheard} of {there} machines are unheard again", now)
