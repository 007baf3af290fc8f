"""Search for the cheapest set of victims that makes room for a job's tasks."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import NamedTuple

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Binding, Job, Machine
from salthead.cluster.resources import EPSILON, Resources
from salthead.scheduling.eligibility import task_counts_by_zone, zone_allows_task
from salthead.scheduling.preemption_rules import lost_cpu_s, may_preempt

# Time from the stop of a task to the next start on its machine, in heartbeat intervals.
RESTART_HEARTBEAT_INTERVALS = 2.0


class Victim(NamedTuple):
    """A task that may be stopped, and the work that is lost by stopping it."""

    lost_cpu_s: float
    binding: Binding


class PreemptionOption(NamedTuple):
    """The cheapest victims that make room for one task on one machine; sorts by cost."""

    lost_cpu_s: float
    position: int  # index of the machine in the search, unique within a heap
    victims: list[Victim]


@dataclass(slots=True)
class MachineRoom:
    """Free capacity and possible victims on one machine, updated as the search goes on."""

    machine: Machine
    free: list[float]  # CPUs, GPUs and memory once all stopped tasks have ended
    stoppable: list[Victim]  # the cheapest last

    def cheapest_option(self, position: int, request: Resources) -> PreemptionOption | None:
        """Return the cheapest victims that make room for the request; None if none suffice."""
        free = list(self.free)
        victims: list[Victim] = []
        remaining_victims = list(self.stoppable)
        while any(free[n] + EPSILON < request[n] for n in range(3)):
            if not remaining_victims:
                return None
            victim = remaining_victims.pop()
            victims.append(victim)
            for n in range(3):
                free[n] += victim.binding.request[n]
        return PreemptionOption(sum(victim.lost_cpu_s for victim in victims), position, victims)

    def apply(self, option: PreemptionOption, request: Resources) -> None:
        """Remove the victims from the machine and place one task of the request there."""
        bindings = [victim.binding for victim in option.victims]
        for n in range(3):
            self.free[n] += sum(binding.request[n] for binding in bindings) - request[n]
        self.stoppable = [victim for victim in self.stoppable if victim.binding not in bindings]


@dataclass(slots=True)
class PreemptionPlan:
    """The victims to stop on each machine, and the number of tasks placed in their stead."""

    lost_cpu_s: float = 0.0
    placed: int = 0
    victims: dict[Machine, list[Binding]] = field(default_factory=dict)

    def add(self, machine: Machine, option: PreemptionOption) -> None:
        """Add one task, placed on the machine by stopping the option's victims."""
        self.victims.setdefault(machine, []).extend(victim.binding for victim in option.victims)
        self.lost_cpu_s += option.lost_cpu_s
        self.placed += 1


def machine_room(
    ledger: Ledger,
    job: Job,
    priority: int,
    machine: Machine,
    guaranteed_ids: set[str],
    now: float,
) -> MachineRoom:
    """Return the free capacity of a machine, and the victims that the job may stop there.

    Capacity of tasks that are being stopped already counts as free.
    """
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


def cheapest_plan(job: Job, rooms: list[MachineRoom], task_count: int) -> PreemptionPlan | None:
    """Return a plan for as many tasks as possible, choosing the cheapest victims first.

    None if no task can be placed, or not all members of a gang.
    """
    # After each task, the cost is recomputed only for the machine that takes it.
    options = [
        option
        for position, room in enumerate(rooms)
        if (option := room.cheapest_option(position, job.request)) is not None
    ]
    heapq.heapify(options)
    tasks_by_zone = task_counts_by_zone(job)
    plan = PreemptionPlan()
    while options and plan.placed < task_count:
        option = heapq.heappop(options)
        room = rooms[option.position]
        zone = room.machine.zone
        if not zone_allows_task(job, zone, tasks_by_zone):
            continue
        tasks_by_zone[zone] = tasks_by_zone.get(zone, 0) + 1
        room.apply(option, job.request)
        plan.add(room.machine, option)
        next_option = room.cheapest_option(option.position, job.request)
        if next_option is not None:
            heapq.heappush(options, next_option)
    if plan.placed == 0 or (job.gang and plan.placed < task_count):
        return None
    return plan
