"""Records of the leader and of the last fencing token in the state service."""

from __future__ import annotations

from typing import Any

import msgspec

from salthead.protocol.messages import shape


class LeaderRecord(msgspec.Struct, frozen=True):
    """The value of the leader's key."""

    member: str | None = None
    run_id: str | None = msgspec.field(name="run", default=None)  # of the leading process
    fencing_token: int = msgspec.field(name="token", default=0)
    nonce: str | None = None  # of the campaign that won


class FencingTokenRecord(msgspec.Struct, frozen=True):
    """The value of the fencing token's key."""

    fencing_token: int = msgspec.field(name="n")


def decode_leader(value: Any) -> LeaderRecord:
    """Decode the leader's record. Raises MalformedMessageError."""
    return shape(value, LeaderRecord)


def next_fencing_token(value: Any | None) -> int:
    """Return the next fencing token.

    ``value``: the record of the last one, None if there has been no leader.
    """
    return 1 if value is None else shape(value, FencingTokenRecord).fencing_token + 1
