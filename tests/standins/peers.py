"""Calls between controllers that may run different salthead versions."""

from __future__ import annotations

from typing import Any

import msgspec

from builders.submissions import submission_fields
from salthead.controller.controller import Controller
from salthead.protocol.messages import encode
from salthead.transport.client import Answer, UnansweredError
from standins.users import Users


class Peers(Users):
    """Calls between controllers without HTTP."""

    async def call_peer(self, name: str, path: str, body: Any) -> Answer:
        """Execute a peer's call at a controller."""
        controller = self.controllers[name]
        if controller is None:
            raise UnansweredError("refused")
        version = self.versions[name]
        if path == "/peer/knocks":
            leads = bool(body) and body.get("leads") is True
            return Answer(200, version.connectivity_report(controller, leads))
        if path == "/peer/promise":
            withheld = await version.withhold_vote(controller, body["member"])
            return Answer(200 if withheld else 409, {"promise": withheld})
        try:
            if path == "/peer/submit":
                submission = encode(submission_fields(body))
                return Answer(*await version.submit(controller, submission, True))
            return await self._call_leader(controller, path, body)
        except version.undecided_errors:
            return Answer(503, {})

    async def _call_leader(self, controller: Controller, path: str, body: Any) -> Answer:
        """Poll or cancel a job at the leader, or return 503 if the controller does not lead."""
        term = controller.leading()
        if term is None:
            return Answer(503, {})
        status: Any
        if path == "/peer/cancel":
            status = await term.cancel(body["uid"])
        else:
            version = self.version_of(controller)
            status = await version.poll_at_leader(controller, term, body["uid"])
        return Answer(404, {}) if status is None else Answer(200, msgspec.to_builtins(status))
