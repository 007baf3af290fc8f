"""The cheapest stops that make room for a job's tasks, machine by machine."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import NamedTuple

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Binding, Job, Machine
from salthead.cluster.resources import EPSILON, Resources
from salthead.scheduling.eligibility import zone_counts, zone_open
from salthead.scheduling.preemption_rules import lost_cpu_s, may_preempt

# From the stop of a task to the next start on its machine, in heartbeat intervals.
RESTART_HEARTBEAT_INTERVALS = 2.0


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


def machine_room(
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


def cheapest_plan(job: Job, rooms: list[MachineRoom], task_count: int) -> PreemptionPlan | None:
    """Room for as many tasks as possible, the cheapest stops first; None for an incomplete gang."""
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
