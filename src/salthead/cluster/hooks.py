"""Interfaces through which lower layers call the detection of partitions and zone recovery."""

from __future__ import annotations

from collections.abc import Iterable, Set
from typing import Protocol

from salthead.cluster.model import Binding, Job, Machine
from salthead.policy import PartialCutPolicy


class ZoneHooks(Protocol):
    """Receives events of machines and tasks; orders, reserves and limits work by zone states."""

    def heartbeat_received(self, machine: Machine) -> None:
        """Record that the machine has sent a new heartbeat."""

    def phase_changed(self, machine: Machine) -> None:
        """Record that a machine is up, lost or gone."""

    def tasks_lost(self, bindings: Iterable[Binding], now: float) -> None:
        """Record that these tasks were lost with their machine."""

    def started(self, binding: Binding, now: float) -> None:
        """Record that a heartbeat shows for the first time that the task has fetched its image."""

    def failed(self, machine: Machine) -> None:
        """Record that a task has failed on the machine."""

    def evacuating(self) -> bool:
        """Return whether jobs displaced from a lost zone still wait."""

    def evacuation_order(self, jobs: list[Job], guaranteed_ids: set[str], now: float) -> list[Job]:
        """Return the queue, reordered while a zone is evacuated."""

    def reserve_for_displaced_gangs(self, machine: Machine, now: float) -> None:
        """Reserve a machine's freed capacity for displaced gangs that may need it."""

    def must_restart_gang(self, machine: Machine) -> bool:
        """Return whether a gang that lost this machine must restart as a whole, not in part."""

    def max_provision(self, zone: int) -> int | None:
        """Return how many machines of a kind may be provisioned in a zone at once, or None."""


class SilenceHooks(Protocol):
    """Receives heartbeats and phase changes; tells which machines seem to be partitioned."""

    @property
    def policy(self) -> PartialCutPolicy:
        """Return the operator's policy for partial partitions."""

    @property
    def silent_zones(self) -> Set[int]:
        """Return the zones from which no heartbeat arrives while other zones send them."""

    def heartbeat_received(self, machine: Machine) -> None:
        """Record that the machine has sent a new heartbeat."""

    def phase_changed(self, machine: Machine) -> None:
        """Record that a machine is up, lost or gone."""

    def sweep(self, now: float) -> None:
        """Detect the current partitions."""

    def is_partitioned(self, machine: Machine) -> bool:
        """Return whether the last sweep found the machine silent together with others."""
