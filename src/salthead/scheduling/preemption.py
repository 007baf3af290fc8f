"""Preemption of tasks for higher priorities and guarantees, and before machines are reclaimed."""

from __future__ import annotations

import logging
from collections.abc import Iterator

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import UP, Binding, Job, Machine
from salthead.cluster.resources import EPSILON
from salthead.cluster.start_rules import remaining_quota
from salthead.event_log import event
from salthead.scheduling.eligibility import (
    heartbeat_overdue,
    suitable_machines,
)
from salthead.scheduling.guarantees import guaranteed_job_ids
from salthead.scheduling.preemption_plan import PreemptionPlan, cheapest_plan, machine_room
from salthead.scheduling.preemption_rules import could_preempt, preempting_priority, save_grace_s

log = logging.getLogger(__name__)

# How long a machine is reserved beyond its victims' grace period, in heartbeat intervals: the time
# to send the stop, report the exit and place the new task.
RESERVE_HEARTBEAT_INTERVALS = 4.0
# Time until a stop command arrives: until the next heartbeat, and a margin for its answer.
STOP_DELIVERY_HEARTBEAT_INTERVALS, STOP_DELIVERY_MARGIN_S = 1.25, 0.5
# Factor by which delivering the stop of a gang takes longer.
GANG_STOP_DELIVERY_FACTOR = 2.0
# A task should have ended this long before its machine is reclaimed.
RECLAIM_MARGIN_S = 0.5


def stop_task(ledger: Ledger, binding: Binding, why: str) -> None:
    """Stop a task, or its whole gang, with a grace period to write a checkpoint."""
    job = binding.job
    if job is None or binding.stop_grace_s is not None:
        return
    if job.gang:
        job.preempted = True
        ledger.allocations.stop_gang(job, save_grace_s(job), why)
    else:
        event(log, "task_stopped", task=binding.task_id, machine=binding.machine.name, why=why)
        ledger.allocations.request_stop(binding, save_grace_s(job))


def preempt_for_job(ledger: Ledger, job: Job, guaranteed_ids: set[str], now: float) -> None:
    """Stop the cheapest victims for the job's waiting tasks, and reserve their machines for it."""
    task_count = min(job.waiting(), remaining_quota(ledger, job))
    if job.gang and task_count < job.spec.task_count:
        return
    if not could_preempt(ledger, job, guaranteed_ids):
        return
    priority = preempting_priority(ledger, job, now)
    best: PreemptionPlan | None = None
    for machines in _machine_choices(ledger, job, now):
        rooms = [
            machine_room(ledger, job, priority, machine, guaranteed_ids, now)
            for machine in machines
        ]
        plan = cheapest_plan(job, rooms, task_count)
        if plan is not None and (best is None or plan.lost_cpu_s < best.lost_cpu_s):
            best = plan
    if best is not None:
        _execute_plan(ledger, job, best, now)


def _machine_choices(ledger: Ledger, job: Job, now: float) -> Iterator[list[Machine]]:
    """Yield each set of machines among which a plan may choose.

    That is one set of all machines, or one set per zone for a gang that must stay in one zone.
    """
    machines = [
        m
        for m in suitable_machines(ledger, job, now)
        if not heartbeat_overdue(ledger, m, now)
        and all(c + EPSILON >= n for c, n in zip(m.capacity, job.request, strict=True))
    ]
    if not (job.gang and job.spec.single_zone):
        yield machines
        return
    for zone in sorted({m.zone for m in machines}):
        yield [m for m in machines if m.zone == zone]


def _execute_plan(ledger: Ledger, job: Job, plan: PreemptionPlan, now: float) -> None:
    """Reserve the plan's machines for the job, and stop the victims."""
    heartbeat_interval_s = ledger.limits.workers.heartbeat_interval_s
    for machine, victims in plan.victims.items():
        longest_grace_s = max((save_grace_s(v.job) for v in victims if v.job), default=0.0)
        reserved_until = now + longest_grace_s + RESERVE_HEARTBEAT_INTERVALS * heartbeat_interval_s
        ledger.capacity_index.reserve(machine, job.job_id, reserved_until)
        job.preemption_wait_until = max(job.preemption_wait_until, reserved_until)
        for victim in victims:
            stop_task(ledger, victim, f"room for {job.job_id}")


def preempt(ledger: Ledger, unschedulable: list[Job], now: float) -> None:
    """Preempt tasks for each unschedulable job in order, as far as the rules allow."""
    if not unschedulable or not ledger.ready:
        return
    guaranteed_ids = guaranteed_job_ids(ledger)
    for job in unschedulable:
        if job.quota_exhausted:
            continue
        reserved = (
            ledger.capacity_index.reserved_machines(job.job_id, now)
            if now < job.preemption_wait_until
            else []
        )
        if any(heartbeat_overdue(ledger, machine, now) for machine in reserved):
            # If one of the machines that were freed for a gang dies, the others stand idle until
            # it is declared lost. Planning anew picks the same machines, since the tasks stopped
            # there end anyway, and replaces only the silent ones.
            ledger.capacity_index.release_reservations(job.job_id)
        elif reserved:
            continue  # earlier victims are still stopping
        preempt_for_job(ledger, job, guaranteed_ids, now)


def preempt_before_reclaim(ledger: Ledger, now: float) -> None:
    """Stop tasks on machines that are about to be reclaimed, as late as is safe."""
    workers = ledger.limits.workers
    stop_delivery_s = (
        STOP_DELIVERY_HEARTBEAT_INTERVALS * workers.heartbeat_interval_s + STOP_DELIVERY_MARGIN_S
    )
    for machine in ledger.machines.values():
        if machine.phase != UP or machine.reclaim_at is None:
            continue
        left_s = machine.reclaim_at - now
        for binding in list(machine.bindings.values()):
            job = binding.job
            if job is None or binding.stop_grace_s is not None:
                continue
            factor = GANG_STOP_DELIVERY_FACTOR if job.gang else 1.0
            if left_s <= stop_delivery_s * factor + save_grace_s(job) + RECLAIM_MARGIN_S:
                stop_task(ledger, binding, f"{machine.name} is taken in {left_s:.1f} s")
