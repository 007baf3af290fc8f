"""Phase of a zone: a pure state machine over the numbers of its machines by state."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from salthead.policy import ZonePolicy

# Hysteresis: a suspicion ends when the share of silent machines is below this fraction of the share
# at which it began.
SUSPICION_CLEAR_SHARE = 0.5
# A recovering zone is declared lost again only if at least this many machines are silent.
MIN_RELAPSE_SILENT = 2
# Decayed losses below this count as none.
MIN_PENALTY = 0.05


class ZonePhase(enum.StrEnum):
    """Availability of a zone."""

    AVAILABLE = "available"
    SUSPECTED = "suspected"  # many machines are silent but may still run their tasks
    LOST = "lost"  # enough leases have expired, or a recovering zone is silent again
    RECOVERING = "recovering"  # heartbeats arrive again, and new work is admitted step by step


# Phases in which a zone gets no new work, or only as far as its slow start permits.
OUT_OF_SERVICE = (ZonePhase.LOST, ZonePhase.RECOVERING)


@dataclass(frozen=True, slots=True)
class ZoneHealth:
    """Numbers of a zone's machines by state, at one moment."""

    machines: int  # up, or with a recently expired lease
    silent: int  # without a recent heartbeat
    expired: int  # with a lease that has certainly expired
    # A controller on the zone's side of a partition renews its leases, so the tasks run on.
    delegated: bool = False

    @property
    def reporting(self) -> int:
        """Return the number of machines with a recent heartbeat."""
        return self.machines - self.silent

    def share(self, count: int) -> float:
        """Return a count as a share of all machines; 0 if there are none."""
        return count / self.machines if self.machines else 0.0


class ZoneState:
    """Phase of one zone, with its start time and reason, and the zone's earlier losses."""

    def __init__(self, policy: ZonePolicy, now: float) -> None:
        self.policy = policy
        self.phase = ZonePhase.AVAILABLE
        self.since = now
        self.reason = ""
        self.losses = 0.0  # earlier losses, decayed up to ``losses_at``
        self.losses_at = now
        # Since when enough machines of a lost zone have sent heartbeats.
        self.reporting_since: float | None = None

    def decayed_losses(self, now: float) -> float:
        """Return the number of earlier losses, decayed with the policy's half-life."""
        elapsed = max(0.0, now - self.losses_at)
        losses = float(self.losses * 0.5 ** (elapsed / self.policy.penalty_half_life_s))
        return losses if losses >= MIN_PENALTY else 0.0

    def return_after_s(self, now: float) -> float:
        """Return how long a lost zone must report before it recovers; recent losses double it."""
        repeated_losses = max(0.0, self.decayed_losses(now) - 1.0)
        backoff_s = self.policy.return_after_s * 2.0**repeated_losses
        return float(min(self.policy.max_return_after_s, backoff_s))

    def enter(self, phase: ZonePhase, reason: str, now: float) -> None:
        """Change the phase; a loss delays later recoveries."""
        if phase is ZonePhase.LOST:
            self.losses = self.decayed_losses(now) + 1.0
            self.losses_at = now
        self.phase, self.since, self.reason = phase, now, reason
        self.reporting_since = None

    def observe(self, health: ZoneHealth, now: float) -> bool:
        """Update the phase by the zone's health; return whether it has changed."""
        before = self.phase
        if before is ZonePhase.LOST:
            self._check_for_recovery(health, now)
        elif before is ZonePhase.RECOVERING:
            self._check_for_relapse(health, now)
        else:
            self._check_for_loss(health, now)
        return self.phase is not before

    def _check_for_loss(self, health: ZoneHealth, now: float) -> None:
        policy = self.policy
        enough_silent = health.silent >= policy.min_machines
        if (
            enough_silent
            and not health.delegated
            and health.expired >= policy.min_machines
            and health.share(health.expired) >= policy.lost_share
        ):
            reason = f"{health.expired} of {health.machines} leases have ended"
            self.enter(ZonePhase.LOST, reason, now)
        elif self.phase is ZonePhase.AVAILABLE:
            if enough_silent and health.share(health.silent) >= policy.suspect_share:
                reason = f"{health.silent} of {health.machines} machines are unheard"
                self.enter(ZonePhase.SUSPECTED, reason, now)
        elif (
            not enough_silent
            or health.share(health.silent) < SUSPICION_CLEAR_SHARE * policy.suspect_share
        ):
            self.enter(ZonePhase.AVAILABLE, "", now)

    def _check_for_recovery(self, health: ZoneHealth, now: float) -> None:
        reporting = health.reporting
        # Machines with an expired lease may have been terminated, so the share is of the machines
        # that are present or report again.
        present = max(reporting, health.machines - health.expired)
        if reporting == 0 or reporting < self.policy.return_share * present:
            self.reporting_since = None
        elif self.reporting_since is None:
            self.reporting_since = now
        elif now - self.reporting_since >= self.return_after_s(now):
            self.enter(ZonePhase.RECOVERING, f"{reporting} machines are heard again", now)

    def _check_for_relapse(self, health: ZoneHealth, now: float) -> None:
        present = health.machines - health.expired
        silent = max(0, present - health.reporting)
        lost_again = (
            present > 0
            and silent >= MIN_RELAPSE_SILENT
            and silent >= self.policy.suspect_share * present
        )
        if lost_again or health.reporting == 0:
            self.enter(ZonePhase.LOST, f"{silent} of {present} machines are unheard again", now)
