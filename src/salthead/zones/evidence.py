"""The evidence by which zones and networks are judged: which of their machines are silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import GONE, LOST, UP, Machine
from salthead.failure_detection.machine_sets import MachineSets
from salthead.zones.state import ZoneHealth

if TYPE_CHECKING:  # so that the library for networks is loaded only where networks are declared
    from salthead.networks.silence import NetworkSilence, NetworkView

# Two generations of two heartbeat intervals each: silence is seen after two to four of them.
WINDOW_HEARTBEAT_INTERVALS = 2.0
# For how long the end of a lease counts, in leases. A zone's leases end within a heartbeat interval
# of each other, but a machine that is terminated at once leaves the ledger before the last of them.
EXPIRED_LEASES = 3.0


class ZoneEvidence:
    """Follows the heartbeats, phases and leases of the machines of one term's ledger."""

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
        """A heartbeat of the machine was news."""
        self.machines.recent_heartbeats.add(machine.index)
        if self.networks is not None:
            self.networks.record_endpoint(machine.index, machine.endpoint)

    def phase_changed(self, machine: Machine) -> None:
        """A machine is up, its lease has ended, or it is gone."""
        if machine.phase == UP:
            self.machines.machine_up(machine.zone, machine.index)
        elif machine.phase == LOST:
            self.machines.lease_expired(machine.zone, machine.index)
        elif machine.phase == GONE:
            self.machines.machine_terminated(machine.zone, machine.index)
            if self.networks is not None:
                self.networks.gone(machine.index)

    def health(self, zone: int, now: float) -> ZoneHealth:
        """The counts of a zone's machines by which it is judged."""
        counts = self.machines.counts(zone)
        delegated = now < self.ledger.leases.delegated_until.get(zone, -1.0)
        return ZoneHealth(counts.known, counts.silent, counts.expired, delegated)

    def network_views(self) -> list[NetworkView]:
        """All declared networks, for operators."""
        if self.networks is None:
            return []
        return self.networks.views(self.machines.recent_heartbeats.members())
