"""The order of the queue: as many jobs as can be within their targets, the rest after them.

Under overload, first come first served makes every job late. Within one rank, jobs are taken by
their next target that can still be met; where the sum of the work ahead would miss one, the job
with the most work goes behind (Moore's rule), since it costs the others the most.
That has a bound: who has waited for long without beginning comes first, by age, or a lasting
overload would starve the largest.
"""

from __future__ import annotations

import heapq
import math

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import EPSILON, Job

# The protocol: the largest jobs of a class, too, begin within four minutes.
BEGIN_WITHIN_S = 240.0
# The part of it after which quota is kept for a gang, one at a time.
RESERVE_AFTER_SHARE = 0.25


def start_overdue(job: Job, now: float) -> bool:
    """Whether half of the time within which any job has to begin is gone, and nothing of it has
    a machine: with its first task it has begun, and the rest of it waits for its turn."""
    return (
        job.first_start is None
        and not job.n_done
        and not job.bindings
        and (now - job.since > 0.5 * BEGIN_WITHIN_S)
    )


def due(ledger: Ledger, job: Job, now: float) -> bool:
    """Whether half of the wait that the job's next target allows is gone."""
    if start_overdue(job, now):
        return True
    run_s = ledger.run_s(job)
    start_by = target(ledger, job, run_s, now)
    return start_by == math.inf or now - job.since >= 0.5 * (start_by - job.since)


def reserving(job: Job, now: float) -> bool:
    """Whether quota is kept for a gang that waits: others would take it piece by piece.

    Several wait at a time, and one after the other has to begin in time, so the first is kept for
    early: from half of the bound on, three to six of nine gangs of 24 began within it on busy,
    prairie-ledger-fleet. A gang that can't be placed for other reasons must not hold up its team
    for ever, so after twice the time in which it should have begun it does so only every other
    while.
    """
    age = now - job.since
    waits = job.gang and not job.bindings and job.first_start is None
    return (
        waits
        and age > RESERVE_AFTER_SHARE * BEGIN_WITHIN_S
        and (age < 2.0 * BEGIN_WITHIN_S or int(age / BEGIN_WITHIN_S) % 2 == 0)
    )


def pressing(job: Job, now: float) -> bool:
    """Whether quota is kept from small tasks, too. They take little of it, and many of their jobs
    are late for each gang that begins sooner, so this is the last resort."""
    return reserving(job, now) and now - job.since > 0.5 * BEGIN_WITHIN_S


def target(ledger: Ledger, job: Job, run_s: float, now: float) -> float:
    """The latest time at which the job may start and still meet its next target; inf if none."""
    best = math.inf
    for objective in ledger.limits.objectives:
        if objective.job_class != job.spec.job_class:
            continue
        if objective.kind == "deadline" and job.spec.deadline_s is not None:
            start_by = job.submitted + job.spec.deadline_s * objective.times - run_s
        elif objective.kind == "finished":
            start_by = job.since + objective.within_s - run_s
        elif objective.kind == "wait" and not job.first_start:
            start_by = job.since + objective.within_s
        else:
            continue
        if start_by >= now:
            best = min(best, start_by)
    for due_at in job.due:  # for the sake of a job after it
        if due_at - run_s >= now:
            best = min(best, due_at - run_s)
    if best == math.inf and job.spec.deadline_s is not None:
        start_by = job.submitted + job.spec.deadline_s - run_s
        best = start_by if start_by >= now else math.inf
    return best


class Load:
    """Work that is ahead, and the largest piece of it."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.total = 0.0
        self.largest: list[tuple[float, int]] = []  # negated work, and where in the rows

    def add(self, at: int, work: float) -> None:
        """Put a job's work on top of what is ahead."""
        self.total += work
        heapq.heappush(self.largest, (-work, at))

    def pop(self, put_off: set[int]) -> tuple[int, float]:
        """Take the largest away that has not been put off by another load's measure."""
        while True:
            work, at = heapq.heappop(self.largest)
            if at not in put_off:
                self.total += work
                return at, -work


def by_targets(ledger: Ledger, jobs: list[Job], rate: float, now: float) -> list[Job]:
    """One rank's jobs in the order in which they are served; ``rate`` is in CPUs."""
    rows: list[tuple[float, float, str, float, Job]] = []
    first = sorted(
        (job for job in jobs if start_overdue(job, now)), key=lambda job: (job.since, job.job_id)
    )
    for job in jobs:
        if start_overdue(job, now):
            continue
        run_s = ledger.run_s(job)
        work = job.waiting() * max(job.request.cpus, 0.1) * run_s
        rows.append((target(ledger, job, run_s, now), job.since, job.job_id, work, job))
    rows.sort(key=lambda row: row[:3])
    kept: list[tuple[float, float, str, float, Job]] = []
    behind: list[tuple[float, float, str, float, Job]] = []
    # What limits the work ahead is the fleet, and for each team also its own limit.
    fleet_load = Load(rate)
    loads = [Load(min(rate, most[0]) if most[0] > 0 else rate) for most in ledger.team_limits]
    put_off: set[int] = set()
    for at, row in enumerate(rows):
        if row[0] == math.inf:
            put_off.add(at)
            continue
        own = loads[row[4].team]
        own.add(at, row[3])
        fleet_load.add(at, row[3])
        # The last of its tasks starts when all work ahead of it is done.
        for load, other in ((own, fleet_load), (fleet_load, None)):
            if load.total > EPSILON and now + load.total / max(load.rate, 1.0) > row[0]:
                largest, work = load.pop(put_off)
                put_off.add(largest)
                other = other or loads[rows[largest][4].team]
                other.total -= work
    for at, row in enumerate(rows):
        (behind if at in put_off else kept).append(row)
    behind.sort(key=lambda row: row[1:3])
    return first + [row[4] for row in kept + behind]


def fleet_cpus(ledger: Ledger) -> float:
    """CPUs of all machines that are up or coming."""
    return sum([m.capacity.cpus for m in ledger.machines.values() if not m.quarantine_reason])
