"""A bounded first-in, first-out queue for a token bucket."""

from __future__ import annotations

import asyncio

from salthead.errors import SaltheadError
from salthead.transport.limits import TokenBucket


class QueueFullError(SaltheadError):
    """A request would not get its turn in time."""


class WaitQueue:
    """Requests that wait for a token, in order, each for at most ``max_wait_s`` seconds."""

    def __init__(self, bucket: TokenBucket, max_wait_s: float) -> None:
        self.bucket = bucket
        self.max_wait_s = max_wait_s
        # More could not be served before the last of them has waited for too long.
        self.max_waiting = int(bucket.rate * max_wait_s)
        self.waiting: dict[asyncio.Future[None], None] = {}  # in order
        self._timer: asyncio.TimerHandle | None = None

    def try_acquire(self) -> bool:
        """Take a token if nobody waits for one, and return whether there was one."""
        return not self.waiting and self.bucket.try_acquire()

    async def acquire(self) -> None:
        """Wait for a token; raises QueueFullError at once, or after ``max_wait_s``."""
        if self.try_acquire():
            return
        if len(self.waiting) >= self.max_waiting:
            raise QueueFullError("too many reads wait")
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting[turn] = None
        self._schedule()
        try:
            await asyncio.wait_for(turn, self.max_wait_s)
        except TimeoutError:
            raise QueueFullError("waited for too long") from None
        finally:
            self.waiting.pop(turn, None)

    def _schedule(self) -> None:
        """Serve the queue when the next token is due."""
        if self._timer is None and self.waiting:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self.bucket.delay_s(), self._serve)

    def _serve(self) -> None:
        self._timer = None
        while self.waiting and self.bucket.try_acquire():
            turn = next(iter(self.waiting))
            del self.waiting[turn]
            turn.set_result(None)
        self._schedule()
