"""Order of jobs of one rank, so that as many as possible meet their targets.

Jobs of one rank have the same priority, and either all or none of them are within their team's
guarantee.

Under overload, first come, first served makes every job late. Within one rank, jobs are ordered by
the latest start for their next target that can still be met. Where the work ahead of a job would
make it miss that target, the job with the most work is postponed (Moore's rule), since it delays
the others the most. Jobs that have waited for long without a start come first, by age; otherwise a
lasting overload would starve the largest jobs.
"""

from __future__ import annotations

import heapq
import math
from typing import NamedTuple

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Job
from salthead.cluster.resources import EPSILON

# The protocol requires that even the largest jobs of a class begin within four minutes.
BEGIN_WITHIN_S = 240.0
# Share of ``BEGIN_WITHIN_S`` after which a job is placed before all others of its rank.
START_OVERDUE_SHARE = 0.5
# Share of ``BEGIN_WITHIN_S`` after which quota is reserved for a gang, for one gang of a team at a
# time.
RESERVE_AFTER_SHARE = 0.25
MIN_TASK_CPUS = 0.1  # least CPUs by which a task's work is weighted


def start_overdue(job: Job, now: float) -> bool:
    """Return whether the job has not begun, and half of the time to begin in has passed.

    A job begins with its first task; its other tasks are placed in the usual order.
    """
    return (
        job.first_start is None
        and not job.n_done
        and not job.bindings
        and (now - job.since > START_OVERDUE_SHARE * BEGIN_WITHIN_S)
    )


def start_due(ledger: Ledger, job: Job, now: float) -> bool:
    """Return whether half of the wait that the job's next target allows has passed."""
    if start_overdue(job, now):
        return True
    run_s = ledger.run_s(job)
    start_by = latest_start(ledger, job, run_s, now)
    return start_by == math.inf or now - job.since >= 0.5 * (start_by - job.since)


def reserves_quota(job: Job, now: float) -> bool:
    """Return whether quota is reserved for a waiting gang.

    Without the reservation, other jobs would take the freed quota bit by bit. It is made early,
    since several gangs may wait and have to begin in time one after the other. When it was made
    only after half of ``BEGIN_WITHIN_S``, three to six of nine gangs of 24 members began in time. A
    gang that cannot be placed for other reasons must not block its team forever, so after twice
    ``BEGIN_WITHIN_S`` it reserves quota only in every other period of ``BEGIN_WITHIN_S``.
    """
    age = now - job.since
    is_waiting_gang = job.gang and not job.bindings and job.first_start is None
    return (
        is_waiting_gang
        and age > RESERVE_AFTER_SHARE * BEGIN_WITHIN_S
        and (age < 2.0 * BEGIN_WITHIN_S or int(age / BEGIN_WITHIN_S) % 2 == 0)
    )


def reserves_quota_from_arrays(job: Job, now: float) -> bool:
    """Return whether the quota reserved for a gang is withheld from arrays, not only from gangs.

    Arrays of small tasks use little quota, and many of them become late for each gang that begins
    sooner, so this is the last resort.
    """
    return reserves_quota(job, now) and now - job.since > START_OVERDUE_SHARE * BEGIN_WITHIN_S


def latest_start(ledger: Ledger, job: Job, run_s: float, now: float) -> float:
    """Return the latest start at which the job meets its next target; inf if it can meet none."""
    earliest = math.inf
    for objective in ledger.limits.objectives:
        if objective.job_class != job.spec.job_class:
            continue
        if objective.kind == "deadline" and job.spec.deadline_s is not None:
            start_by = job.submitted_at + job.spec.deadline_s * objective.times - run_s
        elif objective.kind == "finished":
            start_by = job.since + objective.within_s - run_s
        elif objective.kind == "wait" and not job.first_start:
            start_by = job.since + objective.within_s
        else:
            continue
        if start_by >= now:
            earliest = min(earliest, start_by)
    for due_at in job.due:  # when dependent jobs need it done
        if due_at - run_s >= now:
            earliest = min(earliest, due_at - run_s)
    if earliest == math.inf and job.spec.deadline_s is not None:
        start_by = job.submitted_at + job.spec.deadline_s - run_s
        earliest = start_by if start_by >= now else math.inf
    return earliest


