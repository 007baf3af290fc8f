"""Lease arithmetic of the leader and the workers.

Every bound allows for clock drift in the safe direction: the holder of a lease stops early, and
whoever waits for its end waits longer.
"""

from __future__ import annotations

import math

# Assumed drift between the monotonic clocks of two machines: twice the 0.05% that it can reach.
MAX_CLOCK_DRIFT = 0.001
# Allowance for timers that fire late on a worker. It need not cover the network: a worker counts
# its lease from the sending of a heartbeat, which is never after its receipt.
WORKER_TIMER_SLACK_S = 0.5


def leader_ttl(lease_s: float) -> float:
    """Return the length of the leader's lease in seconds, for workers' leases of ``lease_s``.

    A worker's lease has to outlast the rest of a dead leader's lease (up to the TTL and 0.1 s), an
    election, one 4 s time-out or a few refused attempts of 1 s, and a heartbeat. A TTL of a third
    of the worker's lease leaves two thirds for the rest.
    """
    return max(0.5, lease_s / 3.0)


def valid_until(sent: float, ttl: float) -> float:
    """Return until when a holder may act on a lease renewed by a request sent at ``sent``."""
    return sent + ttl * (1.0 - MAX_CLOCK_DRIFT) - min(0.1, ttl * 0.05)


def certainly_expired_at(answered: float, lease_s: float) -> float:
    """Return when a worker has certainly stopped its tasks.

    ``answered``: when the last of its heartbeats that was answered came in.
    """
    return answered + lease_s * (1.0 + MAX_CLOCK_DRIFT) + WORKER_TIMER_SLACK_S


def vote_withheld_duration_s(ttl: float) -> float:
    """Return for how long a peer withholds its vote on one request, in seconds.

    The leader repeats the request several times within this period.
    """
    return 0.6 * ttl


class LeaseClock:
    """The time until which the leader may act, counted from the sending of its requests.

    It may act on its lease in the state service. While that service is down for every controller,
    it may also act on the votes that all its peers withhold. These have to follow on the lease
    without a gap: in a gap a peer may have campaigned, so after one only the lease itself counts.
    """

    def __init__(self, ttl: float) -> None:
        self.ttl = ttl
        self.lease_valid_until = -math.inf
        self.votes_withheld_until = -math.inf

    def record_renewal(self, sent: float) -> None:
        """Extend the lease after a renewal by a request sent at ``sent``."""
        self.lease_valid_until = max(self.lease_valid_until, valid_until(sent, self.ttl))

    def extend_by_withheld_votes(self, sent: float, now: float) -> bool:
        """Extend the term by the votes that all peers withhold on a request sent at ``sent``.

        Return False, and extend nothing, if the leader may not act any more at ``now``.
        """
        if not self.valid(now):
            return False
        self.votes_withheld_until = max(
            self.votes_withheld_until, valid_until(sent, vote_withheld_duration_s(self.ttl))
        )
        return True

    def valid(self, now: float) -> bool:
        """Return whether the leader may act, on its lease or on its peers' withheld votes."""
        return now < self.lease_valid_until or now < self.votes_withheld_until

    def invalidate(self) -> None:
        """Give up the lease and the withheld votes at once."""
        self.lease_valid_until = self.votes_withheld_until = -math.inf


class LeaderStickiness:
    """The periods in which a controller withholds its vote and so may not campaign.

    They cover votes withheld by this process, and those that an earlier process of the same member
    may have withheld.
    """

    def __init__(self, ttl: float, started: float) -> None:
        self.duration_s = vote_withheld_duration_s(ttl) * (1.0 + MAX_CLOCK_DRIFT) + 0.1
        # An earlier process of this member may have withheld its vote just before it ended.
        self.earlier_withheld_until = started + self.duration_s
        self.withheld_until = -math.inf
        # A request to become the leader that got no answer may still be executed.
        self.campaign_indeterminate = False

    def withhold_vote(self, now: float) -> bool:
        """Withhold the vote for a while; return False if a campaign's outcome is not known."""
        if self.campaign_indeterminate:
            return False
        self.withheld_until = max(self.withheld_until, now + self.duration_s)
        return True

    def may_campaign(self, now: float, own_key: bool, first_ever: bool) -> bool:
        """Return whether this controller may campaign at ``now``.

        ``own_key``: the leader's key names an ended process of this very member, so that no leader
        relies on withheld votes. ``first_ever``: no leader has existed that could rely on them.
        """
        if now < self.withheld_until:
            return False
        return own_key or first_ever or now >= self.earlier_withheld_until
