"""Reads of single records for the answers to users: queued, bounded, and shared."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from salthead.state_store.messages import VersionedValue
from salthead.transport.wait_queue import WaitQueue

Read = Callable[[str], Awaitable[VersionedValue | None]]


@dataclass(slots=True)
class _QueuedRead:
    """A read that waits for its turn, and how many callers wait for it."""

    task: asyncio.Task[VersionedValue | None]
    callers: int = 0


class UserReads:
    """Single-key reads in the order of their arrival.

    A read that has not been sent yet serves all callers that ask for its key meanwhile; one that
    was sent may be older than a later question.
    """

    def __init__(self, queue: WaitQueue, read: Read) -> None:
        self.queue = queue
        self.read = read
        self.queued: dict[str, _QueuedRead] = {}

    async def get(self, key: str) -> VersionedValue | None:
        """Read a key when it is its turn.

        Raises QueueFullError if that would be too late for whoever asks.
        """
        queued = self.queued.get(key)
        if queued is None:
            if self.queue.try_acquire():
                return await self.read(key)
            queued = _QueuedRead(asyncio.create_task(self._read_in_turn(key)))
            queued.task.add_done_callback(_retrieve_error)
            self.queued[key] = queued
        queued.callers += 1
        try:
            return await asyncio.shield(queued.task)
        finally:
            queued.callers -= 1
            if not queued.callers and self.queued.get(key) is queued:
                del self.queued[key]
                queued.task.cancel()

    async def _read_in_turn(self, key: str) -> VersionedValue | None:
        try:
            await self.queue.acquire()
        finally:
            self._leave_queue(key)
        return await self.read(key)

    def _leave_queue(self, key: str) -> None:
        queued = self.queued.get(key)
        if queued is not None and queued.task is asyncio.current_task():
            del self.queued[key]


def _retrieve_error(task: asyncio.Task[VersionedValue | None]) -> None:
    """Mark the error of a read as seen, since its callers may have been cancelled."""
    if not task.cancelled():
        task.exception()
