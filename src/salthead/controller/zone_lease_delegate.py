"""Keeping the leases of a zone's workers for a leader that they can't reach."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

from salthead.leases import leader_lease
from salthead.leases.zone_leases import ZoneLease
from salthead.protocol import wire_names
from salthead.protocol.messages import Heartbeat
from salthead.state_store import records
from salthead.state_store.client import RETRYABLE_ERRORS, ConflictError, delete, put
from salthead.transport.client import UnansweredError

if TYPE_CHECKING:
    from salthead.controller.controller import Controller

MAX_MISSED_CALLS = 2  # calls to the leader in a row without an answer, before the zone is kept


class ZoneLeaseDelegate:
    """One controller's side of that: what it asks the leader for, and what it then answers."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller
        self.lease = ZoneLease(leader_lease.leader_ttl(controller.limits.workers.lease_s))

    async def loop(self) -> None:
        """Behind a cut from the leader, with the state service in reach: keep workers' leases."""
        written = True  # an earlier process of this member may have left its question behind
        missed = 0
        while True:
            await self.controller.sleep_with_jitter(self.lease.ttl / 8.0)
            missed = 0 if await self._reaches_leader() else missed + 1
            try:
                if missed >= MAX_MISSED_CALLS:
                    written = True
                    await self._ask()
                elif written:
                    self.lease.stop()
                    await self._withdraw()
                    written = False
            except (ConflictError, *RETRYABLE_ERRORS) as error:
                self.controller.log_throttled("keep", error)

    async def _reaches_leader(self) -> bool:
        """Whether the leader answers; also where there is none, or this controller leads."""
        peer = self.controller.peers.get(self.controller.leader or "")
        if self.controller.term is not None or peer is None:
            return True
        try:
            await peer.call("POST", wire_names.PEER_CONNECTIVITY_PATH, timeout=self.lease.ttl / 8.0)
        except UnansweredError:
            return False
        return True

    async def _ask(self) -> None:
        """Ask the leader through the state service, and wait a little for its permission."""
        member = self.controller.settings.member
        question = self.lease.ask(
            self.controller.leader_fencing_token,
            uuid.uuid4().hex[:12],
            self.controller.settings.area,
            self.controller.now(),
        )
        await self.controller.state_store.transaction(
            {}, [put(records.DELEGATION_REQUESTS + member, question)], urgent=True
        )
        for _ in range(4):
            await self.controller.sleep_with_jitter(self.lease.ttl / 24.0)
            row = await self.controller.state_store.get(records.DELEGATIONS + member, urgent=True)
            if row is not None and self.lease.allowed(row.value):
                return

    async def _withdraw(self) -> None:
        key = records.DELEGATION_REQUESTS + self.controller.settings.member
        row = await self.controller.state_store.get(key, urgent=True)
        if row is not None:
            # On condition of its revision: carried out late, it must not take away a later
            # question, by which the next leader knows of what was allowed.
            await self.controller.state_store.transaction(
                {key: row.revision}, [delete(key)], urgent=True
            )

    def may_acknowledge(self, heartbeat: Heartbeat) -> bool:
        """Whether to answer a worker in the name of a leader that it can't reach."""
        now = self.controller.now()
        back = self.lease.redirects.record(heartbeat.worker, now)
        return (
            self.controller.leader not in (None, self.controller.settings.member)
            and self.lease.valid(self.controller.leader_fencing_token, now)
            and heartbeat.zone == self.controller.settings.area
            and heartbeat.fencing_token <= self.controller.leader_fencing_token
            # A worker may be here by chance. A second one, or one that was sent on before and is
            # here again, can't reach it, and their leases may not last for another round.
            and (back or self.controller.connectivity.redirected_count() > 0)
        )
