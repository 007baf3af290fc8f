"""Leases of a zone that the leader can't reach, kept alive by a controller that is in there.

A cut between zones lasts longer than a worker's lease, and all that runs beyond it would be lost.
The state service is cut from nobody, so a controller behind the cut asks the leader through it, and
the leader allows it, to answer that zone's heartbeats in its name: with its token and without
orders. What is allowed ends by itself after a time that both sides know. The leader counts no lease
of the zone from before that time, and it stops allowing when something in the zone has to end.
"""

from __future__ import annotations

import math
from typing import Any

from salthead.leases.leader_lease import DRIFT, valid_until
from salthead.leases.redirects import RedirectHistory


def counted_until(seen: float, ttl: float) -> float:
    """Until when a worker may be answered on a request that the leader saw at ``seen``.

    The one who asks counts from before it asked, and stops early; this errs late.
    """
    return seen + ttl * (1.0 + DRIFT) + 0.1


class ZoneLease:
    """The controller's side: when it may answer in the leader's name."""

    def __init__(self, ttl: float) -> None:
        self.ttl = ttl
        self.fencing_token = 0
        self.nonce = ""
        self.asked = -math.inf
        self.until = -math.inf
        self.redirects = RedirectHistory()

    def ask(self, fencing_token: int, nonce: str, area: str, now: float) -> dict[str, Any]:
        """What to write, before it is written."""
        if fencing_token != self.fencing_token:
            self.stop()
        self.fencing_token, self.nonce, self.asked = fencing_token, nonce, now
        return {"token": fencing_token, "nonce": nonce, "area": area}

    def allowed(self, value: Any) -> bool:
        """What the leader wrote in return: only an answer to the latest question counts."""
        answers = (
            type(value) is dict
            and bool(self.nonce)
            and (value.get("token") == self.fencing_token and value.get("nonce") == self.nonce)
        )
        if answers:
            self.until = max(self.until, valid_until(self.asked, self.ttl))
        return answers

    def valid(self, fencing_token: int, now: float) -> bool:
        """Whether workers may be answered under the leader's token now."""
        return fencing_token == self.fencing_token and now < self.until

    def stop(self) -> None:
        """Answer in nobody's name any more."""
        self.nonce = ""
        self.until = -math.inf
