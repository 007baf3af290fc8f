"""Background tasks of a term, besides its loops."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from salthead.event_log import error_event

log = logging.getLogger(__name__)


class BackgroundTasks:
    """The set of running background tasks, which the term cancels when it ends."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background, and log the exception if it raises one."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            error_event(log, "background_task_failed", error)
