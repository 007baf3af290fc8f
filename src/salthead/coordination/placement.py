"""The ordinary path: filter, draw two at random, the lower fullest dimension wins."""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Iterable

from salthead.coordination import order
from salthead.coordination.ledger import Ledger
from salthead.coordination.model import EPSILON, UP, Job, Kind, Machine, Proof
from salthead.coordination.start_rules import quota_left, startable, wanted
from salthead.event_log import event
from salthead.protocol import names

log = logging.getLogger("salthead.placement")

FRESH_HEARTBEAT_INTERVALS = 3.0
FIRST_PAUSE_S = 2.0
# Whatever keeps room or quota for others keeps a job waiting for no longer than this beside room
# that it could have. The users allow 90 s; the rest is for a pause and for the start to be told.
MAX_HELD_BACK_S = 75.0
LIMIT_LOGGED_S = 10.0


def entitled(ledger: Ledger) -> set[str]:
    """Jobs that fit into their team's guarantee together with the team's earlier ones.

    What waits for other jobs holds no part of a guarantee, and is not among the live ones.
    """
    within: set[str] = set()
    sums = [[0.0, 0.0] for _ in ledger.guarantees]
    for job in sorted(ledger.live.values(), key=lambda job: (job.since, job.job_id)):
        if job.over or job.cancel_requested:
            continue
        total, size, most = sums[job.team], job.size(), ledger.guarantees[job.team]
        total[0] += size[0]
        total[1] += size[1]
        if total[0] <= most[0] + EPSILON and total[1] <= most[1] + EPSILON:
            within.add(job.job_id)
    return within


def queue(ledger: Ledger, within: set[str], now: float) -> list[Job]:
    """Jobs with tasks that have no machine: guarantees first, then urgency, then targets.

    Of those within guarantees, the ones that can still begin as fast as the users aim for come
    first, the smallest ahead: a large one, or one that has missed that, would make all that come
    after it miss it as well.
    """
    waiting = [job for job in ledger.live.values() if startable(ledger, job)]
    at_once_s = ledger.prompt.within_s
    first = [job for job in waiting if job.job_id in within and now - job.since <= at_once_s]
    first.sort(key=lambda job: (job.rank, job.waiting() * job.need[0], job.since, job.job_id))
    young = {job.job_id for job in first}
    rate = order.rate_of(ledger)
    for guaranteed in (True, False):
        for rank in range(len(names.URGENCIES)):
            same = [
                job
                for job in waiting
                if job.rank == rank
                and job.job_id not in young
                and (job.job_id in within) == guaranteed
            ]
            first += order.by_targets(ledger, same, rate, now)
    if ledger.zone_hooks is not None:
        return ledger.zone_hooks.evacuation_order(first, within, now)
    return first


def unusable(ledger: Ledger, machine: Machine, now: float) -> str:
    """Why room on a machine can't be used now, for operators; empty when it can."""
    reasons = (
        ("kept", bool(machine.held_for) and now < machine.held_until),
        ("cordoned", machine.cordoned),
        ("withheld", machine.withheld),
        ("condemned", bool(machine.condemned)),
        ("going", machine.terminating or machine.warn_at is not None),
        ("failing", now < machine.error_until),
        ("unresponsive", not machine.responsive(now)),
        ("unheard", not usable(ledger, machine, now)),
    )
    return next((reason for reason, holds in reasons if holds), "")


def allows(job: Job, machine: Machine) -> bool:
    """Kind, type and zone, for the job alone."""
    return (
        (job.spec.spot or not machine.spot)
        and (job.allowed_types is None or machine.machine_type in job.allowed_types)
        and (job.zone is None or machine.zone == job.zone)
    )


def usable(ledger: Ledger, machine: Machine, now: float) -> bool:
    """Heard of lately, in the roster, and not about to go."""
    return (
        machine.phase == UP
        and machine.registered
        and machine.reconciled
        and not machine.condemned
        and not machine.terminating
        and not machine.cordoned
        and machine.warn_at is None
        and now - machine.last_heartbeat_at
        <= FRESH_HEARTBEAT_INTERVALS * ledger.limits.workers.heartbeat_interval_s
        and now >= machine.error_until
        and machine.responsive(now)
    )


