"""The machines that a leader knows in its term, their types, and what is free on them."""

from __future__ import annotations

from collections.abc import Iterable

from salthead.cluster.capacity_index import CapacityIndex
from salthead.cluster.model import Machine, MachinePhase
from salthead.cluster.resources import NO_RESOURCES, Resources
from salthead.protocol.interning import Interner
from salthead.protocol.messages import MachineType

# Terminated machines that are remembered, for late copies of their heartbeats and for a machine
# list that lags. This is the least: a fleet of which everything can go at once needs room for all
# of it, or its machines are taken for new ones.
MIN_REMEMBERED_MACHINES = 2000
REMEMBERED_FLEETS = 2  # how many times the largest fleet of this term is remembered


class MachineRegistry:
    """Machines by name, and the indices over them. It alone adds, removes and indexes machines."""

    def __init__(self, zones: Iterable[str]) -> None:
        self.zones = Interner(list(zones))
        self.type_names = Interner()
        self.machine_types: dict[int, MachineType] = {}
        self.capacities: dict[int, Resources] = {}  # of a machine, by type
        self.capacity_index = CapacityIndex()
        self.machines: dict[str, Machine] = {}
        # Machines that the state service does not know yet: what its loop would else look for
        # among all machines ten times a second.
        self.unregistered: dict[Machine, None] = {}
        self.recently_gone: dict[str, float] = {}  # names of terminated machines, and when
        self.largest_fleet = 0
        self.machines_seen = 0  # in this term, for their numbers

    def set_machine_types(self, machine_types: Iterable[MachineType]) -> None:
        """Take the cloud's machine types in, and the capacity of the machines that have them."""
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
        """CPUs, GPUs and memory of a machine of this type; nothing while the type is unknown."""
        return self.capacities.get(type_index, NO_RESOURCES)

    def add(self, name: str, machine_type: str, zone: str, spot: bool, now: float) -> Machine:
        """The machine of this name, a new one if need be."""
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
        machine.index = self.machines_seen
        self.machines_seen += 1
        self.machines[name] = machine
        self.unregistered[machine] = None
        self.largest_fleet = max(self.largest_fleet, len(self.machines))
        return machine

    def mark_registered(self, machine: Machine) -> None:
        """The state service knows the machine, so that it may be given work."""
        machine.registered = True
        self.unregistered.pop(machine, None)

    def set_phase(self, machine: Machine, phase: MachinePhase) -> None:
        """Change a machine's phase, and what is indexed by it."""
        machine.phase = phase
        self.capacity_index.reindex(machine)

    def remove(self, machine: Machine, now: float) -> None:
        """Forget a machine that the cloud has terminated, but for its name."""
        self.capacity_index.reserved.pop(machine, None)
        self.machines.pop(machine.name, None)
        self.unregistered.pop(machine, None)
        self.recently_gone[machine.name] = now
        if len(self.recently_gone) > max(
            MIN_REMEMBERED_MACHINES, REMEMBERED_FLEETS * self.largest_fleet
        ):
            self.recently_gone.pop(next(iter(self.recently_gone)))
