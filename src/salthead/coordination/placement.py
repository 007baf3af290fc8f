"""The ordinary path: filter, draw two at random, the lower fullest dimension wins."""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Iterable

from salthead.coordination import order
from salthead.coordination.ledger import EPS, UP, Job, Ledger, Machine
from salthead.protocol import names

log = logging.getLogger("salthead.placement")

FRESH_PERIODS = 3.0
FIRST_PAUSE_S = 2.0


def entitled(ledger: Ledger) -> set[str]:
    """Jobs that fit into their team's guarantee together with the team's earlier ones."""
    within: set[str] = set()
    sums = [[0.0, 0.0] for _ in ledger.guarantees]
    for job in sorted(ledger.jobs.values(), key=lambda job: (job.spec.at, job.uid)):
        if job.over:
            continue
        total, size, most = sums[job.crew], job.size(), ledger.guarantees[job.crew]
        total[0] += size[0]
        total[1] += size[1]
        if total[0] <= most[0] + EPS and total[1] <= most[1] + EPS:
            within.add(job.uid)
    return within


def queue(ledger: Ledger, within: set[str], now: float) -> list[Job]:
    """Jobs with tasks that have no machine: guarantees first, then urgency, then targets."""
    waiting = [
        job for job in ledger.jobs.values()
        if not job.failed and job.uid not in ledger.ghost_jobs and job.waiting() > 0
        and ledger.may_place(job)
    ]
    first = [job for job in waiting if job.uid in within]
    first.sort(key=lambda job: (job.rank, job.spec.at, job.uid))
    rate = order.rate_of(ledger)
    for rank in range(len(names.URGENCIES)):
        same = [job for job in waiting if job.rank == rank and job.uid not in within]
        first += order.by_targets(ledger, same, rate, now)
    return first


def quota_left(ledger: Ledger, job: Job) -> int:
    """How many more tasks of the job its team's limit allows."""
    if ledger.strangers:
        return 0  # a stray task's team is not known yet
    usage, most = ledger.usage[job.crew], ledger.caps[job.crew]
    if not ledger.ready:
        # Any team may be using all of the machines that have not been heard from.
        silent = ledger.unheard()
        usage = [usage[n] + sum(m.cap[n] for m in silent) for n in range(2)]
    left = float(job.spec.pieces)
    for n in range(2):
        if job.need[n] > 0:
            left = min(left, math.floor((most[n] - usage[n] + EPS) / job.need[n]))
    return max(0, int(left))


def allows(job: Job, machine: Machine) -> bool:
    """Kind, type and zone, for the job alone."""
    return (
        (job.spec.borrowed or not machine.borrowed)
        and (job.builds is None or machine.build in job.builds)
        and (job.zone is None or machine.zone == job.zone)
    )


def usable(ledger: Ledger, machine: Machine, now: float) -> bool:
    """Heard of lately, in the roster, and not about to go."""
    return (
        machine.phase == UP
        and machine.rostered
        and machine.joined
        and not machine.condemned
        and not machine.returning
        and not machine.cordoned
        and machine.warn_at is None
        and now - machine.heard <= FRESH_PERIODS * ledger.limits.workers.report_s
        and now >= machine.error_until
    )


def open_to(job: Job, machine: Machine, now: float) -> bool:
    """Not kept for another job."""
    return (
        not machine.held_for or machine.held_for == job.uid or now >= machine.held_until
    ) and machine.name not in job.error_machines


def zone_counts(job: Job) -> dict[int, int]:
    counts: dict[int, int] = {}
    for binding in job.bindings.values():
        zone = binding.machine.zone
        counts[zone] = counts.get(zone, 0) + 1
    return counts


