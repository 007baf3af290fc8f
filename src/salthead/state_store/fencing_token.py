"""The record of the last fencing token, and of what its term knew."""

from __future__ import annotations

from typing import Any

import msgspec

from salthead.protocol.messages import shape


class FencingTokenRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The value of the fencing token's key.

    Earlier versions write the token alone, which leaves the facts at their defaults.
    """

    fencing_token: int = msgspec.field(name="n")
    # Each lease in force was last renewed with the knowledge of all cancellations before that.
    informed: bool = False
    # Another controller may have renewed leases since, under a delegation of this term.
    delegated: bool = False


def decode_fencing_token(value: Any) -> FencingTokenRecord:
    """Decode the record of the last fencing token. Raises MalformedMessageError."""
    return shape(value, FencingTokenRecord)
