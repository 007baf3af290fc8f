"""Lease arithmetic. Every bound here errs on the side of the other party's clock."""

from __future__ import annotations

import math

# The steady clocks of two machines drift apart by up to 0.05%; twice that is assumed.
DRIFT = 0.001
# A worker counts from the sending of a report, which is never after its receipt; the
# slack covers timers that fire late on its side.
SLACK_S = 0.5


def leader_ttl(lease_s: float) -> float:
    """Length of the leader's lease.

    A worker's lease has to outlive: the rest of a dead leader's lease (up to the ttl and
    0.1 s), an election, one 4 s time-out or a few refused tries of 1 s, and a report. A
    third of the worker's lease leaves two thirds for these.
    """
    return max(0.5, lease_s / 3.0)


def valid_until(sent: float, ttl: float) -> float:
    """How long a holder may act on a lease renewed by a request sent at ``sent``."""
    return sent + ttl * (1.0 - DRIFT) - min(0.1, ttl * 0.05)


def surely_over(answered: float, lease_s: float) -> float:
    """When a worker whose last answered report came at ``answered`` has no tasks any more."""
    return answered + lease_s * (1.0 + DRIFT) + SLACK_S


class LeaseClock:
    """The leader's own view of its lease, counted from the sending of each renewal."""

    def __init__(self, ttl: float) -> None:
        self.ttl = ttl
        self.until = -math.inf

    def renewed(self, sent: float) -> None:
        self.until = max(self.until, valid_until(sent, self.ttl))

    def valid(self, now: float) -> bool:
        return now < self.until

    def drop(self) -> None:
        self.until = -math.inf
