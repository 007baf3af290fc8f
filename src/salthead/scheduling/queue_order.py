"""The order of jobs of one rank: as many as can be meet their targets, the rest come after them.

Under overload, first come first served makes every job late. Within one rank, jobs are taken by
their next target that can still be met; where the sum of the work ahead would miss one, the job
with the most work is postponed (Moore's rule), since it costs the others the most.
That has a bound: jobs that have waited for long without a start come first, by age, or a lasting
overload would starve the largest.
"""

from __future__ import annotations

import heapq
import math
from typing import NamedTuple

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Job
from salthead.cluster.resources import EPSILON

# The protocol: the largest jobs of a class, too, begin within four minutes.
BEGIN_WITHIN_S = 240.0
# The part of it after which a job has to start before all others of its rank.
OVERDUE_SHARE = 0.5
# The part of it after which quota is reserved for a gang, one at a time.
RESERVE_AFTER_SHARE = 0.25
MIN_TASK_CPUS = 0.1  # for the work of tasks that ask for hardly any CPU


def start_overdue(job: Job, now: float) -> bool:
    """Whether no task of the job has a machine and half of the time to begin in is gone.

    With its first task a job has begun, and the rest of it waits for its turn.
    """
    return (
        job.first_start is None
        and not job.n_done
        and not job.bindings
        and (now - job.since > OVERDUE_SHARE * BEGIN_WITHIN_S)
    )


def start_due(ledger: Ledger, job: Job, now: float) -> bool:
    """Whether half of the wait that the job's next target allows is gone."""
    if start_overdue(job, now):
        return True
    run_s = ledger.run_s(job)
    start_by = latest_start(ledger, job, run_s, now)
    return start_by == math.inf or now - job.since >= 0.5 * (start_by - job.since)


def reserves_quota(job: Job, now: float) -> bool:
    """Whether quota is kept for a gang that waits: others would take it piece by piece.

    Several wait at a time, and one after the other has to begin in time, so quota is kept for the
    first early: when it was from half of the bound on, three to six of nine gangs of 24 began
    within it on busy, prairie-ledger-fleet. A gang that can't be placed for other reasons must not
    hold up its team for ever, so after twice the time in which it should have begun it reserves
    quota only in every other period of that length.
    """
    age = now - job.since
    waits = job.gang and not job.bindings and job.first_start is None
    return (
        waits
        and age > RESERVE_AFTER_SHARE * BEGIN_WITHIN_S
        and (age < 2.0 * BEGIN_WITHIN_S or int(age / BEGIN_WITHIN_S) % 2 == 0)
    )


def reserves_quota_from_arrays(job: Job, now: float) -> bool:
    """Whether quota is kept for a gang from small tasks, too.

    They take little of it, and many of their jobs are late for each gang that begins sooner, so
    this is the last resort.
    """
    return reserves_quota(job, now) and now - job.since > OVERDUE_SHARE * BEGIN_WITHIN_S


def latest_start(ledger: Ledger, job: Job, run_s: float, now: float) -> float:
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


class PendingWork(NamedTuple):
    """A job in the queue and what it asks of the fleet."""

    start_by: float  # the latest start for its next target; inf if it can meet none
    job: Job
    cpu_s: float  # CPU-seconds of all its waiting tasks


class Load:
    """The work ahead on one resource, and the largest piece of it."""

    def __init__(self, cpus: float) -> None:
        self.cpus = cpus
        self.total_cpu_s = 0.0
        self.largest: list[tuple[float, int]] = []  # negated CPU-seconds, and the job's position

    def add(self, position: int, cpu_s: float) -> None:
        """Add a job's work."""
        self.total_cpu_s += cpu_s
        heapq.heappush(self.largest, (-cpu_s, position))

    def pop_largest(self, postponed: set[int]) -> tuple[int, float]:
        """Remove the largest job that is not postponed already; its position and work."""
        while True:
            negated_cpu_s, position = heapq.heappop(self.largest)
            if position not in postponed:
                self.total_cpu_s += negated_cpu_s
                return position, -negated_cpu_s


def by_targets(ledger: Ledger, jobs: list[Job], cpus: float, now: float) -> list[Job]:
    """One rank's jobs in the order in which they are placed; ``cpus`` is what the fleet has."""
    overdue: list[Job] = []
    rows: list[PendingWork] = []
    for job in jobs:
        if start_overdue(job, now):
            overdue.append(job)
            continue
        run_s = ledger.run_s(job)
        cpu_s = job.waiting() * max(job.request.cpus, MIN_TASK_CPUS) * run_s
        rows.append(PendingWork(latest_start(ledger, job, run_s, now), job, cpu_s))
    overdue.sort(key=lambda job: (job.since, job.job_id))
    rows.sort(key=lambda row: (row.start_by, row.job.since, row.job.job_id))
    postponed = _postponed(ledger, rows, cpus, now)
    in_time = [row.job for position, row in enumerate(rows) if position not in postponed]
    late = [row.job for position, row in enumerate(rows) if position in postponed]
    late.sort(key=lambda job: (job.since, job.job_id))
    return overdue + in_time + late


def _postponed(ledger: Ledger, rows: list[PendingWork], cpus: float, now: float) -> set[int]:
    """Positions of the jobs that are served after all others, so that these meet their targets."""
    # What limits the work ahead is the fleet, and for each team also its own limit.
    fleet_load = Load(cpus)
    team_loads = [
        Load(min(cpus, limit[0]) if limit[0] > 0 else cpus) for limit in ledger.team_limits
    ]
    postponed: set[int] = set()
    for position, row in enumerate(rows):
        if row.start_by == math.inf:
            postponed.add(position)
            continue
        team_load = team_loads[row.job.team]
        team_load.add(position, row.cpu_s)
        fleet_load.add(position, row.cpu_s)
        for load in (team_load, fleet_load):
            # The last of its tasks starts when all work ahead of it is done.
            done_at = now + load.total_cpu_s / max(load.cpus, 1.0)
            if load.total_cpu_s > EPSILON and done_at > row.start_by:
                largest, cpu_s = load.pop_largest(postponed)
                postponed.add(largest)
                other = fleet_load if load is team_load else team_loads[rows[largest].job.team]
                other.total_cpu_s -= cpu_s
    return postponed


def fleet_cpus(ledger: Ledger) -> float:
    """CPUs of all machines that are up or coming."""
    return sum([m.capacity.cpus for m in ledger.machines.values() if not m.quarantine_reason])
