"""The machines that a leader knows in its term, their types and their free capacity."""

from __future__ import annotations

from collections.abc import Iterable

from salthead.cluster.capacity_index import CapacityIndex
from salthead.cluster.model import Machine, MachinePhase
from salthead.cluster.resources import NO_RESOURCES, Resources
from salthead.protocol.interning import Interner
from salthead.protocol.messages import MachineType

# Minimum number of terminated machines whose names are remembered. Late copies of their heartbeats
# and a machine list that lags would otherwise add them as new machines.
MIN_REMEMBERED_MACHINES = 2000
# At least this many times the largest fleet of this term, machine names and ended jobs are
# remembered, since a whole fleet can be terminated at once.
REMEMBERED_FLEET_SIZES = 2


class MachineRegistry:
    """Machines by name; the only code that adds, removes and indexes machines."""

    def __init__(self, zones: Iterable[str]) -> None:
        self.zones = Interner(list(zones))
        self.type_names = Interner()
        self.machine_types: dict[int, MachineType] = {}
        self.capacities: dict[int, Resources] = {}  # by machine type
        self.capacity_index = CapacityIndex()
        self.machines: dict[str, Machine] = {}
        # Machines that the state service does not know yet. The loop that registers them runs ten
        # times a second and would otherwise scan all machines.
        self.unstored_machines: dict[Machine, None] = {}
        self.recently_gone: dict[str, float] = {}  # names of terminated machines, and when
        self.largest_fleet = 0  # most machines known at once in this term
        self.next_index = 0  # ``Machine.index`` of the next machine to be added

    def set_machine_types(self, machine_types: Iterable[MachineType]) -> None:
        """Add or update the cloud's machine types and the capacity of machines of these types."""
        for machine_type in machine_types:
            index = self.type_names.intern(machine_type.name)
            self.machine_types[index] = machine_type
            self.capacities[index] = Resources(
                machine_type.vcpus, machine_type.accelerators, machine_type.ram_gb
            )
            for zone in machine_type.zones:
                self.zones.intern(zone)
            self._set_capacity(index)

    def _set_capacity(self, type_index: int) -> None:
        capacity = self.capacity(type_index)
        for machine in self.machines.values():
            if machine.machine_type == type_index:
                machine.capacity = capacity
                self.capacity_index.reindex(machine)

    def capacity(self, type_index: int) -> Resources:
        """Return the capacity of a machine of this type, zero while the type is unknown."""
        return self.capacities.get(type_index, NO_RESOURCES)

    def add(self, name: str, machine_type: str, zone: str, spot: bool, now: float) -> Machine:
        """Return the machine of this name, added if it is new."""
        machine = self.machines.get(name)
        if machine is not None:
            return machine
        type_index = self.type_names.intern(machine_type)
        machine = Machine(
            name,
            type_index,
            self.zones.intern(zone),
            spot,
            self.capacity(type_index),
            provisioned_at=now,
        )
        machine.index = self.next_index
        self.next_index += 1
        self.machines[name] = machine
        self.unstored_machines[machine] = None
        self.largest_fleet = max(self.largest_fleet, len(self.machines))
        return machine

    def mark_registered(self, machine: Machine) -> None:
        """Record that the state service knows the machine, which may then be given work."""
        machine.registered = True
        self.unstored_machines.pop(machine, None)

    def set_phase(self, machine: Machine, phase: MachinePhase) -> None:
        """Set a machine's phase and reindex it."""
        machine.phase = phase
        self.capacity_index.reindex(machine)

    def remove(self, machine: Machine, now: float) -> None:
        """Remove a machine that the cloud has terminated; remember its name."""
        self.capacity_index.reserved.pop(machine, None)
        self.machines.pop(machine.name, None)
        self.unstored_machines.pop(machine, None)
        self.recently_gone[machine.name] = now
        if len(self.recently_gone) > max(
            MIN_REMEMBERED_MACHINES, REMEMBERED_FLEET_SIZES * self.largest_fleet
        ):
            self.recently_gone.pop(next(iter(self.recently_gone)))
