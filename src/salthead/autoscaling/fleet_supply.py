"""The supply side of a fleet plan: capacity that is free now or will be soon."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from salthead.cluster.estimates import remaining_run_s
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import BOOTING, UP, Machine
from salthead.cluster.resources import EPSILON, MachineKind, Resources

# Capacity of a task that should end within this share of the shortest boot time counts as free.
SOON_FREE_BOOTS = 0.7


class Slot:
    """A machine in the plan: an existing or booting one, or one that would be provisioned."""

    __slots__ = ("kind", "room", "machine", "used")

    def __init__(
        self, kind: MachineKind, room: list[float], machine: Machine | None = None
    ) -> None:
        self.kind = kind
        self.room = room
        self.machine = machine
        self.used = False

    def fill(self, request: Resources, task_count: int) -> int:
        """Add as many of the tasks as fit, and return how many."""
        room = self.room
        count = task_count
        for n in (0, 1, 2):  # the innermost loop of a plan
            if request[n] > 0:
                places = int((room[n] + EPSILON) // request[n])
                if places < count:
                    count = places
        if count <= 0:
            return 0
        self.used = True
        for n in (0, 1, 2):
            room[n] -= count * request[n]
        return count


class SlotPool:
    """The plan's slots by kind, without those that no task in the queue fits into any more."""

    def __init__(self, slots: list[Slot], min_cpus: float) -> None:
        self.min_cpus = min_cpus  # of the smallest task in the queue
        self.slots: dict[MachineKind, list[Slot]] = {}
        for slot in slots:
            self.add(slot)

    def add(self, slot: Slot) -> None:
        """Add a slot."""
        self.slots.setdefault(slot.kind, []).append(slot)

    def fill(self, kind: MachineKind, request: Resources, task_count: int) -> int:
        """Fill the slots of one kind in order, and return how many tasks are left over."""
        slots = self.slots.get(kind)
        if slots is None:
            return task_count
        unplaced = task_count
        any_full = False
        for slot in slots:
            if not unplaced:
                break
            unplaced -= slot.fill(request, unplaced)
            any_full = any_full or slot.room[0] + EPSILON < self.min_cpus
        if any_full:
            self.slots[kind] = [s for s in slots if s.room[0] + EPSILON >= self.min_cpus]
        return unplaced

    def places(self, kind: MachineKind, request: Resources) -> int:
        """Return how many tasks fit into the slots of a kind."""
        return sum(
            min(
                (int((r + EPSILON) // n) for r, n in zip(slot.room, request, strict=True) if n > 0),
                default=0,
            )
            for slot in self.slots.get(kind, ())
        )


def hourly_price(ledger: Ledger, kind: MachineKind) -> float:
    """Return the price of a machine of a kind per hour."""
    machine_type = ledger.machine_types[kind.machine_type]
    if kind.spot and machine_type.spot_price is not None:
        return machine_type.spot_price
    return machine_type.rate


def tasks_per_machine(capacity: Resources, request: Resources) -> int:
    """Return how many tasks fit on an empty machine."""
    return int(min((c + EPSILON) // n for c, n in zip(capacity, request, strict=True) if n > 0))


def min_boot_s(ledger: Ledger) -> float:
    """Return the shortest boot time of any machine type, in seconds."""
    return min((machine_type.boot_s for machine_type in ledger.machine_types.values()), default=0.0)


@dataclass
class Supply:
    """Capacity that is free, or will be before a new machine could have booted."""

    slots: list[Slot] = field(default_factory=list)
    cpus: float = 0.0
    wait_cpu_s: float = 0.0  # sum over its CPUs of the seconds until they are free

    def mean_wait_s(self) -> float:
        """Return the mean time until one of its CPUs is free, in seconds."""
        return self.wait_cpu_s / self.cpus if self.cpus > 0 else 0.0


def current_supply(ledger: Ledger, now: float, provisioning: dict[MachineKind, int]) -> Supply:
    """Return the capacity of machines that are up, booting or being provisioned."""
    supply = Supply()
    soon_free_within_s = SOON_FREE_BOOTS * min_boot_s(ledger)
    run_s_by_job = {job.job_id: ledger.run_s(job) for job in ledger.ready_jobs.values()}
    for machine in ledger.machines.values():
        if not _is_usable(ledger, machine, now):
            continue
        if machine.phase == BOOTING:
            supply.slots.append(Slot(machine.kind, list(machine.capacity), machine))
        elif machine.phase == UP:
            room = _expected_free_capacity(machine, run_s_by_job, soon_free_within_s, supply, now)
            supply.slots.append(Slot(machine.kind, room, machine))
    for kind, count in provisioning.items():
        supply.slots += [
            Slot(kind, list(ledger.machine_registry.capacity(kind.machine_type)))
            for _ in range(count)
        ]
    return supply


def _is_usable(ledger: Ledger, machine: Machine, now: float) -> bool:
    """Return whether tasks may start on a machine within the plan's horizon."""
    if machine.quarantine_reason or machine.terminating or machine.reclaim_at is not None:
        return False
    if machine.unresponsive_since is not None:
        return False  # so that a replacement is provisioned
    # No task can start on a machine behind a partition, even if another controller renews its
    # lease.
    return (
        not machine.reconciled or now - machine.last_heartbeat_at <= ledger.limits.workers.lease_s
    )


def _expected_free_capacity(
    machine: Machine,
    run_s_by_job: dict[str, float],
    soon_free_within_s: float,
    supply: Supply,
    now: float,
) -> list[float]:
    """Return the capacity of a machine that is or will soon be free, and add it to the totals."""
    room = machine.free()
    supply.cpus += room[0]
    for binding in machine.bindings.values():
        job = binding.job
        remaining_s = math.inf
        if binding.stop_grace_s is not None:
            remaining_s = 0.0
        elif job is not None and binding.started > 0.0:
            remaining_s = remaining_run_s(
                run_s_by_job.get(job.job_id, math.inf), now - binding.started
            )
        if remaining_s <= soon_free_within_s:
            supply.cpus += binding.request.cpus
            supply.wait_cpu_s += remaining_s * binding.request.cpus
            for n in range(3):
                room[n] += binding.request[n]
    return room
