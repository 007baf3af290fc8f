"""The state service, spoken to by its protocol."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import msgspec

from salthead.errors import SaltheadError
from salthead.protocol import wire_names
from salthead.protocol.messages import MalformedMessageError, shape
from salthead.transport.client import Answer, HttpClient, UnansweredError
from salthead.transport.limits import TokenBucket


class VersionedValue(NamedTuple):
    """A value of the state service, with the revision at which it was last written."""

    value: Any
    revision: int


class RequestRefusedError(SaltheadError):
    """The state service answered, and did not execute the request."""

    def __init__(self, status: int, what: str) -> None:
        super().__init__(f"{status} {what}")
        self.status = status


class ConflictError(SaltheadError):
    """A condition of a transaction did not hold."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(f"conditions failed: {failed}")
        self.failed = failed


class LeaseExpiredError(SaltheadError):
    """The lease has ended."""


class CompactedError(SaltheadError):
    """The change log no longer reaches back that far."""


# What a loop that talks to the outside notes and tries again after.
RETRYABLE_ERRORS = (
    RequestRefusedError,
    UnansweredError,
    MalformedMessageError,
    LeaseExpiredError,
    CompactedError,
)


class Put(msgspec.Struct, frozen=True, omit_defaults=True):
    """A change of a transaction that sets a key, tied to a lease if one is named."""

    key: str = msgspec.field(name="set")
    value: Any
    lease_id: int | None = msgspec.field(name="tether", default=None)


class Delete(msgspec.Struct, frozen=True):
    """A change of a transaction that removes a key."""

    key: str = msgspec.field(name="drop")


Change = Put | Delete


def put(key: str, value: Any, lease_id: int | None = None) -> Put:
    """A change that sets a key, tied to a lease if one is named."""
    return Put(key, value, lease_id)


def delete(key: str) -> Delete:
    """A change that removes a key."""
    return Delete(key)


class Condition(msgspec.Struct, frozen=True):
    """A key has this revision; 0 if there is no such key."""

    key: str = msgspec.field(name="path")
    revision: int = msgspec.field(name="stamp")


class Transaction(msgspec.Struct, frozen=True):
    """POST /txn: changes that are made if all conditions hold."""

    conditions: list[Condition] = msgspec.field(name="when")
    changes: list[Change] = msgspec.field(name="apply")


class ListedRow(msgspec.Struct):
    """A row of a list of keys."""

    key: str = msgspec.field(name="path")
    revision: int = msgspec.field(name="stamp")
    value: Any = None


class LoggedChange(msgspec.Struct):
    """An entry of the change log; ``key`` is None for one that removes a key."""

    key: str | None = msgspec.field(name="set", default=None)
    value: Any = None
    revision: int = msgspec.field(name="stamp", default=0)


def logged_change(entry: Any) -> LoggedChange:
    """An entry of the change log; MalformedMessageError if it is none."""
    return shape(entry, LoggedChange)


def _int(body: dict[str, Any], name: str) -> int:
    value = body.get(name)
    if type(value) is not int:
        raise UnansweredError(f"state service: {name} missing")
    return value


