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

from salthead.coordination.ledger import BOOTING, EPS, UP, Job, Ledger

# The protocol: the largest jobs of a class, too, begin within four minutes.
BEGIN_WITHIN_S = 240.0


def overdue(job: Job, now: float) -> bool:
    """Whether half of the time within which any job has to begin is gone."""
    return job.first_start is None and not job.n_done and (
        now - job.submitted > 0.5 * BEGIN_WITHIN_S)


def due(ledger: Ledger, job: Job, now: float) -> bool:
    """Whether half of the wait that the job's next target allows is gone."""
    if overdue(job, now):
        return True
    run_s = ledger.estimates.run_s(job.spec.breed, job.spec.guess_s)
    start_by = target(ledger, job, run_s, now)
    return start_by == math.inf or now - job.submitted >= 0.5 * (start_by - job.submitted)


def reserving(job: Job, now: float) -> bool:
    """Whether quota is kept for a gang that waits: others would take it piece by piece.

    Kept quota stands empty, so it is not kept earlier than the bound on waiting asks. A gang that
    can't be placed for other reasons must not hold up its team for ever, so after twice the time
    in which it should have begun it does so only every other while.
    """
    age = now - job.submitted
    return job.gang and overdue(job, now) and (
        age < 2.0 * BEGIN_WITHIN_S or int(age / BEGIN_WITHIN_S) % 2 == 0)


def pressing(job: Job, now: float) -> bool:
    """Whether quota is kept from small tasks, too. They take little of it, and many of their jobs
    are late for each gang that begins sooner, so this is the last resort."""
    return reserving(job, now) and now - job.submitted > 0.75 * BEGIN_WITHIN_S


def target(ledger: Ledger, job: Job, run_s: float, now: float) -> float:
    """The latest time at which the job may start and still meet its next target; inf if none."""
    best = math.inf
    for aim in ledger.limits.objectives:
        if aim.breed != job.spec.breed:
            continue
        if aim.kind == "deadline" and job.spec.due_s is not None:
            start_by = job.submitted + job.spec.due_s * aim.times - run_s
        elif aim.kind == "finished":
            start_by = job.submitted + aim.within_s - run_s
        elif aim.kind == "wait" and not job.first_start:
            start_by = job.submitted + aim.within_s
        else:
            continue
        if start_by >= now:
            best = min(best, start_by)
    if best == math.inf and job.spec.due_s is not None:
        start_by = job.submitted + job.spec.due_s - run_s
        best = start_by if start_by >= now else math.inf
    return best


class Ahead:
    """What is served before the jobs that are looked at next, in CPU-seconds, and the CPUs for it.

    Seen on loss, prairie-ledger-fleet: counted against the whole fleet, gangs that hold a third of
    it for minutes and the tasks that run now left out, twice as much seemed to be in time as was,
    and then nearly all of it was late.
    """

    def __init__(self, ledger: Ledger, now: float) -> None:
        fresh = now - 3.0 * ledger.limits.workers.report_s
        self.rate = sum(
            m.cap[0] for m in ledger.machines.values()
            if not m.condemned and (m.phase == BOOTING or (m.phase == UP and m.heard >= fresh)))
        self.total = 0.0
        self.teams = [0.0 for _ in ledger.caps]
        self.rates = [most[0] if most[0] > 0 else math.inf for most in ledger.caps]
        for job in ledger.jobs.values():
            bound = len(job.bindings) * job.need[0]
            if not bound:
                continue

    def add(self, crew: int, work: float) -> None:
        self.total += work
        self.teams[crew] += work


def run_of(ledger: Ledger, job: Job) -> float:
    return ledger.estimates.run_s(job.spec.breed, job.spec.guess_s)


class Load:
    """Work that is ahead, and the largest piece of it."""

    def __init__(self, rate: float, total: float) -> None:
        self.rate = rate
        self.total = total
        self.largest: list[tuple[float, int]] = []  # negated work, and where in the rows

    def add(self, at: int, work: float) -> None:
        self.total += work
        heapq.heappush(self.largest, (-work, at))

    def pop(self, put_off: set[int]) -> tuple[int, float] | None:
        """Take the largest away that has not been put off by another load's measure.

        None where only what is served before these jobs is left.
        """
        while self.largest:
            work, at = heapq.heappop(self.largest)
            if at not in put_off:
                self.total += work
                return at, -work
        return None


def by_targets(
    ledger: Ledger, jobs: list[Job], ahead: Ahead, now: float,
) -> tuple[list[Job], list[Job]]:
    """One rank's jobs in the order in which they are served: those in time, and those behind.

    ``ahead`` grows by the work of the first.
    """
    if not jobs:
        return [], []
    rows: list[tuple[float, float, str, float, Job]] = []
    first = sorted((job for job in jobs if overdue(job, now)),
                   key=lambda job: (job.submitted, job.uid))
    for job in jobs:
        run_s = run_of(ledger, job)
        work = job.waiting() * max(job.need[0], 0.1) * run_s
        if overdue(job, now):
            ahead.add(job.crew, work)
        else:
            rows.append((target(ledger, job, run_s, now), job.submitted, job.uid, work, job))
    rows.sort(key=lambda row: row[:3])
    kept: list[tuple[float, float, str, float, Job]] = []
    behind: list[tuple[float, float, str, float, Job]] = []
    # What limits the work ahead is the fleet, and for each team also its own limit.
    fleet_load = Load(ahead.rate, ahead.total)
    loads = [Load(min(ahead.rate, most), total)
             for most, total in zip(ahead.rates, ahead.teams, strict=True)]
    put_off: set[int] = set()
    for at, row in enumerate(rows):
        if row[0] == math.inf:
            put_off.add(at)
            continue
        own = loads[row[4].crew]
        own.add(at, row[3])
        fleet_load.add(at, row[3])
        # The last of its tasks starts when all work ahead of it is done.
        for load, other in ((own, fleet_load), (fleet_load, None)):
            if load.total > EPS and now + load.total / max(load.rate, 1.0) > row[0]:
                if (found := load.pop(put_off)) is None:
                    continue
                largest, work = found
                put_off.add(largest)
                other = other or loads[rows[largest][4].crew]
                other.total -= work
    for at, row in enumerate(rows):
        if at in put_off:
            behind.append(row)
        else:
            kept.append(row)
            ahead.add(row[4].crew, row[3])
    behind.sort(key=lambda row: row[1:3])
    return first + [row[4] for row in kept], [row[4] for row in behind]
