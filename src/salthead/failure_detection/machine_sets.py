"""Sets of machines by zone, as bitmaps over dense machine indices.

With 4,000 machines in two zones, finding the share of a zone with recent heartbeats takes 1.4
microseconds as the intersection of two bitmaps, 74 as that of two sets and 407 as a loop over all
machines.
"""

from __future__ import annotations

from typing import NamedTuple

from pyroaring import BitMap


class MachineCounts(NamedTuple):
    """Numbers of a zone's machines by state."""

    known: int  # present, or with a recently expired lease
    silent: int  # known, without a recent heartbeat
    expired: int  # with a recently expired lease


class RecentSet:
    """Members that were added recently: they expire between one and two ``window_s`` after that.

    Members are kept in two generations, those added in the current window and those of the previous
    one, so that each member costs one bit and no timestamp.
    """

    def __init__(self, window_s: float, now: float) -> None:
        self.window_s = window_s
        self.rotated_at = now
        self.current = BitMap()
        self.previous = BitMap()

    def rotate(self, now: float) -> None:
        """Start a new generation if the current one is ``window_s`` old."""
        elapsed = now - self.rotated_at
        if elapsed < self.window_s:
            return
        self.previous = self.current if elapsed < 2.0 * self.window_s else BitMap()
        self.current = BitMap()
        self.rotated_at = now

    def add(self, member: int) -> None:
        """Add a member, or renew it."""
        self.current.add(member)

    def discard(self, member: int) -> None:
        """Remove a member."""
        self.current.discard(member)
        self.previous.discard(member)

    def members(self) -> BitMap:
        """Return the members that have not expired."""
        return self.current | self.previous


class MachineSets:
    """Machines by zone: present, with recent heartbeats, and with recently expired leases."""

    def __init__(self, zones: int, heartbeat_window_s: float, expired_s: float, now: float) -> None:
        self.present = [BitMap() for _ in range(zones)]
        self.expired = [RecentSet(expired_s, now) for _ in range(zones)]
        self.recent_heartbeats = RecentSet(heartbeat_window_s, now)

    def ensure_zones(self, zones: int, now: float) -> None:
        """Add sets for zones that were not in the settings."""
        while len(self.present) < zones:
            self.present.append(BitMap())
            self.expired.append(RecentSet(self.expired[0].window_s, now))

    def rotate(self, now: float) -> None:
        """Expire members of the recent sets: start a new generation in each set that is due."""
        self.recent_heartbeats.rotate(now)
        for expired in self.expired:
            expired.rotate(now)

    def machine_up(self, zone: int, machine: int) -> None:
        """Record that a machine of the zone is up."""
        self.present[zone].add(machine)
        self.expired[zone].discard(machine)

    def lease_expired(self, zone: int, machine: int) -> None:
        """Record that a machine's lease has certainly expired; the machine may still exist."""
        self.expired[zone].add(machine)

    def machine_terminated(self, zone: int, machine: int) -> None:
        """Remove a terminated machine from those present.

        If its lease has expired, the machine remains among the known machines and the expired
        leases of ``counts`` until the window of expired leases ends.
        """
        self.present[zone].discard(machine)

    def counts(self, zone: int) -> MachineCounts:
        """Return the numbers of a zone's machines by which its health is judged."""
        expired = self.expired[zone].members()
        known = self.present[zone] | expired
        reporting = known.intersection_cardinality(self.recent_heartbeats.members())
        return MachineCounts(len(known), len(known) - reporting, len(expired))

    def with_recent_heartbeats(self, zone: int) -> BitMap:
        """Return the present machines of a zone with a recent heartbeat."""
        return self.present[zone] & self.recent_heartbeats.members()
