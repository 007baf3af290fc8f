"""Placement of a job's waiting tasks on candidate machines."""

from __future__ import annotations

import logging
import random
from collections.abc import Iterable

from salthead.cluster.allocations import ReleaseReason
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import UP, Binding, Job, Machine
from salthead.cluster.start_rules import remaining_quota, should_still_run
from salthead.event_log import event
from salthead.scheduling.candidate_pools import CandidatePools, pick_of_two
from salthead.scheduling.eligibility import (
    candidates,
    heartbeat_overdue,
    task_counts_by_zone,
    zone_allows_task,
)
from salthead.scheduling.guarantees import record_attainment

log = logging.getLogger(__name__)


def schedule_job(
    ledger: Ledger,
    job: Job,
    rng: random.Random,
    now: float,
    only: Machine | None = None,
) -> int:
    """Place as many of the job's tasks as possible, and return how many were bound.

    ``only`` limits the placement of an array to one machine; gangs ignore it.
    """
    if job.gang:
        bound = schedule_gang(ledger, job, rng, now)
    else:
        bound = schedule_array(ledger, job, rng, now, only)
    if not bound:
        return 0
    job.pause = 0.0
    job.held_back_since = None
    level = logging.DEBUG if only is not None else logging.INFO
    waiting = job.waiting()
    event(log, "tasks_placed", level, job=job.job_id, placed=bound, waiting=waiting)
    if waiting == 0:
        _finish_placement(ledger, job, now)
    return bound


def _finish_placement(ledger: Ledger, job: Job, now: float) -> None:
    """Release the job's reservations and record its attainment once all tasks are placed."""
    ledger.capacity_index.release_reservations(job.job_id)
    if job.reserved_at is not None:
        ledger.reservation_paused_until[job.team] = now + (now - job.reserved_at)
        job.reserved_at = None
    record_attainment(ledger, job, now)


def schedule_array(
    ledger: Ledger,
    job: Job,
    rng: random.Random,
    now: float,
    only: Machine | None = None,
) -> int:
    """Bind as many waiting tasks as there are machines and quota for; return how many."""
    startable_count = min(job.waiting(), remaining_quota(ledger, job))
    if startable_count <= 0:
        return 0
    machines = candidates(ledger, job, now) if only is None else [only]
    pools = CandidatePools(ledger, job, machines)
    tasks_by_zone: dict[int, int] = {}
    has_zone_rule = job.spec.single_zone or job.spec.spread_zones
    if has_zone_rule:
        tasks_by_zone = task_counts_by_zone(job)
        _exclude_closed_zones(job, pools, pools.zones(), tasks_by_zone)
    bound = 0
    while bound < startable_count and (machine := pools.pick(rng)) is not None:
        index = job.next_task()
        if index is None:
            break
        ledger.allocations.bind(
            job, index, machine, ledger.allocations.next_attempt(), now, granted=True
        )
        pools.drop_if_full(machine)
        bound += 1
        if has_zone_rule:
            tasks_by_zone[machine.zone] = tasks_by_zone.get(machine.zone, 0) + 1
            _exclude_closed_zones(job, pools, range(len(ledger.zones)), tasks_by_zone)
    return bound


def _exclude_closed_zones(
    job: Job, pools: CandidatePools, zones: Iterable[int], tasks_by_zone: dict[int, int]
) -> None:
    """Drop the machines of zones in which no more tasks of the job may run."""
    for zone in zones:
        if not zone_allows_task(job, zone, tasks_by_zone):
            pools.exclude_zone(zone)


def schedule_gang(ledger: Ledger, job: Job, rng: random.Random, now: float) -> int:
    """Bind all members of a gang or none, and return how many were bound."""
    task_count = job.spec.task_count
    if remaining_quota(ledger, job) < task_count:
        return 0
    machines = [m for m in candidates(ledger, job, now) if not heartbeat_overdue(ledger, m, now)]
    zones: Iterable[int | None] = [None]
    if job.spec.single_zone:
        zones_with_candidates = sorted({machine.zone for machine in machines})
        rng.shuffle(zones_with_candidates)
        zones = zones_with_candidates
    for zone in zones:
        machines_in_zone = [machine for machine in machines if zone in (None, machine.zone)]
        picked = _pick_gang_machines(ledger, job, machines_in_zone, rng)
        if len(picked) == task_count:
            job.attempt = ledger.allocations.next_attempt()
            for index, machine in enumerate(picked):
                ledger.allocations.bind(job, index, machine, job.attempt, now, granted=True)
            return task_count
    return 0


def _pick_gang_machines(
    ledger: Ledger, job: Job, machines: list[Machine], rng: random.Random
) -> list[Machine]:
    """Return a machine for each member in turn, or fewer if the machines have no more room."""
    tasks_by_zone: dict[int, int] = {}
    picked: list[Machine] = []
    pools = CandidatePools(ledger, job, machines)
    for _ in range(job.spec.task_count):
        machine = pools.pick(rng)
        if machine is None:
            break
        # Allocate temporarily, so that the choice for the next members sees what is left.
        machine.allocated.cpus += job.request.cpus
        machine.allocated.gpus += job.request.gpus
        machine.allocated.memory_gb += job.request.memory_gb
        pools.drop_if_full(machine)
        picked.append(machine)
        if job.spec.spread_zones:
            tasks_by_zone[machine.zone] = tasks_by_zone.get(machine.zone, 0) + 1
            if not zone_allows_task(job, machine.zone, tasks_by_zone):
                pools.exclude_zone(machine.zone)
    for machine in picked:
        machine.allocated.cpus -= job.request.cpus
        machine.allocated.gpus -= job.request.gpus
        machine.allocated.memory_gb -= job.request.memory_gb
    return picked


def reschedule_unsent(ledger: Ledger, rng: random.Random, now: float) -> None:
    """Reschedule tasks whose start was not sent before their machine's heartbeat became overdue.

    A machine that dies just after a placement would hold its tasks until its lease expires, and
    with a gang's member all other machines of the gang. No answer to a heartbeat has carried the
    start, so the task is certainly not running there.
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
            if job is not None and not job.failed and should_still_run(binding):
                _reschedule_task(ledger, job, binding, rng, now)


def _reschedule_task(
    ledger: Ledger, job: Job, binding: Binding, rng: random.Random, now: float
) -> None:
    """Move a gang's member within its attempt to another machine; release any other task."""
    silent_machine = binding.machine
    hooks = ledger.zone_hooks
    if not job.gang or (hooks is not None and hooks.must_restart_gang(silent_machine)):
        # For a gang, this ends the attempt: members that have started are stopped.
        ledger.allocations.release(binding, now, ReleaseReason.NEVER_SENT)
        return
    tasks_by_zone = task_counts_by_zone(job)
    tasks_by_zone[silent_machine.zone] -= 1
    tasks_by_zone = {zone: count for zone, count in tasks_by_zone.items() if count}
    machines = [
        machine
        for machine in candidates(ledger, job, now)
        if not heartbeat_overdue(ledger, machine, now)
        and zone_allows_task(job, machine.zone, tasks_by_zone)
    ]
    if machines:
        target = pick_of_two(machines, rng)
        event(
            log,
            "unsent_task_moved",
            task=binding.task_id,
            silent_machine=silent_machine.name,
            machine=target.name,
        )
        ledger.allocations.move(binding, target, now)
