"""Which machines may take a task of a job: by kind, by state, and by reservations for others."""

from __future__ import annotations

from collections.abc import Iterable

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import UP, Job, Machine
from salthead.cluster.resources import MachineKind
from salthead.cluster.start_rules import quota_left
from salthead.scheduling import queue_order

FRESH_HEARTBEAT_INTERVALS = 3.0
# Room and quota that are kept for other jobs delay a job by no more than this beside room that it
# could use. The users allow 90 s; the rest is for a pause and for the delivery of the start.
MAX_HELD_BACK_S = 75.0
# A heartbeat is overdue after this many intervals and this much for the network and a busy leader.
OVERDUE_HEARTBEAT_INTERVALS, OVERDUE_HEARTBEAT_MARGIN_S = 1.25, 1.0


def unavailable_reason(ledger: Ledger, machine: Machine, now: float) -> str:
    """Why room on a machine can't be used now, for operators; empty when it can.

    The reasons are published as labels of a metric.
    """
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


def allowed_kinds(job: Job, kinds: Iterable[MachineKind]) -> list[MachineKind]:
    """Those of the kinds on which the job's owner lets it run, in their order.

    For many kinds at once: passes and plans ask about every kind for every job in the queue, and a
    function call for each would cost more than the comparison.
    """
    return [
        kind
        for kind in kinds
        if (job.spec.spot or not kind.spot)
        and (job.allowed_types is None or kind.machine_type in job.allowed_types)
        and (job.zone is None or kind.zone == job.zone)
    ]


def allows(job: Job, machine: Machine) -> bool:
    """Whether the job's owner lets it run on machines of this kind.

    The conditions of ``allowed_kinds`` for one machine: each heartbeat that frees room asks this of
    the whole queue, and a list for each job was 2% of the calls of such a heartbeat.
    """
    return (
        (job.spec.spot or not machine.spot)
        and (job.allowed_types is None or machine.machine_type in job.allowed_types)
        and (job.zone is None or machine.zone == job.zone)
    )


def available(ledger: Ledger, machine: Machine, now: float) -> bool:
    """Whether any task may start on the machine: it is up, registered, reconciled and healthy, has
    sent a heartbeat lately, and is not about to be terminated."""
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
    """Whether the machine's next heartbeat should have arrived by now.

    Such a machine may have died long before ``available`` says so. That filter is enough for a
    single task; a gang needs all of its machines, and so does the room that is made for it.
    """
    return (
        now - machine.last_heartbeat_at
        > OVERDUE_HEARTBEAT_INTERVALS * ledger.limits.workers.heartbeat_interval_s
        + OVERDUE_HEARTBEAT_MARGIN_S
    )


def held_back_too_long(job: Job, now: float) -> bool:
    """Whether reservations for other jobs have delayed the job for as long as they may."""
    return job.held_back_since is not None and now - job.held_back_since >= MAX_HELD_BACK_S


def could_start_without_reservations(ledger: Ledger, job: Job, now: float) -> bool:
    """Whether the job could start if nothing were kept for others, nor avoided for its errors."""
    missing = job.spec.task_count if job.gang else 1
    if quota_left(ledger, job, heed=False) < missing:
        return False
    index = ledger.capacity_index
    for machine in index.with_room(allowed_kinds(job, index.free), job.request):
        if available(ledger, machine, now):
            missing -= int(machine.places_for(job.request))
            if missing <= 0:
                return True
    return False


def may_use_slow_start(ledger: Ledger, job: Job, now: float) -> bool:
    """Whether a job may use machines of a recovering zone before they are open to all.

    A guarantee ranks above the slow start: half of its time is for finding room elsewhere.
    """
    if not job.within_guarantee or job.held_back_since is None:
        return False
    return now - job.held_back_since >= 0.5 * ledger.start_attainment.within_s


def is_open_to(ledger: Ledger, job: Job, machine: Machine, now: float) -> bool:
    """Whether the machine is reserved for no other job, and not to be avoided by this one.

    A machine of a scarce type is left to jobs that fit on no other, unless time presses.
    """
    if held_back_too_long(job, now):
        return True
    if machine.reserved_for and machine.reserved_for != job.job_id and now < machine.reserved_until:
        return False
    if machine.name in job.error_machines:
        return False
    if machine.awaiting_slow_start and not may_use_slow_start(ledger, job, now):
        return False
    return (
        not ledger.pending.constrained
        or job.constrained
        or machine.machine_type not in ledger.scarce
        or queue_order.start_due(ledger, job, now)
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
    return not (job.spec.spread_zones and counts.get(zone, 0) >= max_per_zone(job))


def max_per_zone(job: Job) -> int:
    """How many tasks of a job that is spread over zones may be in one of them."""
    return (job.spec.task_count + 1) // 2


def candidates(ledger: Ledger, job: Job, now: float) -> list[Machine]:
    """The machines that may take a task of the job and have room for it, zones aside."""
    index = ledger.capacity_index
    return [
        machine
        for machine in index.with_room(allowed_kinds(job, index.free), job.request)
        if available(ledger, machine, now) and is_open_to(ledger, job, machine, now)
    ]


def suitable_machines(ledger: Ledger, job: Job, now: float) -> list[Machine]:
    """The machines that may take a task of the job, room and zones aside."""
    return [
        machine
        for kind in allowed_kinds(job, ledger.capacity_index.free)
        for row in ledger.capacity_index.free[kind]
        for machine in row
        if available(ledger, machine, now) and is_open_to(ledger, job, machine, now)
    ]
