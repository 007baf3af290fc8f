"""Division of the state service's rates among the controllers and their classes of requests."""

from __future__ import annotations

from dataclasses import dataclass

# Of the rate of all requests; nothing of these waits for a turn.
LEASE_AND_WATCH_SHARE = 0.15
# Of what writes, leases and watches leave: all users' reads, and those of the leader.
USER_READ_SHARE = 2.0 / 3.0
LEADER_READ_SHARE = 1.0 - USER_READ_SHARE
# Of the rate of all requests, where the service permits nearly as many writes as requests.
MIN_READ_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class ReadRates:
    """Reads per second that one controller may send."""

    user: float  # for the answers to users
    leader: float  # while it leads: for its own decisions and for loading the records


def read_rates(rps: float, write_rps: float, controller_count: int) -> ReadRates:
    """Return the read rates of one of ``controller_count`` controllers.

    The sum of all controllers' reads, of the permitted writes and of the leases and watches is
    within the service's rate: one controller leads, and all of them answer users.
    """
    reads = max(rps * (1.0 - LEASE_AND_WATCH_SHARE) - write_rps, rps * MIN_READ_SHARE)
    return ReadRates(
        user=reads * USER_READ_SHARE / max(1, controller_count),
        leader=reads * LEADER_READ_SHARE,
    )
