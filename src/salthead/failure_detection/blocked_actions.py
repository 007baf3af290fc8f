"""Which actions were blocked, and for which missing preconditions: for operators."""

from __future__ import annotations

import math
from dataclasses import dataclass

from salthead import metrics
from salthead.failure_detection.preconditions import (
    Action,
    Precondition,
    action_name,
    precondition_names,
)


@dataclass(slots=True)
class BlockedAction:
    """How often an action was blocked by one set of preconditions, and when first and last."""

    count: int = 0
    first_at: float = math.inf
    last_at: float = -math.inf


class BlockedActions:
    """Counts by action and by the preconditions that were missing."""

    def __init__(self) -> None:
        self.rows: dict[tuple[Action, int], BlockedAction] = {}

    def note(self, action: Action, missing_preconditions: int, now: float) -> None:
        """An action was blocked since these preconditions, as bits, do not hold."""
        row = self.rows.setdefault((action, missing_preconditions), BlockedAction(first_at=now))
        row.count += 1
        row.last_at = now
        metrics.BLOCKED_ACTIONS.labels(
            action_name(action), "+".join(precondition_names(missing_preconditions))
        ).inc()

    def recent(self, since: float) -> list[tuple[Action, Precondition, BlockedAction]]:
        """Rows whose action was blocked since then, the latest first."""
        found = [
            (action, Precondition(missing_preconditions), row)
            for (action, missing_preconditions), row in self.rows.items()
            if row.last_at >= since
        ]
        return sorted(found, key=lambda entry: -entry[2].last_at)
