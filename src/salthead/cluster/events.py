"""Callbacks that the ledger calls on changes, set by the term that owns the ledger."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from salthead.cluster.model import Job, Machine


@dataclass
class LedgerEvents:
    """Callbacks for changes of the ledger; each does nothing until the term sets it."""

    changed: Callable[[], None] = lambda: None
    completed: Callable[[Job], None] = lambda job: None  # all tasks of the job are done
    aborts_pending: Callable[[], None] = lambda: None
    # Places tasks on a machine with freed capacity. Called after a heartbeat's tasks are reconciled
    # and before its answer is built, so that the answer carries the new starts.
    capacity_freed: Callable[[Machine, float], None] = lambda machine, now: None
