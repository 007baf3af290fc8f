"""How many connections are open on a server, and which of them are closed at the limit.

The platform gives a process a number of sockets. Seen at half as many machines again as the fleet
deployments have: behind a cut that holds packets, workers leave connections half open and open
new ones, 1,344 on one controller with 926 machines. At the platform's limit a process can't reach
the state service either, and a leader would lose its leadership.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

ABANDONED_AFTER_S = 120.0
# Above this share of the limit each connection is closed after its answer. A fleet that is larger
# than the number of sockets then takes turns instead of being refused: 4,000 workers that send a
# heartbeat every 3 s, each for 50 ms, hold about 70 connections at a time.
CROWDED_SHARE = 0.8

HeartbeatNumber = tuple[int, int]  # incarnation and sequence of a heartbeat, which it is ordered by


class Closable(Protocol):
    """A connection that can be closed, such as a stream."""

    def close(self) -> None:
        """Close the connection."""


class Connections:
    """Open connections, the least recently used first.

    ``limit``: the number of connections; 0: no limit. ``idle_s``: a connection without a request
    for this long may be closed for a new one, since its client is gone or can connect again.
    """

    def __init__(self, limit: int, idle_s: float, now: Callable[[], float]) -> None:
        self.limit = limit
        self.idle_s = idle_s
        self.now = now
        self.last_used_at: OrderedDict[Closable, float] = OrderedDict()
        self.by_worker: dict[str, tuple[Closable, HeartbeatNumber]] = {}
        self.worker_of: dict[Closable, str] = {}

    def crowded(self) -> bool:
        """Whether connections are to be closed after their answer, so that others get a turn."""
        return self.limit > 0 and len(self.last_used_at) > CROWDED_SHARE * self.limit

    def admit(self, stream: Closable) -> bool:
        """Whether a new connection may stay; at the limit, an idle one is closed for it."""
        now = self.now()
        if 0 < self.limit <= len(self.last_used_at):
            oldest, at = next(iter(self.last_used_at.items()))
            if now - at <= self.idle_s:
                return False
            self.forget(oldest)
            oldest.close()
        self.last_used_at[stream] = now
        return True

    def close_abandoned(self) -> None:
        """Close connections without a request for long, or with half of one."""
        now = self.now()
        while self.last_used_at:
            oldest, at = next(iter(self.last_used_at.items()))
            if now - at <= ABANDONED_AFTER_S:
                return
            self.forget(oldest)
            oldest.close()

    def request_received(self, stream: Closable) -> None:
        """A request has begun on a connection."""
        if stream in self.last_used_at:
            self.last_used_at[stream] = self.now()
            self.last_used_at.move_to_end(stream)

    def forget(self, stream: Closable) -> None:
        """A connection has ended, or is about to be closed."""
        self.last_used_at.pop(stream, None)
        worker = self.worker_of.pop(stream, None)
        if worker is not None and self.by_worker.get(worker, (None,))[0] is stream:
            del self.by_worker[worker]

    def heartbeat_received(self, worker: str, number: HeartbeatNumber, stream: Closable) -> None:
        """Keep one connection for each worker: an older one, which may be half open, is closed.

        A late copy on another connection is no newer heartbeat, and closes nothing.
        """
        if stream not in self.last_used_at:
            return
        known = self.by_worker.get(worker)
        if known is not None and known[0] is not stream:
            if number <= known[1]:
                return
            self.forget(known[0])
            known[0].close()
        self.by_worker[worker] = (stream, number)
        self.worker_of[stream] = worker
