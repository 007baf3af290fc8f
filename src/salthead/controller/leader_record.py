"""Record of the leader in the state service."""

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


def decode_leader(value: Any) -> LeaderRecord:
    """Decode the leader's record. Raises MalformedMessageError."""
    return shape(value, LeaderRecord)
