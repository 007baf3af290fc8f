"""Filters for machines that may run a job: by kind, state, and reservations for other jobs."""

from __future__ import annotations

from collections.abc import Iterable

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import UP, Job, Machine
from salthead.cluster.resources import MachineKind
from salthead.cluster.start_rules import remaining_quota
from salthead.scheduling import queue_order

# No task starts on a machine whose last heartbeat is older than this many intervals.
FRESH_HEARTBEAT_INTERVALS = 3.0
# The longest time for which reservations of machines and quota for other jobs may delay a job that
# could otherwise start. Users allow 90 s; the rest covers a retry pause and delivery of the start.
MAX_HELD_BACK_S = 75.0
# A heartbeat is overdue after this many intervals, plus a margin for the network and a busy leader.
OVERDUE_HEARTBEAT_INTERVALS, OVERDUE_HEARTBEAT_MARGIN_S = 1.25, 1.0


def unavailable_reason(ledger: Ledger, machine: Machine, now: float) -> str:
    """Return why free capacity on a machine cannot be used now, or an empty string if it can.

    The reasons are published as label values of a metric.
    """
    reasons = (
        ("kept", bool(machine.reserved_for) and now < machine.reserved_until),
        ("cordoned", machine.cordoned),
        ("withheld", machine.awaiting_slow_start),
        ("condemned", bool(machine.quarantine_reason)),
        ("going", machine.terminating or machine.reclaim_at is not None),
        ("failing", now < machine.error_until),
        ("unresponsive", not machine.responsive(now)),
        ("unheard", not can_start_tasks(ledger, machine, now)),
    )
    return next((reason for reason, holds in reasons if holds), "")


def allowed_kinds(job: Job, kinds: Iterable[MachineKind]) -> list[MachineKind]:
    """Return the kinds on which the job's specification lets it run, in the given order.

    Passes and plans check every kind for every job in the queue. One function call per kind would
    cost more than the comparison, so this function takes all kinds at once.
    """
    return [
        kind
        for kind in kinds
        if (job.spec.spot or not kind.spot)
        and (job.allowed_types is None or kind.machine_type in job.allowed_types)
        and (job.zone is None or kind.zone == job.zone)
    ]


def is_kind_allowed(job: Job, machine: Machine) -> bool:
    """Return whether the job's specification lets it run on machines of this machine's kind.

    The conditions are those of ``allowed_kinds``, for one machine. Each heartbeat that frees
    capacity checks the whole queue, and building a list for each job made up 2% of the function
    calls for such a heartbeat.
    """
    return (
        (job.spec.spot or not machine.spot)
        and (job.allowed_types is None or machine.machine_type in job.allowed_types)
        and (job.zone is None or machine.zone == job.zone)
    )


def can_start_tasks(ledger: Ledger, machine: Machine, now: float) -> bool:
    """Return whether any task may start on the machine.

    It must be up, registered, reconciled and healthy, have sent a heartbeat recently, and not be
    about to be terminated.
    """
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
    """Return whether the machine's next heartbeat should have arrived by now.

    A machine may have died long before ``can_start_tasks`` excludes it. That filter is enough
    for a single task, but a gang cannot start if one of its machines is dead, and preemption for a
    gang then frees the others in vain.
    """
    return (
        now - machine.last_heartbeat_at
        > OVERDUE_HEARTBEAT_INTERVALS * ledger.limits.workers.heartbeat_interval_s
        + OVERDUE_HEARTBEAT_MARGIN_S
    )


def held_back_too_long(job: Job, now: float) -> bool:
    """Return whether reservations for other jobs have delayed the job for as long as allowed."""
    return job.held_back_since is not None and now - job.held_back_since >= MAX_HELD_BACK_S


def could_start_without_reservations(ledger: Ledger, job: Job, now: float) -> bool:
    """Return whether the job could start if nothing were reserved for other jobs.

    Machines that the job avoids after errors, or that a slow start withholds, count as usable.
    """
    unplaced = job.spec.task_count if job.gang else 1
    if remaining_quota(ledger, job, respect_reservations=False) < unplaced:
        return False
    index = ledger.capacity_index
    for machine in index.machines_with_room(allowed_kinds(job, index.free), job.request):
        if can_start_tasks(ledger, machine, now):
            unplaced -= int(machine.fitting_task_count(job.request))
            if unplaced <= 0:
                return True
    return False


def may_bypass_slow_start(ledger: Ledger, job: Job, now: float) -> bool:
    """Return whether a job may use machines of a recovering zone before they are open to all.

    A guarantee ranks above the slow start. Half of the time in which a guaranteed job has to start
    is left for finding capacity elsewhere.
    """
    if not job.within_guarantee or job.held_back_since is None:
        return False
    return now - job.held_back_since >= 0.5 * ledger.start_attainment.within_s


def is_open_to(ledger: Ledger, job: Job, machine: Machine, now: float) -> bool:
    """Return whether reservations, errors and the slow start leave the machine open to this job.

    A machine of a scarce type is left to jobs that fit on no other type, until the job is due to
    start.
    """
    if held_back_too_long(job, now):
        return True
    if machine.reserved_for and machine.reserved_for != job.job_id and now < machine.reserved_until:
        return False
    if machine.name in job.error_machines:
        return False
    if machine.awaiting_slow_start and not may_bypass_slow_start(ledger, job, now):
        return False
    return (
        not ledger.pending.constrained
        or job.constrained
        or machine.machine_type not in ledger.scarce_types
        or queue_order.start_due(ledger, job, now)
    )


def task_counts_by_zone(job: Job) -> dict[int, int]:
    """Return how many tasks of a job are bound in each zone."""
    counts: dict[int, int] = {}
    for binding in job.bindings.values():
        zone = binding.machine.zone
        counts[zone] = counts.get(zone, 0) + 1
    return counts


def zone_allows_task(job: Job, zone: int, counts: dict[int, int]) -> bool:
    """Return whether one more task of the job may run in the zone, given its tasks per zone."""
    if job.spec.single_zone and counts and zone not in counts:
        return False
    return not (job.spec.spread_zones and counts.get(zone, 0) >= max_tasks_per_zone(job))


def max_tasks_per_zone(job: Job) -> int:
    """Return how many tasks of a job that is spread over zones may run in one zone."""
    return (job.spec.task_count + 1) // 2


def candidates(ledger: Ledger, job: Job, now: float) -> list[Machine]:
    """Return the machines that may run a task of the job and have room for it.

    The job's zone constraints are not checked.
    """
    index = ledger.capacity_index
    return [
        machine
        for machine in index.machines_with_room(allowed_kinds(job, index.free), job.request)
        if can_start_tasks(ledger, machine, now) and is_open_to(ledger, job, machine, now)
    ]


def suitable_machines(ledger: Ledger, job: Job, now: float) -> list[Machine]:
    """Return the machines that may run a task of the job, whether or not they have room.

    The job's zone constraints are not checked.
    """
    return [
        machine
        for kind in allowed_kinds(job, ledger.capacity_index.free)
        for row in ledger.capacity_index.free[kind]
        for machine in row
        if can_start_tasks(ledger, machine, now) and is_open_to(ledger, job, machine, now)
    ]
