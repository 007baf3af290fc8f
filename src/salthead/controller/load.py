"""Load of a controller, and when it sheds submissions."""

from __future__ import annotations

import asyncio

from salthead.controller.context import ControllerContext

LAG_CHECK_INTERVAL_S, MAX_LAG_S = 0.25, 0.5
MIN_CONCURRENT_SUBMISSIONS = 4.0


class LoadMonitor:
    """Measures the lag of the event loop, and counts submissions in progress."""

    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self.lag_s = 0.0
        self.submissions_in_progress = 0

    async def loop(self) -> None:
        """Measure the lag of timers until the process ends."""
        while True:
            due = self.context.now() + LAG_CHECK_INTERVAL_S
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            self.lag_s = self.context.now() - due

    def overloaded(self) -> bool:
        """Return whether to shed submissions, so that heartbeats and scheduling are not delayed.

        Each submission needs at least one write. If more are in progress than the state service's
        writes per second, they can't all be written within one second.
        """
        return self.lag_s > MAX_LAG_S or self.submissions_in_progress >= max(
            MIN_CONCURRENT_SUBMISSIONS, self.context.state_limits.write_rps
        )
