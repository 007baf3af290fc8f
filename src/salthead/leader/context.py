"""What all loops of one term share: its identity, its clock, and whether it may act."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from salthead.cluster.ledger import Ledger
from salthead.failure_detection.preconditions import Action, missing_preconditions
from salthead.leases.leader_lease import LeaseClock
from salthead.settings import Limits, StateLimits
from salthead.state_store import records
from salthead.state_store.client import Change, ConflictError, StateStore
from salthead.transport.client import UnansweredError

# A loop whose rounds take long pauses for this many times as long, so that heartbeats have the
# processor for most of the time whatever the size of the fleet and the queue.
PAUSE_FACTOR = 9.0


@dataclass(slots=True)
class TermContext:
    """One term of one leader, as its loops see it. It knows none of them."""

    fencing_token: int
    revision: int  # of the leader's key; every write of the term is conditioned on it
    lease_id: int
    clock: LeaseClock
    ledger: Ledger
    state_store: StateStore
    limits: Limits
    state_limits: StateLimits  # of the state service, as all requests keep to them
    now: Callable[[], float]  # steady time in seconds
    sleep_with_jitter: Callable[[float], Awaitable[None]]
    log_throttled: Callable[[str, object], None]  # an error by its kind, counted and logged

    def valid(self) -> bool:
        """Whether this term may act now."""
        return self.clock.valid(self.now())

    def permits(self, action: Action, more: int = 0) -> bool:
        """Whether an action is permitted now, by what is confirmed here and ``more`` facts."""
        missing = missing_preconditions(action, self.ledger.confirmed_preconditions() | more)
        if missing:
            self.ledger.blocked_actions.note(action, missing, self.now())
        return not missing

    async def transaction(
        self,
        conditions: dict[str, int],
        changes: Sequence[Change],
        bulk: bool = False,
        urgent: bool = False,
    ) -> int:
        """A write that takes effect only while this term leads; the epoch after it.

        UnansweredError if the term does not lead any more, ConflictError if another condition
        failed.
        """
        if not self.valid():
            raise UnansweredError("lease not certain")
        try:
            return await self.state_store.transaction(
                {records.LEADER: self.revision} | conditions, changes, bulk=bulk, urgent=urgent
            )
        except ConflictError as error:
            if records.LEADER in error.failed:
                self.ledger.newer_fencing_token = max(
                    self.ledger.newer_fencing_token, self.fencing_token + 1
                )
                raise UnansweredError("deposed") from None
            raise
