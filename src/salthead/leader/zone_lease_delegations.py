"""Letting controllers behind a cut answer their zone's workers, and what earlier leaders have let.

``leases/zone_leases.py`` has the rules; ``controller/zone_lease_delegate.py`` is the other side.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from salthead.leader.context import TermContext
from salthead.leases.zone_leases import counted_until
from salthead.state_store import records
from salthead.state_store.client import (
    RETRYABLE_ERRORS,
    CompactedError,
    ConflictError,
    VersionedValue,
    delete,
    logged_change,
    put,
)

WATCH_S = 10.0
RETRY_S = 0.5


class ZoneLeaseDelegations:
    """The delegations of one term: what it grants, and what earlier terms may have granted."""

    def __init__(
        self,
        context: TermContext,
        follows_links: bool,
        known_epoch: Callable[[], int],
    ) -> None:
        """``known_epoch``: up to which epoch of the state service the records are known.

        ``follows_links``: whether the policy follows partial cuts.
        """
        self.context = context
        self.follows_links = follows_links
        self.known_epoch = known_epoch
        self.earlier: dict[str, int] = {}  # permissions of earlier leaders, and their revisions

    async def load(self) -> None:
        """Count no lease from before what an earlier leader may have allowed.

        Read after this term took the lead: each write of an earlier leader was conditioned on that,
        so that no permission is written any more, late or not. A question alone is none.
        """
        context = self.context
        questions, _ = await context.state_store.list_prefix(records.DELEGATION_REQUESTS)
        members = {key.removeprefix(records.DELEGATION_REQUESTS) for key in questions}
        permissions: dict[str, VersionedValue] = {}
        if self.follows_links:
            permissions, _ = await context.state_store.list_prefix(records.DELEGATIONS)
        self.earlier = {key: revision for key, (_, revision) in permissions.items()}
        context.ledger.leases.counted_from = context.now()
        if self.follows_links:
            # Whenever a leader ends, its peers miss it, and ask before there is a new one. Each
            # crash of a leader on prairie-ledger-hunt held the failover up by a third of a lease.
            members &= {key.removeprefix(records.DELEGATIONS) for key in permissions}
        if members:
            context.ledger.leases.counted_from = counted_until(context.now(), context.clock.ttl)

    async def loop(self) -> None:
        """Answer what controllers ask."""
        since = self.known_epoch()
        while True:
            try:
                entries, since = await self.context.state_store.watch(
                    records.DELEGATION_REQUESTS, since, WATCH_S
                )
                for entry in entries:
                    change = logged_change(entry)
                    value = change.value
                    if type(value) is not dict or value.get("token") != self.context.fencing_token:
                        continue
                    if change.key is not None:
                        member = change.key.removeprefix(records.DELEGATION_REQUESTS)
                        await self.allow(member, value)
            except CompactedError:
                since = self.known_epoch()
                await self.context.sleep_with_jitter(RETRY_S)
            except (ConflictError, *RETRYABLE_ERRORS) as error:
                self.context.log_throttled("keep", error)
                await self.context.sleep_with_jitter(RETRY_S)

    async def allow(self, member: str, value: dict[str, Any]) -> None:
        """Let a controller behind a cut answer its zone's workers for a while."""
        context = self.context
        if not context.ledger.ready:
            return  # a zone that is kept would hold up the failover for as long as the cut
        # Counted before it is allowed, so that whatever becomes of the write errs late.
        until = counted_until(context.now(), context.clock.ttl)
        if context.ledger.leases.delegate_zone(str(value.get("area")), until):
            permission = {"token": context.fencing_token, "nonce": value.get("nonce")}
            await context.transaction(
                {}, [put(records.DELEGATIONS + member, permission)], urgent=True
            )

    async def forget_loop(self) -> None:
        """Drop earlier leaders' permissions once they are over, so that no failover counts them."""
        while self.earlier:
            await asyncio.sleep(
                max(0.0, self.context.ledger.leases.counted_from - self.context.now()) + RETRY_S
            )
            key, revision = next(iter(self.earlier.items()))
            try:
                await self.context.transaction({key: revision}, [delete(key)], bulk=True)
            except ConflictError:
                pass  # this leader has allowed something since
            except RETRYABLE_ERRORS as error:
                self.context.log_throttled("keep", error)
                continue
            del self.earlier[key]
