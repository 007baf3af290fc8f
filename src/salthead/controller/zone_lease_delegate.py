"""Renewal of the leases of a zone's workers, delegated by a leader that they can't reach."""

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
from salthead.state_store.messages import RETRYABLE_ERRORS, ConflictError, delete, put
from salthead.state_store.request_stats import RequestClass
from salthead.transport.client import UnansweredError

# Consecutive calls to the leader without an answer, after which a delegation is requested.
MAX_MISSED_CALLS = 2
MAX_GRANT_READS = 4  # per request of a delegation


class ZoneLeaseDelegate:
    """The controller's side of a delegation: its requests, and which workers it then answers."""

    def __init__(
        self, context: ControllerContext, leader_view: LeaderView, connectivity: Connectivity
    ) -> None:
        self.context = context
        self.member = context.settings.member
        self.leader_view = leader_view
        self.connectivity = connectivity
        self.lease = ZoneLease(leader_lease.leader_ttl(context.limits.workers.lease_s))

    async def loop(self) -> None:
        """Hold a delegation while the leader is unreachable and the state service is not."""
        requested = True  # an earlier process of this member may have left a request
        missed = 0
        while True:
            await self.context.sleep_with_jitter(self.lease.ttl / 8.0)
            missed = 0 if await self._leader_answers() else missed + 1
            try:
                if missed >= MAX_MISSED_CALLS:
                    requested = True
                    await self._request_delegation()
                elif requested:
                    self.lease.stop()
                    await self._delete_request()
                    requested = False
            except (ConflictError, *RETRYABLE_ERRORS) as error:
                self.context.log_throttled("keep", error)

    async def _leader_answers(self) -> bool:
        """Return whether the leader answers; True if there is none or this controller leads."""
        leader = self.context.peers.get(self.leader_view.member or "")
        if self.leader_view.term is not None or leader is None:
            return True
        try:
            await leader.call(
                "POST", wire_names.PEER_CONNECTIVITY_PATH, timeout=self.lease.ttl / 8.0
            )
        except UnansweredError:
            return False
        return True

    async def _request_delegation(self) -> None:
        """Request a delegation through the state service, and wait a little for the grant."""
        member = self.member
        request = self.lease.new_request(
            self.leader_view.fencing_token,
            uuid.uuid4().hex[:12],
            self.context.settings.area,
            self.context.now(),
        )
        await self.context.state_store.transaction(
            {},
            [put(records.DELEGATION_REQUESTS + member, request)],
            request_class=RequestClass.LEASE,
        )
        for _ in range(MAX_GRANT_READS):
            await self.context.sleep_with_jitter(self.lease.ttl / 24.0)
            row = await self.context.state_store.get(
                records.DELEGATIONS + member, request_class=RequestClass.LEASE
            )
            if row is not None and self.lease.accept_grant(row.value):
                return

    async def _delete_request(self) -> None:
        key = records.DELEGATION_REQUESTS + self.member
        row = await self.context.state_store.get(key, request_class=RequestClass.LEASE)
        if row is not None:
            # Conditional on the revision: a delete that is executed late must not remove a later
            # request, from which the next leader learns of a delegation.
            await self.context.state_store.transaction(
                {key: row.revision}, [delete(key)], request_class=RequestClass.LEASE
            )

    def may_acknowledge(self, heartbeat: Heartbeat) -> bool:
        """Return whether to acknowledge a heartbeat for a leader that the worker can't reach."""
        now = self.context.now()
        returned = self.lease.redirects.record(heartbeat.worker, now)
        return (
            self.leader_view.member not in (None, self.member)
            and self.lease.valid(self.leader_view.fencing_token, now)
            and heartbeat.zone == self.context.settings.area
            and heartbeat.fencing_token <= self.leader_view.fencing_token
            # A single worker may have come by chance. A second worker, or one that comes back after
            # a redirect, can't reach the leader, and its lease may not last until its next attempt.
            and (returned or self.connectivity.redirected_count() > 0)
        )
