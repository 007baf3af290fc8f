"""What the ledger and scheduling call of whoever follows the state of zones."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from salthead.cluster.model import Binding, Job, Machine


class ZoneHooks(Protocol):
    """Receives what happens on machines; answers what may be admitted, and in which order."""

    def heartbeat_received(self, machine: Machine) -> None:
        """The machine has sent a new heartbeat."""

    def phase_changed(self, machine: Machine) -> None:
        """A machine is up, its lease has ended, or it is gone."""

    def displaced(self, bindings: Iterable[Binding], now: float) -> None:
        """The tasks were lost with their machine."""

    def started(self, binding: Binding, now: float) -> None:
        """A heartbeat shows for the first time that the task has its image."""

    def failed(self, machine: Machine) -> None:
        """A task has failed on the machine."""

    def evacuating(self) -> bool:
        """Whether work that a lost zone has displaced still waits."""

    def evacuation_order(self, jobs: list[Job], within: set[str], now: float) -> list[Job]:
        """The queue, as it is served while a zone is evacuated."""

    def claim(self, machine: Machine, now: float) -> None:
        """A machine has room that displaced gangs may be about to need."""

    def restarts_whole(self, machine: Machine) -> bool:
        """Whether a gang that lost this machine must not be completed elsewhere."""

    def max_provision(self, zone: int) -> int | None:
        """How many machines of a kind may be provisioned in the zone at a time; None: no bound."""
