"""A lease of the state service, as known to the process that requested it.

A request without an answer may be carried out at any later time. So from the moment a revocation is
sent, the lease may end at any time, whatever its TTL says and whatever is read in between.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import StrEnum

from salthead import metrics
from salthead.event_log import event
from salthead.state_store.client import StateStore
from salthead.state_store.messages import LeaseExpiredError, RequestRefusedError
from salthead.transport.client import UnansweredError

log = logging.getLogger(__name__)


class RevocationReason(StrEnum):
    """Why a holder revokes its lease, as logged."""

    CAMPAIGN_INDETERMINATE = "campaign_indeterminate"
    UNCONFIRMED = "unconfirmed"  # an earlier revocation was not confirmed
    VOTE_WITHHELD = "vote_withheld"
    TERM_ENDED = "term_ended"


class HeldLease:
    """A lease that this process requested for itself.

    Once ``revocation_sent`` is set, its holder must not act on the lease any more. All that is left
    is to revoke it again until that is confirmed, or to let it expire.
    """

    def __init__(
        self, state_store: StateStore, lease_id: int, requested_at: float, ttl: float
    ) -> None:
        self.state_store = state_store
        self.lease_id = lease_id
        self.requested_at = requested_at  # when the request was sent; the TTL counts from then
        self.ttl = ttl  # seconds
        self.revocation_sent = False  # never reset

    @classmethod
    async def request(
        cls, state_store: StateStore, ttl: float, now: Callable[[], float]
    ) -> HeldLease:
        """Request a lease of ``ttl`` seconds and return it."""
        requested_at = now()
        lease_id = await state_store.grant_lease(ttl)
        return cls(state_store, lease_id, requested_at, ttl)

    async def renew(self, timeout: float) -> None:
        """Renew the lease; raises LeaseExpiredError if it has ended or was revoked."""
        if self.revocation_sent:
            raise LeaseExpiredError("revoked")
        await self.state_store.renew_lease(self.lease_id, timeout)

    async def revoke(self, reason: RevocationReason) -> None:
        """Revoke the lease, and return once the state service has confirmed that it has ended.

        Raises UnansweredError or RequestRefusedError if it has not.
        """
        self.revocation_sent = True
        event(log, "lease_revocation_sent", lease_id=self.lease_id, reason=reason)
        try:
            await self.state_store.revoke_lease(self.lease_id)
        except UnansweredError:
            self._record_result("unanswered")
            raise
        except RequestRefusedError:
            self._record_result("refused")
            raise
        self._record_result("confirmed")

    def _record_result(self, result: str) -> None:
        metrics.LEASE_REVOCATIONS.labels(result).inc()
        event(log, "lease_revocation_result", lease_id=self.lease_id, result=result)
