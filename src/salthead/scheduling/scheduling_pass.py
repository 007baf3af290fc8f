"""The scheduling pass over the pending queue, and backfill of freed capacity."""

from __future__ import annotations

import logging
import math
import random

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Job, Machine
from salthead.cluster.resources import EPSILON
from salthead.cluster.start_rules import remaining_quota, startable
from salthead.event_log import event
from salthead.scheduling import queue_order
from salthead.scheduling.eligibility import (
    can_start_tasks,
    could_start_without_reservations,
    held_back_too_long,
    is_kind_allowed,
    is_open_to,
)
from salthead.scheduling.guarantees import guaranteed_job_ids, record_attainment
from salthead.scheduling.pending_queue import pending_jobs
from salthead.scheduling.placement import schedule_job

log = logging.getLogger(__name__)

# First pause before a job that found no candidate is retried. The pause doubles with each attempt,
# up to one heartbeat interval.
FIRST_RETRY_PAUSE_S = 2.0
QUOTA_LOG_INTERVAL_S = 10.0  # time between two log entries of a team at level info


def schedule(ledger: Ledger, rng: random.Random, now: float) -> list[Job]:
    """Run one pass over the queue, and return the jobs that were tried and still wait, in order."""
    unschedulable: list[Job] = []
    if not ledger.loaded:
        return unschedulable
    ledger.capacity_index.expire_reservations(now)
    guaranteed_ids = guaranteed_job_ids(ledger)
    queue = pending_jobs(ledger, guaranteed_ids, now)
    ledger.pending.jobs = queue
    ledger.pending.min_cpus = min((job.request.cpus for job in queue), default=math.inf)
    ledger.pending.constrained = any(job.constrained for job in queue)
    reserving_gangs: list[Job | None] = [None for _ in ledger.team_limits]
    for job in queue:
        job.within_guarantee = job.within_guarantee or job.job_id in guaranteed_ids
        record_attainment(ledger, job, now)
        gang_ahead = reserving_gangs[job.team]
        if _schedule_pending_job(ledger, job, gang_ahead, rng, now):
            unschedulable.append(job)
        # Quota is reserved for one gang of a team at a time. Once that gang is placed, none is
        # reserved for as long as its reservation lasted. Otherwise all quota that an overloaded
        # team frees would go to a few of its largest jobs, each of which makes many others late.
        if (
            gang_ahead is None
            and queue_order.reserves_quota(job, now)
            and now >= ledger.reservation_paused_until[job.team]
        ):
            reserving_gangs[job.team] = job
            if job.reserved_at is None:
                job.reserved_at = now
    return unschedulable


def _schedule_pending_job(
    ledger: Ledger, job: Job, gang_ahead: Job | None, rng: random.Random, now: float
) -> bool:
    """Place as many tasks of a job as possible; return whether it was tried and still waits.

    ``gang_ahead`` is the gang ahead of the job for which its team's quota is reserved.
    """
    job.quota_reserved_ahead = (0.0, 0.0)
    if (
        gang_ahead is not None
        and not held_back_too_long(job, now)
        and (job.gang or queue_order.reserves_quota_from_arrays(gang_ahead, now))
    ):
        job.quota_reserved_ahead = gang_ahead.size()
    quota_exhausted = _quota_exhausted(ledger, job)
    if job.quota_exhausted and not quota_exhausted:
        job.placement_backoff_until = 0.0
    job.quota_exhausted = quota_exhausted
    # Until the pause ends, only freed capacity could help, and ``backfill`` offers that to the job.
    if now < max(job.error_backoff_until, job.placement_backoff_until):
        return False
    if not quota_exhausted:
        schedule_job(ledger, job, rng, now)
        if job.waiting() == 0:
            return False
        job.quota_exhausted = _quota_exhausted(ledger, job)
    _back_off(ledger, job, now)
    return True


def _back_off(ledger: Ledger, job: Job, now: float) -> None:
    """Log why tasks of the job still wait, and set the pause until the next attempt."""
    if job.quota_exhausted:
        _log_quota_limit(ledger, job, now)
    else:
        event(log, "no_candidate", logging.DEBUG, job=job.job_id, waiting=job.waiting())
    if not could_start_without_reservations(ledger, job, now):
        job.held_back_since = None
    elif job.held_back_since is None:
        job.held_back_since = now
    job.pause = min(
        job.pause * 2 or FIRST_RETRY_PAUSE_S, ledger.limits.workers.heartbeat_interval_s
    )
    job.placement_backoff_until = now + job.pause


def _quota_exhausted(ledger: Ledger, job: Job) -> bool:
    """Return whether the team's quota is too small for one more task, or for the whole gang."""
    return remaining_quota(ledger, job) < (job.spec.task_count if job.gang else 1)


def _log_quota_limit(ledger: Ledger, job: Job, now: float) -> None:
    """Log that a team's quota holds up a job: at a limited rate at info, otherwise at debug."""
    at_info = now - ledger.limit_logged_at[job.team] >= QUOTA_LOG_INTERVAL_S
    if at_info:
        ledger.limit_logged_at[job.team] = now
    unreconciled = (0.0, 0.0) if ledger.ready else ledger.failover.unreconciled_capacity()
    event(
        log,
        "limit_reached",
        logging.INFO if at_info else logging.DEBUG,
        team=job.spec.team,
        job=job.job_id,
        fencing_token=ledger.fencing_token,
        booked_cpus=ledger.allocated_by_team[job.team][0],
        silent_cpus=unreconciled[0],
        limit_cpus=ledger.team_limits[job.team][0],
        kept_cpus=job.quota_reserved_ahead[0],
        unknown_jobs=len(ledger.unknown_jobs),
        ready=ledger.ready,
    )


def backfill(ledger: Ledger, machine: Machine, rng: random.Random, now: float) -> None:
    """Place jobs of the queue, in order, on a machine that has freed capacity.

    These jobs found no candidate elsewhere, so only this machine is tried. A whole pass at every
    exit of a task would cost the number of jobs times the number of machines.
    """
    if not ledger.loaded or not can_start_tasks(ledger, machine, now):
        return
    if ledger.zone_hooks is not None:
        ledger.zone_hooks.reserve_for_displaced_gangs(machine, now)
    for job in ledger.pending.jobs:
        if machine.capacity.cpus - machine.allocated.cpus + EPSILON < ledger.pending.min_cpus:
            return
        if (
            now < job.error_backoff_until
            or not machine.fits(job.request)
            or not is_kind_allowed(job, machine)
            or not startable(ledger, job)
            or not is_open_to(ledger, job, machine, now)
        ):
            continue
        schedule_job(ledger, job, rng, now, machine)
