"""Room for gangs: the known break of the design, and its exception.

Choosing by the fullest dimension scatters free room, so a gang, or a task nearly as large as a
machine, finds no candidate though much is free. When that has happened, machines that will have
room soonest are kept: a filter hides them from other jobs of the same or a lower urgency.
"""

from __future__ import annotations

import logging

from salthead.cluster.estimates import left_s
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import EPSILON, Job, Machine
from salthead.cluster.start_rules import quota_left
from salthead.scheduling import eligibility, queue_order

log = logging.getLogger(__name__)


def room_at(ledger: Ledger, machine: Machine, job: Job, now: float) -> float | None:
    """When the machine should have room for one task of the job; None if never."""
    if any(c + EPSILON < n for c, n in zip(machine.capacity, job.request, strict=True)):
        return None
    left = machine.free()
    ends = []
    for binding in machine.bindings.values():
        other = binding.job
        run_s = (
            0.0
            if other is None
            else ledger.estimates.run_s(other.spec.job_class, other.spec.estimated_run_s)
        )
        age_s = now - binding.started if binding.started else 0.0
        ends.append((now + left_s(run_s, age_s), binding.request))
    ends.sort(key=lambda pair: pair[0])
    at = now
    for end, request in ends:
        if all(left[n] + EPSILON >= job.request[n] for n in range(3)):
            break
        at = end
        for n in range(3):
            left[n] += request[n]
    return at if all(left[n] + EPSILON >= job.request[n] for n in range(3)) else None


def reserve_machines(ledger: Ledger, unschedulable: list[Job], now: float) -> None:
    """Keep machines for each gang that found no candidates: all that it needs, or none."""
    # Renewed at each of the gang's draws, which are at most a pause apart.
    until = now + 3.0 * ledger.limits.workers.heartbeat_interval_s
    # Gangs that a lost zone displaced go before arrays, so room is kept for them at once.
    evacuating = ledger.zone_hooks is not None and ledger.zone_hooks.evacuating()
    crowded = not evacuating and any(
        not job.gang and job.waiting() for job in ledger.ready_jobs.values()
    )
    for job in unschedulable:
        if not job.gang or quota_left(ledger, job) < job.spec.task_count:
            continue
        # Kept room stands empty, so while others wait for room it is kept no earlier than the
        # gang's own target asks.
        if crowded and not queue_order.due(ledger, job, now):
            continue
        for machine in _machines_for(ledger, job, now):
            if machine.reserved_for != job.job_id:
                log.info("machine %s is kept for gang %s", machine.name, job.job_id)
            ledger.capacity_index.reserve(machine, job.job_id, until)


def _machines_for(ledger: Ledger, job: Job, now: float) -> list[Machine]:
    """The machines for all of a gang that will have room soonest, in one zone if need be."""
    rows = []
    for machine in eligibility.suitable_machines(ledger, job, now):
        at = room_at(ledger, machine, job, now)
        if at is not None and not eligibility.heartbeat_overdue(ledger, machine, now):
            rows.append((machine.reserved_for != job.job_id, at, machine.name, machine))
    rows.sort(key=lambda row: row[:3])
    machines = [row[3] for row in rows]
    zones = sorted({machine.zone for machine in machines}) if job.spec.single_zone else [None]
    chosen: list[Machine] = []
    for zone in zones:
        found = _first_that_may(job, [m for m in machines if zone in (None, m.zone)])
        whole = len(found) == job.spec.task_count
        if whole and (not chosen or _kept(found, job) > _kept(chosen, job)):
            chosen = found
    return chosen


def _first_that_may(job: Job, machines: list[Machine]) -> list[Machine]:
    """The first of these that may have the gang's members together, as many as it has."""
    found: list[Machine] = []
    counts: dict[int, int] = {}
    for machine in machines:
        if len(found) == job.spec.task_count:
            break
        if eligibility.zone_open(job, machine.zone, counts):
            found.append(machine)
            counts[machine.zone] = counts.get(machine.zone, 0) + 1
    return found


def _kept(machines: list[Machine], job: Job) -> int:
    return sum(1 for machine in machines if machine.reserved_for == job.job_id)
