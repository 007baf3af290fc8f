"""Stopping tasks: for jobs of higher urgency, for guarantees, and before a machine goes."""

from __future__ import annotations

import heapq
import logging

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import UP, Binding, Job, Machine, Resources
from salthead.cluster.start_rules import quota_left
from salthead.protocol import wire_names
from salthead.scheduling import eligibility, guarantees, queue_order

log = logging.getLogger(__name__)


# Boots that a job within its guarantee waits for provisioned machines before others' work is
# stopped.
PATIENCE_BOOTS = 3.0


def grace(job: Job) -> float:
    """The grace with which a task of the job saves; 0 when it can't."""
    return job.spec.checkpoint_save_s if job.spec.checkpoint_interval_s > 0 else 0.0


def stop(ledger: Ledger, binding: Binding, why: str) -> None:
    """Stop a task in order, with its whole gang if it has one."""
    job = binding.job
    if job is None or binding.stop_grace_s is not None:
        return
    if job.gang:
        job.preempted = True
        ledger.stop_gang(job, grace(job), why)
    else:
        log.info("stop %s on %s: %s", binding.task_id, binding.machine.name, why)
        ledger.request_stop(binding, grace(job))


def lost_work(binding: Binding, now: float, restart_s: float) -> float:
    """CPU-seconds that stopping the task throws away, roughly.

    ``restart_s`` is what goes by between a stop and the next start: without it a gang that has
    just been placed looked cheaper to stop than a few small tasks that had run for a while.
    """
    job = binding.job
    assert job is not None
    members = list(job.bindings.values()) if job.gang else [binding]
    lost = 0.0
    for member in members:
        run = max(0.0, now - member.started) if member.started else 0.0
        if job.spec.checkpoint_interval_s > 0 and not (member.phase and run <= 0):
            run = min(run, job.spec.checkpoint_save_s)
        lost += (run + restart_s) * max(member.request.cpus, 0.1)
    return lost


def may_preempt(
    ledger: Ledger,
    job: Job,
    priority: int,
    victim: Binding,
    within: set[str],
    now: float,
) -> bool:
    """Whether the job, which pushes with this rank, may have the task stopped.

    The protocol's three sentences on preemption, and one restraint of ours.

    For a guarantee, work is stopped only once machines provisioned for the job could have been up
    several times over, and a gang only once. Short tasks make way by themselves sooner than a
    stop, a heartbeat and a start take; stopping them at once threw so much work away that
    guarantees were kept no more often. Gangs and jobs within guarantees pushed each other aside
    every few seconds.
    """
    other = victim.job
    if other is None or other is job or other.complete:
        return False
    if other.priority > priority:
        return True
    if job.job_id not in within or other.team == job.team or other.job_id in within:
        return False
    machine_type = ledger.machine_types.get(victim.machine.machine_type)
    if (
        machine_type is None
        or now - job.since < PATIENCE_BOOTS * machine_type.boot_s
        or (other.gang and other.preempted)
    ):
        return False
    usage, most = ledger.usage[other.team], ledger.guarantees[other.team]
    return usage[0] > most[0] or usage[1] > most[1]


def preempting_priority(ledger: Ledger, job: Job, now: float) -> int:
    """The rank with which a job pushes others aside.

    One that it inherits from a job after it counts only once half of the wait that its targets
    allow is gone. Seen on rollout, moana-buoys-next: steps of pipelines with a minute to spare
    stopped 9,000 tasks of 33,000, most of them of work that was late for it.
    """
    own = wire_names.URGENCIES.index(job.spec.urgency)
    return job.priority if job.priority == own or queue_order.due(ledger, job, now) else own


def could_preempt(ledger: Ledger, job: Job, within: set[str]) -> bool:
    """Whether anything runs that the job might push aside: spares the look at each machine."""
    if any(ledger.bound_by_priority[job.priority + 1 :]):
        return True
    return job.job_id in within and any(
        usage[n] > most[n]
        for team, (usage, most) in enumerate(zip(ledger.usage, ledger.guarantees, strict=True))
        if team != job.team
        for n in range(2)
    )


def make_room(ledger: Ledger, job: Job, within: set[str], now: float) -> int:
    """Choose victims for the job's waiting tasks; machines are kept for it meanwhile."""
    wanted = min(job.waiting(), quota_left(ledger, job))
    if (job.gang and wanted < job.spec.task_count) or not could_preempt(ledger, job, within):
        return 0
    base = [
        m
        for m in eligibility.suitable_machines(ledger, job, now)
        if not eligibility.heartbeat_overdue(ledger, m, now)
        and all(c + 1e-6 >= n for c, n in zip(m.capacity, job.request, strict=True))
    ]
    zones: list[int | None] = [None]
    if job.gang and job.spec.single_zone:
        zones = [*sorted({m.zone for m in base})]
    best: tuple[float, list[tuple[Machine, list[Binding]]]] | None = None
    for zone in zones:
        found = _room_in(
            ledger, job, [m for m in base if zone in (None, m.zone)], wanted, within, now
        )
        if found is not None and (best is None or found[0] < best[0]):
            best = found
    if best is None:
        return 0
    heartbeat_interval_s = ledger.limits.workers.heartbeat_interval_s
    for machine, victims in best[1]:
        # Until the stop is told, the task has saved, its exit is told, and the draw.
        longest = max((grace(v.job) for v in victims if v.job), default=0.0)
        until = now + longest + 4.0 * heartbeat_interval_s
        ledger.capacity_index.reserve(machine, job.job_id, until)
        job.room_until = max(job.room_until, until)
        for victim in victims:
            stop(ledger, victim, f"room for {job.job_id}")
    return len(best[1])