def zone_open(job: Job, zone: int, counts: dict[int, int]) -> bool:
    """Whether one more task of the job may be in the zone, given its other tasks."""
    if job.spec.same_place and counts and zone not in counts:
        return False
    return not (job.spec.apart and counts.get(zone, 0) >= (job.spec.pieces + 1) // 2)


def draw(job: Job, candidates: list[Machine], rng: random.Random) -> Machine:
    """Two at random, the lower fullest dimension wins, among those that have the image if any.

    Without that filter a fetch, often longer than the task, precedes the first task of each
    image on each machine, and the start misses a guarantee that free room could have kept.
    """
    near = [m for m in candidates if job.spec.kit in m.images] if job.spec.kit else []
    candidates = near or candidates
    if len(candidates) == 1:
        return candidates[0]
    one, other = rng.sample(candidates, 2)
    return one if one.fullest() <= other.fullest() else other


def base_candidates(ledger: Ledger, job: Job, now: float) -> list[Machine]:
    """Machines that suit the job, room and its other tasks' zones aside."""
    return [
        machine for machine in ledger.machines.values()
        if allows(job, machine) and usable(ledger, machine, now) and open_to(job, machine, now)
    ]


def place_array(
    ledger: Ledger, job: Job, rng: random.Random, now: float,
) -> int:
    """Bind as many waiting tasks as find a machine; how many were bound."""
    base = [m for m in base_candidates(ledger, job, now) if m.fits(job.need)]
    counts = zone_counts(job)
    bound = 0
    for _ in range(min(job.waiting(), quota_left(ledger, job))):
        candidates = [m for m in base if zone_open(job, m.zone, counts)]
        if not candidates:
            break
        index = job.take()
        if index is None:
            break
        machine = draw(job, candidates, rng)
        ledger.bind(job, index, machine, ledger.next_attempt(), now)
        counts[machine.zone] = counts.get(machine.zone, 0) + 1
        bound += 1
        if not machine.fits(job.need):
            base.remove(machine)
    return bound


def place_gang(ledger: Ledger, job: Job, rng: random.Random, now: float) -> int:
    """Bind all members or none."""
    pieces = job.spec.pieces
    if quota_left(ledger, job) < pieces:
        return 0
    base = [m for m in base_candidates(ledger, job, now) if m.fits(job.need)]
    zones: Iterable[int | None] = [None]
    if job.spec.same_place:
        present = sorted({m.zone for m in base})
        rng.shuffle(present)
        zones = present
    for zone in zones:
        if _draw_members(ledger, job, [m for m in base if zone in (None, m.zone)], rng, now):
            return pieces
    return 0


def _draw_members(
    ledger: Ledger, job: Job, base: list[Machine], rng: random.Random, now: float,
) -> bool:
    counts: dict[int, int] = {}
    chosen: list[Machine] = []
    for _ in range(job.spec.pieces):
        candidates = [m for m in base if m.fits(job.need) and zone_open(job, m.zone, counts)]
        if not candidates:
            break
        machine = draw(job, candidates, rng)
        for n in range(3):  # a booking that only later members of the draw see
            machine.used[n] += job.need[n]
        counts[machine.zone] = counts.get(machine.zone, 0) + 1
        chosen.append(machine)
    for machine in chosen:
        for n in range(3):
            machine.used[n] -= job.need[n]
    if len(chosen) < job.spec.pieces:
        return False
    job.attempt = ledger.next_attempt()
    for index, machine in enumerate(chosen):
        ledger.bind(job, index, machine, job.attempt, now)
    return True


def place(ledger: Ledger, rng: random.Random, now: float) -> list[Job]:
    """One pass over the queue; the jobs that found no candidate are returned, in order."""
    starved: list[Job] = []
    if not ledger.loaded:
        return starved
    within = entitled(ledger)
    report_s = ledger.limits.workers.report_s
    # The pause is for draws that nothing could change. Room that was freed since ends it, or
    # a place would stand empty for as long as a short task runs.
    freed, ledger.room_freed = ledger.room_freed, False
    for job in queue(ledger, within, now):
        if now < job.wait_until or (now < job.pause_until and not freed):
            continue
        bound = (place_gang if job.gang else place_array)(ledger, job, rng, now)
        if bound:
            job.pause = 0.0
            log.info("placed %d of %s, %d left", bound, job.uid, job.waiting())
        if job.waiting() == 0:
            for machine in ledger.machines.values():
                if machine.held_for == job.uid:
                    machine.held_for = ""
            continue
        if quota_left(ledger, job) < (job.spec.pieces if job.gang else 1):
            log.debug("job %s waits: limit of team %s", job.uid, job.spec.crew)
        else:
            starved.append(job)
            log.debug("job %s waits: no candidate for %d tasks", job.uid, job.waiting())
        job.pause = min(job.pause * 2 or FIRST_PAUSE_S, report_s)
        job.pause_until = now + job.pause
    return starved
