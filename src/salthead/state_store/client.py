"""Client of the state service: transactions, leases and watches on versioned keys."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from salthead.protocol import wire_names
from salthead.protocol.messages import shape
from salthead.state_store.errors import (
    CompactedError,
    ConflictError,
    LeaseExpiredError,
    RequestRefusedError,
)
from salthead.state_store.messages import Change, Condition, ListedRow, Transaction, VersionedValue
from salthead.transport.client import Answer, HttpClient, UnansweredError
from salthead.transport.limits import TokenBucket


def _required_int(body: dict[str, Any], name: str) -> int:
    value = body.get(name)
    if type(value) is not int:
        raise UnansweredError(f"state service: {name} missing")
    return value


class StateStore:
    """Client of the state service, within its connection and rate limits."""

    # Concurrent connections of each kind.
    URGENT, BULK, WATCHES = 4, 8, 4
    SLOTS = URGENT + BULK + WATCHES

    def __init__(
        self,
        endpoint: str,
        rps: float,
        write_rps: float,
        now: Callable[[], float],
        dial: Callable[[str, int], HttpClient] = HttpClient,
    ) -> None:
        # Lease calls have their own connections and wait for no token bucket, so that they never
        # queue behind bulk requests.
        self.urgent = dial(endpoint, self.URGENT)
        self.bulk = dial(endpoint, self.BULK)
        self.watches = dial(endpoint, self.WATCHES)
        # About half of the service's limits, which all controllers share, is left for the other
        # controllers and for lease calls.
        self.reads = TokenBucket(rps * 0.4, rps * 0.3, now)
        self.writes = TokenBucket(write_rps * 0.5, write_rps * 0.5, now)
        # Writes of the machine registry and of done tasks have a bucket of their own, so that
        # submissions and outcomes never wait behind them.
        self.bulk_writes = TokenBucket(write_rps * 0.25, write_rps * 0.5, now)
        self.now = now
        self.last_response_at = -1e9  # when the service last executed a request of this controller

    def _check_status(self, answer: Answer, operation: str, *expected: int) -> Answer:
        if answer.status in expected:
            self.last_response_at = self.now()
            return answer
        raise RequestRefusedError(answer.status, operation)

    async def get(
        self, key: str, timeout: float = 1.5, urgent: bool = False
    ) -> VersionedValue | None:
        """Return a key's value and revision, or None if the key does not exist."""
        if not urgent:
            await self.reads.wait()
        client = self.urgent if urgent else self.bulk
        answer = await client.call("GET", f"{wire_names.KEYS_PATH}/{key}", timeout=timeout)
        self._check_status(answer, key, 200, 404)
        if answer.status == 404:
            return None
        return VersionedValue(answer.body.get("value"), _required_int(answer.body, "stamp"))

    async def list_prefix(self, prefix: str) -> tuple[dict[str, VersionedValue], int]:
        """Return all keys with a prefix, and the epoch from which to watch for later changes.

        The list is read in pages. The epoch is that of the first page, so that a watch from
        there may repeat changes but misses none.
        """
        rows: dict[str, VersionedValue] = {}
        start = ""
        first_epoch: int | None = None
        while True:
            await self.reads.wait()
            query: dict[str, Any] = {"prefix": prefix, "most": 500}
            if start:
                query["from"] = start
            answer = self._check_status(
                await self.bulk.call("GET", wire_names.KEYS_PATH, query=query, timeout=3.0),
                prefix,
                200,
            )
            if first_epoch is None:
                first_epoch = _required_int(answer.body, "epoch")
            for row in shape(answer.body.get("rows") or [], list[ListedRow]):
                rows[row.key] = VersionedValue(row.value, row.revision)
                start = row.key
            if not answer.body.get("truncated"):
                return rows, first_epoch

    async def transaction(
        self,
        conditions: dict[str, int],
        changes: Sequence[Change],
        timeout: float = 2.0,
        urgent: bool = False,
        bulk: bool = False,
    ) -> int:
        """Apply changes if the keys have the given revisions, and return the new epoch.

        Raises ConflictError if a condition fails, and LeaseExpiredError if the lease of a change
        has ended.
        """
        if not urgent:
            await (self.bulk_writes if bulk else self.writes).wait(len(changes))
        client = self.urgent if urgent else self.bulk
        body = Transaction(
            [Condition(key, revision) for key, revision in conditions.items()], list(changes)
        )
        answer = await client.call("POST", wire_names.TRANSACTIONS_PATH, body, timeout=timeout)
        if answer.status == 400 and "lease" in str(answer.body.get("error", "")):
            raise LeaseExpiredError("txn")
        self._check_status(answer, "txn", 200, 409)
        if answer.status == 409:
            raise ConflictError([str(key) for key in answer.body.get("failed") or []])
        return _required_int(answer.body, "epoch")

    async def grant_lease(self, ttl_s: float, timeout: float = 1.5) -> int:
        """Create a lease and return its id."""
        answer = await self.urgent.call(
            "POST", wire_names.LEASES_PATH, {"ttl_ms": round(ttl_s * 1000)}, timeout=timeout
        )
        self._check_status(answer, "grant", 200)
        return _required_int(answer.body, "tether")

    async def renew_lease(self, lease_id: int, timeout: float) -> None:
        """Renew a lease; raises LeaseExpiredError if it has ended."""
        answer = await self.urgent.call(
            "POST", f"{wire_names.LEASES_PATH}/{lease_id}/extend", timeout=timeout
        )
        self._check_status(answer, "extend", 200, 404)
        if answer.status == 404:
            raise LeaseExpiredError("extend")

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease."""
        answer = await self.urgent.call(
            "DELETE", f"{wire_names.LEASES_PATH}/{lease_id}", timeout=1.0
        )
        self._check_status(answer, "end", 200, 404)

    async def watch(self, prefix: str, since: int, wait_s: float) -> tuple[list[Any], int]:
        """Return the changes of keys with a prefix since an epoch, and the epoch that they reach.

        The entries are not decoded yet; ``decode_logged_change`` decodes one. Raises CompactedError
        if the change log no longer holds that epoch.
        """
        answer = await self.watches.call(
            "GET",
            wire_names.CHANGES_PATH,
            timeout=wait_s + 2.0,
            query={"prefix": prefix, "from": since, "wait_ms": round(wait_s * 1000)},
        )
        if answer.status == 410:
            raise CompactedError(prefix)
        self._check_status(answer, prefix, 200)
        return shape(answer.body.get("log") or [], list[Any]), _required_int(answer.body, "epoch")
