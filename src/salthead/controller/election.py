"""Leader election: compare-and-swap on the leader's key in the state service.

A controller that withholds its vote for the present leader does not campaign.
"""

from __future__ import annotations

import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec

from salthead.controller.context import ControllerContext
from salthead.controller.leader_view import LeaderView
from salthead.failure_detection.preconditions import Action, Precondition, permits
from salthead.leases import leader_lease
from salthead.leases.leader_lease import LeaderStickiness
from salthead.leases.unloaded_renewals import NO_TERM, PrecedingTerm
from salthead.state_store import records
from salthead.state_store.held_lease import HeldLease, RevocationReason
from salthead.state_store.messages import (
    RETRYABLE_ERRORS,
    ConflictError,
    LeaseExpiredError,
    RequestRefusedError,
    VersionedValue,
    put,
)
from salthead.state_store.records import (
    FencingTokenRecord,
    LeaderRecord,
    decode_fencing_token,
    decode_leader,
)
from salthead.state_store.request_stats import RequestClass
from salthead.transport.client import UnansweredError

LEADER_WATCH_S = 8.0
RETRY_S = 0.2  # after a term has ended, or while this controller may not become the leader
CONFLICT_RETRY_S = 0.05  # after another controller has changed a key first
ERROR_RETRY_S = 0.4  # after an error of the state service
VOTE_CHECK_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class ElectedTerm:
    """A term won by a campaign, and the lease that it is held under."""

    fencing_token: int
    revision: int  # of the leader's key
    lease: HeldLease
    preceding: PrecedingTerm


@dataclass(frozen=True, slots=True)
class Campaign:
    """A request of this controller to become the leader."""

    nonce: str
    fencing_token: int
    lease: HeldLease  # the leader's key is attached to it
    preceding: PrecedingTerm


