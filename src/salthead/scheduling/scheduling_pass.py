"""The pass over the queue, and the offer of room that one machine has freed."""

from __future__ import annotations

import logging
import math
import random

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import EPSILON, Job, Machine
from salthead.cluster.start_rules import quota_left, startable
from salthead.event_log import event
from salthead.scheduling import queue_order
from salthead.scheduling.eligibility import (
    allows,
    available,
    held_back,
    held_back_too_long,
    is_open_to,
)
from salthead.scheduling.guarantees import guaranteed_jobs, record_attainment
from salthead.scheduling.pending_queue import queue
from salthead.scheduling.placement import schedule_job

log = logging.getLogger(__name__)

FIRST_PAUSE_S = 2.0


LIMIT_LOGGED_S = 10.0


def backfill(ledger: Ledger, machine: Machine, rng: random.Random, now: float) -> None:
    """Offer room that a machine has freed to the jobs in line, in their order.

    Those in line found no candidate elsewhere, so this machine is the one there is. A whole
    pass for each heartbeat that frees room cost jobs times machines, at every exit of a task.
    """
    if not ledger.loaded or not available(ledger, machine, now):
        return
    if ledger.zone_hooks is not None:
        ledger.zone_hooks.claim(machine, now)
    for job in ledger.pending.jobs:
        if machine.capacity.cpus - machine.allocated.cpus + EPSILON < ledger.pending.min_cpus:
            return
        if (
            now < job.wait_until
            or not machine.fits(job.request)
            or not allows(job, machine)
            or not startable(ledger, job)
            or not is_open_to(ledger, job, machine, now)
        ):
            continue
        schedule_job(ledger, job, rng, now, machine)


def schedule(ledger: Ledger, rng: random.Random, now: float) -> list[Job]:
    """One pass over the queue; the jobs that found no candidate are returned, in order."""
    unschedulable: list[Job] = []
    if not ledger.loaded:
        return unschedulable
    ledger.capacity_index.expire_reservations(now)
    within = guaranteed_jobs(ledger)
    ledger.pending.jobs = queue(ledger, within, now)
    ledger.pending.min_cpus = min(
        (job.request.cpus for job in ledger.pending.jobs), default=math.inf
    )
    ledger.pending.constrained = any(job.constrained for job in ledger.pending.jobs)
    reserved: list[Job | None] = [None for _ in ledger.team_limits]
    for job in ledger.pending.jobs:
        job.within_guarantee = job.within_guarantee or job.job_id in within
        record_attainment(ledger, job, now)
        ahead = reserved[job.team]
        if _schedule_pending_job(ledger, job, ahead, rng, now):
            unschedulable.append(job)
        # For one gang at a time, and then as long for nobody: else all that an overloaded team
        # frees goes to a few of its largest jobs, and each of them makes many others late.
        if ahead is None and queue_order.reserving(job, now) and now >= ledger.rest_until[job.team]:
            reserved[job.team] = job
            if job.reserved_at is None:
                job.reserved_at = now
    return unschedulable


def _schedule_pending_job(
    ledger: Ledger, job: Job, ahead: Job | None, rng: random.Random, now: float
) -> bool:
    """Place what can be placed of one job in line; whether it drew and still waits.

    ``ahead`` is the gang before it for which its team's quota is kept.
    """
    job.quota_reserved_ahead = (0.0, 0.0)
    if (
        ahead is not None
        and not held_back_too_long(job, now)
        and (job.gang or queue_order.pressing(ahead, now))
    ):
        job.quota_reserved_ahead = ahead.size()
    quota_exhausted = _short_of_quota(ledger, job)
    if job.quota_exhausted and not quota_exhausted:
        job.pause_until = 0.0
    job.quota_exhausted = quota_exhausted
    # The pause is for draws that only freed room could change, which ``offer`` sees to.
    if now < max(job.wait_until, job.pause_until):
        return False
    if not quota_exhausted:
        schedule_job(ledger, job, rng, now)
        if job.waiting() == 0:
            return False
        job.quota_exhausted = _short_of_quota(ledger, job)
    if job.quota_exhausted:
        _note_limit(ledger, job, now)
    else:
        log.debug("job %s waits: no candidate for %d tasks", job.job_id, job.waiting())
    if not held_back(ledger, job, now):
        job.held_back_since = None
    elif job.held_back_since is None:
        job.held_back_since = now
    job.pause = min(job.pause * 2 or FIRST_PAUSE_S, ledger.limits.workers.heartbeat_interval_s)
    job.pause_until = now + job.pause
    return True


def _note_limit(ledger: Ledger, job: Job, now: float) -> None:
    """Log what a limit left for a job: at info once in a while for each team, else at debug."""
    due = now - ledger.limit_logged_at[job.team] >= LIMIT_LOGGED_S
    if due:
        ledger.limit_logged_at[job.team] = now
    silent = (0.0, 0.0) if ledger.ready else ledger.failover.unreconciled_capacity()
    event(
        log,
        "limit_reached",
        logging.INFO if due else logging.DEBUG,
        team=job.spec.team,
        job=job.job_id,
        fencing_token=ledger.fencing_token,
        booked_cpus=ledger.usage[job.team][0],
        silent_cpus=silent[0],
        limit_cpus=ledger.team_limits[job.team][0],
        kept_cpus=job.quota_reserved_ahead[0],
        unknown_jobs=len(ledger.unknown_jobs),
        ready=ledger.ready,
    )


def _short_of_quota(ledger: Ledger, job: Job) -> bool:
    """Whether the team's limit leaves no room for a task, or for the whole of a gang."""
    return quota_left(ledger, job) < (job.spec.task_count if job.gang else 1)
