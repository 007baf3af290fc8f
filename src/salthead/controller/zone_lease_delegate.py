"""Renewing the leases of a zone's workers in the name of a leader that they can't reach."""

from __future__ import annotations

import uuid

from salthead.controller.connectivity import Connectivity
from salthead.controller.context import ControllerContext
from salthead.controller.leader_view import LeaderView
from salthead.leases import leader_lease
from salthead.leases.zone_leases import ZoneLease
from salthead.protocol import wire_names
from salthead.protocol.messages import Heartbeat
from salthead.state_store import records
from salthead.state_store.client import RETRYABLE_ERRORS, ConflictError, delete, put
from salthead.transport.client import UnansweredError

# Calls to the leader in a row without an answer, before its workers' leases are renewed from here.
MAX_MISSED_CALLS = 2
ANSWER_CHECKS = 4  # reads of the leader's permission after one request


class ZoneLeaseDelegate:
    """The controller's side: what it asks the leader for, and which workers it then answers."""

    def __init__(
        self, context: ControllerContext, leader_view: LeaderView, connectivity: Connectivity
    ) -> None:
        self.context = context
        self.member = context.settings.member
        self.leader_view = leader_view
        self.connectivity = connectivity
        self.lease = ZoneLease(leader_lease.leader_ttl(context.limits.workers.lease_s))

    async def loop(self) -> None:
        """While the leader is unreachable and the state service is not: renew workers' leases."""
        requested = True  # an earlier process of this member may have left its request behind
        missed = 0
        while True:
            await self.context.sleep_with_jitter(self.lease.ttl / 8.0)
            missed = 0 if await self._reaches_leader() else missed + 1
            try:
                if missed >= MAX_MISSED_CALLS:
                    requested = True
                    await self._ask()
                elif requested:
                    self.lease.stop()
                    await self._withdraw()
                    requested = False
            except (ConflictError, *RETRYABLE_ERRORS) as error:
                self.context.log_throttled("keep", error)

    async def _reaches_leader(self) -> bool:
        """Whether the leader answers; also where there is none, or this controller leads."""
        peer = self.context.peers.get(self.leader_view.member or "")
        if self.leader_view.term is not None or peer is None:
            return True
        try:
            await peer.call("POST", wire_names.PEER_CONNECTIVITY_PATH, timeout=self.lease.ttl / 8.0)
        except UnansweredError:
            return False
        return True

    async def _ask(self) -> None:
        """Ask the leader through the state service, and wait a little for its permission."""
        member = self.member
        request = self.lease.new_request(
            self.leader_view.fencing_token,
            uuid.uuid4().hex[:12],
            self.context.settings.area,
            self.context.now(),
        )
        await self.context.state_store.transaction(
            {}, [put(records.DELEGATION_REQUESTS + member, request)], urgent=True
        )
        for _ in range(ANSWER_CHECKS):
            await self.context.sleep_with_jitter(self.lease.ttl / 24.0)
            row = await self.context.state_store.get(records.DELEGATIONS + member, urgent=True)
            if row is not None and self.lease.accept_grant(row.value):
                return

    async def _withdraw(self) -> None:
        key = records.DELEGATION_REQUESTS + self.member
        row = await self.context.state_store.get(key, urgent=True)
        if row is not None:
            # On condition of its revision: carried out late, it must not remove a later request,
            # by which the next leader knows of what was permitted.
            await self.context.state_store.transaction(
                {key: row.revision}, [delete(key)], urgent=True
            )

    def may_acknowledge(self, heartbeat: Heartbeat) -> bool:
        """Whether to answer a worker in the name of a leader that it can't reach."""
        now = self.context.now()
        returned = self.lease.redirects.record(heartbeat.worker, now)
        return (
            self.leader_view.member not in (None, self.member)
            and self.lease.valid(self.leader_view.fencing_token, now)
            and heartbeat.zone == self.context.settings.area
            and heartbeat.fencing_token <= self.leader_view.fencing_token
            # A worker may be here by chance. A second one, or one that was redirected before and is
            # here again, can't reach the leader, and their leases may not last for another round.
            and (returned or self.connectivity.redirected_count() > 0)
        )
