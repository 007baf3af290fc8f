"""Messages of the state service: changes, conditions, listed rows and entries of its log."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from salthead.protocol.messages import shape
from salthead.transport.client import UnansweredError


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
    """An entry of the change log; ``key`` is None if the entry removes a key."""

    key: str | None = msgspec.field(name="set", default=None)
    value: Any = None
    revision: int = msgspec.field(name="stamp", default=0)


def decode_logged_change(entry: Any) -> LoggedChange:
    """Decode an entry of the change log; raises MalformedMessageError if it is malformed."""
    return shape(entry, LoggedChange)
