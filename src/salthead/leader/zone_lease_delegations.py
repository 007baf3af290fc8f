"""Delegations by which controllers behind a network partition renew their zone's worker leases.

``leases/zone_leases.py`` has the rules; ``controller/zone_lease_delegate.py`` is the side of the
controller that asks for a delegation.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from salthead.leader.context import TermContext
from salthead.leader.controller_interface import ReadRecords
from salthead.leader.term_record import TermRecord
from salthead.leases.zone_leases import delegation_end_for_leader
from salthead.state_store import records
from salthead.state_store.messages import (
    RETRYABLE_ERRORS,
    CompactedError,
    ConflictError,
    VersionedValue,
    decode_logged_change,
    delete,
    put,
)
from salthead.state_store.request_stats import RequestClass

WATCH_TIMEOUT_S = 10.0
RETRY_S = 0.5


class ZoneLeaseDelegations:
    """The delegations that this term grants and that earlier terms may have granted."""

    def __init__(
        self,
        context: TermContext,
        partial_cuts_enabled: bool,
        known_epoch: Callable[[], int],
        term_record: TermRecord,
    ) -> None:
        """Create the delegations of a term.

        ``partial_cuts_enabled`` is whether the policy for partial partitions is enabled.
        ``known_epoch`` returns the epoch of the state service up to which changes are known.
        ``term_record`` tells the next leader of the delegations.
        """
        self.context = context
        self.partial_cuts_enabled = partial_cuts_enabled
        self.known_epoch = known_epoch
        self.term_record = term_record
        self.earlier_grants: dict[str, int] = {}  # keys and revisions of earlier terms' grants

    async def load(self, read: ReadRecords) -> None:
        """Count worker leases from the time when the grants of earlier leaders have expired.

        The grants are read after this term has begun. Every write of an earlier leader is
        conditioned on its leadership, so none of its grants can be written any more. A request
        without a grant delegates nothing.
        """
        context = self.context
        requests = (await read(records.DELEGATION_REQUESTS)).rows
        members = {key.removeprefix(records.DELEGATION_REQUESTS) for key in requests}
        grants: dict[str, VersionedValue] = {}
        if self.partial_cuts_enabled:
            grants = (await read(records.DELEGATIONS)).rows
        self.earlier_grants = {key: revision for key, (_, revision) in grants.items()}
        context.ledger.leases.counted_from = context.now()
        if self.partial_cuts_enabled:
            # Whenever a leader fails, its peers request delegations before a new one is elected.
            # Counting requests without a grant delayed each failover by a third of a lease.
            members &= {key.removeprefix(records.DELEGATIONS) for key in grants}
        if members:
            context.ledger.leases.counted_from = delegation_end_for_leader(
                context.now(), context.lease_clock.ttl
            )

    async def loop(self) -> None:
        """Watch for the requests of controllers, and grant them."""
        since = self.known_epoch()
        while True:
            try:
                entries, since = await self.context.state_store.watch(
                    records.DELEGATION_REQUESTS, since, WATCH_TIMEOUT_S
                )
                for entry in entries:
                    change = decode_logged_change(entry)
                    value = change.value
                    if type(value) is not dict or value.get("token") != self.context.fencing_token:
                        continue
                    if change.key is not None:
                        member = change.key.removeprefix(records.DELEGATION_REQUESTS)
                        await self.grant(member, value)
            except CompactedError:
                since = self.known_epoch()
                await self.context.sleep_with_jitter(RETRY_S)
            except (ConflictError, *RETRYABLE_ERRORS) as error:
                self.context.log_throttled("keep", error)
                await self.context.sleep_with_jitter(RETRY_S)

    async def grant(self, member: str, request: dict[str, Any]) -> None:
        """Let a controller behind a partition answer its zone's workers for a limited time."""
        context = self.context
        if not context.ledger.ready:
            return  # a delegated zone would delay the failover for as long as the partition lasts
        area = str(request.get("area"))
        if not self._count(area):
            return
        if not self.term_record.written.delegated:
            await self.term_record.write(delegated=True)
            if not self._count(area):
                return  # a task in the zone has to stop since
        delegation = {"token": context.fencing_token, "nonce": request.get("nonce")}
        await context.transaction(
            {},
            [put(records.DELEGATIONS + member, delegation)],
            request_class=RequestClass.LEASE,
        )

    def _count(self, area: str) -> bool:
        """Count a delegation of a zone as granted; return whether it may be.

        It is counted before it is written, so that its assumed end is never too early, whatever the
        result of the write.
        """
        until = delegation_end_for_leader(self.context.now(), self.context.lease_clock.ttl)
        return self.context.ledger.leases.delegate_zone(area, until)

    async def delete_expired_loop(self) -> None:
        """Delete expired grants of earlier leaders, so that no later failover waits for them."""
        while self.earlier_grants:
            await asyncio.sleep(
                max(0.0, self.context.ledger.leases.counted_from - self.context.now()) + RETRY_S
            )
            key, revision = next(iter(self.earlier_grants.items()))
            try:
                await self.context.transaction(
                    {key: revision}, [delete(key)], request_class=RequestClass.BULK_WRITE
                )
            except ConflictError:
                pass  # this leader has written a new grant under the key since
            except RETRYABLE_ERRORS as error:
                self.context.log_throttled("keep", error)
                continue
            del self.earlier_grants[key]
