"""Rate limits of outgoing calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class TokenBucket:
    """A token bucket: ``rate`` tokens a second, up to ``burst`` of them. It starts full."""

    def __init__(self, rate: float, burst: float, now: Callable[[], float]) -> None:
        self.rate = rate
        self.burst = max(1.0, burst)
        self.now = now
        self.tokens = self.burst
        self.filled_at = now()

    def _refill(self) -> None:
        now = self.now()
        self.tokens = min(self.burst, self.tokens + (now - self.filled_at) * self.rate)
        self.filled_at = now

    def take(self, amount: float = 1.0) -> bool:
        """Take tokens if there are enough; whether there were."""
        self._refill()
        if self.tokens + 1e-9 < amount:
            return False
        self.tokens -= amount
        return True

    def delay(self, amount: float = 1.0) -> float:
        """Seconds until there are enough tokens."""
        self._refill()
        return max(0.0, (amount - self.tokens) / self.rate)

    async def wait(self, amount: float = 1.0) -> None:
        """Take tokens as soon as there are enough; no more than a burst of them."""
        amount = min(amount, self.burst)
        while not self.take(amount):
            await asyncio.sleep(self.delay(amount) + 0.002)
