"""Kinds of machines that the cloud has refused lately, and when to ask again."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from salthead.cluster.resources import MachineKind

# After a refusal the same kind is asked for again with doubling pauses.
FIRST_BACKOFF_S, MAX_BACKOFF_S = 5.0, 40.0


@dataclass
class CapacityBackoff:
    """Kinds of machines that the cloud refused lately."""

    retry_at: dict[MachineKind, float] = field(default_factory=dict)
    pause_s: dict[MachineKind, float] = field(default_factory=dict)

    def record_shortage(self, kind: MachineKind, now: float) -> None:
        """The cloud had too few of a kind: ask again later, each time after twice as long."""
        pause_s = min(MAX_BACKOFF_S, self.pause_s.get(kind, FIRST_BACKOFF_S / 2) * 2)
        self.pause_s[kind] = pause_s
        self.retry_at[kind] = now + pause_s

    def record_success(self, kind: MachineKind) -> None:
        """The cloud had what was asked for."""
        self.pause_s.pop(kind, None)
        self.retry_at.pop(kind, None)

    def allows(self, kind: MachineKind, now: float) -> bool:
        """Whether a kind may be asked for now."""
        return now >= self.retry_at.get(kind, -math.inf)
