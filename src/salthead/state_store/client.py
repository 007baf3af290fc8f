"""Client of the state service: transactions, leases and watches on versioned keys."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from salthead.protocol import wire_names
from salthead.protocol.messages import shape
from salthead.state_store.messages import (
    Change,
    CompactedError,
    Condition,
    ConflictError,
    LeaseExpiredError,
    Listing,
    RequestRefusedError,
    Transaction,
    VersionedValue,
    required_int,
)
from salthead.state_store.pacing import MAX_WAIT_S, RequestPacing, UserReads
from salthead.state_store.request_stats import RequestClass, RequestResult, RequestStats
from salthead.transport.client import Answer, HttpClient, UnansweredError

READ_TIMEOUT_S = 1.5
LIST_TIMEOUT_S = 3.0
REVOKE_TIMEOUT_S = 1.0
WATCH_GRACE_S = 2.0  # for the answer, after the time that the service was asked to wait


def _new_epoch(answer: Answer) -> int:
    """Return the epoch after a transaction; raises an error if it was not applied."""
    if answer.status == 400:
        if "lease" in str(answer.body.get("error", "")):
            raise LeaseExpiredError("txn")
        raise RequestRefusedError(answer.status, "txn")
    if answer.status == 409:
        raise ConflictError([str(key) for key in answer.body.get("failed") or []])
    return required_int(answer.body, "epoch")


class StateStore:
    """Client of the state service, within its connection and rate limits."""

    # Concurrent connections of each kind.
    URGENT, BULK, USER_READS, WATCHES = 4, 5, 3, 4
    SLOTS = URGENT + BULK + USER_READS + WATCHES

    def __init__(
        self,
        endpoint: str,
        rps: float,
        write_rps: float,
        now: Callable[[], float],
        dial: Callable[[str, int], HttpClient] = HttpClient,
        controller_count: int = 1,
    ) -> None:
        """Create the client of one of ``controller_count`` controllers.

        ``rps`` and ``write_rps`` are the service's limits, which all controllers share.
        """
        urgent, user_reads = dial(endpoint, self.URGENT), dial(endpoint, self.USER_READS)
        self.bulk = dial(endpoint, self.BULK)
        # Classes with connections of their own, which no other class can occupy.
        self.reserved = {
            RequestClass.LEASE: urgent,
            RequestClass.RECOVERY: urgent,
            RequestClass.USER: user_reads,
            RequestClass.SUBMISSION: user_reads,
            RequestClass.WATCH: dial(endpoint, self.WATCHES),
        }
        self.now = now
        self.stats = RequestStats(now)
        self.pacing = RequestPacing(rps, write_rps, controller_count, now, self.stats)
        self.user_reads = UserReads(self.pacing.user_turns, self._read)
        self.last_response_at = -1e9  # when the service last executed a request of this controller

    async def _send(
        self,
        request_class: RequestClass,
        operation: str,
        expected: tuple[int, ...],
        method: str,
        path: str,
        body: Any = None,
        *,
        timeout: float,
        query: dict[str, Any] | None = None,
    ) -> Answer:
        """Send a request and return its answer, which has one of the expected statuses.

        Raises RequestRefusedError for another status, named by the operation, and UnansweredError.
        """
        client = self.reserved.get(request_class, self.bulk)
        try:
            answer = await client.call(method, path, body, timeout=timeout, query=query)
        except UnansweredError:
            self.stats.record(request_class, RequestResult.UNANSWERED)
            raise
        if answer.status not in expected:
            self.stats.record(request_class, RequestResult.REFUSED)
            raise RequestRefusedError(answer.status, operation)
        self.stats.record(request_class, RequestResult.ANSWERED)
        self.last_response_at = self.now()
        return answer

    async def get(
        self, key: str, request_class: RequestClass, timeout: float = READ_TIMEOUT_S
    ) -> VersionedValue | None:
        """Return a key's value and revision, or None if the key does not exist."""
        if request_class in MAX_WAIT_S:
            return await self.user_reads.get(key, request_class)
        await self.pacing.wait_for_read(request_class)
        return await self._read(key, request_class, timeout)

    async def _read(
        self, key: str, request_class: RequestClass, timeout: float = READ_TIMEOUT_S
    ) -> VersionedValue | None:
        path = f"{wire_names.KEYS_PATH}/{key}"
        answer = await self._send(request_class, key, (200, 404), "GET", path, timeout=timeout)
        if answer.status == 404:
            return None
        return VersionedValue(answer.body.get("value"), required_int(answer.body, "stamp"))

    async def list_prefix(
        self, prefix: str, request_class: RequestClass
    ) -> tuple[dict[str, VersionedValue], int]:
        """Return all keys with a prefix, and the epoch from which to watch for later changes.

        The list is read in pages. The epoch is that of the first page, so that a watch from
        there may repeat changes but misses none.
        """
        listing = Listing(prefix)
        while not listing.complete:
            await self.read_page(listing, request_class)
        return listing.rows, listing.epoch

    async def read_page(self, listing: Listing, request_class: RequestClass) -> None:
        """Read the next page of a list."""
        began_at = self.now()
        await self.pacing.wait_for_read(request_class)
        listing.waited_s += self.now() - began_at
        answer = await self._send(
            request_class,
            listing.prefix,
            (200,),
            "GET",
            wire_names.KEYS_PATH,
            timeout=LIST_TIMEOUT_S,
            query=listing.next_query(),
        )
        listing.add_page(answer.body)

    async def transaction(
        self,
        conditions: dict[str, int],
        changes: Sequence[Change],
        timeout: float = 2.0,
        request_class: RequestClass = RequestClass.WRITE,
    ) -> int:
        """Apply changes if the keys have the given revisions, and return the new epoch.

        Raises ConflictError if a condition fails, and LeaseExpiredError if the lease of a change
        has ended.
        """
        await self.pacing.wait_for_write(request_class, len(changes))
        body = Transaction(
            [Condition(key, revision) for key, revision in conditions.items()], list(changes)
        )
        answer = await self._send(
            request_class,
            "txn",
            (200, 400, 409),
            "POST",
            wire_names.TRANSACTIONS_PATH,
            body,
            timeout=timeout,
        )
        return _new_epoch(answer)

    async def grant_lease(self, ttl_s: float, timeout: float = 1.5) -> int:
        """Create a lease and return its id."""
        body = {"ttl_ms": round(ttl_s * 1000)}
        answer = await self._send(
            RequestClass.LEASE,
            "grant",
            (200,),
            "POST",
            wire_names.LEASES_PATH,
            body,
            timeout=timeout,
        )
        return required_int(answer.body, "tether")

    async def renew_lease(self, lease_id: int, timeout: float) -> None:
        """Renew a lease; raises LeaseExpiredError if it has ended."""
        path = f"{wire_names.LEASES_PATH}/{lease_id}/extend"
        answer = await self._send(
            RequestClass.LEASE, "extend", (200, 404), "POST", path, timeout=timeout
        )
        if answer.status == 404:
            raise LeaseExpiredError("extend")

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease."""
        path = f"{wire_names.LEASES_PATH}/{lease_id}"
        await self._send(
            RequestClass.LEASE, "end", (200, 404), "DELETE", path, timeout=REVOKE_TIMEOUT_S
        )

    async def watch(self, prefix: str, since: int, wait_s: float) -> tuple[list[Any], int]:
        """Return the changes of keys with a prefix since an epoch, and the epoch that they reach.

        The entries are not decoded yet; ``decode_logged_change`` decodes one. Raises CompactedError
        if the change log no longer holds that epoch.
        """
        answer = await self._send(
            RequestClass.WATCH,
            prefix,
            (200, 410),
            "GET",
            wire_names.CHANGES_PATH,
            timeout=wait_s + WATCH_GRACE_S,
            query={"prefix": prefix, "from": since, "wait_ms": round(wait_s * 1000)},
        )
        if answer.status == 410:
            raise CompactedError(prefix)
        return shape(answer.body.get("log") or [], list[Any]), required_int(answer.body, "epoch")
