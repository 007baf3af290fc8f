"""The order in which displaced work is served while a zone is lost, and room for its gangs."""

from __future__ import annotations

import enum

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Job, Machine
from salthead.cluster.start_rules import quota_left
from salthead.protocol import wire_names
from salthead.scheduling import queue_order
from salthead.scheduling.eligibility import allows, zone_open

# A reservation lasts for so many heartbeat intervals: by then the gang's other machines are up, or
# machines that empty are reserved for it, and another gang may use this one.
RESERVE_HEARTBEAT_INTERVALS = 3.0
# Arrays of this urgency and below are the low-priority ones, which wait for whole gangs.
LOW_PRIORITY = wire_names.URGENCIES.index("normal")


class Tier(enum.IntEnum):
    """Groups of jobs, in the order in which they are placed during an evacuation."""

    GUARANTEED = 0
    GANGS = 1  # and urgent arrays
    ARRAYS = 2


def tier(job: Job, guaranteed_ids: set[str], now: float) -> Tier:
    """Work within guarantees first, then gangs and urgent jobs, then low-priority arrays.

    A job that has waited for half of the time in which any has to begin stays in front.
    """
    if job.job_id in guaranteed_ids or queue_order.start_overdue(job, now):
        return Tier.GUARANTEED
    return Tier.GANGS if job.gang or job.priority < LOW_PRIORITY else Tier.ARRAYS


def in_order(jobs: list[Job], guaranteed_ids: set[str], now: float) -> list[Job]:
    """The queue by tiers; within each as it was."""
    return sorted(jobs, key=lambda job: tier(job, guaranteed_ids, now))


def reserve_for_displaced(
    ledger: Ledger, displaced_at: dict[str, float], machine: Machine, now: float
) -> None:
    """Reserve a machine that has room for the first displaced gang that lacks some.

    Without that, arrays would take each machine that comes up for a gang before its last one is
    there. ``MAX_HELD_BACK_S`` limits how long such reservations, too, delay other jobs.
    """
    if machine.reserved_for and now < machine.reserved_until:
        return
    until = now + RESERVE_HEARTBEAT_INTERVALS * ledger.limits.workers.heartbeat_interval_s
    for job in ledger.pending.jobs:
        if job.job_id in displaced_at and _lacks(ledger, job, machine, now):
            ledger.capacity_index.reserve(machine, job.job_id, until)
            return
        if not job.gang and job.waiting() and _may_start(ledger, job, machine):
            return  # it is ahead of the gangs in the queue


def _may_start(ledger: Ledger, job: Job, machine: Machine) -> bool:
    """Whether a task of the job may start on the machine now."""
    fits = machine.fits(job.request) and allows(job, machine)
    return fits and quota_left(ledger, job) > 0


def _lacks(ledger: Ledger, job: Job, machine: Machine, now: float) -> bool:
    """Whether the gang waits for machines like this one, and may use it beside those it has."""
    task_count = job.spec.task_count
    if not job.gang or job.waiting() < task_count or not machine.fits(job.request):
        return False
    if not allows(job, machine) or quota_left(ledger, job) < task_count:
        return False
    reserved = ledger.capacity_index.reserved_machines(job.job_id, now)
    in_zones: dict[int, int] = {}
    for other in reserved:
        in_zones[other.zone] = in_zones.get(other.zone, 0) + 1
    return len(reserved) < task_count and zone_open(job, machine.zone, in_zones)
