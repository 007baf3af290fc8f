"""Silence that many machines share: a cut of some link is likelier than as many deaths at once.

A cut-off machine goes on, and is back when the cut heals; one that died is not. Both look alike
from here, but machines die one by one. Followed are the whole fleet, each zone, and each declared
network, as sets of machines, so that a heartbeat costs one bit whatever the size of the fleet.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator
from dataclasses import dataclass

from pyroaring import BitMap

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import GONE, LOST, UP, Machine
from salthead.event_log import event
from salthead.failure_detection.machine_sets import MachineSets
from salthead.networks.silence import NetworkSilence
from salthead.policy import PartialCutPolicy

log = logging.getLogger(__name__)

# Two generations of two heartbeat periods each: silence is seen after two to four of them.
WINDOW_HEARTBEAT_INTERVALS = 2.0
# For how long the end of a lease counts towards a cut, in leases: all leases that one cut ends are
# over within one lease and a heartbeat period, and what was returned meanwhile has left the fleet.
EXPIRED_LEASES = 1.5
FLEET = "fleet"


@dataclass(frozen=True, slots=True)
class Group:
    """Machines that may be behind the same link."""

    name: str
    known: BitMap
    silent: BitMap


class SharedSilence:
    """Which machines are silent together, for one term."""

    def __init__(
        self,
        ledger: Ledger,
        policy: PartialCutPolicy,
        now: float,
        networks: NetworkSilence | None = None,
    ) -> None:
        self.ledger = ledger
        self.policy = policy
        self.networks = networks
        workers = ledger.limits.workers
        self.sets = MachineSets(
            len(ledger.zones),
            WINDOW_HEARTBEAT_INTERVALS * workers.heartbeat_interval_s,
            EXPIRED_LEASES * workers.lease_s,
            now,
        )
        self.seen_at = now
        self.cut = BitMap()  # machines whose silence is shared, as of the last look
        self.cut_since: dict[str, float] = {}  # groups behind a cut
        # None of whose machines sends heartbeats, while others do
        self.silent_zones: set[int] = set()

    # -- called by the ledger -------------------------------------------------

    def heartbeat_received(self, machine: Machine) -> None:
        """The machine has sent a new heartbeat."""
        self.sets.recent_heartbeats.add(machine.index)
        if self.networks is not None:
            self.networks.note(machine.index, machine.endpoint)

    def phase_changed(self, machine: Machine) -> None:
        """A machine is up, its lease has ended, or it is gone."""
        self.sets.grow(len(self.ledger.zones), self.seen_at)
        if machine.phase == UP:
            self.sets.up(machine.zone, machine.index)
        elif machine.phase == LOST:
            self.sets.lease_expired(machine.zone, machine.index)
        elif machine.phase == GONE:
            self.sets.gone(machine.zone, machine.index)

    # -- conclusions -----------------------------------------------------------------------

    def sweep(self, now: float) -> None:
        """Find the cuts that there are now."""
        self.seen_at = now
        self.sets.grow(len(self.ledger.zones), now)
        self.sets.turn(now)
        if not self.ledger.heartbeats_expected(now):
            return
        self.cut = BitMap()
        cut_groups = set()
        for group in self._groups():
            if self._is_cut(group):
                self.cut |= group.silent
                cut_groups.add(group.name)
        self._find_silent_zones()
        for name in cut_groups - self.cut_since.keys():
            event(log, "cut_suspected", group=name)
            self.cut_since[name] = now
        for name in self.cut_since.keys() - cut_groups:
            event(log, "cut_over", group=name)
            del self.cut_since[name]

    def behind_cut(self, machine: Machine) -> bool:
        """Whether the machine's silence was shared at the last look."""
        return machine.index in self.cut

    def _find_silent_zones(self) -> None:
        heard = [self.sets.with_recent_heartbeats(zone) for zone in range(len(self.sets.present))]
        self.silent_zones = {
            zone
            for zone, present in enumerate(self.sets.present)
            if len(present) >= self.policy.min_machines and not heard[zone] and any(heard)
        }

    def _is_cut(self, group: Group) -> bool:
        silent = len(group.silent)
        return silent >= self.policy.min_machines and silent > self.policy.shared_share * len(
            group.known
        )

    def _groups(self) -> Iterator[Group]:
        heard = self.sets.recent_heartbeats.members()
        fleet = BitMap()
        for zone, present in enumerate(self.sets.present):
            known = present | self.sets.expired[zone].members()
            fleet |= known
            yield Group(f"zone {self.ledger.zones[zone]}", known, known - heard)
        yield Group(FLEET, fleet, fleet - heard)
        if self.networks is not None:
            for name, members in zip(
                self.networks.directory.names, self.networks.members, strict=True
            ):
                known = members & fleet
                yield Group(f"network {name}", known, known - heard)
