"""CPUs, GPUs and memory that tasks request and machines offer."""

from __future__ import annotations

import functools
import math
from dataclasses import dataclass
from typing import NamedTuple


class Resources(NamedTuple):
    """The request of one task, or the capacity of one machine."""

    cpus: float
    gpus: float
    memory_gb: float


class MachineKind(NamedTuple):
    """Machine type and zone, as dense indices, and whether the machines are spot instances."""

    machine_type: int
    zone: int
    spot: bool


@functools.cache
def machine_kind(machine_type: int, zone: int, spot: bool) -> MachineKind:
    """Return the one shared object for a kind; a fleet plan asks for thousands."""
    return MachineKind(machine_type, zone, spot)


@dataclass(slots=True)
class ResourceUsage:
    """Total request of the tasks on one machine."""

    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0


NO_RESOURCES = Resources(0.0, 0.0, 0.0)
UNBOUNDED_RESOURCES = Resources(math.inf, math.inf, math.inf)
EPSILON = 1e-6  # tolerance for rounding errors of repeated additions and subtractions