def overdue(ledger: Ledger, machine: Machine, now: float) -> bool:
    """Whether the next report should have come: a period, a quarter more, and a second for the
    way and a busy leader.

    Long before the filter by freshness says so, such a machine may have died. For one task the
    design's filter stands; a gang needs all of its machines, and so does the room made for it.
    """
    return now - machine.last_heartbeat_at > 1.25 * ledger.limits.workers.heartbeat_interval_s + 1.0


def insistent(job: Job, now: float) -> bool:
    """Whether the job has been held back by what is kept for others for as long as may be."""
    return job.held_since is not None and now - job.held_since >= MAX_HELD_BACK_S


def held_back(ledger: Ledger, job: Job, now: float) -> bool:
    """Whether the job could start if nothing were kept for others, nor avoided for its errors."""
    left = job.spec.task_count if job.gang else 1
    if quota_left(ledger, job, heed=False) < left:
        return False
    for machine in ledger.room.with_room(kinds(ledger, job), job.need):
        if usable(ledger, machine, now):
            left -= int(
                min(
                    (c - u + EPSILON) / n
                    for c, u, n in zip(machine.cap, machine.used, job.need, strict=True)
                    if n > 0
                )
            )
            if left <= 0:
                return True
    return False


def admitted(ledger: Ledger, job: Job, now: float) -> bool:
    """Whether a job may use machines of a zone that returns, before they are open to all.

    A guarantee stands above a gradual return: half of its time is for finding room elsewhere.
    """
    if not job.entitled or job.held_since is None:
        return False
    return now - job.held_since >= 0.5 * ledger.prompt.within_s


def open_to(ledger: Ledger, job: Job, machine: Machine, now: float) -> bool:
    """Not kept for another job, nor of the only type for one that waits unless time presses."""
    return (
        insistent(job, now)
        or (not machine.held_for or machine.held_for == job.job_id or now >= machine.held_until)
        and machine.name not in job.error_machines
        and (not machine.withheld or admitted(ledger, job, now))
        and (
            not ledger.line.choosy
            or job.choosy
            or machine.machine_type not in ledger.scarce
            or order.due(ledger, job, now)
        )
    )


def zone_counts(job: Job) -> dict[int, int]:
    """How many tasks of a job are bound in each zone."""
    counts: dict[int, int] = {}
    for binding in job.bindings.values():
        zone = binding.machine.zone
        counts[zone] = counts.get(zone, 0) + 1
    return counts


