"""Backoff for kinds of machines that the cloud has recently had too few of."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from salthead.cluster.resources import MachineKind

# After a refusal, the pause before the same kind is requested again doubles, between these bounds.
FIRST_BACKOFF_S, MAX_BACKOFF_S = 5.0, 40.0


@dataclass
class CapacityBackoff:
    """Kinds of machines that the cloud recently refused, with their retry times and pauses."""

    retry_at: dict[MachineKind, float] = field(default_factory=dict)
    pause_s: dict[MachineKind, float] = field(default_factory=dict)

    def record_shortage(self, kind: MachineKind, now: float) -> None:
        """Record that the cloud had too few machines of a kind, and double the pause for it."""
        pause_s = min(MAX_BACKOFF_S, self.pause_s.get(kind, FIRST_BACKOFF_S / 2) * 2)
        self.pause_s[kind] = pause_s
        self.retry_at[kind] = now + pause_s

    def record_success(self, kind: MachineKind) -> None:
        """Record that the cloud provided the kind, and reset its backoff."""
        self.pause_s.pop(kind, None)
        self.retry_at.pop(kind, None)

    def allows(self, kind: MachineKind, now: float) -> bool:
        """Return whether a kind may be requested now."""
        return now >= self.retry_at.get(kind, -math.inf)
