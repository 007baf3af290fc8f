"""Messages and errors of the state service, and lists of its keys."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from salthead.errors import SaltheadError
from salthead.protocol.messages import MalformedMessageError, shape
from salthead.transport.client import UnansweredError


class RequestRefusedError(SaltheadError):
    """The state service answered the request but did not execute it."""

    def __init__(self, status: int, operation: str) -> None:
        super().__init__(f"{status} {operation}")
        self.status = status


class ConflictError(SaltheadError):
    """A compare-and-swap condition of a transaction did not hold."""

    def __init__(self, failed_keys: list[str]) -> None:
        super().__init__(f"conditions failed: {failed_keys}")
        self.failed = failed_keys


class LeaseExpiredError(SaltheadError):
    """The lease has expired or was revoked."""


class CompactedError(SaltheadError):
    """The change log no longer holds the epoch that a watch asked for."""


# Errors that background loops log before they retry.
RETRYABLE_ERRORS = (
    RequestRefusedError,
    UnansweredError,
    MalformedMessageError,
    LeaseExpiredError,
    CompactedError,
)


def required_int(body: dict[str, Any], name: str) -> int:
    """Return an integer field of an answer; raises UnansweredError if it is missing."""
    value = body.get(name)
    if type(value) is not int:
        raise UnansweredError(f"state service: {name} missing")
    return value


class VersionedValue(NamedTuple):
    """A stored value and the revision of its last write."""

    value: Any
    revision: int


class Put(msgspec.Struct, frozen=True, omit_defaults=True):
    """A change that sets a key; with a lease, the key is removed when the lease ends."""

    key: str = msgspec.field(name="set")
    value: Any
    lease_id: int | None = msgspec.field(name="tether", default=None)


class Delete(msgspec.Struct, frozen=True):
    """A change that removes a key."""

    key: str = msgspec.field(name="drop")


Change = Put | Delete


def put(key: str, value: Any, lease_id: int | None = None) -> Put:
    """Return a change that sets a key, attached to a lease if one is given."""
    return Put(key, value, lease_id)


def delete(key: str) -> Delete:
    """Return a change that removes a key."""
    return Delete(key)


class Condition(msgspec.Struct, frozen=True):
    """A revision that a key must have; 0 requires that the key does not exist."""

    key: str = msgspec.field(name="path")
    revision: int = msgspec.field(name="stamp")


class Transaction(msgspec.Struct, frozen=True):
    """The body of POST /txn: changes that are applied atomically if all conditions hold."""

    conditions: list[Condition] = msgspec.field(name="when")
    changes: list[Change] = msgspec.field(name="apply")


class ListedRow(msgspec.Struct):
    """One key in the answer to a list request."""

    key: str = msgspec.field(name="path")
    revision: int = msgspec.field(name="stamp")
    value: Any = None


class LoggedChange(msgspec.Struct):
    """An entry of the change log, which sets ``key`` or removes ``removed_key``."""

    key: str | None = msgspec.field(name="set", default=None)
    removed_key: str | None = msgspec.field(name="drop", default=None)
    value: Any = None
    revision: int = msgspec.field(name="stamp", default=0)


def decode_logged_change(entry: Any) -> LoggedChange:
    """Decode an entry of the change log; raises MalformedMessageError if it is malformed."""
    return shape(entry, LoggedChange)


MAX_ROWS_PER_PAGE = 500


class Listing:
    """The rows of a prefix that have been read, and what to read next."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.rows: dict[str, VersionedValue] = {}
        self.page_count = 0
        self.epoch = 0  # of the first page: a watch from there misses no change
        self.complete = False
        self.waited_s = 0.0  # of all its pages, for their turn
        self._last_key = ""

    def next_query(self) -> dict[str, Any]:
        """Return the query of the next page."""
        query: dict[str, Any] = {"prefix": self.prefix, "most": MAX_ROWS_PER_PAGE}
        if self._last_key:
            query["from"] = self._last_key
        return query

    def add_page(self, body: dict[str, Any]) -> None:
        """Add the rows of a page; raises MalformedMessageError or UnansweredError."""
        if not self.page_count:
            self.epoch = required_int(body, "epoch")
        rows = shape(body.get("rows") or [], list[ListedRow])
        for row in rows:
            self.rows[row.key] = VersionedValue(row.value, row.revision)
            self._last_key = row.key
        self.page_count += 1
        self.complete = not body.get("truncated")
