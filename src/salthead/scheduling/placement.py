"""The ordinary path: filter, draw two at random, the lower fullest dimension wins."""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Iterable

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import EPSILON, UP, Job, Machine, MachineKind, ReleaseReason
from salthead.cluster.start_rules import quota_left, startable, wanted
from salthead.event_log import event
from salthead.protocol import wire_names
from salthead.scheduling import queue_order

log = logging.getLogger(__name__)

FRESH_HEARTBEAT_INTERVALS = 3.0
FIRST_PAUSE_S = 2.0
# Whatever keeps room or quota for others keeps a job waiting for no longer than this beside room
# that it could have. The users allow 90 s; the rest is for a pause and for the start to be told.
MAX_HELD_BACK_S = 75.0
LIMIT_LOGGED_S = 10.0


def guaranteed_jobs(ledger: Ledger) -> set[str]:
    """Jobs that fit into their team's guarantee together with the team's earlier ones.

    What waits for other jobs holds no part of a guarantee, and is not among the live ones.
    """
    within: set[str] = set()
    sums = [[0.0, 0.0] for _ in ledger.guarantees]
    for job in sorted(ledger.ready_jobs.values(), key=lambda job: (job.since, job.job_id)):
        if job.terminal_phase or job.cancel_requested:
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
    waiting = [job for job in ledger.ready_jobs.values() if startable(ledger, job)]
    start_target_s = ledger.start_attainment.within_s
    first = [job for job in waiting if job.job_id in within and now - job.since <= start_target_s]
    first.sort(
        key=lambda job: (job.priority, job.waiting() * job.request.cpus, job.since, job.job_id)
    )
    young = {job.job_id for job in first}
    rate = queue_order.fleet_cpus(ledger)
    for guaranteed in (True, False):
        for priority in range(len(wire_names.URGENCIES)):
            same = [
                job
                for job in waiting
                if job.priority == priority
                and job.job_id not in young
                and (job.job_id in within) == guaranteed
            ]
            first += queue_order.by_targets(ledger, same, rate, now)
    if ledger.zone_hooks is not None:
        return ledger.zone_hooks.evacuation_order(first, within, now)
    return first


def unavailable_reason(ledger: Ledger, machine: Machine, now: float) -> str:
    """Why room on a machine can't be used now, for operators; empty when it can."""
    reasons = (
        ("kept", bool(machine.reserved_for) and now < machine.reserved_until),
        ("cordoned", machine.cordoned),
        ("withheld", machine.awaiting_slow_start),
        ("condemned", bool(machine.quarantine_reason)),
        ("going", machine.terminating or machine.reclaim_at is not None),
        ("failing", now < machine.error_until),
        ("unresponsive", not machine.responsive(now)),
        ("unheard", not available(ledger, machine, now)),
    )
    return next((reason for reason, holds in reasons if holds), "")


def allows(job: Job, machine: Machine) -> bool:
    """Kind, type and zone, for the job alone."""
    return (
        (job.spec.spot or not machine.spot)
        and (job.allowed_types is None or machine.machine_type in job.allowed_types)
        and (job.zone is None or machine.zone == job.zone)
    )


def available(ledger: Ledger, machine: Machine, now: float) -> bool:
    """Heard of lately, in the machine registry, and not about to go."""
    return (
        machine.phase == UP
        and machine.registered
        and machine.reconciled
        and not machine.quarantine_reason
        and not machine.terminating
        and not machine.cordoned
        and machine.reclaim_at is None
        and now - machine.last_heartbeat_at
        <= FRESH_HEARTBEAT_INTERVALS * ledger.limits.workers.heartbeat_interval_s
        and now >= machine.error_until
        and machine.responsive(now)
    )


def heartbeat_overdue(ledger: Ledger, machine: Machine, now: float) -> bool:
    """Whether the next heartbeat should have come: a period, a quarter more, and a second for the
    way and a busy leader.

    Long before the filter by freshness says so, such a machine may have died. For one task the
    design's filter stands; a gang needs all of its machines, and so does the room made for it.
    """
    return now - machine.last_heartbeat_at > 1.25 * ledger.limits.workers.heartbeat_interval_s + 1.0