class PendingWork(NamedTuple):
    """A job in the queue and its demand on the fleet."""

    start_by: float  # the latest start for its next target; inf if it can meet none
    job: Job
    cpu_s: float  # CPU-seconds of all its waiting tasks


class ResourceLoad:
    """The accumulated work on the fleet or a team's quota, and a heap of its largest jobs."""

    def __init__(self, cpus: float) -> None:
        self.cpus = cpus
        self.total_cpu_s = 0.0
        self.largest: list[tuple[float, int]] = []  # negated CPU-seconds, and the job's position

    def add(self, position: int, cpu_s: float) -> None:
        """Add a job's work."""
        self.total_cpu_s += cpu_s
        heapq.heappush(self.largest, (-cpu_s, position))

    def pop_largest(self, postponed: set[int]) -> tuple[int, float]:
        """Remove the largest job that is not postponed; return its position and CPU-seconds."""
        while True:
            negated_cpu_s, position = heapq.heappop(self.largest)
            if position not in postponed:
                self.total_cpu_s += negated_cpu_s
                return position, -negated_cpu_s


def order_by_targets(ledger: Ledger, jobs: list[Job], cpus: float, now: float) -> list[Job]:
    """Return the jobs of one rank in placement order; ``cpus`` is the capacity of the fleet."""
    overdue: list[Job] = []
    works: list[PendingWork] = []
    for job in jobs:
        if start_overdue(job, now):
            overdue.append(job)
            continue
        run_s = ledger.run_s(job)
        cpu_s = job.waiting() * max(job.request.cpus, MIN_TASK_CPUS) * run_s
        works.append(PendingWork(latest_start(ledger, job, run_s, now), job, cpu_s))
    overdue.sort(key=lambda job: (job.since, job.job_id))
    works.sort(
        key=lambda work: (
            work.start_by,
            work.job.since,
            work.job.job_id,
        )
    )
    postponed = _postponed_positions(ledger, works, cpus, now)
    in_time = [work.job for position, work in enumerate(works) if position not in postponed]
    late = [work.job for position, work in enumerate(works) if position in postponed]
    late.sort(key=lambda job: (job.since, job.job_id))
    return overdue + in_time + late


def _postponed_positions(
    ledger: Ledger, works: list[PendingWork], cpus: float, now: float
) -> set[int]:
    """Return the positions of jobs to place after all others, so that the others are in time."""
    # Work is limited by the fleet's capacity and by each team's quota.
    fleet_load = ResourceLoad(cpus)
    team_loads = [
        ResourceLoad(min(cpus, limit[0]) if limit[0] > 0 else cpus) for limit in ledger.team_limits
    ]
    postponed: set[int] = set()
    for position, work in enumerate(works):
        if work.start_by == math.inf:
            postponed.add(position)
            continue
        team_load = team_loads[work.job.team]
        team_load.add(position, work.cpu_s)
        fleet_load.add(position, work.cpu_s)
        for load in (team_load, fleet_load):
            # The job's last task starts once all work ahead of it is done.
            done_at = now + load.total_cpu_s / max(load.cpus, 1.0)
            if load.total_cpu_s > EPSILON and done_at > work.start_by:
                largest, cpu_s = load.pop_largest(postponed)
                postponed.add(largest)
                other = fleet_load if load is team_load else team_loads[works[largest].job.team]
                other.total_cpu_s -= cpu_s
    return postponed


def fleet_cpus(ledger: Ledger) -> float:
    """Return the CPUs of all machines that are not in quarantine, booting ones included."""
    return sum([m.capacity.cpus for m in ledger.machines.values() if not m.quarantine_reason])
