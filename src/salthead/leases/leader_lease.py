"""Lease arithmetic. Every bound here errs on the side of the other party's clock."""

from __future__ import annotations

import math

# The steady clocks of two machines drift apart by up to 0.05%; twice that is assumed.
DRIFT = 0.001
# A worker counts from the sending of a heartbeat, which is never after its receipt; the
# slack covers timers that fire late on its side.
SLACK_S = 0.5


def leader_ttl(lease_s: float) -> float:
    """Length of the leader's lease.

    A worker's lease has to outlive: the rest of a dead leader's lease (up to the ttl and
    0.1 s), an election, one 4 s time-out or a few refused tries of 1 s, and a heartbeat. A
    third of the worker's lease leaves two thirds for these.
    """
    return max(0.5, lease_s / 3.0)


def valid_until(sent: float, ttl: float) -> float:
    """How long a holder may act on a lease renewed by a request sent at ``sent``."""
    return sent + ttl * (1.0 - DRIFT) - min(0.1, ttl * 0.05)


def certainly_expired_at(answered: float, lease_s: float) -> float:
    """When a worker whose last answered heartbeat came at ``answered`` has no tasks any more."""
    return answered + lease_s * (1.0 + DRIFT) + SLACK_S


def unloaded_grace_s(lease_s: float, cancel_s: float) -> float:
    """For how long a new leader that has not read the jobs yet may answer heartbeats.

    A cancellation may have been confirmed just before the last leader ended, its tasks not yet
    stopped. A worker that is still alive was answered by that leader no longer than one lease
    before this one began; what it is answered here keeps its tasks for one more lease.
    """
    return cancel_s - certainly_expired_at(0.0, lease_s) * 2.0


def stickiness_s(ttl: float) -> float:
    """How long one promise of a peer not to stand lasts; it is renewed several times in this."""
    return 0.6 * ttl


class LeaseClock:
    """The leader's own view of how long it may act, counted from the sending of its requests.

    It may act on its lease in the state service. While that service is down for every controller,
    it may also act on promises of all its peers not to stand. These have to follow on the lease
    without a gap: in a gap a peer may have stood, so after one only the lease itself counts.
    """

    def __init__(self, ttl: float) -> None:
        self.ttl = ttl
        self.until = -math.inf
        self.votes_withheld_until = -math.inf

    def renewed(self, sent: float) -> None:
        """The lease was renewed by a request sent then."""
        self.until = max(self.until, valid_until(sent, self.ttl))

    def votes_withheld_by_all(self, sent: float, now: float) -> bool:
        """All peers promised on a request sent at ``sent``; whether that counts."""
        if not self.valid(now):
            return False
        self.votes_withheld_until = max(
            self.votes_withheld_until, valid_until(sent, stickiness_s(self.ttl))
        )
        return True

    def valid(self, now: float) -> bool:
        """Whether the holder may act, by its lease or by the peers' promises."""
        return now < self.until or now < self.votes_withheld_until

    def drop(self) -> None:
        """The holder may not act any more."""
        self.until = self.votes_withheld_until = -math.inf


class LeaderStickiness:
    """When a controller may not stand for leader, by its own promises and by those it may
    forget."""

    def __init__(self, ttl: float, started: float) -> None:
        self.length = stickiness_s(ttl) * (1.0 + DRIFT) + 0.1
        # An earlier process of this member may have promised just before it ended.
        self.until = started + self.length
        self.withheld_until = -math.inf
        # A request to take the lead that had no answer may still be carried out.
        self.indeterminate = False

    def withhold_vote(self, now: float) -> bool:
        """Promise not to stand for a while; whether that was possible."""
        if self.indeterminate:
            return False
        self.withheld_until = max(self.withheld_until, now + self.length)
        return True

    def may_campaign(self, now: float, own_key: bool, first_ever: bool) -> bool:
        """``own_key``: the leader was this very member, whose process has ended, so nobody acts
        on promises. ``first_ever``: no leader was there before who could."""
        if now < self.withheld_until:
            return False
        return own_key or first_ever or now >= self.until
