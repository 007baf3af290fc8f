"""Event loop on fake time: when nothing is ready, the clock jumps to the next timer."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any

FIRST_TIME_S = 1000.0
CANCEL_WITHIN_S = 60.0  # fake time for the tasks left at the end to be cancelled


class _JumpingSelector(selectors.DefaultSelector):
    """Selector that advances the loop's clock instead of waiting for a timer."""

    loop: FakeLoop

    def select(self, timeout: float | None = None) -> Any:
        """Advance the clock by ``timeout`` and return the files that are ready now."""
        if timeout is None:
            raise RuntimeError("deadlock: no timer is scheduled and no file is ready")
        self.loop.clock += max(0.0, timeout)
        return super().select(0)


class FakeLoop(asyncio.SelectorEventLoop):
    """Event loop whose ``time()`` is simulated."""

    def __init__(self) -> None:
        self.clock = FIRST_TIME_S
        selector = _JumpingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the fake time in seconds."""
        return self.clock


def run(work: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine on a new loop, cancel the tasks left over, and return its result."""
    loop = FakeLoop()
    try:
        return loop.run_until_complete(work())
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:  # without any, the future of gather would belong to no running loop
            loop.run_until_complete(
                asyncio.wait_for(asyncio.gather(*tasks, return_exceptions=True), CANCEL_WITHIN_S)
            )
        loop.close()
