"""Messages between controllers, as typed structures."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from salthead.protocol.messages import decode


class JobQuery(msgspec.Struct, frozen=True):
    """POST /peer/poll and /peer/cancel: the job that is asked about."""

    job_id: str = msgspec.field(name="uid")


class WithholdVoteAnswer(msgspec.Struct, frozen=True):
    """The answer to POST /peer/promise: whether this controller does not campaign for a while."""

    withheld: bool = msgspec.field(name="promise")


class RedirectedHeartbeat(NamedTuple):
    """A heartbeat that came to a controller that does not lead; a plain list on the wire."""

    worker: str
    incarnation: int
    sequence: int
    fencing_token: int  # that the worker had accepted


class ConnectivityReport(msgspec.Struct, frozen=True):
    """The answer to POST /peer/knocks: what a controller says of its own connectivity."""

    # Workers that came lately although it does not lead.
    redirected_count: int = msgspec.field(name="knocks")
    # Seconds since the state service last answered it.
    state_service_silence_s: float = msgspec.field(name="served_s")
    # For the leader alone.
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
    """The job that another controller asks about; any other value is no job's id."""
    return str(decode(body, _JobQueryBody).uid)


def decode_withhold_vote(body: bytes) -> str:
    """The member that asks for the votes of its peers."""
    return str(decode(body, _WithholdVoteBody).member)


def decode_connectivity_query(body: bytes) -> bool:
    """Whether the asking controller says that it leads; an empty body says that it does not."""
    return bool(body) and decode(body, _ConnectivityQueryBody).leads is True
