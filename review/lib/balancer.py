"""Stand-in of the load balancer in front of the controllers, by "Users -> controller nodes"."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

from wire import call

PROBE_S, PAUSE_S, ACCEPT_S = 1.0, 3.0, 0.5


class Balancer:
    """Chooses a healthy node with few open user connections for each new connection."""

    def __init__(self, ports: list[int]) -> None:
        self.ports = ports
        self.open = [0] * len(ports)
        self.healthy = [True] * len(ports)
        self.failed = [0] * len(ports)
        self.passed = [0] * len(ports)
        self.removed_at = [-1e9] * len(ports)

    async def probe_loop(self) -> None:
        """Probe every node about once a second."""

        async def probe(n: int) -> None:
            while True:
                status, _ = await call(self.ports[n], "GET", "/up", timeout=1.0)
                if status == 200:
                    self.failed[n], self.passed[n] = 0, self.passed[n] + 1
                    paused = time.monotonic() - self.removed_at[n] < PAUSE_S
                    if not self.healthy[n] and self.passed[n] >= 2 and not paused:
                        self.healthy[n] = True
                else:
                    self.failed[n], self.passed[n] = self.failed[n] + 1, 0
                    if self.healthy[n] and self.failed[n] >= 2:
                        self.healthy[n], self.removed_at[n] = False, time.monotonic()
                await asyncio.sleep(PROBE_S)

        await asyncio.gather(*(probe(n) for n in range(len(self.ports))))

    async def ask(
        self, method: str, path: str, body: Any, timeout: float
    ) -> tuple[int | None, int, Any]:
        """Send a request on a new connection; return the node, the status and the answer."""
        nodes = [n for n, healthy in enumerate(self.healthy) if healthy]
        nodes.sort(key=lambda n: (self.open[n], random.random()))
        for n in nodes[:3]:
            try:
                async with asyncio.timeout(ACCEPT_S):
                    connection = await asyncio.open_connection("127.0.0.1", self.ports[n])
            except (OSError, TimeoutError):
                continue  # refused: the next healthy node
            self.open[n] += 1
            try:
                status, answer = await call(self.ports[n], method, path, body, timeout, connection)
            finally:
                self.open[n] -= 1
            return n, status, answer
        return None, 0, {}
