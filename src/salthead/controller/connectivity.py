"""What a controller reaches, and who reaches it: the state service, the other controllers,
workers."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from itertools import islice
from typing import TYPE_CHECKING, Any, NamedTuple

from salthead.leader.peer_calls import ask_connectivity
from salthead.leases import leader_lease
from salthead.protocol.messages import Heartbeat
from salthead.state_store import records
from salthead.state_store.client import RequestRefusedError
from salthead.transport.client import Caller, UnansweredError

if TYPE_CHECKING:
    from salthead.controller.controller import Controller

# A worker whose leader hangs tries the next controller after its time-out of 4 s and 1 s more.
REDIRECT_WINDOW_S = 6.0
# The load balancer's probes are about this far apart.
CONNECTIVITY_TIMEOUT_S = 1.0

# For how long a heartbeat that came here may be news to the leader, which asks every two seconds;
# and of how many it is told at a time: 64 KiB have room for twice as many.
REDIRECTED_HEARTBEAT_WINDOW_S = 6.0
MAX_LISTED_HEARTBEATS = 1500


class RedirectedHeartbeat(NamedTuple):
    """Which report a worker sent here although another controller leads, and the token that it
    showed."""

    incarnation: int
    sequence: int
    fencing_token: int
    at: float


class Connectivity:
    """One controller's evidence on its own links, for as long as its process lives."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller
        self.last_peer_answer_at = controller.now()  # when another controller last answered
        self.peers_served_at = -1e9  # when one last said that the state service serves it
        # Workers that this controller sent to the leader, and when; who came last stands last.
        self.redirected: OrderedDict[str, float] = OrderedDict()
        # Their latest reports, in the same order.
        self.seen: OrderedDict[str, RedirectedHeartbeat] = OrderedDict()

    async def loop(self) -> None:
        """Whether this controller reaches the state service or any other controller, and they the
        service."""
        while True:
            await self.controller.sleep_with_jitter(CONNECTIVITY_TIMEOUT_S)
            if (
                self.controller.state_store.last_response_at
                >= self.controller.now() - CONNECTIVITY_TIMEOUT_S
            ):
                continue
            try:
                await self.controller.state_store.get(
                    records.LEADER, timeout=CONNECTIVITY_TIMEOUT_S, urgent=True
                )
            except (RequestRefusedError, UnansweredError):
                await asyncio.gather(
                    *(self.ask(peer) for peer in self.controller.peers.values()),
                    return_exceptions=True,
                )

    async def ask(self, peer: Caller) -> None:
        """Ask a peer whether it is there, and whether the state service serves it."""
        found = await ask_connectivity(peer)
        if found is None:
            return
        self.last_peer_answer_at = self.controller.now()
        if (
            found.state_service_s is not None
            and found.state_service_s < 2.0 * CONNECTIVITY_TIMEOUT_S
        ):
            self.peers_served_at = self.controller.now()

    def report(self, to_leader: bool = False) -> dict[str, Any]:
        """What a peer is told of this controller's reach; a leader also, which workers it has
        missed."""
        told: dict[str, Any] = {
            "knocks": self.redirected_count(),
            "served_s": self.controller.now() - self.controller.state_store.last_response_at,
        }
        if to_leader:
            self._forget_old()
            told["seen"] = [
                [worker, found.incarnation, found.sequence, found.fencing_token]
                for worker, found in islice(reversed(self.seen.items()), MAX_LISTED_HEARTBEATS)
            ]
        return told

    def refused_alone(self) -> bool:
        """Whether the state service serves others, but not this controller: it can take no job."""
        now = self.controller.now()
        return (
            now - self.controller.state_store.last_response_at > 2.0 * CONNECTIVITY_TIMEOUT_S
            and now - self.peers_served_at < 4.0 * CONNECTIVITY_TIMEOUT_S
        )

    def cut_off(self) -> bool:
        """Whether this controller lost the state service and all others, though workers and users
        may
        reach it: what it knows of the lead is old, and it can decide nothing."""
        patience = 2.0 * leader_lease.leader_ttl(self.controller.limits.workers.lease_s)
        return (
            self.controller.now()
            - max(self.controller.state_store.last_response_at, self.last_peer_answer_at)
            > patience
        )

    def record_redirected_worker(self, who: str) -> None:
        """A worker came here although another controller leads."""
        self.redirected[who] = self.controller.now()
        self.redirected.move_to_end(who)

    def record_redirected_heartbeat(self, heartbeat: Heartbeat) -> None:
        """A worker reported here although another controller leads."""
        self.seen[heartbeat.worker] = RedirectedHeartbeat(
            heartbeat.incarnation,
            heartbeat.sequence,
            heartbeat.fencing_token,
            self.controller.now(),
        )
        self.seen.move_to_end(heartbeat.worker)
        self._forget_old()

    def _forget_old(self) -> None:
        since = self.controller.now() - REDIRECTED_HEARTBEAT_WINDOW_S
        while self.seen and next(iter(self.seen.values())).at < since:
            self.seen.popitem(last=False)

    def redirected_count(self) -> int:
        """How many workers came here lately although another controller leads.

        Asked at reports, so it looks only at those that have left since it was asked last.
        """
        since = self.controller.now() - REDIRECT_WINDOW_S
        while self.redirected and next(iter(self.redirected.values())) < since:
            self.redirected.popitem(last=False)
        return len(self.redirected)