def held_back_too_long(job: Job, now: float) -> bool:
    """Whether the job has been held back by what is kept for others for as long as may be."""
    return job.held_back_since is not None and now - job.held_back_since >= MAX_HELD_BACK_S


def held_back(ledger: Ledger, job: Job, now: float) -> bool:
    """Whether the job could start if nothing were kept for others, nor avoided for its errors."""
    left = job.spec.task_count if job.gang else 1
    if quota_left(ledger, job, heed=False) < left:
        return False
    for machine in ledger.capacity_index.with_room(suitable_kinds(ledger, job), job.request):
        if available(ledger, machine, now):
            left -= int(machine.places_for(job.request))
            if left <= 0:
                return True
    return False


def may_use_slow_start(ledger: Ledger, job: Job, now: float) -> bool:
    """Whether a job may use machines of a zone that returns, before they are open to all.

    A guarantee stands above a gradual return: half of its time is for finding room elsewhere.
    """
    if not job.within_guarantee or job.held_back_since is None:
        return False
    return now - job.held_back_since >= 0.5 * ledger.start_attainment.within_s


def is_open_to(ledger: Ledger, job: Job, machine: Machine, now: float) -> bool:
    """Not kept for another job, nor of the only type for one that waits unless time presses."""
    return (
        held_back_too_long(job, now)
        or (
            not machine.reserved_for
            or machine.reserved_for == job.job_id
            or now >= machine.reserved_until
        )
        and machine.name not in job.error_machines
        and (not machine.awaiting_slow_start or may_use_slow_start(ledger, job, now))
        and (
            not ledger.pending.constrained
            or job.constrained
            or machine.machine_type not in ledger.scarce
            or queue_order.due(ledger, job, now)
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


def pick(machines: list[Machine], rng: random.Random) -> Machine:
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
        self.request = job.request
        self.pools: list[list[Machine]] = [[], [], [], []]
        image = job.spec.image
        for machine in candidates:
            last = 0 if job.constrained or machine.machine_type not in ledger.scarce else 2
            far = 0 if image and image in machine.images else 1
            self.pools[last + far].append(machine)

    def zones(self) -> set[int]:
        """Zones of all machines that can be drawn."""
        return {machine.zone for pool in self.pools for machine in pool}

    def pick(self, rng: random.Random) -> Machine | None:
        """A machine of the first pool that has any."""
        for pool in self.pools:
            if pool:
                return pick(pool, rng)
        return None

    def used(self, machine: Machine) -> None:
        """Drop the machine if one more task does not fit any more."""
        if not machine.fits(self.request):
            for pool in self.pools:
                if machine in pool:
                    pool.remove(machine)

    def close(self, zone: int) -> None:
        """Draw no machine of a zone any more."""
        self.pools = [[m for m in pool if m.zone != zone] for pool in self.pools]


def suitable_kinds(ledger: Ledger, job: Job) -> list[MachineKind]:
    """The kinds of machines there are that suit the job."""
    return [
        kind
        for kind in ledger.capacity_index.free
        if (job.spec.spot or not kind.spot)
        and (job.allowed_types is None or kind.machine_type in job.allowed_types)
        and (job.zone is None or kind.zone == job.zone)
    ]


def candidates(ledger: Ledger, job: Job, now: float) -> list[Machine]:
    """The filter: machines that suit the job and have room for one task, zones aside."""
    return [
        machine
        for machine in ledger.capacity_index.with_room(suitable_kinds(ledger, job), job.request)
        if available(ledger, machine, now) and is_open_to(ledger, job, machine, now)
    ]


def suitable_machines(ledger: Ledger, job: Job, now: float) -> list[Machine]:
    """Machines that suit the job, room and its other tasks' zones aside."""
    return [
        machine
        for kind in suitable_kinds(ledger, job)
        for row in ledger.capacity_index.free[kind]
        for machine in row
        if available(ledger, machine, now) and is_open_to(ledger, job, machine, now)
    ]


def schedule_array(
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
    while bound < wanted and (machine := candidate_pools.pick(rng)) is not None:
        index = job.next_task()
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


def schedule_gang(ledger: Ledger, job: Job, rng: random.Random, now: float) -> int:
    """Bind all members or none."""
    task_count = job.spec.task_count
    if quota_left(ledger, job) < task_count:
        return 0
    base = [m for m in candidates(ledger, job, now) if not heartbeat_overdue(ledger, m, now)]
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
        machine = candidate_pools.pick(rng)
        if machine is None:
            break
        # An allocation that only later members of the gang see.
        machine.allocated.cpus += job.request.cpus
        machine.allocated.gpus += job.request.gpus
        machine.allocated.memory_gb += job.request.memory_gb
        candidate_pools.used(machine)
        chosen.append(machine)
        if job.spec.spread_zones:
            counts[machine.zone] = counts.get(machine.zone, 0) + 1
            if not zone_open(job, machine.zone, counts):
                candidate_pools.close(machine.zone)
    for machine in chosen:
        machine.allocated.cpus -= job.request.cpus
        machine.allocated.gpus -= job.request.gpus
        machine.allocated.memory_gb -= job.request.memory_gb
    if len(chosen) < job.spec.task_count:
        return False
    job.attempt = ledger.next_attempt()
    for index, machine in enumerate(chosen):
        ledger.bind(job, index, machine, job.attempt, now, granted=True)
    return True


def reschedule_unsent(ledger: Ledger, rng: random.Random, now: float) -> None:
    """Draw tasks again whose start was not told to anybody, and whose machine has gone silent.

    Seen on loss, prairie-ledger-fleet: a machine that dies just after a draw holds its tasks until
    its lease is over, and with a gang's member all the other machines of the gang. No answer
    carried the start, so the task is certainly not there. A gang's member takes its attempt
    along, and so completes the gang that gathers.
    """
    for machine in ledger.machines.values():
        if (
            machine.phase != UP
            or not machine.bindings
            or not heartbeat_overdue(ledger, machine, now)
        ):
            continue
        for binding in [b for b in machine.bindings.values() if b.start_unsent()]:
            job = binding.job
            if job is None or job.failed or not wanted(binding):
                continue  # it is on its way out
            hooks = ledger.zone_hooks
            if not job.gang or (hooks is not None and hooks.restarts_whole(machine)):
                # For a gang that is the end of its attempt: what was told of it is stopped.
                ledger.release(binding, now, ReleaseReason.NEVER_TOLD)
                continue
            counts = zone_counts(job)
            counts[machine.zone] -= 1
            counts = {zone: count for zone, count in counts.items() if count}
            found = [
                m
                for m in candidates(ledger, job, now)
                if not heartbeat_overdue(ledger, m, now) and zone_open(job, m.zone, counts)
            ]
            if found:
                other = pick(found, rng)
                log.info("%s goes from silent %s to %s", binding.task_id, machine.name, other.name)
                ledger.move(binding, other, now)


def schedule_job(
    ledger: Ledger,
    job: Job,
    rng: random.Random,
    now: float,
    only: Machine | None = None,
) -> int:
    """Place what can be placed of one job; how many tasks were bound."""
    if job.gang:
        bound = schedule_gang(ledger, job, rng, now)
    else:
        bound = schedule_array(ledger, job, rng, now, only)
    if bound:
        job.pause = 0.0
        job.held_back_since = None
        level = logging.DEBUG if only is not None else logging.INFO
        log.log(level, "placed %d of %s, %d left", bound, job.job_id, job.waiting())
        if job.waiting() == 0:
            ledger.capacity_index.release_reservations(job.job_id)
            if job.reserved_at is not None:
                ledger.rest_until[job.team] = now + (now - job.reserved_at)
                job.reserved_at = None
            record_attainment(ledger, job, now)
    return bound


def record_attainment(ledger: Ledger, job: Job, now: float) -> None:
    """Note once whether a job within its guarantee found all its machines in time."""
    late = now - job.since > ledger.start_attainment.within_s
    if (
        job.within_guarantee
        and job.accepted_this_term
        and not job.attainment_recorded
        and (late or not job.waiting())
    ):
        job.attainment_recorded = True
        ledger.start_attainment.record_attainment(not late)


def backfill(ledger: Ledger, machine: Machine, rng: random.Random, now: float) -> None:
    """Offer room that a machine has freed to the jobs in line, in their order.

    Those in line found no candidate elsewhere, so this machine is the one there is. A whole
    pass for each heartbeat that frees room cost jobs times machines, at every exit of a task.
    """
    if not ledger.loaded or not available(ledger, machine, now):
        return
    if ledger.zone_hooks is not None:
        ledger.zone_hooks.claim(machine, now)
    for job in ledger.pending.jobs:
        if machine.capacity.cpus - machine.allocated.cpus + EPSILON < ledger.pending.min_cpus:
            return
        if (
            now < job.wait_until
            or not machine.fits(job.request)
            or not allows(job, machine)
            or not startable(ledger, job)
            or not is_open_to(ledger, job, machine, now)
        ):
            continue
        schedule_job(ledger, job, rng, now, machine)


def schedule(ledger: Ledger, rng: random.Random, now: float) -> list[Job]:
    """One pass over the queue; the jobs that found no candidate are returned, in order."""
    unschedulable: list[Job] = []
    if not ledger.loaded:
        return unschedulable
    ledger.capacity_index.expire_reservations(now)
    within = guaranteed_jobs(ledger)
    ledger.pending.jobs = queue(ledger, within, now)
    ledger.pending.min_cpus = min(
        (job.request.cpus for job in ledger.pending.jobs), default=math.inf
    )
    ledger.pending.constrained = any(job.constrained for job in ledger.pending.jobs)
    reserved: list[Job | None] = [None for _ in ledger.team_limits]
    for job in ledger.pending.jobs:
        job.within_guarantee = job.within_guarantee or job.job_id in within
        record_attainment(ledger, job, now)
        ahead = reserved[job.team]
        if _schedule_pending_job(ledger, job, ahead, rng, now):
            unschedulable.append(job)
        # For one gang at a time, and then as long for nobody: else all that an overloaded team
        # frees goes to a few of its largest jobs, and each of them makes many others late.
        if ahead is None and queue_order.reserving(job, now) and now >= ledger.rest_until[job.team]:
            reserved[job.team] = job
            if job.reserved_at is None:
                job.reserved_at = now
    return unschedulable


def _schedule_pending_job(
    ledger: Ledger, job: Job, ahead: Job | None, rng: random.Random, now: float
) -> bool:
    """Place what can be placed of one job in line; whether it drew and still waits.

    ``ahead`` is the gang before it for which its team's quota is kept.
    """
    job.quota_reserved_ahead = (0.0, 0.0)
    if (
        ahead is not None
        and not held_back_too_long(job, now)
        and (job.gang or queue_order.pressing(ahead, now))
    ):
        job.quota_reserved_ahead = ahead.size()
    quota_exhausted = _short_of_quota(ledger, job)
    if job.quota_exhausted and not quota_exhausted:
        job.pause_until = 0.0
    job.quota_exhausted = quota_exhausted
    # The pause is for draws that only freed room could change, which ``offer`` sees to.
    if now < max(job.wait_until, job.pause_until):
        return False
    if not quota_exhausted:
        schedule_job(ledger, job, rng, now)
        if job.waiting() == 0:
            return False
        job.quota_exhausted = _short_of_quota(ledger, job)
    if job.quota_exhausted:
        _note_limit(ledger, job, now)
    else:
        log.debug("job %s waits: no candidate for %d tasks", job.job_id, job.waiting())
    if not held_back(ledger, job, now):
        job.held_back_since = None
    elif job.held_back_since is None:
        job.held_back_since = now
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
        limit_cpus=ledger.team_limits[job.team][0],
        kept_cpus=job.quota_reserved_ahead[0],
        unknown_jobs=len(ledger.unknown_jobs),
        ready=ledger.ready,
    )


def _short_of_quota(ledger: Ledger, job: Job) -> bool:
    """Whether the team's limit leaves no room for a task, or for the whole of a gang."""
    return quota_left(ledger, job) < (job.spec.task_count if job.gang else 1)
