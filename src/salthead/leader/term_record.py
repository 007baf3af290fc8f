"""The durable record by which the next leader learns what this term knew."""

from __future__ import annotations

import asyncio

import msgspec

from salthead.leader.context import TermContext
from salthead.leases.leader_lease import certainly_expired_at
from salthead.state_store import records
from salthead.state_store.messages import RETRYABLE_ERRORS, ConflictError, put
from salthead.state_store.records import FencingTokenRecord, decode_fencing_token
from salthead.state_store.request_stats import RequestClass
from salthead.transport.client import UnansweredError

RETRY_S = 0.5


class TermRecord:
    """Writes to the fencing token's record what the next term may rely on.

    What is not durable there counts as the unfavourable case (``leases/unloaded_renewals.py``).
    """

    def __init__(self, context: TermContext) -> None:
        self.context = context
        # The election has written the leader's key and the token in one transaction.
        self.revision = context.revision
        self.written = FencingTokenRecord(context.fencing_token)
        self._writing = asyncio.Lock()

    async def write(self, informed: bool = False, delegated: bool = False) -> None:
        """Return once the facts are durable, besides those that were written before.

        Raises UnansweredError, RequestRefusedError or ConflictError if they may not be.
        """
        async with self._writing:
            record = FencingTokenRecord(
                self.context.fencing_token,
                informed or self.written.informed,
                delegated or self.written.delegated,
            )
            if record == self.written:
                return
            try:
                self.revision = await self.context.transaction(
                    {records.FENCING_TOKEN: self.revision},
                    [put(records.FENCING_TOKEN, msgspec.to_builtins(record))],
                    request_class=RequestClass.LEASE,
                )
            except ConflictError:
                await self._read_back()
                raise
            self.written = record

    async def _read_back(self) -> None:
        """Adopt what an earlier write without an answer has left."""
        row = await self.context.state_store.get(records.FENCING_TOKEN, RequestClass.LEASE)
        if row is None:
            raise UnansweredError("no fencing token")
        self.revision, self.written = row.revision, decode_fencing_token(row.value)

    async def write_when_informed(self) -> None:
        """Record that all leases in force were renewed by a term that knew the cancellations.

        That is certain one lease after the records were loaded, and earlier delegations had ended.
        """
        context = self.context
        leases = context.ledger.leases
        informed_at = certainly_expired_at(leases.counted_from, context.limits.workers.lease_s)
        await asyncio.sleep(max(0.0, informed_at - context.now()))
        while not self.written.informed:
            try:
                await self.write(informed=True)
            except (ConflictError, *RETRYABLE_ERRORS) as error:
                context.log_throttled("term record", error)
                await context.sleep_with_jitter(RETRY_S)
