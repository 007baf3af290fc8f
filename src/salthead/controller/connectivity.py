"""Whether this controller reaches the state service and its peers, and who is redirected by it."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from itertools import islice
from typing import NamedTuple

from salthead.controller.context import ControllerContext
from salthead.leader.peer_calls import ask_connectivity
from salthead.leases import leader_lease
from salthead.protocol.messages import Heartbeat
from salthead.protocol.peer_messages import ConnectivityReport, RedirectedHeartbeat
from salthead.state_store import records
from salthead.state_store.client import RequestRefusedError
from salthead.transport.client import HttpClient, UnansweredError

# A worker whose leader hangs tries the next controller after its time-out of 4 s and 1 s more.
REDIRECT_WINDOW_S = 6.0
# The load balancer's probes are about this far apart.
CONNECTIVITY_TIMEOUT_S = 1.0

# For how long a heartbeat that came here may be news to the leader, which asks every two seconds;
# and of how many it is told at a time: 64 KiB have room for twice as many.
REDIRECTED_HEARTBEAT_WINDOW_S = 6.0
MAX_LISTED_HEARTBEATS = 1500

NEVER = -1e9


class SeenHeartbeat(NamedTuple):
    """A worker's latest heartbeat here although another controller leads, and when it came."""

    heartbeat: RedirectedHeartbeat
    at: float


class Connectivity:
    """One controller's evidence on its own links, for as long as its process lives."""

    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self.last_peer_answer_at = context.now()  # when another controller last answered
        self.peers_served_at = NEVER  # when one last said that the state service serves it
        # Workers that this controller redirected, and when; the latest stands last.
        self.redirected: OrderedDict[str, float] = OrderedDict()
        # Their latest heartbeats, in the same order.
        self.seen: OrderedDict[str, SeenHeartbeat] = OrderedDict()

    async def loop(self) -> None:
        """Ask the state service, and where it does not answer the peers, until the process ends."""
        while True:
            await self.context.sleep_with_jitter(CONNECTIVITY_TIMEOUT_S)
            if (
                self.context.state_store.last_response_at
                >= self.context.now() - CONNECTIVITY_TIMEOUT_S
            ):
                continue
            try:
                await self.context.state_store.get(
                    records.LEADER, timeout=CONNECTIVITY_TIMEOUT_S, urgent=True
                )
            except (RequestRefusedError, UnansweredError):
                await asyncio.gather(
                    *(self._ask(peer) for peer in self.context.peers.values()),
                    return_exceptions=True,
                )

    async def _ask(self, peer: HttpClient) -> None:
        """Ask a peer whether it is there, and whether the state service serves it."""
        answer = await ask_connectivity(peer)
        if answer is None:
            return
        self.last_peer_answer_at = self.context.now()
        if (
            answer.state_service_s is not None
            and answer.state_service_s < 2.0 * CONNECTIVITY_TIMEOUT_S
        ):
            self.peers_served_at = self.context.now()

    def report(self, to_leader: bool = False) -> ConnectivityReport:
        """What a peer is told of this controller's links; a leader also, which heartbeats it
        missed."""
        count = self.redirected_count()
        silence_s = self.context.now() - self.context.state_store.last_response_at
        if not to_leader:
            return ConnectivityReport(count, silence_s)
        self._forget_old()
        latest = islice(reversed(self.seen.values()), MAX_LISTED_HEARTBEATS)
        return ConnectivityReport(count, silence_s, [seen.heartbeat for seen in latest])

    def refused_alone(self) -> bool:
        """Whether the state service serves others, but not this controller: it can take no job."""
        now = self.context.now()
        return (
            now - self.context.state_store.last_response_at > 2.0 * CONNECTIVITY_TIMEOUT_S
            and now - self.peers_served_at < 4.0 * CONNECTIVITY_TIMEOUT_S
        )

    def cut_off(self) -> bool:
        """Whether this controller lost the state service and all peers, though workers and users
        may still reach it: what it knows of the leader is old, and it can decide nothing."""
        patience = 2.0 * leader_lease.leader_ttl(self.context.limits.workers.lease_s)
        return (
            self.context.now()
            - max(self.context.state_store.last_response_at, self.last_peer_answer_at)
            > patience
        )

    def record_redirected_worker(self, source: str) -> None:
        """A worker came here although another controller leads."""
        self.redirected[source] = self.context.now()
        self.redirected.move_to_end(source)

    def record_redirected_heartbeat(self, heartbeat: Heartbeat) -> None:
        """A heartbeat came here although another controller leads."""
        self.seen[heartbeat.worker] = SeenHeartbeat(
            RedirectedHeartbeat(
                heartbeat.worker,
                heartbeat.incarnation,
                heartbeat.sequence,
                heartbeat.fencing_token,
            ),
            self.context.now(),
        )
        self.seen.move_to_end(heartbeat.worker)
        self._forget_old()

    def _forget_old(self) -> None:
        since = self.context.now() - REDIRECTED_HEARTBEAT_WINDOW_S
        while self.seen and next(iter(self.seen.values())).at < since:
            self.seen.popitem(last=False)

    def redirected_count(self) -> int:
        """How many workers came here lately although another controller leads.

        Asked at heartbeats, so it looks only at those that have left since it was asked last.
        """
        since = self.context.now() - REDIRECT_WINDOW_S
        while self.redirected and next(iter(self.redirected.values())) < since:
            self.redirected.popitem(last=False)
        return len(self.redirected)