class Election:
    """One controller's part in leader elections, for the lifetime of its process."""

    def __init__(
        self,
        context: ControllerContext,
        leader_view: LeaderView,
        leader_stickiness: LeaderStickiness,
        lead: Callable[[ElectedTerm], Awaitable[None]],
    ) -> None:
        self.context = context
        self.member = context.settings.member
        self.run_id = uuid.uuid4().hex[:12]  # identifies this process among runs of the member
        self.leader_view = leader_view
        self.leader_stickiness = leader_stickiness
        self.lead = lead
        self.ttl = leader_lease.leader_ttl(context.limits.workers.lease_s)
        self.campaign: Campaign | None = None  # the latest one

    async def loop(self) -> None:
        """Follow the leader, campaign when there is none, and lead after winning a campaign."""
        while True:
            try:
                await self._act_on_leader_key()
            except ConflictError:
                await self.context.sleep_with_jitter(CONFLICT_RETRY_S)
            except RETRYABLE_ERRORS as error:
                self.context.log_throttled("election", error)
                await self.context.sleep_with_jitter(ERROR_RETRY_S)

    async def _act_on_leader_key(self) -> None:
        """Read the leader's key, then lead, follow the leader or campaign."""
        row = await self.context.state_store.get(records.LEADER, RequestClass.LEASE)
        if row is None:
            await self._campaign(None, None)
            return
        record = decode_leader(row.value)
        campaign = self._campaign_of(record)
        if campaign is not None and campaign.lease.revocation_sent:
            await self._remove_own_key(campaign)
        elif campaign is not None:
            await self._lead_term(row, record, campaign)
        elif self._is_from_own_ended_process(record):
            await self._campaign(row, record)
        else:
            await self._follow_leader(row, record)

    async def withhold_vote(self, member: str) -> bool:
        """Withhold this controller's vote for a leader that lost the state service.

        Return False, and withhold nothing, if this controller reaches the service, does not follow
        that leader, or has a campaign whose outcome is not known. Where the service refuses the
        leader alone, another controller has to take over, since otherwise no outcomes are written.
        """
        if self.leader_view.term is not None or self.leader_view.member != member:
            return False
        try:
            await self.context.state_store.get(
                records.LEADER, RequestClass.LEASE, timeout=VOTE_CHECK_TIMEOUT_S
            )
            return False
        except (RequestRefusedError, UnansweredError):
            pass
        return self.leader_view.term is None and self.leader_stickiness.withhold_vote(
            self.context.now()
        )

    def _campaign_of(self, record: LeaderRecord) -> Campaign | None:
        """Return the latest campaign if it wrote this record, else None."""
        campaign = self.campaign
        if campaign is None or record.member != self.member or record.nonce != campaign.nonce:
            return None
        return campaign

    def _is_from_own_ended_process(self, record: LeaderRecord) -> bool:
        """Return whether an ended process of this member led: its key can be replaced at once."""
        return record.member == self.member and record.run_id != self.run_id

    async def _lead_term(
        self, row: VersionedValue, record: LeaderRecord, campaign: Campaign
    ) -> None:
        """Lead until the term has ended, which revokes the lease."""
        self.leader_stickiness.campaign_indeterminate = False
        self.leader_view.member = self.member
        await self.lead(
            ElectedTerm(record.fencing_token, row.revision, campaign.lease, campaign.preceding)
        )
        self.leader_view.member = None
        await self.context.sleep_with_jitter(RETRY_S)

    async def _remove_own_key(self, campaign: Campaign) -> None:
        """Remove the key of a campaign or a term whose lease this controller has revoked.

        An unconfirmed revocation may be carried out at any time, also in the middle of a term, so
        that the lease can't be led under. Revoking it again makes way for the next election.
        """
        self.leader_view.member = None
        await self._revoke_campaign(campaign, RevocationReason.UNCONFIRMED)
        await self.context.sleep_with_jitter(RETRY_S)

    async def _revoke_campaign(self, campaign: Campaign, reason: RevocationReason) -> None:
        """Revoke the lease of a campaign; once that is confirmed, its request can't be executed."""
        await campaign.lease.revoke(reason)
        self.leader_stickiness.campaign_indeterminate = False

    async def _follow_leader(self, row: VersionedValue, record: LeaderRecord) -> None:
        self.leader_view.member = record.member
        self.leader_view.fencing_token = record.fencing_token
        if self.campaign is not None and record.fencing_token >= self.campaign.fencing_token:
            # The campaign was conditional on the previous fencing token, so it can't succeed now.
            self.leader_stickiness.campaign_indeterminate = False
        await self.context.state_store.watch(records.LEADER, row.revision, LEADER_WATCH_S)

    async def _campaign(self, row: VersionedValue | None, record: LeaderRecord | None) -> None:
        """Try to become the leader; ``record`` is None or names an ended process of this member."""
        state_store = self.context.state_store
        self.leader_view.member = None
        own_key = record is not None and record.member == self.member
        token_row = await state_store.get(records.FENCING_TOKEN, RequestClass.LEASE)
        if self.campaign is not None and self.leader_stickiness.campaign_indeterminate:
            await self._revoke_campaign(self.campaign, RevocationReason.CAMPAIGN_INDETERMINATE)
        if not self._may_become_leader(own_key, token_row is None):
            await self.context.sleep_with_jitter(RETRY_S)
            return
        lease = await HeldLease.request(state_store, self.ttl, self.context.now)
        # Checked again: the vote may have been withheld during the calls above. Nothing is awaited
        # between this check and the request to become the leader.
        if not self._may_become_leader(own_key, token_row is None):
            await lease.revoke(RevocationReason.VOTE_WITHHELD)
            await self.context.sleep_with_jitter(RETRY_S)
            return
        await self._become_leader(row, token_row, lease)

    def _may_become_leader(self, own_key: bool, first_ever: bool) -> bool:
        """Return whether a campaign is permitted.

        Call it only right after an answer of the state service: this precondition of a campaign is
        taken as met without a check.
        """
        vote_withheld = not self.leader_stickiness.may_campaign(
            self.context.now(), own_key, first_ever
        )
        held = Precondition.STATE_SERVICE | (
            Precondition(0) if vote_withheld else Precondition.VOTE_NOT_WITHHELD
        )
        return permits(Action.BECOME_LEADER, held)

    async def _become_leader(
        self, row: VersionedValue | None, token_row: VersionedValue | None, lease: HeldLease
    ) -> None:
        """Write the leader's key and the next fencing token in one transaction."""
        last = decode_fencing_token(token_row.value) if token_row else None
        fencing_token = last.fencing_token + 1 if last else 1
        preceding = PrecedingTerm(last.informed, last.delegated) if last else NO_TERM
        nonce = uuid.uuid4().hex[:12]
        leader = LeaderRecord(self.member, self.run_id, fencing_token, nonce)
        self.campaign = Campaign(nonce, fencing_token, lease, preceding)
        self.leader_stickiness.campaign_indeterminate = True
        try:
            await self.context.state_store.transaction(
                {
                    records.LEADER: row.revision if row else 0,
                    records.FENCING_TOKEN: token_row.revision if token_row else 0,
                },
                [
                    put(records.LEADER, msgspec.to_builtins(leader), lease.lease_id),
                    put(
                        records.FENCING_TOKEN,
                        msgspec.to_builtins(FencingTokenRecord(fencing_token)),
                    ),
                ],
                request_class=RequestClass.LEASE,
            )
            self.leader_stickiness.campaign_indeterminate = False
        except (ConflictError, RequestRefusedError, LeaseExpiredError):
            self.leader_stickiness.campaign_indeterminate = False
            raise