def zone_open(job: Job, zone: int, counts: dict[int, int]) -> bool:
    """Whether one more task of the job may be in the zone, given its other tasks."""
    if job.spec.single_zone and counts and zone not in counts:
        return False
    return not (job.spec.spread_zones and counts.get(zone, 0) >= (job.spec.task_count + 1) // 2)


def draw(machines: list[Machine], rng: random.Random) -> Machine:
    """Two at random, the lower fullest dimension wins."""
    if len(machines) == 1:
        return machines[0]
    one, other = rng.sample(machines, 2)
    return one if one.fullest() <= other.fullest() else other


class CandidatePools:
    """What a job's tasks are drawn from: its candidates, those that have its image first.

    Without that filter a fetch, often longer than the task, precedes the first task of each
    image on each machine, and the start misses a guarantee that free room could have kept.

    Machines of a type that is the only one for another class come last. Small tasks scatter over
    them as over any, and then that class waits until a whole machine has drained.
    """

    def __init__(self, ledger: Ledger, job: Job, candidates: Iterable[Machine]) -> None:
        self.need = job.need
        self.pools: list[list[Machine]] = [[], [], [], []]
        image = job.spec.image
        for machine in candidates:
            last = 0 if job.choosy or machine.machine_type not in ledger.scarce else 2
            far = 0 if image and image in machine.images else 1
            self.pools[last + far].append(machine)

    def zones(self) -> set[int]:
        """Zones of all machines that can be drawn."""
        return {machine.zone for pool in self.pools for machine in pool}

    def draw(self, rng: random.Random) -> Machine | None:
        """A machine of the first pool that has any."""
        for pool in self.pools:
            if pool:
                return draw(pool, rng)
        return None

    def used(self, machine: Machine) -> None:
        """Drop the machine if one more task does not fit any more."""
        if not machine.fits(self.need):
            for pool in self.pools:
                if machine in pool:
                    pool.remove(machine)

    def close(self, zone: int) -> None:
        """Draw no machine of a zone any more."""
        self.pools = [[m for m in pool if m.zone != zone] for pool in self.pools]


def kinds(ledger: Ledger, job: Job) -> list[Kind]:
    """The kinds of machines there are that suit the job."""
    return [
        kind
        for kind in ledger.room.free
        if (job.spec.spot or not kind[2])
        and (job.allowed_types is None or kind[0] in job.allowed_types)
        and (job.zone is None or kind[1] == job.zone)
    ]


def candidates(ledger: Ledger, job: Job, now: float) -> list[Machine]:
    """The filter: machines that suit the job and have room for one task, zones aside."""
    return [
        machine
        for machine in ledger.room.with_room(kinds(ledger, job), job.need)
        if usable(ledger, machine, now) and open_to(ledger, job, machine, now)
    ]


def base_candidates(ledger: Ledger, job: Job, now: float) -> list[Machine]:
    """Machines that suit the job, room and its other tasks' zones aside."""
    return [
        machine
        for kind in kinds(ledger, job)
        for row in ledger.room.free[kind]
        for machine in row
        if usable(ledger, machine, now) and open_to(ledger, job, machine, now)
    ]


def place_array(
    ledger: Ledger,
    job: Job,
    rng: random.Random,
    now: float,
    only: Machine | None = None,
) -> int:
    """Bind as many waiting tasks as find a machine; how many were bound."""
    wanted = min(job.waiting(), quota_left(ledger, job))
    if wanted <= 0:
        return 0
    candidate_pools = CandidatePools(
        ledger, job, candidates(ledger, job, now) if only is None else [only]
    )
    counts: dict[int, int] = {}
    zoned = job.spec.single_zone or job.spec.spread_zones
    if zoned:
        counts = zone_counts(job)
        for zone in candidate_pools.zones():
            if not zone_open(job, zone, counts):
                candidate_pools.close(zone)
    bound = 0
    while bound < wanted and (machine := candidate_pools.draw(rng)) is not None:
        index = job.take()
        if index is None:
            break
        ledger.bind(job, index, machine, ledger.next_attempt(), now, granted=True)
        candidate_pools.used(machine)
        bound += 1
        if zoned:
            counts[machine.zone] = counts.get(machine.zone, 0) + 1
            for zone in range(len(ledger.zones)):
                if not zone_open(job, zone, counts):
                    candidate_pools.close(zone)
    return bound


def place_gang(ledger: Ledger, job: Job, rng: random.Random, now: float) -> int:
    """Bind all members or none."""
    task_count = job.spec.task_count
    if quota_left(ledger, job) < task_count:
        return 0
    base = [m for m in candidates(ledger, job, now) if not overdue(ledger, m, now)]
    zones: Iterable[int | None] = [None]
    if job.spec.single_zone:
        present = sorted({m.zone for m in base})
        rng.shuffle(present)
        zones = present
    for zone in zones:
        if _draw_members(ledger, job, [m for m in base if zone in (None, m.zone)], rng, now):
            return task_count
    return 0


def _draw_members(
    ledger: Ledger,
    job: Job,
    base: list[Machine],
    rng: random.Random,
    now: float,
) -> bool:
    counts: dict[int, int] = {}
    chosen: list[Machine] = []
    candidate_pools = CandidatePools(ledger, job, base)
    for _ in range(job.spec.task_count):
        machine = candidate_pools.draw(rng)
        if machine is None:
            break
        for n in range(3):  # a booking that only later members of the draw see
            machine.used[n] += job.need[n]
        candidate_pools.used(machine)
        chosen.append(machine)
        if job.spec.spread_zones:
            counts[machine.zone] = counts.get(machine.zone, 0) + 1
            if not zone_open(job, machine.zone, counts):
                candidate_pools.close(machine.zone)
    for machine in chosen:
        for n in range(3):
            machine.used[n] -= job.need[n]
    if len(chosen) < job.spec.task_count:
        return False
    job.attempt = ledger.next_attempt()
    for index, machine in enumerate(chosen):
        ledger.bind(job, index, machine, job.attempt, now, granted=True)
    return True


def redraw(ledger: Ledger, rng: random.Random, now: float) -> None:
    """Draw tasks again whose start was not told to anybody, and whose machine has gone silent.

    Seen on loss, prairie-ledger-fleet: a machine that dies just after a draw holds its tasks until
    its lease is over, and with a gang's member all the other machines of the gang. No answer
    carried the start, so the task is certainly not there. A gang's member takes its attempt
    along, and so completes the gang that gathers.
    """
    for machine in ledger.machines.values():
        if machine.phase != UP or not machine.bindings or not overdue(ledger, machine, now):
            continue
        for binding in [b for b in machine.bindings.values() if b.start_unsent()]:
            job = binding.job
            if job is None or job.failed or not wanted(binding):
                continue  # it is on its way out
            hooks = ledger.zone_hooks
            if not job.gang or (hooks is not None and hooks.restarts_whole(machine)):
                # For a gang that is the end of its attempt: what was told of it is stopped.
                ledger.release(binding, now, Proof.NEVER_TOLD)
                continue
            counts = zone_counts(job)
            counts[machine.zone] -= 1
            counts = {zone: count for zone, count in counts.items() if count}
            found = [
                m
                for m in candidates(ledger, job, now)
                if not overdue(ledger, m, now) and zone_open(job, m.zone, counts)
            ]
            if found:
                other = draw(found, rng)
                log.info("%s goes from silent %s to %s", binding.task_id, machine.name, other.name)
                ledger.move(binding, other, now)


def attempt(
    ledger: Ledger,
    job: Job,
    rng: random.Random,
    now: float,
    only: Machine | None = None,
) -> int:
    """Place what can be placed of one job; how many tasks were bound."""
    if job.gang:
        bound = place_gang(ledger, job, rng, now)
    else:
        bound = place_array(ledger, job, rng, now, only)
    if bound:
        job.pause = 0.0
        job.held_since = None
        level = logging.DEBUG if only is not None else logging.INFO
        log.log(level, "placed %d of %s, %d left", bound, job.job_id, job.waiting())
        if job.waiting() == 0:
            ledger.room.unkeep(job.job_id)
            if job.reserved_at is not None:
                ledger.rest_until[job.team] = now + (now - job.reserved_at)
                job.reserved_at = None
            judge(ledger, job, now)
    return bound


def judge(ledger: Ledger, job: Job, now: float) -> None:
    """Note once whether a job within its guarantee found all its machines in time."""
    late = now - job.since > ledger.prompt.within_s
    if job.entitled and job.fresh and not job.judged and (late or not job.waiting()):
        job.judged = True
        ledger.prompt.judge(not late)


def offer(ledger: Ledger, machine: Machine, rng: random.Random, now: float) -> None:
    """Offer room that a machine has freed to the jobs in line, in their order.

    Those in line found no candidate elsewhere, so this machine is the one there is. A whole
    pass for each report that frees room cost jobs times machines, at every exit of a task.
    """
    if not ledger.loaded or not usable(ledger, machine, now):
        return
    if ledger.zone_hooks is not None:
        ledger.zone_hooks.claim(machine, now)
    for job in ledger.line.jobs:
        if machine.cap[0] - machine.used[0] + EPSILON < ledger.line.least_cpus:
            return
        if (
            now < job.wait_until
            or not machine.fits(job.need)
            or not allows(job, machine)
            or not startable(ledger, job)
            or not open_to(ledger, job, machine, now)
        ):
            continue
        attempt(ledger, job, rng, now, machine)


def place(ledger: Ledger, rng: random.Random, now: float) -> list[Job]:
    """One pass over the queue; the jobs that found no candidate are returned, in order."""
    starved: list[Job] = []
    if not ledger.loaded:
        return starved
    ledger.room.prune_kept(now)
    within = entitled(ledger)
    ledger.line.jobs = queue(ledger, within, now)
    ledger.line.least_cpus = min((job.need[0] for job in ledger.line.jobs), default=math.inf)
    ledger.line.choosy = any(job.choosy for job in ledger.line.jobs)
    reserved: list[Job | None] = [None for _ in ledger.caps]
    for job in ledger.line.jobs:
        job.entitled = job.entitled or job.job_id in within
        judge(ledger, job, now)
        ahead = reserved[job.team]
        if _serve(ledger, job, ahead, rng, now):
            starved.append(job)
        # For one gang at a time, and then as long for nobody: else all that an overloaded team
        # frees goes to a few of its largest jobs, and each of them makes many others late.
        if ahead is None and order.reserving(job, now) and now >= ledger.rest_until[job.team]:
            reserved[job.team] = job
            if job.reserved_at is None:
                job.reserved_at = now
    return starved


def _serve(ledger: Ledger, job: Job, ahead: Job | None, rng: random.Random, now: float) -> bool:
    """Place what can be placed of one job in line; whether it drew and still waits.

    ``ahead`` is the gang before it for which its team's quota is kept.
    """
    job.behind = (0.0, 0.0)
    if ahead is not None and not insistent(job, now) and (job.gang or order.pressing(ahead, now)):
        job.behind = ahead.size()[:2]
    short = _short_of_quota(ledger, job)
    if job.short and not short:
        job.pause_until = 0.0
    job.short = short
    # The pause is for draws that only freed room could change, which ``offer`` sees to.
    if now < max(job.wait_until, job.pause_until):
        return False
    if not short:
        attempt(ledger, job, rng, now)
        if job.waiting() == 0:
            return False
        job.short = _short_of_quota(ledger, job)
    if job.short:
        _note_limit(ledger, job, now)
    else:
        log.debug("job %s waits: no candidate for %d tasks", job.job_id, job.waiting())
    if not held_back(ledger, job, now):
        job.held_since = None
    elif job.held_since is None:
        job.held_since = now
    job.pause = min(job.pause * 2 or FIRST_PAUSE_S, ledger.limits.workers.heartbeat_interval_s)
    job.pause_until = now + job.pause
    return True


def _note_limit(ledger: Ledger, job: Job, now: float) -> None:
    """Log what a limit left for a job: at info once in a while for each team, else at debug."""
    due = now - ledger.limit_logged_at[job.team] >= LIMIT_LOGGED_S
    if due:
        ledger.limit_logged_at[job.team] = now
    silent = (0.0, 0.0) if ledger.ready else ledger.failover.unreconciled_capacity()
    event(
        log,
        "limit_reached",
        logging.INFO if due else logging.DEBUG,
        team=job.spec.team,
        job=job.job_id,
        fencing_token=ledger.fencing_token,
        booked_cpus=ledger.usage[job.team][0],
        silent_cpus=silent[0],
        limit_cpus=ledger.caps[job.team][0],
        kept_cpus=job.behind[0],
        unknown_jobs=len(ledger.unknown_jobs),
        ready=ledger.ready,
    )


def _short_of_quota(ledger: Ledger, job: Job) -> bool:
    """Whether the team's limit leaves no room for a task, or for the whole of a gang."""
    return quota_left(ledger, job) < (job.spec.task_count if job.gang else 1)
