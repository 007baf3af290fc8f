"""Counts of blocked actions by their missing preconditions, for operators."""

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
    """How often an action was blocked by one set of preconditions, with the first and last time."""

    count: int = 0
    first_at: float = math.inf
    last_at: float = -math.inf


class BlockedActions:
    """Counts of blocked actions, by action and missing preconditions."""

    def __init__(self) -> None:
        self.rows: dict[tuple[Action, int], BlockedAction] = {}

    def record(self, action: Action, missing_preconditions: int, now: float) -> None:
        """Count an action that was blocked; the missing preconditions are given as bits."""
        row = self.rows.setdefault((action, missing_preconditions), BlockedAction(first_at=now))
        row.count += 1
        row.last_at = now
        metrics.BLOCKED_ACTIONS.labels(
            action_name(action), "+".join(precondition_names(missing_preconditions))
        ).inc()

    def recent(self, since: float) -> list[tuple[Action, Precondition, BlockedAction]]:
        """Return the rows with a blocked action since a time, the latest first."""
        rows = [
            (action, Precondition(missing_preconditions), row)
            for (action, missing_preconditions), row in self.rows.items()
            if row.last_at >= since
        ]
        return sorted(rows, key=lambda entry: -entry[2].last_at)
