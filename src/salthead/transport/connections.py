"""Limit on the open connections of a server, and the choice of those to close.

The platform limits the sockets of a process. Behind a network cut that holds packets back, workers
leave connections half open and open new ones: 926 machines, 1.5 times the fleet of the deployments,
held 1,344 on one controller. At the platform's limit a process can't reach the state service
either, and a leader would lose its leadership.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

ABANDONED_AFTER_S = 120.0
# Above this share of the limit, each connection is closed after its answer. A fleet larger than the
# number of sockets then shares them instead of being refused: 4,000 workers that each send a
# heartbeat every 3 s, for 50 ms, hold about 70 connections at a time.
CROWDED_SHARE = 0.8

HeartbeatOrder = tuple[int, int]  # incarnation and sequence, in the order of sending


class Closable(Protocol):
    """A connection that can be closed, such as an ``IOStream``."""

    def close(self) -> None:
        """Close the connection."""


class Connections:
    """The open connections of a server, the least recently used first.

    ``limit``: the maximum number of connections, 0 for no limit. ``idle_s``: a connection without
    a request for this long may be closed in favour of a new one, since its client is gone or can
    connect again.
    """

    def __init__(self, limit: int, idle_s: float, now: Callable[[], float]) -> None:
        self.limit = limit
        self.idle_s = idle_s
        self.now = now
        self.last_used_at: OrderedDict[Closable, float] = OrderedDict()
        self.newest_by_worker: dict[str, tuple[Closable, HeartbeatOrder]] = {}
        self.worker_of: dict[Closable, str] = {}

    def crowded(self) -> bool:
        """Return whether to close connections after their answers, to free them for others."""
        return self.limit > 0 and len(self.last_used_at) > CROWDED_SHARE * self.limit

    def admit(self, stream: Closable) -> bool:
        """Add a connection; return False if the limit is reached and none can be closed for it."""
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
        """Close connections that began no request for long, or left one incomplete."""
        now = self.now()
        while self.last_used_at:
            oldest, at = next(iter(self.last_used_at.items()))
            if now - at <= ABANDONED_AFTER_S:
                return
            self.forget(oldest)
            oldest.close()

    def request_received(self, stream: Closable) -> None:
        """Record that a request has begun on a connection."""
        if stream in self.last_used_at:
            self.last_used_at[stream] = self.now()
            self.last_used_at.move_to_end(stream)

    def forget(self, stream: Closable) -> None:
        """Remove a connection that has ended or is about to be closed."""
        self.last_used_at.pop(stream, None)
        worker = self.worker_of.pop(stream, None)
        if worker is not None and self.newest_by_worker.get(worker, (None,))[0] is stream:
            del self.newest_by_worker[worker]

    def heartbeat_received(self, worker: str, order: HeartbeatOrder, stream: Closable) -> None:
        """Keep one connection per worker: close its earlier one, which may be half open.

        A late or repeated heartbeat on another connection closes nothing.
        """
        if stream not in self.last_used_at:
            return
        previous = self.newest_by_worker.get(worker)
        if previous is not None and previous[0] is not stream:
            if order <= previous[1]:
                return
            self.forget(previous[0])
            previous[0].close()
        self.newest_by_worker[worker] = (stream, order)
        self.worker_of[stream] = worker
