"""Preemption: tasks are stopped for jobs of higher priority, for guarantees, and in time before
their machine is reclaimed."""

from __future__ import annotations

import heapq
import logging
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import EPSILON, UP, Binding, Job, Machine, Resources
from salthead.cluster.start_rules import quota_left
from salthead.event_log import event
from salthead.protocol import wire_names
from salthead.scheduling import queue_order
from salthead.scheduling.eligibility import (
    heartbeat_overdue,
    suitable_machines,
    zone_counts,
    zone_open,
)
from salthead.scheduling.guarantees import guaranteed_job_ids

log = logging.getLogger(__name__)

# Boots for which a job within its guarantee waits for provisioned machines before others' work is
# stopped.
PATIENCE_BOOTS = 3.0
# From the stop of a task to the next start on its machine, in heartbeat intervals.
RESTART_HEARTBEAT_INTERVALS = 2.0
# For how long beyond the victims' grace their machine is reserved, in heartbeat intervals: until
# the stop is sent, the exit is reported, and the start is placed.
RESERVE_HEARTBEAT_INTERVALS = 4.0
MIN_TASK_CPUS = 0.1  # for the lost work of tasks that ask for hardly any CPU
# From the order to stop a task to its arrival: the next heartbeat, and time for its answer.
ORDER_HEARTBEAT_INTERVALS, ORDER_MARGIN_S = 1.25, 0.5
# The stop of a gang takes this many times longer.
GANG_ORDER_FACTOR = 2.0
# A task is to have ended this long before its machine is reclaimed.
RECLAIM_MARGIN_S = 0.5


def save_grace_s(job: Job) -> float:
    """The grace in which a task of the job writes a checkpoint; 0 for jobs that write none."""
    return job.spec.checkpoint_save_s if job.spec.checkpoint_interval_s > 0 else 0.0


def stop_task(ledger: Ledger, binding: Binding, why: str) -> None:
    """Stop a task with the grace to save its work, together with its gang if it has one."""
    job = binding.job
    if job is None or binding.stop_grace_s is not None:
        return
    if job.gang:
        job.preempted = True
        ledger.stop_gang(job, save_grace_s(job), why)
    else:
        event(log, "task_stopped", task=binding.task_id, machine=binding.machine.name, why=why)
        ledger.request_stop(binding, save_grace_s(job))


def lost_cpu_s(binding: Binding, now: float, restart_s: float) -> float:
    """CPU-seconds that stopping the task, with its gang if it has one, throws away, roughly.

    ``restart_s`` is the time between a stop and the next start: without it a gang that had just
    been placed looked cheaper to stop than a few small tasks that had run for a while.
    """
    job = binding.job
    assert job is not None
    members = list(job.bindings.values()) if job.gang else [binding]
    lost = 0.0
    for member in members:
        run = max(0.0, now - member.started) if member.started else 0.0
        if job.spec.checkpoint_interval_s > 0 and not (member.phase and run <= 0):
            run = min(run, job.spec.checkpoint_save_s)
        lost += (run + restart_s) * max(member.request.cpus, MIN_TASK_CPUS)
    return lost


def may_preempt(
    ledger: Ledger,
    job: Job,
    priority: int,
    victim: Binding,
    guaranteed_ids: set[str],
    now: float,
) -> bool:
    """Whether the job, which preempts with this priority, may have the task stopped.

    These are the three rules of the protocol, and one restraint of ours: for a guarantee, work is
    stopped only once machines provisioned for the job could have been up several times over, and a
    gang only once. Short tasks end by themselves sooner than a stop, a heartbeat and a start take;
    stopping them at once threw so much work away that guarantees were kept no more often, and gangs
    and guaranteed jobs preempted each other every few seconds.
    """
    other = victim.job
    if other is None or other is job or other.complete:
        return False
    if other.priority > priority:
        return True
    if job.job_id not in guaranteed_ids or other.team == job.team or other.job_id in guaranteed_ids:
        return False
    machine_type = ledger.machine_types.get(victim.machine.machine_type)
    if (
        machine_type is None
        or now - job.since < PATIENCE_BOOTS * machine_type.boot_s
        or (other.gang and other.preempted)
    ):
        return False
    usage, guarantee = ledger.usage[other.team], ledger.guarantees[other.team]
    return usage[0] > guarantee[0] or usage[1] > guarantee[1]


