"""Typed rows of the operators' overview, with the key names of the API.

The keys in the answer have the order of the fields.
"""

from __future__ import annotations

import msgspec


class LinkRow(msgspec.Struct, frozen=True):
    """State of the links between the leader and the machines of a group."""

    group: str
    machines: int
    both_ways: int
    heartbeats_only: int = msgspec.field(name="reports_arrive_answers_do_not")
    commands_only: int = msgspec.field(name="commands_arrive_reports_do_not")
    silent: int = msgspec.field(name="nothing_arrives")
    since_s: float
    diagnosis: str


class PeerRow(msgspec.Struct, frozen=True):
    """The connectivity that another controller reported in its latest answer."""

    member: str = msgspec.field(name="name")
    answered_s: float
    state_service_s: float | None
    redirected_workers: int = msgspec.field(name="workers_there")


class BlockedActionRow(msgspec.Struct, frozen=True):
    """An action that was not permitted, with the preconditions that were not confirmed."""

    action: str
    missing: str = msgspec.field(name="lacking")
    count: int
    since_s: float
    last_s: float


class CutRow(msgspec.Struct, frozen=True):
    """A group of machines whose silence indicates a network partition."""

    group: str
    since_s: float


class TeamRow(msgspec.Struct, frozen=True):
    """CPUs that a team uses, is guaranteed, and may use at most."""

    name: str
    cpus: float
    guaranteed: float
    limit: float = msgspec.field(name="most")


class JobRow(msgspec.Struct, frozen=True):
    """A job that is not over."""

    job_id: str = msgspec.field(name="uid")
    team: str = msgspec.field(name="crew")
    job_class: str = msgspec.field(name="breed")
    urgency: str
    phase: str
    waiting: int
    running: int
    done: int
    task_count: int = msgspec.field(name="pieces")
    depends_on: list[str] = msgspec.field(name="awaits")
    reason: str


class MachineRow(msgspec.Struct, frozen=True):
    """A machine of the fleet."""

    name: str
    machine_type: str = msgspec.field(name="build")
    zone: str
    kind: str
    phase: str
    cpus: float
    used: float
    note: str


class ZoneRow(msgspec.Struct, frozen=True):
    """A zone; listed only if zone recovery is enabled."""

    name: str
    state: str
    since_s: float
    reason: str
    machines: int
    silent: int = msgspec.field(name="unheard")
    open_machines: int = msgspec.field(name="open")
    held_back_by: str


class NetworkRow(msgspec.Struct, frozen=True):
    """A declared network; listed only if zone recovery is enabled."""

    name: str
    prefix: str
    machines: int
    silent: int = msgspec.field(name="unheard")


class LinkOverview(msgspec.Struct, frozen=True):
    """Rows about links, which exist only if the policy for partial partitions is enabled."""

    links: list[LinkRow]
    controllers: list[PeerRow]
    blocked_actions: list[BlockedActionRow]
    cuts: list[CutRow]


class Overview(msgspec.Struct, frozen=True, kw_only=True):
    """Queue and fleet, truncated to what fits into an answer.

    The first four fields are set only if the policy for partial partitions is enabled.
    """

    links: list[LinkRow] | msgspec.UnsetType = msgspec.UNSET
    controllers: list[PeerRow] | msgspec.UnsetType = msgspec.UNSET
    blocked_actions: list[BlockedActionRow] | msgspec.UnsetType = msgspec.field(
        name="withheld", default=msgspec.UNSET
    )
    cuts: list[CutRow] | msgspec.UnsetType = msgspec.UNSET
    leader: str
    fencing_token: int = msgspec.field(name="token")
    ready: bool
    teams: list[TeamRow]
    jobs: list[JobRow]
    jobs_total: int
    machines: list[MachineRow]
    machines_total: int
    zones: list[ZoneRow]
    networks: list[NetworkRow]
