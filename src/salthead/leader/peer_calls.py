"""What a node asks the other controllers, as typed answers."""

from __future__ import annotations

from dataclasses import dataclass

from salthead.protocol import names
from salthead.transport.client import Caller, Unanswered

REACH_S = 1.0  # for an answer to a question that is answered from memory


@dataclass(frozen=True, slots=True)
class PeerReach:
    """What a peer says of its own links."""

    redirected: int  # workers that came to it lately although it does not lead
    state_service_s: float | None  # since when the state service has not answered it


async def ask_reach(peer: Caller) -> PeerReach | None:
    """Ask a peer what it reaches; None when it does not answer."""
    try:
        answer = await peer.call("POST", names.PEER_REDIRECTED, timeout=REACH_S)
    except Unanswered:
        return None
    if answer.status != 200:
        return None
    redirected, served = answer.body.get("knocks"), answer.body.get("served_s")
    return PeerReach(
        redirected if type(redirected) is int else 0, served if type(served) is float else None
    )


async def ask_promise(peer: Caller, member: str, timeout: float) -> bool:
    """Whether a peer promises ``member``, which leads, not to stand for a while."""
    try:
        answer = await peer.call("POST", names.PEER_PROMISE, {"member": member}, timeout=timeout)
    except Unanswered:
        return False
    return answer.status == 200 and answer.body.get("promise") is True
