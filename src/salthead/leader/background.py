"""Work of a term that runs beside its loops."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from salthead.event_log import error_event

log = logging.getLogger(__name__)


class BackgroundTasks:
    """Tasks that run until they are done or the term ends."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run something beside the loops until it is done or the term ends."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            error_event(log, "background_task_failed", error)
