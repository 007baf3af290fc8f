"""What a node reaches, and who reaches it: the state service, the other nodes, workers."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from itertools import islice
from typing import TYPE_CHECKING, Any, NamedTuple

from salthead.coordination import lease
from salthead.leader.peer_calls import ask_reach
from salthead.protocol.messages import Heartbeat
from salthead.state_store import records
from salthead.state_store.client import RequestRefusedError
from salthead.transport.client import Caller, UnansweredError

if TYPE_CHECKING:
    from salthead.controller.controller import Node

# A worker whose leader hangs tries the next node after its time-out of 4 s and 1 s more.
REDIRECT_WINDOW_S = 6.0
# The load balancer's probes are about this far apart.
REACH_S = 1.0

# For how long a report that came here may be news to the leader, which asks every two seconds; and
# of how many it is told at a time: 64 KiB have room for twice as many.
SEEN_WINDOW_S = 6.0
SEEN_TOLD = 1500


class RedirectedHeartbeat(NamedTuple):
    """Which report a worker sent here although another node leads, and the token that it showed."""

    incarnation: int
    sequence: int
    fencing_token: int
    at: float


class Reach:
    """One node's evidence on its own links, for as long as its process lives."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.reached = node.now()  # when another node last answered
        self.others_served = -1e9  # when one last said that the state service serves it
        # Workers that this node sent to the leader, and when; who came last stands last.
        self.redirected: OrderedDict[str, float] = OrderedDict()
        # Their latest reports, in the same order.
        self.seen: OrderedDict[str, RedirectedHeartbeat] = OrderedDict()

    async def loop(self) -> None:
        """Whether this node reaches the state service or any other node, and they the service."""
        while True:
            await self.node.rest(REACH_S)
            if self.node.state_store.last_response_at >= self.node.now() - REACH_S:
                continue
            try:
                await self.node.state_store.get(records.LEAD, timeout=REACH_S, urgent=True)
            except (RequestRefusedError, UnansweredError):
                await asyncio.gather(
                    *(self.ask(peer) for peer in self.node.peers.values()), return_exceptions=True
                )

    async def ask(self, peer: Caller) -> None:
        """Ask a peer whether it is there, and whether the state service serves it."""
        found = await ask_reach(peer)
        if found is None:
            return
        self.reached = self.node.now()
        if found.state_service_s is not None and found.state_service_s < 2.0 * REACH_S:
            self.others_served = self.node.now()

    def as_told(self, to_leader: bool = False) -> dict[str, Any]:
        """What a peer is told of this node's reach; a leader also, which workers it has missed."""
        told: dict[str, Any] = {
            "knocks": self.redirected_count(),
            "served_s": self.node.now() - self.node.state_store.last_response_at,
        }
        if to_leader:
            self._forget_old()
            told["seen"] = [
                [worker, found.incarnation, found.sequence, found.fencing_token]
                for worker, found in islice(reversed(self.seen.items()), SEEN_TOLD)
            ]
        return told

    def refused_alone(self) -> bool:
        """Whether the state service serves others, but not this node: it can take no job."""
        now = self.node.now()
        return (
            now - self.node.state_store.last_response_at > 2.0 * REACH_S
            and now - self.others_served < 4.0 * REACH_S
        )

    def cut_off(self) -> bool:
        """Whether this node lost the state service and all others, though workers and users may
        reach it: what it knows of the lead is old, and it can decide nothing."""
        patience = 2.0 * lease.leader_ttl(self.node.limits.workers.lease_s)
        return (
            self.node.now() - max(self.node.state_store.last_response_at, self.reached) > patience
        )

    def note_redirected(self, who: str) -> None:
        """A worker came here although another node leads."""
        self.redirected[who] = self.node.now()
        self.redirected.move_to_end(who)

    def record_redirected_heartbeat(self, heartbeat: Heartbeat) -> None:
        """A worker reported here although another node leads."""
        self.seen[heartbeat.worker] = RedirectedHeartbeat(
            heartbeat.incarnation, heartbeat.sequence, heartbeat.fencing_token, self.node.now()
        )
        self.seen.move_to_end(heartbeat.worker)
        self._forget_old()

    def _forget_old(self) -> None:
        since = self.node.now() - SEEN_WINDOW_S
        while self.seen and next(iter(self.seen.values())).at < since:
            self.seen.popitem(last=False)

    def redirected_count(self) -> int:
        """How many workers came here lately although another node leads.

        Asked at reports, so it looks only at those that have left since it was asked last.
        """
        since = self.node.now() - REDIRECT_WINDOW_S
        while self.redirected and next(iter(self.redirected.values())) < since:
            self.redirected.popitem(last=False)
        return len(self.redirected)
