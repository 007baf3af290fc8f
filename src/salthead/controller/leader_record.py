"""The record of the leader in the state service, and that of the last fencing token."""

from __future__ import annotations

from typing import Any

import msgspec

from salthead.protocol.messages import shape


class LeaderRecord(msgspec.Struct, frozen=True):
    """The value of the leader's key."""

    member: str | None = None
    run_id: str | None = msgspec.field(name="run", default=None)  # of the process that leads
    fencing_token: int = msgspec.field(name="token", default=0)
    nonce: str | None = None  # of the request that made it the leader


class FencingTokenRecord(msgspec.Struct, frozen=True):
    """The value of the key of the fencing token."""

    fencing_token: int = msgspec.field(name="n")


def decode_leader(value: Any) -> LeaderRecord:
    """A leader's record; MalformedMessageError if it is none."""
    return shape(value, LeaderRecord)


def next_fencing_token(value: Any | None) -> int:
    """The fencing token after the last one; ``value`` is None if there was no leader before."""
    return 1 if value is None else shape(value, FencingTokenRecord).fencing_token + 1
