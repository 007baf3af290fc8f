"""Evidence on a controller's own links, and on workers that contact it while another leads."""

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
from salthead.state_store.messages import RequestRefusedError
from salthead.state_store.request_stats import RequestClass
from salthead.transport.client import HttpClient, UnansweredError

# A worker whose leader hangs tries the next controller after 5 s: a time-out of 4 s, and 1 s more.
REDIRECT_WINDOW_S = 6.0
# About the interval of the load balancer's probes.
CONNECTIVITY_CHECK_INTERVAL_S = 1.0

# How long redirected heartbeats are kept for the leader, which asks for them every 2 s.
REDIRECTED_HEARTBEAT_WINDOW_S = 6.0
# A body of 64 KiB has room for twice as many.
MAX_REPORTED_HEARTBEATS = 1500

DISTANT_PAST_S = -1e9


class ReceivedHeartbeat(NamedTuple):
    """The latest heartbeat of a redirected worker, and when it was received."""

    heartbeat: RedirectedHeartbeat
    received_at: float


class Connectivity:
    """One controller's evidence on its own links, for the lifetime of its process."""

    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self.last_peer_answer_at = context.now()
        # When a peer last reported that the state service answers it.
        self.peers_served_at = DISTANT_PAST_S
        # When each worker last contacted this controller, which did not lead, by the worker's
        # address; the latest entry is last.
        self.last_contact_at: OrderedDict[str, float] = OrderedDict()
        # The latest redirected heartbeat of each worker; the latest entry is last.
        self.heartbeats: OrderedDict[str, ReceivedHeartbeat] = OrderedDict()

    async def loop(self) -> None:
        """Probe the state service, and the peers while it does not answer, forever."""
        while True:
            await self.context.sleep_with_jitter(CONNECTIVITY_CHECK_INTERVAL_S)
            if (
                self.context.state_store.last_response_at
                >= self.context.now() - CONNECTIVITY_CHECK_INTERVAL_S
            ):
                continue
            try:
                await self.context.state_store.get(
                    records.LEADER, RequestClass.LEASE, timeout=CONNECTIVITY_CHECK_INTERVAL_S
                )
            except (RequestRefusedError, UnansweredError):
                await asyncio.gather(
                    *(self._probe_peer(peer) for peer in self.context.peers.values()),
                    return_exceptions=True,
                )

    async def _probe_peer(self, peer: HttpClient) -> None:
        """Record whether a peer answers, and whether the state service answers that peer."""
        answer = await ask_connectivity(peer)
        if answer is None:
            return
        self.last_peer_answer_at = self.context.now()
        if (
            answer.state_service_silence_s is not None
            and answer.state_service_silence_s < 2.0 * CONNECTIVITY_CHECK_INTERVAL_S
        ):
            self.peers_served_at = self.context.now()

    def report(self, to_leader: bool = False) -> ConnectivityReport:
        """Return this controller's report on its links, for a peer.

        With ``to_leader``, the report includes the latest redirected heartbeats, which the leader
        may lack.
        """
        count = self.redirected_count()
        silence_s = self.context.now() - self.context.state_store.last_response_at
        if not to_leader:
            return ConnectivityReport(count, silence_s)
        self._drop_old_heartbeats()
        latest = islice(reversed(self.heartbeats.values()), MAX_REPORTED_HEARTBEATS)
        return ConnectivityReport(count, silence_s, [received.heartbeat for received in latest])

    def refused_by_state_service(self) -> bool:
        """Return whether the state service answers a peer but not this controller.

        This controller can then accept no jobs.
        """
        now = self.context.now()
        return (
            now - self.context.state_store.last_response_at > 2.0 * CONNECTIVITY_CHECK_INTERVAL_S
            and now - self.peers_served_at < 4.0 * CONNECTIVITY_CHECK_INTERVAL_S
        )

    def cut_off(self) -> bool:
        """Return whether this controller lost both the state service and all peers.

        Workers and users may still reach it, but its view of the leader is stale, and it can't
        decide anything.
        """
        max_silence_s = 2.0 * leader_lease.leader_ttl(self.context.limits.workers.lease_s)
        return (
            self.context.now()
            - max(self.context.state_store.last_response_at, self.last_peer_answer_at)
            > max_silence_s
        )

    def record_redirected_worker(self, source: str) -> None:
        """Record that the worker at an address contacted this controller, which does not lead."""
        self.last_contact_at[source] = self.context.now()
        self.last_contact_at.move_to_end(source)

    def record_redirected_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat that was redirected, for reports to the leader."""
        self.heartbeats[heartbeat.worker] = ReceivedHeartbeat(
            RedirectedHeartbeat(
                heartbeat.worker,
                heartbeat.incarnation,
                heartbeat.sequence,
                heartbeat.fencing_token,
            ),
            self.context.now(),
        )
        self.heartbeats.move_to_end(heartbeat.worker)
        self._drop_old_heartbeats()

    def _drop_old_heartbeats(self) -> None:
        since = self.context.now() - REDIRECTED_HEARTBEAT_WINDOW_S
        while self.heartbeats and next(iter(self.heartbeats.values())).received_at < since:
            self.heartbeats.popitem(last=False)

    def redirected_count(self) -> int:
        """Return how many workers contacted this controller lately although it did not lead.

        Called at each heartbeat, so it looks only at the entries that have expired since the last
        call.
        """
        since = self.context.now() - REDIRECT_WINDOW_S
        while self.last_contact_at and next(iter(self.last_contact_at.values())) < since:
            self.last_contact_at.popitem(last=False)
        return len(self.last_contact_at)
