"""Which machines a job may use now, by their kind, their state and what is kept for others."""

from __future__ import annotations

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import UP, Job, Machine, MachineKind
from salthead.cluster.start_rules import quota_left
from salthead.scheduling import queue_order

FRESH_HEARTBEAT_INTERVALS = 3.0


# Whatever keeps room or quota for others keeps a job waiting for no longer than this beside room
# that it could have. The users allow 90 s; the rest is for a pause and for the start to be told.
MAX_HELD_BACK_S = 75.0


def allows(job: Job, machine: Machine) -> bool:
    """Kind, type and zone, for the job alone."""
    return (
        (job.spec.spot or not machine.spot)
        and (job.allowed_types is None or machine.machine_type in job.allowed_types)
        and (job.zone is None or machine.zone == job.zone)
    )


def available(ledger: Ledger, machine: Machine, now: float) -> bool:
    """Heard of lately, in the machine registry, and not about to go."""
    return (
        machine.phase == UP
        and machine.registered
        and machine.reconciled
        and not machine.quarantine_reason
        and not machine.terminating
        and not machine.cordoned
        and machine.reclaim_at is None
        and now - machine.last_heartbeat_at
        <= FRESH_HEARTBEAT_INTERVALS * ledger.limits.workers.heartbeat_interval_s
        and now >= machine.error_until
        and machine.responsive(now)
    )


def heartbeat_overdue(ledger: Ledger, machine: Machine, now: float) -> bool:
    """Whether the next heartbeat should have come: a period, a quarter more, and a second for the
    way and a busy leader.

    Long before the filter by freshness says so, such a machine may have died. For one task the
    design's filter stands; a gang needs all of its machines, and so does the room made for it.
    """
    return now - machine.last_heartbeat_at > 1.25 * ledger.limits.workers.heartbeat_interval_s + 1.0


def unavailable_reason(ledger: Ledger, machine: Machine, now: float) -> str:
    """Why room on a machine can't be used now, for operators; empty when it can."""
    reasons = (
        ("kept", bool(machine.reserved_for) and now < machine.reserved_until),
        ("cordoned", machine.cordoned),
        ("withheld", machine.awaiting_slow_start),
        ("condemned", bool(machine.quarantine_reason)),
        ("going", machine.terminating or machine.reclaim_at is not None),
        ("failing", now < machine.error_until),
        ("unresponsive", not machine.responsive(now)),
        ("unheard", not available(ledger, machine, now)),
    )
    return next((reason for reason, holds in reasons if holds), "")


def held_back_too_long(job: Job, now: float) -> bool:
    """Whether the job has been held back by what is kept for others for as long as may be."""
    return job.held_back_since is not None and now - job.held_back_since >= MAX_HELD_BACK_S


def held_back(ledger: Ledger, job: Job, now: float) -> bool:
    """Whether the job could start if nothing were kept for others, nor avoided for its errors."""
    left = job.spec.task_count if job.gang else 1
    if quota_left(ledger, job, heed=False) < left:
        return False
    for machine in ledger.capacity_index.with_room(suitable_kinds(ledger, job), job.request):
        if available(ledger, machine, now):
            left -= int(machine.places_for(job.request))
            if left <= 0:
                return True
    return False


def may_use_slow_start(ledger: Ledger, job: Job, now: float) -> bool:
    """Whether a job may use machines of a zone that returns, before they are open to all.

    A guarantee stands above a gradual return: half of its time is for finding room elsewhere.
    """
    if not job.within_guarantee or job.held_back_since is None:
        return False
    return now - job.held_back_since >= 0.5 * ledger.start_attainment.within_s


def is_open_to(ledger: Ledger, job: Job, machine: Machine, now: float) -> bool:
    """Not kept for another job, nor of the only type for one that waits unless time presses."""
    return (
        held_back_too_long(job, now)
        or (
            not machine.reserved_for
            or machine.reserved_for == job.job_id
            or now >= machine.reserved_until
        )
        and machine.name not in job.error_machines
        and (not machine.awaiting_slow_start or may_use_slow_start(ledger, job, now))
        and (
            not ledger.pending.constrained
            or job.constrained
            or machine.machine_type not in ledger.scarce
            or queue_order.due(ledger, job, now)
        )
    )


def zone_counts(job: Job) -> dict[int, int]:
    """How many tasks of a job are bound in each zone."""
    counts: dict[int, int] = {}
    for binding in job.bindings.values():
        zone = binding.machine.zone
        counts[zone] = counts.get(zone, 0) + 1
    return counts


def zone_open(job: Job, zone: int, counts: dict[int, int]) -> bool:
    """Whether one more task of the job may be in the zone, given its other tasks."""
    if job.spec.single_zone and counts and zone not in counts:
        return False
    return not (job.spec.spread_zones and counts.get(zone, 0) >= (job.spec.task_count + 1) // 2)


def suitable_kinds(ledger: Ledger, job: Job) -> list[MachineKind]:
    """The kinds of machines there are that suit the job."""
    return [
        kind
        for kind in ledger.capacity_index.free
        if (job.spec.spot or not kind.spot)
        and (job.allowed_types is None or kind.machine_type in job.allowed_types)
        and (job.zone is None or kind.zone == job.zone)
    ]


def candidates(ledger: Ledger, job: Job, now: float) -> list[Machine]:
    """The filter: machines that suit the job and have room for one task, zones aside."""
    return [
        machine
        for machine in ledger.capacity_index.with_room(suitable_kinds(ledger, job), job.request)
        if available(ledger, machine, now) and is_open_to(ledger, job, machine, now)
    ]


def suitable_machines(ledger: Ledger, job: Job, now: float) -> list[Machine]:
    """Machines that suit the job, room and its other tasks' zones aside."""
    return [
        machine
        for kind in suitable_kinds(ledger, job)
        for row in ledger.capacity_index.free[kind]
        for machine in row
        if available(ledger, machine, now) and is_open_to(ledger, job, machine, now)
    ]
