"""Evidence for the health of zones and networks: heartbeats and leases of their machines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import GONE, LOST, UP, Machine
from salthead.failure_detection.machine_sets import MachineSets
from salthead.zones.state import ZoneHealth

if TYPE_CHECKING:  # loads the library for networks only if the policy declares some
    from salthead.networks.silence import NetworkSilence, NetworkView

# Window of the set of machines with recent heartbeats, in heartbeat intervals. A machine stays in
# the set for one to two windows, so its silence is detected after two to four intervals.
WINDOW_HEARTBEAT_INTERVALS = 2.0
# How long an expired lease counts towards the loss of its zone, in lease durations. The leases of a
# lost zone expire up to one heartbeat interval apart. A machine that is terminated as soon as its
# lease expires has left the ledger before the last of them expires, but must still be counted.
EXPIRED_LEASES = 3.0


class ZoneEvidence:
    """Heartbeats, phases and leases of the machines of one term's ledger."""

    def __init__(self, ledger: Ledger, networks: NetworkSilence | None, now: float) -> None:
        workers = ledger.limits.workers
        self.ledger = ledger
        self.networks = networks
        self.machines = MachineSets(
            len(ledger.zones),
            WINDOW_HEARTBEAT_INTERVALS * workers.heartbeat_interval_s,
            EXPIRED_LEASES * workers.lease_s,
            now,
        )

    def heartbeat_received(self, machine: Machine) -> None:
        """Record a new heartbeat of a machine."""
        self.machines.recent_heartbeats.add(machine.index)
        if self.networks is not None:
            self.networks.record_endpoint(machine.index, machine.endpoint)

    def phase_changed(self, machine: Machine) -> None:
        """Record that a machine is up, that its lease has expired or that it was terminated."""
        if machine.phase == UP:
            self.machines.machine_up(machine.zone, machine.index)
        elif machine.phase == LOST:
            self.machines.lease_expired(machine.zone, machine.index)
        elif machine.phase == GONE:
            self.machines.machine_terminated(machine.zone, machine.index)
            if self.networks is not None:
                self.networks.remove(machine.index)

    def health(self, zone: int, now: float) -> ZoneHealth:
        """Return the numbers of a zone's machines by which its phase is decided."""
        counts = self.machines.counts(zone)
        delegated = now < self.ledger.leases.delegated_until.get(zone, -1.0)
        return ZoneHealth(counts.known, counts.silent, counts.expired, delegated)

    def network_views(self) -> list[NetworkView]:
        """Return all declared networks, for operators."""
        if self.networks is None:
            return []
        return self.networks.views(self.machines.recent_heartbeats.members())
