"""Budgets of calls per second, with bursts of a set size."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Budget:
    """A token bucket. ``now`` is injected, so that tests run on fake time."""

    def __init__(self, rate: float, burst: float, now: Callable[[], float]) -> None:
        self.rate = rate
        self.burst = max(1.0, burst)
        self.now = now
        self.level = self.burst
        self.at = now()

    def _fill(self) -> None:
        now = self.now()
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now

    def take(self, amount: float = 1.0) -> bool:
        """Take an amount if it is there; whether it was."""
        self._fill()
        if self.level + 1e-9 < amount:
            return False
        self.level -= amount
        return True

    def delay(self, amount: float = 1.0) -> float:
        """How long until the amount is there."""
        self._fill()
        return max(0.0, (amount - self.level) / self.rate)

    async def wait(self, amount: float = 1.0) -> None:
        """Take an amount as soon as it is there."""
        amount = min(amount, self.burst)
        while not self.take(amount):
            await asyncio.sleep(self.delay(amount) + 0.002)
