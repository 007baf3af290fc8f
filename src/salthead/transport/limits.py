"""Rate limiting of outgoing calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


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
        """Take tokens at once; if there are too few, later requests wait for the refill."""
        self._refill()
        self.tokens -= amount

    def delay_s(self, amount: float = 1.0) -> float:
        """Return the time until there are enough tokens, in seconds."""
        self._refill()
        return max(0.0, (amount - self.tokens) / self.rate)

    async def wait(self, amount: float = 1.0) -> None:
        """Wait until there are enough tokens and take them, at most ``burst``."""
        amount = min(amount, self.burst)
        while not self.try_acquire(amount):
            await asyncio.sleep(self.delay_s(amount) + 0.002)
