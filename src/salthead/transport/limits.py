"""Rate limiting of outgoing calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from salthead.errors import SaltheadError

REFILL_SLACK_S = 0.002  # for timers that fire early
TURN_SLACK_S = 0.05  # for timers that fire late, so that the last of a full queue has its turn


class TokenBucket:
    """A token bucket of ``rate`` tokens per second and at most ``burst`` tokens; starts full."""

    def __init__(self, rate: float, burst: float, now: Callable[[], float]) -> None:
        self.rate = rate
        self.burst = max(1.0, burst)
        self.now = now
        self.tokens = self.burst
        self.refilled_at = now()

    def _refill(self) -> None:
        now = self.now()
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now

    def try_acquire(self, amount: float = 1.0) -> bool:
        """Take tokens if there are enough, and return whether there were."""
        self._refill()
        if self.tokens + 1e-9 < amount:
            return False
        self.tokens -= amount
        return True

    def take(self, amount: float = 1.0) -> None:
        """Take tokens at once; if there are too few, later requests wait for the refill.

        They wait for at most the time in which the bucket fills twice.
        """
        self._refill()
        self.tokens = max(self.tokens - amount, -self.burst)

    def delay_s(self, amount: float = 1.0) -> float:
        """Return the time until there are enough tokens, in seconds."""
        self._refill()
        return max(0.0, (amount - self.tokens) / self.rate)

    async def wait(self, amount: float = 1.0) -> None:
        """Wait until there are enough tokens and take them, at most ``burst``."""
        amount = min(amount, self.burst)
        while not self.try_acquire(amount):
            await asyncio.sleep(self.delay_s(amount) + REFILL_SLACK_S)


class QueueFullError(SaltheadError):
    """A request would not get its turn in time."""


class WaitQueue:
    """Requests that wait for a token, in order, each for a limited time."""

    def __init__(self, bucket: TokenBucket) -> None:
        self.bucket = bucket
        self.waiting: dict[asyncio.Future[None], None] = {}  # in order
        self._timer: asyncio.TimerHandle | None = None

    def try_acquire(self) -> bool:
        """Take a token if nobody waits for one, and return whether there was one."""
        return not self.waiting and self.bucket.try_acquire()

    async def acquire(self, max_wait_s: float) -> None:
        """Wait for a token, for at most ``max_wait_s`` seconds.

        Raises QueueFullError at once if those that wait already will take that long.
        """
        if self.try_acquire():
            return
        if len(self.waiting) >= int(self.bucket.rate * max_wait_s):
            raise QueueFullError("too many reads wait")
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting[turn] = None
        self._schedule()
        try:
            await asyncio.wait_for(turn, max_wait_s + TURN_SLACK_S)
        except TimeoutError:
            raise QueueFullError("waited for too long") from None
        finally:
            self.waiting.pop(turn, None)

    def _schedule(self) -> None:
        """Serve the queue when the next token is due."""
        if self._timer is None and self.waiting:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self.bucket.delay_s() + REFILL_SLACK_S, self._serve)

    def _serve(self) -> None:
        self._timer = None
        for turn in [turn for turn in self.waiting if turn.done()]:
            del self.waiting[turn]  # its caller is about to leave
        while self.waiting and self.bucket.try_acquire():
            turn = next(iter(self.waiting))
            del self.waiting[turn]
            turn.set_result(None)
        self._schedule()
