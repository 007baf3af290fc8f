"""How a controller comes to lead: the key in the state service, and the abstentions that hold it
back."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from salthead.failure_detection.preconditions import Action, Precondition, permits
from salthead.leases import leader_lease
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
    from salthead.controller.controller import Controller

WATCH_S = 8.0  # one watch of the leader's key
RETRY_S, CONFLICT_RETRY_S, TROUBLE_RETRY_S = 0.2, 0.05, 0.4


@dataclass
class Campaign:
    """The latest request to take the lead."""

    nonce: str = ""  # empty: none, or its lead is over
    lease_id: int = 0  # the lease that it was made under
    sent: float = 0.0  # from when that lease counts


class Election:
    """One controller's part in the election of a leader, for as long as its process lives."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller
        self.ttl = leader_lease.leader_ttl(controller.limits.workers.lease_s)
        self.campaign = Campaign()

    async def loop(self) -> None:
        """Watch the leader's key, stand when there is no leader, and lead when this controller
        won."""
        while True:
            try:
                row = await self.controller.state_store.get(records.LEADER, urgent=True)
                if self._won(row):
                    await self._lead(row)
                elif row is not None and not self._of_ended_process(row):
                    await self._follow(row)
                else:
                    await self._campaign(row)
            except ConflictError:
                await self.controller.sleep_with_jitter(CONFLICT_RETRY_S)
            # The leader's key is read field by field above: what it lacks is retried as well.
            except (*RETRYABLE_ERRORS, KeyError, TypeError, ValueError) as error:
                self.controller.log_throttled("election", error)
                await self.controller.sleep_with_jitter(TROUBLE_RETRY_S)

    def _is_own(self, row: VersionedValue | None) -> bool:
        return row is not None and row.value.get("member") == self.controller.settings.member

    def _won(self, row: VersionedValue | None) -> bool:
        if row is None or not self.campaign.nonce:
            return False
        return self._is_own(row) and row.value.get("nonce") == self.campaign.nonce

    def _of_ended_process(self, row: VersionedValue) -> bool:
        """Whether an earlier process of this very member led: its key can be replaced at once."""
        return self._is_own(row) and row.value.get("run") != self.controller.run_id

    async def _lead(self, row: VersionedValue | None) -> None:
        assert row is not None
        controller, campaign = self.controller, self.campaign
        controller.leader = controller.settings.member
        await controller.lead(
            row.value["token"], row.revision, campaign.lease_id, campaign.sent, self.ttl
        )
        campaign.nonce = ""
        controller.leader = None
        await controller.sleep_with_jitter(RETRY_S)

    async def _follow(self, row: VersionedValue) -> None:
        holder, revision = row
        self.controller.leader = holder.get("member")
        self.controller.leader_fencing_token = int(holder.get("token", 0))
        await self.controller.state_store.watch(records.LEADER, revision, WATCH_S)

    async def _campaign(self, row: VersionedValue | None) -> None:
        """There is no leader, or an ended process of this member is named as one."""
        controller = self.controller
        controller.leader = None
        own = self._is_own(row)
        fencing_token_row = await controller.state_store.get(records.FENCING_TOKEN, urgent=True)
        if controller.leader_stickiness.indeterminate:
            # Without its lease an earlier try can't be carried out any more.
            await controller.state_store.revoke_lease(self.campaign.lease_id)
            controller.leader_stickiness.indeterminate = False
        if not self._may_become_leader(own, fencing_token_row is None):
            await controller.sleep_with_jitter(RETRY_S)
            return
        self.campaign.sent = controller.now()
        self.campaign.lease_id = await controller.state_store.grant_lease(self.ttl)
        # Once more, with nothing awaited between this and the request to take the lead.
        if not self._may_become_leader(own, fencing_token_row is None):
            await controller.state_store.revoke_lease(self.campaign.lease_id)
            await controller.sleep_with_jitter(RETRY_S)
            return
        await self._become_leader(row, fencing_token_row)

    def _may_become_leader(self, own: bool, first_ever: bool) -> bool:
        """Asked right after the state service has answered."""
        vote_withheld = not self.controller.leader_stickiness.may_campaign(
            self.controller.now(), own, first_ever
        )
        held = Precondition.STATE_SERVICE | (
            Precondition(0) if vote_withheld else Precondition.VOTE_NOT_WITHHELD
        )
        return permits(Action.BECOME_LEADER, held)

    async def _become_leader(
        self, row: VersionedValue | None, fencing_token_row: VersionedValue | None
    ) -> None:
        """Ask for the lead in one transaction that also raises the fencing token."""
        controller, campaign = self.controller, self.campaign
        fencing_token = (fencing_token_row.value["n"] if fencing_token_row else 0) + 1
        campaign.nonce = uuid.uuid4().hex[:12]
        value: dict[str, Any] = {
            "member": controller.settings.member,
            "run": controller.run_id,
            "token": fencing_token,
            "nonce": campaign.nonce,
        }
        controller.leader_stickiness.indeterminate = True
        try:
            await controller.state_store.transaction(
                {
                    records.LEADER: row.revision if row else 0,
                    records.FENCING_TOKEN: fencing_token_row.revision if fencing_token_row else 0,
                },
                [
                    put(records.LEADER, value, campaign.lease_id),
                    put(records.FENCING_TOKEN, {"n": fencing_token}),
                ],
                urgent=True,
            )
            controller.leader_stickiness.indeterminate = False
        except (ConflictError, RequestRefusedError, LeaseExpiredError):
            controller.leader_stickiness.indeterminate = False
            raise