def _room_in(
    ledger: Ledger,
    job: Job,
    base: list[Machine],
    wanted: int,
    within: set[str],
    now: float,
) -> tuple[float, list[tuple[Machine, list[Binding]]]] | None:
    restart_s = 2.0 * ledger.limits.workers.heartbeat_interval_s
    priority = preempting_priority(ledger, job, now)
    room: dict[str, list[float]] = {}
    options: dict[str, list[tuple[float, Binding]]] = {}
    # The cheapest machine is taken first, and then only its own price is worked out anew.
    heap: list[tuple[float, int, list[tuple[float, Binding]]]] = []
    for at, machine in enumerate(base):
        left = _room_when_stopped(machine)
        stoppable = [
            (lost_work(binding, now, restart_s), binding)
            for binding in machine.bindings.values()
            if binding.stop_grace_s is None
            and may_preempt(ledger, job, priority, binding, within, now)
        ]
        stoppable.sort(key=lambda pair: pair[0], reverse=True)
        room[machine.name] = left
        options[machine.name] = stoppable
        picked = _victims(left, stoppable, job.request)
        if picked is not None:
            heap.append((sum(cost for cost, _ in picked), at, picked))
    heapq.heapify(heap)
    counts = eligibility.zone_counts(job)
    plan: dict[str, tuple[Machine, list[Binding]]] = {}
    total = 0.0
    placed = 0
    while heap and placed < wanted:
        cost, at, picked = heapq.heappop(heap)
        machine = base[at]
        if not eligibility.zone_open(job, machine.zone, counts):
            continue
        counts[machine.zone] = counts.get(machine.zone, 0) + 1
        left = room[machine.name]
        victims = [binding for _, binding in picked]
        for n in range(3):
            left[n] += sum(victim.request[n] for victim in victims) - job.request[n]
        options[machine.name] = [o for o in options[machine.name] if o[1] not in victims]
        plan.setdefault(machine.name, (machine, []))[1].extend(victims)
        total += cost
        placed += 1
        again = _victims(left, options[machine.name], job.request)
        if again is not None:
            heapq.heappush(heap, (sum(cost for cost, _ in again), at, again))
    if placed == 0 or (job.gang and placed < wanted):
        return None
    return total, list(plan.values())


def _room_when_stopped(machine: Machine) -> list[float]:
    """What is free once all that was told to stop has gone."""
    left = machine.free()
    for binding in machine.bindings.values():
        if binding.stop_grace_s is not None:
            left = [free + request for free, request in zip(left, binding.request, strict=True)]
    return left


def _victims(
    room: list[float],
    options: list[tuple[float, Binding]],
    request: Resources,
) -> list[tuple[float, Binding]] | None:
    """The cheapest tasks, taken from the end of the list, whose going makes room."""
    left = list(room)
    picked: list[tuple[float, Binding]] = []
    remaining = list(options)
    while any(left[n] + 1e-6 < request[n] for n in range(3)):
        if not remaining:
            return None
        cost, binding = remaining.pop()
        picked.append((cost, binding))
        for n in range(3):
            left[n] += binding.request[n]
    return picked


def preempt(ledger: Ledger, unschedulable: list[Job], now: float) -> None:
    """For each job that found no candidate, in order, what the rules let it push aside."""
    if not unschedulable or not ledger.ready:
        return
    within = guarantees.guaranteed_jobs(ledger)
    for job in unschedulable:
        if job.quota_exhausted:
            continue
        kept = (
            ledger.capacity_index.reserved_machines(job.job_id, now) if now < job.room_until else []
        )
        if any(eligibility.heartbeat_overdue(ledger, machine, now) for machine in kept):
            # Seen on loss, prairie-ledger-fleet: of the room made for a gang of 24 one machine
            # died, and the rest stood empty until it was given up. What was stopped for it goes
            # anyway, so that the same machines are chosen, and others for the silent ones.
            ledger.capacity_index.release_reservations(job.job_id)
        elif kept:
            continue  # room is being made already
        make_room(ledger, job, within, now)


def drain(ledger: Ledger, now: float) -> None:
    """Stop tasks on machines that are about to be taken, as late as is safe."""
    workers = ledger.limits.workers
    # The order rides on the answer to the next heartbeat.
    start_sends = 1.25 * workers.heartbeat_interval_s + 0.5
    for machine in ledger.machines.values():
        if machine.phase != UP or machine.reclaim_at is None:
            continue
        left = machine.reclaim_at - now
        for binding in list(machine.bindings.values()):
            job = binding.job
            if job is None or binding.stop_grace_s is not None:
                continue
            if left <= start_sends * (2.0 if job.gang else 1.0) + grace(job) + 0.5:
                stop(ledger, binding, f"{machine.name} is taken in {left:.1f} s")
