"""Queue order during an evacuation, and reservations for displaced gangs."""

from __future__ import annotations

import enum

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Job, Machine
from salthead.cluster.start_rules import remaining_quota
from salthead.protocol import wire_names
from salthead.scheduling import queue_order
from salthead.scheduling.eligibility import is_kind_allowed, zone_allows_task

# How long a reservation lasts. By then the gang's other machines are up or are reserved for it as
# they become empty; if not, another gang may use this one.
RESERVE_HEARTBEAT_INTERVALS = 3.0
# Arrays of this priority or a lower one (a higher number) wait until gangs are placed.
HIGHEST_DEFERRED_PRIORITY = wire_names.URGENCIES.index("normal")


class Tier(enum.IntEnum):
    """Tiers of jobs, in the order of their placement during an evacuation."""

    GUARANTEED = 0
    GANGS = 1  # includes urgent arrays
    ARRAYS = 2


def tier(job: Job, guaranteed_ids: set[str], now: float) -> Tier:
    """Return a job's tier: within a guarantee, then gangs and urgent arrays, then other arrays.

    A job that has waited for half of the longest permitted wait also belongs to the first tier.
    """
    if job.job_id in guaranteed_ids or queue_order.start_overdue(job, now):
        return Tier.GUARANTEED
    return Tier.GANGS if job.gang or job.priority < HIGHEST_DEFERRED_PRIORITY else Tier.ARRAYS


def sort_by_tier(jobs: list[Job], guaranteed_ids: set[str], now: float) -> list[Job]:
    """Return the queue stably sorted by tier."""
    return sorted(jobs, key=lambda job: tier(job, guaranteed_ids, now))


def reserve_for_displaced(
    ledger: Ledger, displaced_at: dict[str, float], machine: Machine, now: float
) -> None:
    """Reserve a machine with free capacity for the first displaced gang that needs it.

    Otherwise arrays would take each machine that comes up before the gang has all of its machines.
    ``MAX_HELD_BACK_S`` limits how long such reservations delay other jobs.
    """
    if machine.reserved_for and now < machine.reserved_until:
        return
    until = now + RESERVE_HEARTBEAT_INTERVALS * ledger.limits.workers.heartbeat_interval_s
    for job in ledger.pending.jobs:
        if job.job_id in displaced_at and _needs_machine(ledger, job, machine, now):
            ledger.capacity_index.reserve(machine, job.job_id, until)
            return
        if not job.gang and job.waiting() and _can_start(ledger, job, machine):
            return  # the array comes before the gangs in the queue


def _can_start(ledger: Ledger, job: Job, machine: Machine) -> bool:
    """Return whether a task of the job may start on the machine now."""
    fits = machine.fits(job.request) and is_kind_allowed(job, machine)
    return fits and remaining_quota(ledger, job) > 0


def _needs_machine(ledger: Ledger, job: Job, machine: Machine, now: float) -> bool:
    """Return whether the job is a waiting gang that can use the machine with those reserved."""
    task_count = job.spec.task_count
    if not job.gang or job.waiting() < task_count or not machine.fits(job.request):
        return False
    if not is_kind_allowed(job, machine) or remaining_quota(ledger, job) < task_count:
        return False
    reserved = ledger.capacity_index.reserved_machines(job.job_id, now)
    reserved_by_zone: dict[int, int] = {}
    for other in reserved:
        reserved_by_zone[other.zone] = reserved_by_zone.get(other.zone, 0) + 1
    return len(reserved) < task_count and zone_allows_task(job, machine.zone, reserved_by_zone)
