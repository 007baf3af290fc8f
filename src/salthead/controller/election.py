"""How a node comes to lead: the key in the state service, and the abstentions that hold it back."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from salthead.coordination import lease
from salthead.evidence.gate import Action, Fact, permits
from salthead.state_store import records
from salthead.state_store.client import (
    RETRYABLE_ERRORS,
    ConflictError,
    LeaseExpiredError,
    RequestRefusedError,
    VersionedValue,
    put,
)

if TYPE_CHECKING:
    from salthead.controller.controller import Node

WATCH_S = 8.0  # one watch of the leader's key
RETRY_S, CONFLICT_RETRY_S, TROUBLE_RETRY_S = 0.2, 0.05, 0.4


@dataclass
class Candidacy:
    """The latest request to take the lead."""

    nonce: str = ""  # empty: none, or its lead is over
    lease_id: int = 0  # the lease that it was made under
    sent: float = 0.0  # from when that lease counts


class Election:
    """One node's part in the election of a leader, for as long as its process lives."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.ttl = lease.leader_ttl(node.limits.workers.lease_s)
        self.candidacy = Candidacy()

    async def loop(self) -> None:
        """Watch the leader's key, stand when there is no leader, and lead when this node won."""
        while True:
            try:
                row = await self.node.state_store.get(records.LEAD, urgent=True)
                if self._won(row):
                    await self._lead(row)
                elif row is not None and not self._of_ended_process(row):
                    await self._follow(row)
                else:
                    await self._stand(row)
            except ConflictError:
                await self.node.rest(CONFLICT_RETRY_S)
            except RETRYABLE_ERRORS as error:
                self.node.note("election", error)
                await self.node.rest(TROUBLE_RETRY_S)

    def _is_own(self, row: VersionedValue | None) -> bool:
        return row is not None and row.value.get("member") == self.node.settings.member

    def _won(self, row: VersionedValue | None) -> bool:
        if row is None or not self.candidacy.nonce:
            return False
        return self._is_own(row) and row.value.get("nonce") == self.candidacy.nonce

    def _of_ended_process(self, row: VersionedValue) -> bool:
        """Whether an earlier process of this very member led: its key can be replaced at once."""
        return self._is_own(row) and row.value.get("run") != self.node.run_id

    async def _lead(self, row: VersionedValue | None) -> None:
        assert row is not None
        node, candidacy = self.node, self.candidacy
        node.leader = node.settings.member
        await node.lead(
            row.value["token"], row.revision, candidacy.lease_id, candidacy.sent, self.ttl
        )
        candidacy.nonce = ""
        node.leader = None
        await node.rest(RETRY_S)

    async def _follow(self, row: VersionedValue) -> None:
        holder, revision = row
        self.node.leader = holder.get("member")
        self.node.leader_fencing_token = int(holder.get("token", 0))
        await self.node.state_store.watch(records.LEAD, revision, WATCH_S)

    async def _stand(self, row: VersionedValue | None) -> None:
        """There is no leader, or an ended process of this member is named as one."""
        node = self.node
        node.leader = None
        own = self._is_own(row)
        fencing_token_row = await node.state_store.get(records.FENCING_TOKEN, urgent=True)
        if node.abstention.in_doubt:
            # Without its lease an earlier try can't be carried out any more.
            await node.state_store.revoke_lease(self.candidacy.lease_id)
            node.abstention.in_doubt = False
        if not self._may_take_lead(own, fencing_token_row is None):
            await node.rest(RETRY_S)
            return
        self.candidacy.sent = node.now()
        self.candidacy.lease_id = await node.state_store.grant_lease(self.ttl)
        # Once more, with nothing awaited between this and the request to take the lead.
        if not self._may_take_lead(own, fencing_token_row is None):
            await node.state_store.revoke_lease(self.candidacy.lease_id)
            await node.rest(RETRY_S)
            return
        await self._take_lead(row, fencing_token_row)

    def _may_take_lead(self, own: bool, first_ever: bool) -> bool:
        """Asked right after the state service has answered."""
        promised = not self.node.abstention.may_stand(self.node.now(), own, first_ever)
        held = Fact.STATE_SERVICE | (Fact(0) if promised else Fact.NO_PROMISE)
        return permits(Action.TAKE_LEAD, held)

    async def _take_lead(
        self, row: VersionedValue | None, fencing_token_row: VersionedValue | None
    ) -> None:
        """Ask for the lead in one transaction that also raises the fencing token."""
        node, candidacy = self.node, self.candidacy
        fencing_token = (fencing_token_row.value["n"] if fencing_token_row else 0) + 1
        candidacy.nonce = uuid.uuid4().hex[:12]
        value: dict[str, Any] = {
            "member": node.settings.member,
            "run": node.run_id,
            "token": fencing_token,
            "nonce": candidacy.nonce,
        }
        node.abstention.in_doubt = True
        try:
            await node.state_store.transaction(
                {
                    records.LEAD: row.revision if row else 0,
                    records.FENCING_TOKEN: fencing_token_row.revision if fencing_token_row else 0,
                },
                [
                    put(records.LEAD, value, candidacy.lease_id),
                    put(records.FENCING_TOKEN, {"n": fencing_token}),
                ],
                urgent=True,
            )
            node.abstention.in_doubt = False
        except (ConflictError, RequestRefusedError, LeaseExpiredError):
            node.abstention.in_doubt = False
            raise
