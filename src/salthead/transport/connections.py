"""How many connections are open on a server, and which of them go when there are too many.

The platform gives a process a number of sockets. Seen at half as many machines again as the fleet
deployments have: behind a cut that holds packets, workers leave connections half open and open
new ones, 1,344 on one controller with 926 machines. At the bound a process can't reach the state
service either, and a leader would lose the lead.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

ABANDONED_AFTER_S = 120.0
# Above this part of the connections that there may be, each is closed after its answer. A fleet
# that is larger than the number of sockets then takes turns instead of being refused: 4,000
# workers that heartbeat every 3 s, each for 50 ms, hold about 70 connections at a time.
CROWDED_SHARE = 0.8

Mark = tuple[int, int]  # of a heartbeat: (tenure, tally)


class Closable(Protocol):
    """What can be closed, such as a stream."""

    def close(self) -> None:
        """Close it."""


class Connections:
    """Open connections, the one used longest ago first. ``most`` 0: as many as come."""

    def __init__(self, most: int, idle_s: float, now: Callable[[], float]) -> None:
        self.most = most
        self.idle_s = idle_s  # whoever was silent for this long has gone, or can come again
        self.now = now
        self.used_at: OrderedDict[Closable, float] = OrderedDict()
        self.of_worker: dict[str, tuple[Closable, Mark]] = {}
        self.worker_on: dict[Closable, str] = {}

    def crowded(self) -> bool:
        """Whether connections are to be closed after their answer, so that others get a turn."""
        return self.most > 0 and len(self.used_at) > CROWDED_SHARE * self.most

    def opened(self, stream: Closable) -> bool:
        """Whether the connection may stay; if need be, the one that was idle longest goes."""
        now = self.now()
        if 0 < self.most <= len(self.used_at):
            oldest, at = next(iter(self.used_at.items()))
            if now - at <= self.idle_s:
                return False
            self.closed(oldest)
            oldest.close()
        self.used_at[stream] = now
        return True

    def sweep(self) -> None:
        """Close what nobody has used for long: an idle connection, or half a request."""
        now = self.now()
        while self.used_at:
            oldest, at = next(iter(self.used_at.items()))
            if now - at <= ABANDONED_AFTER_S:
                return
            self.closed(oldest)
            oldest.close()

    def used(self, stream: Closable) -> None:
        """A request came on the connection."""
        if stream in self.used_at:
            self.used_at[stream] = self.now()
            self.used_at.move_to_end(stream)

    def closed(self, stream: Closable) -> None:
        """The connection has ended."""
        self.used_at.pop(stream, None)
        worker = self.worker_on.pop(stream, None)
        if worker is not None and self.of_worker.get(worker, (None,))[0] is stream:
            del self.of_worker[worker]

    def heartbeat_received(self, worker: str, mark: Mark, stream: Closable) -> None:
        """A worker has one connection: a newer one ends that before it, which may be half open.

        A late copy on another connection is no newer heartbeat, and ends nothing.
        """
        if stream not in self.used_at:
            return
        known = self.of_worker.get(worker)
        if known is not None and known[0] is not stream:
            if mark <= known[1]:
                return
            self.closed(known[0])
            known[0].close()
        self.of_worker[worker] = (stream, mark)
        self.worker_on[stream] = worker
