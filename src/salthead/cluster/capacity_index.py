"""Room on machines: an index of what is free, and machines that are kept for a job."""

from __future__ import annotations

from collections.abc import Iterable

from salthead.cluster.model import UP, Machine
from salthead.cluster.resources import EPSILON, MachineKind, Resources


class CapacityIndex:
    """Free room of all machines that are up."""

    def __init__(self) -> None:
        # Machines that are up, by kind and by how many whole CPUs they have free. A pass looks
        # at the rows with room alone, so that its cost does not grow with a full fleet.
        self.free: dict[MachineKind, list[dict[Machine, None]]] = {}
        self.reserved: dict[Machine, None] = {}  # machines that are, or lately were, kept for a job

    def reindex(self, machine: Machine) -> None:
        """Note how much is free on the machine now."""
        whole = -1
        if machine.phase == UP:
            whole = max(0, int(machine.capacity.cpus - machine.allocated.cpus + EPSILON))
        if whole == machine.free_whole_cpus:
            return
        rows = self.free.setdefault(machine.kind, [])
        if machine.free_whole_cpus >= 0:
            del rows[machine.free_whole_cpus][machine]
        if whole >= 0:
            while len(rows) <= whole:
                rows.append({})
            rows[whole][machine] = None
        machine.free_whole_cpus = whole

    def with_room(self, kinds: Iterable[MachineKind], request: Resources) -> Iterable[Machine]:
        """Machines of these kinds that have room, in the index's own order."""
        for kind in kinds:
            for row in self.free[kind][int(request.cpus) :]:
                for machine in row:
                    if machine.fits(request):
                        yield machine

    def reserve(self, machine: Machine, job_id: str, until: float) -> None:
        """Keep a machine for a job: placement hides it from the others."""
        machine.reserved_for = job_id
        machine.reserved_until = max(machine.reserved_until, until)
        self.reserved[machine] = None

    def expire_reservations(self, now: float) -> None:
        """Forget machines that were kept for a job until now."""
        for machine in [m for m in self.reserved if now >= m.reserved_until]:
            machine.reserved_for = ""
            del self.reserved[machine]

    def release_reservations(self, job_id: str) -> None:
        """Keep no machine for a job any more."""
        for machine in [m for m in self.reserved if m.reserved_for == job_id]:
            machine.reserved_for = ""
            del self.reserved[machine]

    def reserved_machines(self, job_id: str, now: float) -> list[Machine]:
        """Machines that are kept for a job now."""
        return [m for m in self.reserved if m.reserved_for == job_id and now < m.reserved_until]