def preempting_priority(ledger: Ledger, job: Job, now: float) -> int:
    """The priority with which a job preempts others.

    One that it inherits from a job after it counts only once half of the wait that its targets
    allow is gone. Seen on rollout, moana-buoys-next: steps of pipelines with a minute to spare
    stopped 9,000 tasks of 33,000, most of them of work that was late for it.
    """
    own = wire_names.URGENCIES.index(job.spec.urgency)
    if job.priority == own or queue_order.start_due(ledger, job, now):
        return job.priority
    return own


def could_preempt(ledger: Ledger, job: Job, guaranteed_ids: set[str]) -> bool:
    """Whether any task runs that the job might preempt; spares the search through all machines."""
    if any(ledger.bound_by_priority[job.priority + 1 :]):
        return True
    return job.job_id in guaranteed_ids and any(
        usage[n] > guarantee[n]
        for team, (usage, guarantee) in enumerate(zip(ledger.usage, ledger.guarantees, strict=True))
        if team != job.team
        for n in range(2)
    )


class Victim(NamedTuple):
    """A task that may be stopped, and what stopping it throws away."""

    lost_cpu_s: float
    binding: Binding


class Offer(NamedTuple):
    """The cheapest stops that make room for one task on one machine; cheap offers sort first."""

    lost_cpu_s: float
    position: int  # of the machine's room in the search: no two offers in a heap share it
    victims: list[Victim]


@dataclass(slots=True)
class MachineRoom:
    """The room on one machine as a search has planned it so far."""

    machine: Machine
    free: list[float]  # CPUs, GPUs and memory once all tasks that are stopped have gone
    stoppable: list[Victim]  # the cheapest last

    def offer(self, position: int, request: Resources) -> Offer | None:
        """The cheapest tasks whose stops make room for the request; None if no stops do."""
        free = list(self.free)
        victims: list[Victim] = []
        remaining = list(self.stoppable)
        while any(free[n] + EPSILON < request[n] for n in range(3)):
            if not remaining:
                return None
            victim = remaining.pop()
            victims.append(victim)
            for n in range(3):
                free[n] += victim.binding.request[n]
        return Offer(sum(victim.lost_cpu_s for victim in victims), position, victims)

    def accept(self, offer: Offer, request: Resources) -> None:
        """Count one task of the request as placed where the victims were."""
        bindings = [victim.binding for victim in offer.victims]
        for n in range(3):
            self.free[n] += sum(binding.request[n] for binding in bindings) - request[n]
        self.stoppable = [one for one in self.stoppable if one.binding not in bindings]


@dataclass(slots=True)
class PreemptionPlan:
    """Which tasks to stop on which machines, so that a number of tasks can be placed."""

    lost_cpu_s: float = 0.0
    placed: int = 0
    victims: dict[Machine, list[Binding]] = field(default_factory=dict)

    def add(self, machine: Machine, offer: Offer) -> None:
        """Place one more task by an offer."""
        self.victims.setdefault(machine, []).extend(victim.binding for victim in offer.victims)
        self.lost_cpu_s += offer.lost_cpu_s
        self.placed += 1


def make_room(ledger: Ledger, job: Job, guaranteed_ids: set[str], now: float) -> None:
    """Stop tasks for the job's waiting tasks, and reserve their machines for it meanwhile."""
    task_count = min(job.waiting(), quota_left(ledger, job))
    if job.gang and task_count < job.spec.task_count:
        return
    if not could_preempt(ledger, job, guaranteed_ids):
        return
    best: PreemptionPlan | None = None
    for machines in _machines_by_choice_of_zone(ledger, job, now):
        plan = _plan_preemption(ledger, job, machines, task_count, guaranteed_ids, now)
        if plan is not None and (best is None or plan.lost_cpu_s < best.lost_cpu_s):
            best = plan
    if best is not None:
        _carry_out(ledger, job, best, now)


def _machines_by_choice_of_zone(ledger: Ledger, job: Job, now: float) -> Iterator[list[Machine]]:
    """The machines that a plan may use: all, or one zone's after the other for a gang that must
    stay in one."""
    machines = [
        m
        for m in suitable_machines(ledger, job, now)
        if not heartbeat_overdue(ledger, m, now)
        and all(c + EPSILON >= n for c, n in zip(m.capacity, job.request, strict=True))
    ]
    if not (job.gang and job.spec.single_zone):
        yield machines
        return
    for zone in sorted({m.zone for m in machines}):
        yield [m for m in machines if m.zone == zone]


