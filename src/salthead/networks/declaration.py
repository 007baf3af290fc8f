"""Declaration of an IP network in the policy file."""

from __future__ import annotations

import msgspec


class Network(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An IP network whose machines are observed as a group."""

    name: str
    prefix: str  # such as 10.1.2.0/24 or fd00:12::/32
    within: str | None = None  # the smallest declared network that contains it, if any
