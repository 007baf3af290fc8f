"""Reservations of machines for gangs that found no candidates.

Choosing machines by their fullest dimension scatters free room, so a gang, or a task nearly as
large as a machine, may find no candidate though much is free. Then the machines that will have room
soonest are reserved for it: a filter hides them from other jobs of the same or a lower priority.
"""

from __future__ import annotations

import logging
from typing import NamedTuple

from salthead.cluster.estimates import left_s
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Binding, Job, Machine
from salthead.cluster.resources import EPSILON
from salthead.cluster.start_rules import quota_left
from salthead.event_log import event
from salthead.scheduling import queue_order
from salthead.scheduling.eligibility import heartbeat_overdue, suitable_machines, zone_open

log = logging.getLogger(__name__)

# A reservation lasts for this many heartbeat intervals. It is renewed at each attempt to place the
# gang, and two of these are at most one pause apart.
RESERVE_HEARTBEAT_INTERVALS = 3.0


class ReservableMachine(NamedTuple):
    """A machine that may be reserved for a gang; those to be reserved first sort first."""

    new: bool  # not yet reserved for this gang
    room_at: float
    name: str
    machine: Machine


def room_at(ledger: Ledger, machine: Machine, job: Job, now: float) -> float | None:
    """When the machine should have room for one task of the job; None if never."""
    if any(c + EPSILON < n for c, n in zip(machine.capacity, job.request, strict=True)):
        return None
    free = machine.free()
    ends = [(_expected_end(ledger, binding, now), binding) for binding in machine.bindings.values()]
    ends.sort(key=lambda end: end[0])
    at = now
    for end, binding in ends:
        if all(free[n] + EPSILON >= job.request[n] for n in range(3)):
            break
        at = end
        for n in range(3):
            free[n] += binding.request[n]
    return at if all(free[n] + EPSILON >= job.request[n] for n in range(3)) else None


def _expected_end(ledger: Ledger, binding: Binding, now: float) -> float:
    """When a task should end, by its estimate."""
    job = binding.job
    run_s = (
        0.0 if job is None else ledger.estimates.run_s(job.spec.job_class, job.spec.estimated_run_s)
    )
    age_s = now - binding.started if binding.started else 0.0
    return now + left_s(run_s, age_s)


def reserve_machines(ledger: Ledger, unschedulable: list[Job], now: float) -> None:
    """Reserve machines for each gang that found no candidates: all that it needs, or none."""
    until = now + RESERVE_HEARTBEAT_INTERVALS * ledger.limits.workers.heartbeat_interval_s
    # Gangs that a lost zone displaced go before arrays, so machines are reserved at once.
    evacuating = ledger.zone_hooks is not None and ledger.zone_hooks.evacuating()
    arrays_wait = not evacuating and any(
        not job.gang and job.waiting() for job in ledger.ready_jobs.values()
    )
    for job in unschedulable:
        if not job.gang or quota_left(ledger, job) < job.spec.task_count:
            continue
        # Reserved room stands empty, so while arrays wait for room it is reserved no earlier than
        # the gang's own target asks.
        if arrays_wait and not queue_order.start_due(ledger, job, now):
            continue
        for machine in _machines_for(ledger, job, now):
            if machine.reserved_for != job.job_id:
                event(log, "machine_reserved", machine=machine.name, job=job.job_id)
            ledger.capacity_index.reserve(machine, job.job_id, until)


def _machines_for(ledger: Ledger, job: Job, now: float) -> list[Machine]:
    """The machines for all of a gang that will have room soonest, in one zone if need be."""
    rows = []
    for machine in suitable_machines(ledger, job, now):
        at = room_at(ledger, machine, job, now)
        if at is not None and not heartbeat_overdue(ledger, machine, now):
            new = machine.reserved_for != job.job_id
            rows.append(ReservableMachine(new, at, machine.name, machine))
    rows.sort(key=lambda row: (row.new, row.room_at, row.name))
    machines = [row.machine for row in rows]
    zones = sorted({machine.zone for machine in machines}) if job.spec.single_zone else [None]
    best: list[Machine] = []
    for zone in zones:
        found = _first_allowed(job, [m for m in machines if zone in (None, m.zone)])
        complete = len(found) == job.spec.task_count
        if complete and (not best or _reserved_count(found, job) > _reserved_count(best, job)):
            best = found
    return best


def _first_allowed(job: Job, machines: list[Machine]) -> list[Machine]:
    """The first machines that may run the gang's members together, at most one for each."""
    found: list[Machine] = []
    in_zones: dict[int, int] = {}
    for machine in machines:
        if len(found) == job.spec.task_count:
            break
        if zone_open(job, machine.zone, in_zones):
            found.append(machine)
            in_zones[machine.zone] = in_zones.get(machine.zone, 0) + 1
    return found


def _reserved_count(machines: list[Machine], job: Job) -> int:
    """How many of the machines are reserved for the job."""
    return sum(1 for machine in machines if machine.reserved_for == job.job_id)
