"""What the ledger and autoscaling call of whoever looks for silence that machines share."""

from __future__ import annotations

from collections.abc import Set
from typing import Protocol

from salthead.cluster.model import Machine
from salthead.policy import PartialCutPolicy


class SilenceHooks(Protocol):
    """Receives heartbeats and phases; answers which machines are taken to be behind a cut."""

    @property
    def policy(self) -> PartialCutPolicy:
        """The operator's policy for partial cuts."""

    @property
    def silent_zones(self) -> Set[int]:
        """Zones none of whose machines sends heartbeats, while those of others do."""

    def heartbeat_received(self, machine: Machine) -> None:
        """The machine has sent a new heartbeat."""

    def phase_changed(self, machine: Machine) -> None:
        """A machine is up, its lease has ended, or it is gone."""

    def sweep(self, now: float) -> None:
        """Find the cuts that there are now."""

    def behind_cut(self, machine: Machine) -> bool:
        """Whether the machine's silence was shared at the last look."""
