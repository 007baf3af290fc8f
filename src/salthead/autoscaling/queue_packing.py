"""Packing of the queue onto the fleet: which machines it uses, and which are missing."""

from __future__ import annotations

import math
from collections import defaultdict

from salthead.autoscaling.capacity_backoff import CapacityBackoff
from salthead.autoscaling.fleet_supply import Slot, SlotPool, hourly_price
from salthead.autoscaling.provision_limits import (
    max_provision,
    max_provision_per_plan,
    offered_kinds,
    provisionable_kinds,
)
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Job
from salthead.cluster.resources import EPSILON, MachineKind
from salthead.scheduling.eligibility import allowed_kinds, max_tasks_per_zone, task_counts_by_zone


class QueuePacking:
    """A packing of queued jobs, one by one, onto slots of the fleet and onto new slots."""

    def __init__(
        self,
        ledger: Ledger,
        capacity_backoff: CapacityBackoff,
        pool: SlotPool,
        span_s: float,
        now: float,
    ) -> None:
        """Start a packing that counts on slots to run tasks one after the other for ``span_s``."""
        self.ledger = ledger
        self.capacity_backoff = capacity_backoff
        self.pool = pool
        self.span_s = span_s
        self.now = now
        self.offered = offered_kinds(ledger)
        self.new_slots: list[Slot] = []
        self.remaining_quota: dict[int, list[float]] = {
            team: [limit[n] - ledger.allocated_by_team[team][n] for n in range(2)]
            for team, limit in enumerate(ledger.team_limits)
        }

    def provisions(self) -> dict[MachineKind, int]:
        """Return how many machines of each kind to provision, within the limits of one plan."""
        counts: dict[MachineKind, int] = defaultdict(int)
        for slot in self.new_slots:
            counts[slot.kind] += 1
        return {
            kind: min(count, max_provision(self.ledger, kind.zone))
            for kind, count in counts.items()
        }

    def add(self, job: Job, task_count: int) -> None:
        """Pack tasks of a job, as many as its team's quota allows at a time."""
        concurrent_tasks = self._reserve_quota(job, task_count)
        if not concurrent_tasks:
            return
        provisionable = provisionable_kinds(
            self.ledger, job, self.offered, self.capacity_backoff, self.now
        )
        usable = provisionable + self._unprovisionable_kinds(job, provisionable)
        if job.gang and job.spec.single_zone:
            zone = self._best_zone(job, usable, provisionable, concurrent_tasks)
            if zone is None:
                return
            usable = [kind for kind in usable if kind.zone == zone]
            provisionable = [kind for kind in provisionable if kind.zone == zone]
        if job.spec.spread_zones:
            self._fill_or_provision_by_zone(job, concurrent_tasks, usable, provisionable)
        else:
            self._fill_or_provision(job, concurrent_tasks, usable, provisionable)

    def _reserve_quota(self, job: Job, task_count: int) -> int:
        """Reserve the team's quota for tasks of a job, and return how many to pack."""
        left = self.remaining_quota[job.team]
        concurrent_tasks = task_count
        for n in range(2):
            if job.request[n] > 0:
                concurrent_tasks = min(
                    concurrent_tasks, max(0, math.floor((left[n] + EPSILON) / job.request[n]))
                )
        if job.gang:
            if concurrent_tasks < job.spec.task_count:
                return 0
        else:
            # Short tasks use the same part of a slot one after the other.
            run_s = self.ledger.run_s(job)
            concurrent_tasks = min(
                concurrent_tasks, math.ceil(concurrent_tasks * run_s / max(self.span_s, 1.0))
            )
        for n in range(2):
            left[n] -= concurrent_tasks * job.request[n]
        return concurrent_tasks

    def _unprovisionable_kinds(
        self, job: Job, provisionable: list[MachineKind]
    ) -> list[MachineKind]:
        """Return kinds in the pool that may not be provisioned now, cheapest first.

        They are filled after the kinds that may be provisioned, so that the most expensive machines
        become idle.
        """
        others = [kind for kind in allowed_kinds(job, self.pool.slots) if kind not in provisionable]
        return sorted(others, key=lambda kind: (self._price_or_inf(kind), kind))

    def _price_or_inf(self, kind: MachineKind) -> float:
        type_known = kind.machine_type in self.ledger.machine_types
        return hourly_price(self.ledger, kind) if type_known else math.inf

    def _best_zone(
        self,
        job: Job,
        usable: list[MachineKind],
        provisionable: list[MachineKind],
        concurrent_tasks: int,
    ) -> int | None:
        """Return the zone where the most tasks of a single-zone gang fit into existing slots.

        None if the gang fits into no zone's slots and no zone may provision more machines.
        """
        fitting_tasks: dict[int, int] = defaultdict(int)
        for kind in usable:
            fitting_tasks[kind.zone] += self.pool.places(kind, job.request)
        provisionable_zones = {kind.zone for kind in provisionable}
        zones = [
            z
            for z in fitting_tasks
            if fitting_tasks[z] >= concurrent_tasks or z in provisionable_zones
        ]
        return max(zones, key=lambda z: (min(fitting_tasks[z], concurrent_tasks), -z), default=None)

    def _fill_or_provision_by_zone(
        self,
        job: Job,
        concurrent_tasks: int,
        usable: list[MachineKind],
        provisionable: list[MachineKind],
    ) -> None:
        """Pack a job that is spread over zones.

        The cheapest kinds may all be in one zone, where only half of the job may run.
        """
        tasks_by_zone = task_counts_by_zone(job)
        for zone in dict.fromkeys(kind.zone for kind in usable):
            zone_tasks = max(
                0, min(concurrent_tasks, max_tasks_per_zone(job) - tasks_by_zone.get(zone, 0))
            )
            unplaced = self._fill_or_provision(
                job,
                zone_tasks,
                [kind for kind in usable if kind.zone == zone],
                [kind for kind in provisionable if kind.zone == zone],
            )
            concurrent_tasks -= zone_tasks - unplaced

    def _fill_or_provision(
        self,
        job: Job,
        unplaced: int,
        usable: list[MachineKind],
        provisionable: list[MachineKind],
    ) -> int:
        """Fill existing slots, then add new ones; return how many tasks are left over."""
        for kind in usable:
            if unplaced:
                unplaced = self.pool.fill(kind, job.request, unplaced)
        for kind in provisionable:
            zone_limit = max_provision(self.ledger, kind.zone)
            unplaced = self._add_slots(job, unplaced, kind, zone_limit)
            if not unplaced or zone_limit == max_provision_per_plan(self.ledger):
                break  # only the limit of a recovering zone makes the next kind necessary
        return unplaced

    def _add_slots(self, job: Job, unplaced: int, kind: MachineKind, max_slots: int) -> int:
        """Add slots of a kind for a job's tasks, and return how many tasks are left over.

        There are at most ``max_slots`` new slots of a kind, so that a queue of thousands of tasks
        does not create thousands of slots per plan when the leader is busiest.
        """
        capacity = self.ledger.machine_registry.capacity(kind.machine_type)
        count = sum([slot.kind == kind for slot in self.new_slots])
        while unplaced and count < max_slots:
            slot = Slot(kind, list(capacity))
            unplaced -= slot.fill(job.request, unplaced)
            self.new_slots.append(slot)
            self.pool.add(slot)
            count += 1
        return unplaced
