"""Index of the free capacity of machines, and reservations of machines for jobs."""

from __future__ import annotations

from collections.abc import Iterable

from salthead.cluster.model import UP, Machine
from salthead.cluster.resources import EPSILON, MachineKind, Resources


class CapacityIndex:
    """Index of the machines that are up, by free capacity, and the reservations of machines."""

    def __init__(self) -> None:
        # Machines that are up, by kind and by their number of whole free CPUs. A pass scans only
        # rows with enough free CPUs, so full machines add nothing to its cost.
        self.free: dict[MachineKind, list[dict[Machine, None]]] = {}
        self.reserved: dict[Machine, None] = {}  # includes reservations that have expired

    def reindex(self, machine: Machine) -> None:
        """Move the machine to the row of its free CPUs; only machines that are up are indexed."""
        whole_cpus = -1
        if machine.phase == UP:
            whole_cpus = max(0, int(machine.capacity.cpus - machine.allocated.cpus + EPSILON))
        if whole_cpus == machine.free_whole_cpus:
            return
        rows = self.free.setdefault(machine.kind, [])
        if machine.free_whole_cpus >= 0:
            del rows[machine.free_whole_cpus][machine]
        if whole_cpus >= 0:
            while len(rows) <= whole_cpus:
                rows.append({})
            rows[whole_cpus][machine] = None
        machine.free_whole_cpus = whole_cpus

    def machines_with_room(
        self, kinds: Iterable[MachineKind], request: Resources
    ) -> Iterable[Machine]:
        """Yield the machines of these kinds that the request fits on, in the index's order."""
        for kind in kinds:
            for row in self.free[kind][int(request.cpus) :]:
                for machine in row:
                    if machine.fits(request):
                        yield machine

    def reserve(self, machine: Machine, job_id: str, until: float) -> None:
        """Reserve a machine for a job; placement offers it to no other job."""
        machine.reserved_for = job_id
        machine.reserved_until = max(machine.reserved_until, until)
        self.reserved[machine] = None

    def expire_reservations(self, now: float) -> None:
        """Remove the reservations that have expired."""
        for machine in [m for m in self.reserved if now >= m.reserved_until]:
            machine.reserved_for = ""
            del self.reserved[machine]

    def release_reservations(self, job_id: str) -> None:
        """Remove all reservations of a job."""
        for machine in [m for m in self.reserved if m.reserved_for == job_id]:
            machine.reserved_for = ""
            del self.reserved[machine]

    def reserved_machines(self, job_id: str, now: float) -> list[Machine]:
        """Return the machines that are reserved for a job now."""
        return [m for m in self.reserved if m.reserved_for == job_id and now < m.reserved_until]
