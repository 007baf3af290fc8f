"""The context shared by all loops of a term: its identity, its lease, and whether it may act."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from salthead.cluster.ledger import Ledger
from salthead.failure_detection.preconditions import Action, missing_preconditions
from salthead.leases.leader_lease import LeaseClock
from salthead.settings import Limits, StateLimits
from salthead.state_store import records
from salthead.state_store.client import StateStore
from salthead.state_store.held_lease import HeldLease
from salthead.state_store.messages import Change, ConflictError
from salthead.state_store.request_stats import RequestClass
from salthead.transport.client import UnansweredError

# Loops sleep for this many times the duration of their last round, which leaves 90 % of the
# processor time to heartbeats whatever the size of the fleet and the queue.
PAUSE_FACTOR = 9.0


class LeaseUncertainError(UnansweredError):
    """A transaction was not sent, because it is not certain that this controller leads."""


@dataclass(slots=True)
class TermContext:
    """The identity, clients and limits of a term; it does not depend on the loops that use it."""

    fencing_token: int
    revision: int  # revision of the leader key, on which every write of the term is conditioned
    lease: HeldLease  # the leader key is attached to it
    lease_clock: LeaseClock
    ledger: Ledger
    state_store: StateStore
    limits: Limits
    state_limits: StateLimits  # the limits of the state service that all requests respect
    now: Callable[[], float]  # monotonic time in seconds
    sleep_with_jitter: Callable[[float], Awaitable[None]]
    log_throttled: Callable[[str, object], None]  # counts an error by kind and logs it

    def valid(self) -> bool:
        """Return whether this term may act now."""
        return self.lease_clock.valid(self.now())

    def permits(self, action: Action, confirmed: int = 0) -> bool:
        """Return whether all preconditions of an action hold now, and record it if some don't.

        ``confirmed`` has the bits of preconditions that hold besides those of the ledger.
        """
        missing = missing_preconditions(action, self.ledger.confirmed_preconditions() | confirmed)
        if missing:
            self.ledger.blocked_actions.record(action, missing, self.now())
        return not missing

    async def transaction(
        self,
        conditions: dict[str, int],
        changes: Sequence[Change],
        request_class: RequestClass = RequestClass.WRITE,
    ) -> int:
        """Make changes only if this term still leads; return the epoch after the write.

        Raises LeaseUncertainError if the term may not lead now, UnansweredError if it does not lead
        any more, and ConflictError if another condition failed.
        """
        if not self.valid():
            raise LeaseUncertainError("lease not certain")
        try:
            return await self.state_store.transaction(
                {records.LEADER: self.revision} | conditions, changes, request_class=request_class
            )
        except ConflictError as error:
            if records.LEADER in error.failed:
                self.ledger.newer_fencing_token = max(
                    self.ledger.newer_fencing_token, self.fencing_token + 1
                )
                raise UnansweredError("deposed") from None
            raise
