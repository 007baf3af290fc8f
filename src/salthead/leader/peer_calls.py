"""What a controller asks the other controllers, as typed answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec

from salthead.protocol import wire_names
from salthead.transport.client import HttpClient, UnansweredError

LEADS_FIELD = "leads"
CONNECTIVITY_TIMEOUT_S = 1.0  # for an answer to a question that is answered from memory


class PeerHeartbeat(NamedTuple):
    """A worker's heartbeat that came to a peer."""

    worker: str
    incarnation: int
    sequence: int
    fencing_token: int  # that the worker had accepted


@dataclass(frozen=True, slots=True)
class PeerConnectivity:
    """What a peer says of its own links."""

    redirected: int  # workers that came to it lately although it does not lead
    state_service_s: float | None  # since when the state service has not answered it
    seen: list[PeerHeartbeat]  # heartbeats that came to it lately although it does not lead


async def ask_connectivity(peer: HttpClient, leads: bool = False) -> PeerConnectivity | None:
    """Ask a peer what it reaches; None when it does not answer.

    ``leads``: by a leader that wants to know which heartbeats came there instead. The version in
    production ignores that, and names none.
    """
    body = {LEADS_FIELD: True} if leads else None
    try:
        answer = await peer.call(
            "POST", wire_names.PEER_CONNECTIVITY_PATH, body, timeout=CONNECTIVITY_TIMEOUT_S
        )
    except UnansweredError:
        return None
    if answer.status != 200:
        return None
    redirected, served = answer.body.get("knocks"), answer.body.get("served_s")
    return PeerConnectivity(
        redirected if type(redirected) is int else 0,
        served if type(served) is float else None,
        _decode_peer_heartbeats(answer.body.get("seen")),
    )


def _decode_peer_heartbeats(rows: Any) -> list[PeerHeartbeat]:
    try:
        return msgspec.convert(rows or [], list[PeerHeartbeat])
    except msgspec.ValidationError:
        return []


async def ask_to_withhold_vote(peer: HttpClient, member: str, timeout: float) -> bool:
    """Whether a peer promises ``member``, which leads, not to stand for a while."""
    try:
        answer = await peer.call(
            "POST", wire_names.PEER_WITHHOLD_VOTE_PATH, {"member": member}, timeout=timeout
        )
    except UnansweredError:
        return False
    return answer.status == 200 and answer.body.get("promise") is True
