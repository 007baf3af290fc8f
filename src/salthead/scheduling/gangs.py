"""Reservations of machines for gangs that found too few candidates.

Placement spreads load over all machines, which fragments free capacity: a gang, or a task nearly as
large as a machine, may find no candidate although much is free. The machines that are expected to
have room soonest are then reserved for the gang, and other jobs may not use them.
"""

from __future__ import annotations

import logging
from typing import NamedTuple

from salthead.cluster.estimates import remaining_run_s
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Binding, Job, Machine
from salthead.cluster.resources import EPSILON
from salthead.cluster.start_rules import remaining_quota
from salthead.event_log import event
from salthead.scheduling import queue_order
from salthead.scheduling.eligibility import heartbeat_overdue, suitable_machines, zone_allows_task

log = logging.getLogger(__name__)

# Duration of a reservation in heartbeat intervals. Each attempt to place the gang renews it, and
# the pause between two attempts is at most one interval.
RESERVE_HEARTBEAT_INTERVALS = 3.0


class ReservableMachine(NamedTuple):
    """A machine that may be reserved for a gang, in the sort order of preference."""

    newly_reserved: bool  # not reserved yet for this gang
    expected_room_at: float
    name: str
    machine: Machine


def expected_room_at(ledger: Ledger, machine: Machine, job: Job, now: float) -> float | None:
    """Return when the machine is expected to have room for a task of the job; None if never."""
    if any(c + EPSILON < n for c, n in zip(machine.capacity, job.request, strict=True)):
        return None
    free = machine.free()
    expected_ends = [
        (_expected_end_at(ledger, binding, now), binding) for binding in machine.bindings.values()
    ]
    expected_ends.sort(key=lambda end: end[0])
    at = now
    for end, binding in expected_ends:
        if all(free[n] + EPSILON >= job.request[n] for n in range(3)):
            break
        at = end
        for n in range(3):
            free[n] += binding.request[n]
    return at if all(free[n] + EPSILON >= job.request[n] for n in range(3)) else None


def _expected_end_at(ledger: Ledger, binding: Binding, now: float) -> float:
    """Return when a task is expected to end."""
    job = binding.job
    run_s = (
        0.0 if job is None else ledger.estimates.run_s(job.spec.job_class, job.spec.estimated_run_s)
    )
    age_s = now - binding.started if binding.started else 0.0
    return now + remaining_run_s(run_s, age_s)


def reserve_machines(ledger: Ledger, unschedulable: list[Job], now: float) -> None:
    """Reserve machines for each unschedulable gang: as many as it needs, or none."""
    until = now + RESERVE_HEARTBEAT_INTERVALS * ledger.limits.workers.heartbeat_interval_s
    # Gangs that a lost zone has displaced rank above arrays, so machines are reserved at once.
    evacuating = ledger.zone_hooks is not None and ledger.zone_hooks.evacuating()
    arrays_wait = not evacuating and any(
        not job.gang and job.waiting() for job in ledger.ready_jobs.values()
    )
    for job in unschedulable:
        if not job.gang or remaining_quota(ledger, job) < job.spec.task_count:
            continue
        # Reserved capacity is idle, so while arrays wait for capacity, machines are reserved only
        # once the gang is due to start.
        if arrays_wait and not queue_order.start_due(ledger, job, now):
            continue
        for machine in _select_machines(ledger, job, now):
            if machine.reserved_for != job.job_id:
                event(log, "machine_reserved", machine=machine.name, job=job.job_id)
            ledger.capacity_index.reserve(machine, job.job_id, until)


def _select_machines(ledger: Ledger, job: Job, now: float) -> list[Machine]:
    """Return the machines that will have room for the whole gang soonest; empty if too few.

    They are all in one zone if the job requires it. Among zones, the one with the most machines
    that are already reserved for the gang is chosen.
    """
    reservable = []
    for machine in suitable_machines(ledger, job, now):
        at = expected_room_at(ledger, machine, job, now)
        if at is not None and not heartbeat_overdue(ledger, machine, now):
            newly_reserved = machine.reserved_for != job.job_id
            reservable.append(ReservableMachine(newly_reserved, at, machine.name, machine))
    reservable.sort(key=lambda entry: (entry.newly_reserved, entry.expected_room_at, entry.name))
    machines = [entry.machine for entry in reservable]
    zones = sorted({machine.zone for machine in machines}) if job.spec.single_zone else [None]
    best: list[Machine] = []
    for zone in zones:
        selected = _first_allowed_by_zone(job, [m for m in machines if zone in (None, m.zone)])
        complete = len(selected) == job.spec.task_count
        if complete and (not best or _count_reserved(selected, job) > _count_reserved(best, job)):
            best = selected
    return best


def _first_allowed_by_zone(job: Job, machines: list[Machine]) -> list[Machine]:
    """Return the first machines that satisfy the zone constraints, at most one per member."""
    selected: list[Machine] = []
    tasks_by_zone: dict[int, int] = {}
    for machine in machines:
        if len(selected) == job.spec.task_count:
            break
        if zone_allows_task(job, machine.zone, tasks_by_zone):
            selected.append(machine)
            tasks_by_zone[machine.zone] = tasks_by_zone.get(machine.zone, 0) + 1
    return selected


def _count_reserved(machines: list[Machine], job: Job) -> int:
    """Return how many of the machines are reserved for the job."""
    return sum(1 for machine in machines if machine.reserved_for == job.job_id)
