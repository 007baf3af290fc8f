"""What the ledger tells whoever acts on it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from salthead.cluster.model import Job, Machine


@dataclass
class LedgerEvents:
    """Callbacks of a term; each does nothing until it is set."""

    changed: Callable[[], None] = lambda: None
    completed: Callable[[Job], None] = lambda job: None  # all tasks of the job are done
    aborts_pending: Callable[[], None] = lambda: None
    # Placement, called between what a heartbeat says and the starts that its answer carries.
    room_freed: Callable[[Machine, float], None] = lambda machine, now: None
