"""Delegated leases of a zone: a controller inside it renews them for a leader that is cut off.

A network cut between zones lasts longer than a worker's lease, so that without delegation all tasks
on the far side would be lost. The state service is reachable from every zone. A controller on the
far side requests a delegation from the leader through it, and may then answer the heartbeats of its
zone with the leader's fencing token and without commands. A delegation expires by itself after a
time that both sides know. The leader counts the leases of the zone from that time at the earliest,
and it grants no further delegation when a task in the zone has to end.
"""

from __future__ import annotations

import math
from typing import Any

from salthead.leases.leader_lease import MAX_CLOCK_DRIFT, valid_until
from salthead.leases.redirects import RedirectHistory


def delegation_end_for_leader(seen: float, ttl: float) -> float:
    """Return the end of a delegation whose request the leader saw at ``seen``, as it counts it.

    The delegate counts from before it wrote the request and stops early; this bound errs late.
    """
    return seen + ttl * (1.0 + MAX_CLOCK_DRIFT) + 0.1


class ZoneLease:
    """The delegate's side of a delegation: when it may answer workers for the leader."""

    def __init__(self, ttl: float) -> None:
        self.ttl = ttl
        self.fencing_token = 0
        self.nonce = ""  # of the latest request
        self.requested_at = -math.inf
        self.expires_at = -math.inf
        self.redirects = RedirectHistory()

    def new_request(self, fencing_token: int, nonce: str, area: str, now: float) -> dict[str, Any]:
        """Return the record that requests a delegation; it counts from ``now``.

        A delegation under another fencing token ends.
        """
        if fencing_token != self.fencing_token:
            self.stop()
        self.fencing_token, self.nonce, self.requested_at = fencing_token, nonce, now
        return {"token": fencing_token, "nonce": nonce, "area": area}

    def accept_grant(self, value: Any) -> bool:
        """Extend the delegation by the leader's record; return whether it grants the last request.

        A record with the nonce or the fencing token of another request is ignored.
        """
        granted = (
            type(value) is dict
            and bool(self.nonce)
            and (value.get("token") == self.fencing_token and value.get("nonce") == self.nonce)
        )
        if granted:
            self.expires_at = max(self.expires_at, valid_until(self.requested_at, self.ttl))
        return granted

    def valid(self, fencing_token: int, now: float) -> bool:
        """Return whether workers may be answered with this fencing token at ``now``."""
        return fencing_token == self.fencing_token and now < self.expires_at

    def stop(self) -> None:
        """End the delegation, and ignore grants of earlier requests."""
        self.nonce = ""
        self.expires_at = -math.inf
