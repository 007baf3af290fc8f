"""Calls of a controller to its peers, with typed answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec

from salthead.protocol import wire_names
from salthead.transport.client import HttpClient, UnansweredError

LEADS_FIELD = "leads"
CONNECTIVITY_TIMEOUT_S = 1.0  # peers answer from memory


class PeerHeartbeat(NamedTuple):
    """A worker's heartbeat that a peer received."""

    worker: str
    incarnation: int
    sequence: int
    fencing_token: int  # the latest one that the worker had accepted


@dataclass(frozen=True, slots=True)
class PeerConnectivity:
    """The connectivity that a peer reports."""

    redirected_workers: int  # workers that recently sent heartbeats to it although it does not lead
    state_service_silence_s: float | None  # seconds since the state service last answered it
    heartbeats: list[PeerHeartbeat]  # recently received although it does not lead


async def ask_connectivity(peer: HttpClient, leads: bool = False) -> PeerConnectivity | None:
    """Return the connectivity that a peer reports, or None if it does not answer.

    With ``leads``, a leader also asks for the heartbeats that the peer received in its place. The
    version in production ignores the field and lists none.
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
    redirected_workers, served = answer.body.get("knocks"), answer.body.get("served_s")
    return PeerConnectivity(
        redirected_workers if type(redirected_workers) is int else 0,
        served if type(served) is float else None,
        _decode_peer_heartbeats(answer.body.get("seen")),
    )


def _decode_peer_heartbeats(rows: Any) -> list[PeerHeartbeat]:
    try:
        return msgspec.convert(rows or [], list[PeerHeartbeat])
    except msgspec.ValidationError:
        return []


async def ask_to_withhold_vote(peer: HttpClient, member: str, timeout: float) -> bool:
    """Return whether a peer promises the leader ``member`` not to campaign for a while."""
    try:
        answer = await peer.call(
            "POST", wire_names.PEER_WITHHOLD_VOTE_PATH, {"member": member}, timeout=timeout
        )
    except UnansweredError:
        return False
    return answer.status == 200 and answer.body.get("promise") is True