class StateStore:
    """Calls to the state service, within the limits that its settings name."""

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
        # Leases have slots and a budget of their own: they never queue behind bulk work.
        self.urgent = dial(endpoint, self.URGENT)
        self.bulk = dial(endpoint, self.BULK)
        self.watches = dial(endpoint, self.WATCHES)
        # Half of what all controllers together may ask is left for the others and for leases.
        self.reads = TokenBucket(rps * 0.4, rps * 0.3, now)
        self.writes = TokenBucket(write_rps * 0.5, write_rps * 0.5, now)
        # The machine registry and done tasks: submissions and outcomes never wait behind them.
        self.bulk_writes = TokenBucket(write_rps * 0.25, write_rps * 0.5, now)
        self.now = now
        self.last_response_at = -1e9  # when the service last did something for this controller

    def _check(self, answer: Answer, what: str, *expected: int) -> Answer:
        if answer.status in expected:
            self.last_response_at = self.now()
            return answer
        raise RequestRefusedError(answer.status, what)

    async def get(
        self, key: str, timeout: float = 1.5, urgent: bool = False
    ) -> VersionedValue | None:
        """One value and its revision, or None if there is no such key."""
        if not urgent:
            await self.reads.wait()
        caller = self.urgent if urgent else self.bulk
        answer = await caller.call("GET", f"{wire_names.KEYS_PATH}/{key}", timeout=timeout)
        self._check(answer, key, 200, 404)
        if answer.status == 404:
            return None
        return VersionedValue(answer.body.get("value"), _int(answer.body, "stamp"))

    async def list_prefix(self, prefix: str) -> tuple[dict[str, VersionedValue], int]:
        """All rows below a prefix, and the epoch from which to watch for what changes after.

        Pages are read one after the other; the first page's epoch is returned, so that a
        watch from there repeats changes rather than missing any.
        """
        rows: dict[str, VersionedValue] = {}
        start = ""
        first: int | None = None
        while True:
            await self.reads.wait()
            query: dict[str, Any] = {"prefix": prefix, "most": 500}
            if start:
                query["from"] = start
            answer = self._check(
                await self.bulk.call("GET", wire_names.KEYS_PATH, query=query, timeout=3.0),
                prefix,
                200,
            )
            if first is None:
                first = _int(answer.body, "epoch")
            for row in shape(answer.body.get("rows") or [], list[ListedRow]):
                rows[row.key] = VersionedValue(row.value, row.revision)
                start = row.key
            if not answer.body.get("truncated"):
                return rows, first

    async def transaction(
        self,
        conditions: dict[str, int],
        changes: Sequence[Change],
        timeout: float = 2.0,
        urgent: bool = False,
        bulk: bool = False,
    ) -> int:
        """Make changes on condition of revisions; the epoch after that.

        ConflictError if a condition fails, LeaseExpiredError if a lease of a change is over.
        """
        if not urgent:
            await (self.bulk_writes if bulk else self.writes).wait(len(changes))
        caller = self.urgent if urgent else self.bulk
        body = Transaction(
            [Condition(key, revision) for key, revision in conditions.items()], list(changes)
        )
        answer = await caller.call("POST", wire_names.TRANSACTIONS_PATH, body, timeout=timeout)
        if answer.status == 400 and "lease" in str(answer.body.get("error", "")):
            raise LeaseExpiredError("txn")
        self._check(answer, "txn", 200, 409)
        if answer.status == 409:
            raise ConflictError([str(key) for key in answer.body.get("failed") or []])
        return _int(answer.body, "epoch")

    async def grant_lease(self, ttl_s: float, timeout: float = 1.5) -> int:
        """A new lease; its number."""
        answer = await self.urgent.call(
            "POST", wire_names.LEASES_PATH, {"ttl_ms": round(ttl_s * 1000)}, timeout=timeout
        )
        self._check(answer, "grant", 200)
        return _int(answer.body, "tether")

    async def renew_lease(self, lease_id: int, timeout: float) -> None:
        """Renew a lease; LeaseExpiredError if it has ended."""
        answer = await self.urgent.call(
            "POST", f"{wire_names.LEASES_PATH}/{lease_id}/extend", timeout=timeout
        )
        self._check(answer, "extend", 200, 404)
        if answer.status == 404:
            raise LeaseExpiredError("extend")

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease at once."""
        answer = await self.urgent.call(
            "DELETE", f"{wire_names.LEASES_PATH}/{lease_id}", timeout=1.0
        )
        self._check(answer, "end", 200, 404)

    async def watch(self, prefix: str, since: int, wait_s: float) -> tuple[list[Any], int]:
        """Changes below a prefix since an epoch, and the epoch up to which they are known.

        The changes are as they came: ``logged_change`` decodes one.
        """
        answer = await self.watches.call(
            "GET",
            wire_names.CHANGES_PATH,
            timeout=wait_s + 2.0,
            query={"prefix": prefix, "from": since, "wait_ms": round(wait_s * 1000)},
        )
        if answer.status == 410:
            raise CompactedError(prefix)
        self._check(answer, prefix, 200)
        return shape(answer.body.get("log") or [], list[Any]), _int(answer.body, "epoch")
