"""Detection of network partitions by the silence of many machines at once.

A partitioned machine keeps running and returns when the partition heals; a failed one does not.
Both are silent, but machines fail independently, so that simultaneous silence of many is attributed
to a partition. The groups are the whole fleet, each zone and each declared network, kept as sets of
machines, so that a heartbeat sets one bit whatever the size of the fleet.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator
from dataclasses import dataclass

from pyroaring import BitMap

from salthead.cluster.ledger import Ledger
from salthead.cluster.machine_health import heartbeats_expected
from salthead.cluster.model import GONE, LOST, UP, Machine
from salthead.event_log import event
from salthead.failure_detection.machine_sets import MachineSets
from salthead.networks.silence import NetworkSilence
from salthead.policy import PartialCutPolicy

log = logging.getLogger(__name__)

# Window of the set of machines with recent heartbeats, in heartbeat intervals. A machine stays in
# the set for one to two windows, so its silence is detected after two to four intervals.
WINDOW_HEARTBEAT_INTERVALS = 2.0
# How long an expired lease counts towards a partition, in lease durations. The leases that expire
# because of one partition do so within one lease duration plus one heartbeat interval. Machines
# that are terminated in that time have left the fleet and count only by their expired leases.
EXPIRED_LEASES = 1.5
FLEET = "fleet"


@dataclass(frozen=True, slots=True)
class Group:
    """A group of machines that may depend on the same link."""

    name: str
    members: BitMap  # machines that are present or whose lease has recently expired
    silent: BitMap  # members without a recent heartbeat


class SharedSilence:
    """Detector of groups of silent machines, for one term of a leader."""

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
        self.swept_at = now
        self.partitioned = BitMap()  # silent machines of partitioned groups, by the last sweep
        self.partitioned_since: dict[str, float] = {}  # start times of partitions, by group
        # Zones without recent heartbeats while other zones have some.
        self.silent_zones: set[int] = set()

    # -- called by the ledger ---------------------------------------------------------------

    def heartbeat_received(self, machine: Machine) -> None:
        """Record a new heartbeat of a machine."""
        self.sets.recent_heartbeats.add(machine.index)
        if self.networks is not None:
            self.networks.record_endpoint(machine.index, machine.endpoint)

    def phase_changed(self, machine: Machine) -> None:
        """Record that a machine is up, that its lease has expired or that it was terminated."""
        self.sets.ensure_zones(len(self.ledger.zones), self.swept_at)
        if machine.phase == UP:
            self.sets.machine_up(machine.zone, machine.index)
        elif machine.phase == LOST:
            self.sets.lease_expired(machine.zone, machine.index)
        elif machine.phase == GONE:
            self.sets.machine_terminated(machine.zone, machine.index)

    # -- detection --------------------------------------------------------------------------

    def sweep(self, now: float) -> None:
        """Update the partitioned machines and the silent zones."""
        self.swept_at = now
        self.sets.ensure_zones(len(self.ledger.zones), now)
        self.sets.rotate(now)
        if not heartbeats_expected(self.ledger, now):
            return
        self.partitioned = BitMap()
        partitioned_groups = set()
        for group in self._groups():
            if self._is_partitioned(group):
                self.partitioned |= group.silent
                partitioned_groups.add(group.name)
        self._update_silent_zones()
        for name in partitioned_groups - self.partitioned_since.keys():
            event(log, "cut_suspected", group=name)
            self.partitioned_since[name] = now
        for name in self.partitioned_since.keys() - partitioned_groups:
            event(log, "cut_over", group=name)
            del self.partitioned_since[name]

    def is_partitioned(self, machine: Machine) -> bool:
        """Return whether the last sweep attributed the machine's silence to a partition."""
        return machine.index in self.partitioned

    def _update_silent_zones(self) -> None:
        reporting = [
            self.sets.with_recent_heartbeats(zone) for zone in range(len(self.sets.present))
        ]
        self.silent_zones = {
            zone
            for zone, present in enumerate(self.sets.present)
            if len(present) >= self.policy.min_machines and not reporting[zone] and any(reporting)
        }

    def _is_partitioned(self, group: Group) -> bool:
        silent = len(group.silent)
        return silent >= self.policy.min_machines and silent > self.policy.shared_share * len(
            group.members
        )

    def _groups(self) -> Iterator[Group]:
        reporting = self.sets.recent_heartbeats.members()
        fleet = BitMap()
        for zone, present in enumerate(self.sets.present):
            members = present | self.sets.expired[zone].members()
            fleet |= members
            yield Group(f"zone {self.ledger.zones[zone]}", members, members - reporting)
        yield Group(FLEET, fleet, fleet - reporting)
        if self.networks is not None:
            for name, network_members in zip(
                self.networks.directory.names, self.networks.members, strict=True
            ):
                members = network_members & fleet
                yield Group(f"network {name}", members, members - reporting)
