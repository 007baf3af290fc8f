"""Typed messages between controllers."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from salthead.protocol.messages import decode


class JobQuery(msgspec.Struct, frozen=True):
    """The body of POST /peer/poll and /peer/cancel."""

    job_id: str = msgspec.field(name="uid")


class WithholdVoteAnswer(msgspec.Struct, frozen=True):
    """The answer to POST /peer/promise: whether the controller will not stand for election."""

    withheld: bool = msgspec.field(name="promise")


class RedirectedHeartbeat(NamedTuple):
    """A heartbeat that a controller other than the leader received; a plain list on the wire."""

    worker: str
    incarnation: int
    sequence: int
    fencing_token: int  # that the worker had accepted


class ConnectivityReport(msgspec.Struct, frozen=True):
    """The answer to POST /peer/knocks: the connectivity of a controller."""

    # Workers that recently sent heartbeats to it although it does not lead.
    redirected_count: int = msgspec.field(name="knocks")
    # Seconds since the state service last answered it.
    state_service_silence_s: float = msgspec.field(name="served_s")
    # Only in answers to the leader.
    heartbeats: list[RedirectedHeartbeat] | msgspec.UnsetType = msgspec.field(
        name="seen", default=msgspec.UNSET
    )


class _JobQueryBody(msgspec.Struct):
    uid: Any = None


class _WithholdVoteBody(msgspec.Struct):
    member: Any = None


class _ConnectivityQueryBody(msgspec.Struct):
    leads: Any = None


def decode_job_query(body: bytes) -> str:
    """Return the job id of a peer's query; a value of another type gives an id of no job."""
    return str(decode(body, _JobQueryBody).uid)


def decode_withhold_vote(body: bytes) -> str:
    """Return the member name of the controller that asks its peers to withhold their votes."""
    return str(decode(body, _WithholdVoteBody).member)


def decode_connectivity_query(body: bytes) -> bool:
    """Return whether the asking controller leads; an empty body means that it does not."""
    return bool(body) and decode(body, _ConnectivityQueryBody).leads is True