def _carry_out(ledger: Ledger, job: Job, plan: PreemptionPlan, now: float) -> None:
    """Reserve the plan's machines for the job, and stop its victims."""
    heartbeat_interval_s = ledger.limits.workers.heartbeat_interval_s
    for machine, victims in plan.victims.items():
        longest_grace_s = max((save_grace_s(v.job) for v in victims if v.job), default=0.0)
        until = now + longest_grace_s + RESERVE_HEARTBEAT_INTERVALS * heartbeat_interval_s
        ledger.capacity_index.reserve(machine, job.job_id, until)
        job.room_until = max(job.room_until, until)
        for victim in victims:
            stop_task(ledger, victim, f"room for {job.job_id}")


def _plan_preemption(
    ledger: Ledger,
    job: Job,
    machines: list[Machine],
    task_count: int,
    guaranteed_ids: set[str],
    now: float,
) -> PreemptionPlan | None:
    """Room for as many tasks as possible, the cheapest stops first; None for an incomplete gang."""
    priority = preempting_priority(ledger, job, now)
    rooms = [
        _machine_room(ledger, job, priority, machine, guaranteed_ids, now) for machine in machines
    ]
    # After each task only the machine that took it is priced anew.
    offers = [
        offer
        for position, room in enumerate(rooms)
        if (offer := room.offer(position, job.request)) is not None
    ]
    heapq.heapify(offers)
    in_zones = zone_counts(job)
    plan = PreemptionPlan()
    while offers and plan.placed < task_count:
        offer = heapq.heappop(offers)
        room = rooms[offer.position]
        zone = room.machine.zone
        if not zone_open(job, zone, in_zones):
            continue
        in_zones[zone] = in_zones.get(zone, 0) + 1
        room.accept(offer, job.request)
        plan.add(room.machine, offer)
        again = room.offer(offer.position, job.request)
        if again is not None:
            heapq.heappush(offers, again)
    if plan.placed == 0 or (job.gang and plan.placed < task_count):
        return None
    return plan


def _machine_room(
    ledger: Ledger,
    job: Job,
    priority: int,
    machine: Machine,
    guaranteed_ids: set[str],
    now: float,
) -> MachineRoom:
    """What is free on a machine, or will be, and which tasks the job may have stopped there."""
    restart_s = RESTART_HEARTBEAT_INTERVALS * ledger.limits.workers.heartbeat_interval_s
    free = machine.free()
    for binding in machine.bindings.values():
        if binding.stop_grace_s is not None:
            free = [left + request for left, request in zip(free, binding.request, strict=True)]
    stoppable = [
        Victim(lost_cpu_s(binding, now, restart_s), binding)
        for binding in machine.bindings.values()
        if binding.stop_grace_s is None
        and may_preempt(ledger, job, priority, binding, guaranteed_ids, now)
    ]
    stoppable.sort(key=lambda victim: victim.lost_cpu_s, reverse=True)
    return MachineRoom(machine, free, stoppable)


def preempt(ledger: Ledger, unschedulable: list[Job], now: float) -> None:
    """Make room for each job that found no candidate, in their order, as far as the rules allow."""
    if not unschedulable or not ledger.ready:
        return
    guaranteed_ids = guaranteed_job_ids(ledger)
    for job in unschedulable:
        if job.quota_exhausted:
            continue
        reserved = (
            ledger.capacity_index.reserved_machines(job.job_id, now) if now < job.room_until else []
        )
        if any(heartbeat_overdue(ledger, machine, now) for machine in reserved):
            # Seen on loss, prairie-ledger-fleet: of the room made for a gang of 24 one machine
            # died, and the rest stood empty until it was lost. The tasks stopped for the gang end
            # anyway, so that the same machines are chosen, and others for the silent ones.
            ledger.capacity_index.release_reservations(job.job_id)
        elif reserved:
            continue  # room is being made already
        make_room(ledger, job, guaranteed_ids, now)


def drain(ledger: Ledger, now: float) -> None:
    """Stop tasks on machines that are about to be reclaimed, as late as is safe."""
    workers = ledger.limits.workers
    order_s = ORDER_HEARTBEAT_INTERVALS * workers.heartbeat_interval_s + ORDER_MARGIN_S
    for machine in ledger.machines.values():
        if machine.phase != UP or machine.reclaim_at is None:
            continue
        left_s = machine.reclaim_at - now
        for binding in list(machine.bindings.values()):
            job = binding.job
            if job is None or binding.stop_grace_s is not None:
                continue
            factor = GANG_ORDER_FACTOR if job.gang else 1.0
            if left_s <= order_s * factor + save_grace_s(job) + RECLAIM_MARGIN_S:
                stop_task(ledger, binding, f"{machine.name} is taken in {left_s:.1f} s")
