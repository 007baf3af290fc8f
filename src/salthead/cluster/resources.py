"""CPUs, GPUs and memory: what tasks request, and what machines of a kind have."""

from __future__ import annotations

import functools
import math
from dataclasses import dataclass
from typing import NamedTuple


class Resources(NamedTuple):
    """What a task requests, or what a machine has."""

    cpus: float
    gpus: float
    memory_gb: float


class MachineKind(NamedTuple):
    """Machines that are alike: type and zone by their dense indices, and whether they are spot."""

    machine_type: int
    zone: int
    spot: bool


@functools.cache
def machine_kind(machine_type: int, zone: int, spot: bool) -> MachineKind:
    """The kind with these indices: one object for each, since plans ask for thousands."""
    return MachineKind(machine_type, zone, spot)


@dataclass(slots=True)
class ResourceUsage:
    """What the tasks of one machine have been allocated."""

    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0


NO_RESOURCES = Resources(0.0, 0.0, 0.0)
UNBOUNDED_RESOURCES = Resources(math.inf, math.inf, math.inf)
EPSILON = 1e-6  # what rounding may leave over when bookings are added and taken back
