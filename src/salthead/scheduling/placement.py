"""Placing one job: its tasks are bound to the machines that the candidate pools pick."""

from __future__ import annotations

import logging
import random
from collections.abc import Iterable

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import UP, Job, Machine, ReleaseReason
from salthead.cluster.start_rules import quota_left, wanted
from salthead.scheduling.candidate_pools import CandidatePools, pick
from salthead.scheduling.eligibility import candidates, heartbeat_overdue, zone_counts, zone_open
from salthead.scheduling.guarantees import record_attainment

log = logging.getLogger(__name__)


def schedule_array(
    ledger: Ledger,
    job: Job,
    rng: random.Random,
    now: float,
    only: Machine | None = None,
) -> int:
    """Bind as many waiting tasks as find a machine; how many were bound."""
    wanted = min(job.waiting(), quota_left(ledger, job))
    if wanted <= 0:
        return 0
    candidate_pools = CandidatePools(
        ledger, job, candidates(ledger, job, now) if only is None else [only]
    )
    counts: dict[int, int] = {}
    zoned = job.spec.single_zone or job.spec.spread_zones
    if zoned:
        counts = zone_counts(job)
        for zone in candidate_pools.zones():
            if not zone_open(job, zone, counts):
                candidate_pools.close(zone)
    bound = 0
    while bound < wanted and (machine := candidate_pools.pick(rng)) is not None:
        index = job.next_task()
        if index is None:
            break
        ledger.bind(job, index, machine, ledger.next_attempt(), now, granted=True)
        candidate_pools.used(machine)
        bound += 1
        if zoned:
            counts[machine.zone] = counts.get(machine.zone, 0) + 1
            for zone in range(len(ledger.zones)):
                if not zone_open(job, zone, counts):
                    candidate_pools.close(zone)
    return bound


def schedule_gang(ledger: Ledger, job: Job, rng: random.Random, now: float) -> int:
    """Bind all members or none."""
    task_count = job.spec.task_count
    if quota_left(ledger, job) < task_count:
        return 0
    base = [m for m in candidates(ledger, job, now) if not heartbeat_overdue(ledger, m, now)]
    zones: Iterable[int | None] = [None]
    if job.spec.single_zone:
        present = sorted({m.zone for m in base})
        rng.shuffle(present)
        zones = present
    for zone in zones:
        if _draw_members(ledger, job, [m for m in base if zone in (None, m.zone)], rng, now):
            return task_count
    return 0


def _draw_members(
    ledger: Ledger,
    job: Job,
    base: list[Machine],
    rng: random.Random,
    now: float,
) -> bool:
    counts: dict[int, int] = {}
    chosen: list[Machine] = []
    candidate_pools = CandidatePools(ledger, job, base)
    for _ in range(job.spec.task_count):
        machine = candidate_pools.pick(rng)
        if machine is None:
            break
        # An allocation that only later members of the gang see.
        machine.allocated.cpus += job.request.cpus
        machine.allocated.gpus += job.request.gpus
        machine.allocated.memory_gb += job.request.memory_gb
        candidate_pools.used(machine)
        chosen.append(machine)
        if job.spec.spread_zones:
            counts[machine.zone] = counts.get(machine.zone, 0) + 1
            if not zone_open(job, machine.zone, counts):
                candidate_pools.close(machine.zone)
    for machine in chosen:
        machine.allocated.cpus -= job.request.cpus
        machine.allocated.gpus -= job.request.gpus
        machine.allocated.memory_gb -= job.request.memory_gb
    if len(chosen) < job.spec.task_count:
        return False
    job.attempt = ledger.next_attempt()
    for index, machine in enumerate(chosen):
        ledger.bind(job, index, machine, job.attempt, now, granted=True)
    return True


def reschedule_unsent(ledger: Ledger, rng: random.Random, now: float) -> None:
    """Draw tasks again whose start was not told to anybody, and whose machine has gone silent.

    Seen on loss, prairie-ledger-fleet: a machine that dies just after a draw holds its tasks until
    its lease is over, and with a gang's member all the other machines of the gang. No answer
    carried the start, so the task is certainly not there. A gang's member takes its attempt
    along, and so completes the gang that gathers.
    """
    for machine in ledger.machines.values():
        if (
            machine.phase != UP
            or not machine.bindings
            or not heartbeat_overdue(ledger, machine, now)
        ):
            continue
        for binding in [b for b in machine.bindings.values() if b.start_unsent()]:
            job = binding.job
            if job is None or job.failed or not wanted(binding):
                continue  # it is on its way out
            hooks = ledger.zone_hooks
            if not job.gang or (hooks is not None and hooks.restarts_whole(machine)):
                # For a gang that is the end of its attempt: what was told of it is stopped.
                ledger.release(binding, now, ReleaseReason.NEVER_TOLD)
                continue
            counts = zone_counts(job)
            counts[machine.zone] -= 1
            counts = {zone: count for zone, count in counts.items() if count}
            found = [
                m
                for m in candidates(ledger, job, now)
                if not heartbeat_overdue(ledger, m, now) and zone_open(job, m.zone, counts)
            ]
            if found:
                other = pick(found, rng)
                log.info("%s goes from silent %s to %s", binding.task_id, machine.name, other.name)
                ledger.move(binding, other, now)


def schedule_job(
    ledger: Ledger,
    job: Job,
    rng: random.Random,
    now: float,
    only: Machine | None = None,
) -> int:
    """Place what can be placed of one job; how many tasks were bound."""
    if job.gang:
        bound = schedule_gang(ledger, job, rng, now)
    else:
        bound = schedule_array(ledger, job, rng, now, only)
    if bound:
        job.pause = 0.0
        job.held_back_since = None
        level = logging.DEBUG if only is not None else logging.INFO
        log.log(level, "placed %d of %s, %d left", bound, job.job_id, job.waiting())
        if job.waiting() == 0:
            ledger.capacity_index.release_reservations(job.job_id)
            if job.reserved_at is not None:
                ledger.rest_until[job.team] = now + (now - job.reserved_at)
                job.reserved_at = None
            record_attainment(ledger, job, now)
    return bound
