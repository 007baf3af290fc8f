"""Interface of the ledger and autoscaling to the detection of network partitions."""

from __future__ import annotations

from collections.abc import Set
from typing import Protocol

from salthead.cluster.model import Machine
from salthead.policy import PartialCutPolicy


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
