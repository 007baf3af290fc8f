"""Room as a plan of the fleet sees it: what is free now, and what will be soon."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from salthead.cluster.estimates import left_s
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import BOOTING, UP, Job, Machine, MachineKind, Resources


class Slot:
    """A machine in the plan: one that is there, is booting, or would be provisioned."""

    __slots__ = ("kind", "room", "machine", "taken")

    def __init__(
        self, kind: MachineKind, room: list[float], machine: Machine | None = None
    ) -> None:
        self.kind = kind
        self.room = room
        self.machine = machine
        self.taken = False

    def fill(self, request: Resources, most: int) -> int:
        """Take as many tasks as fit, up to ``most``; how many that were."""
        room = self.room
        count = most
        for n in (0, 1, 2):  # the innermost loop of a plan
            if request[n] > 0:
                places = int((room[n] + 1e-6) // request[n])
                if places < count:
                    count = places
        if count <= 0:
            return 0
        self.taken = True
        for n in (0, 1, 2):
            room[n] -= count * request[n]
        return count


class Pool:
    """The plan's slots by kind. Slots that no task in sight fits into are dropped on the way."""

    def __init__(self, slots: list[Slot], least: float) -> None:
        self.least = least  # CPUs of the smallest task
        self.slots: dict[MachineKind, list[Slot]] = {}
        for slot in slots:
            self.add(slot)

    def add(self, slot: Slot) -> None:
        """Add a machine's room."""
        self.slots.setdefault(slot.kind, []).append(slot)

    def fill(self, kind: MachineKind, request: Resources, count: int) -> int:
        """Put tasks into the slots of one kind, in their order; how many found none."""
        slots = self.slots.get(kind)
        if slots is None:
            return count
        full = False
        for slot in slots:
            if not count:
                break
            count -= slot.fill(request, count)
            full = full or slot.room[0] + 1e-6 < self.least
        if full:
            self.slots[kind] = [s for s in slots if s.room[0] + 1e-6 >= self.least]
        return count

    def places(self, kind: MachineKind, request: Resources) -> int:
        """How many tasks fit into the slots of a kind."""
        return sum(
            min(
                (int((r + 1e-6) // n) for r, n in zip(slot.room, request, strict=True) if n > 0),
                default=0,
            )
            for slot in self.slots.get(kind, ())
        )


def price(ledger: Ledger, kind: MachineKind) -> float:
    """What a machine of a kind costs an hour."""
    machine_type = ledger.machine_types[kind.machine_type]
    if kind.spot and machine_type.spot_price is not None:
        return machine_type.spot_price
    return machine_type.rate


def per_machine(capacity: Resources, request: Resources) -> int:
    """How many tasks fit on an empty machine."""
    return int(min((c + 1e-6) // n for c, n in zip(capacity, request, strict=True) if n > 0))


def suits(job: Job, kind: MachineKind) -> bool:
    """Whether a job may run on machines of a kind."""
    return (
        (job.spec.spot or not kind.spot)
        and (job.allowed_types is None or kind.machine_type in job.allowed_types)
        and (job.zone is None or kind.zone == job.zone)
    )


def min_boot_s(ledger: Ledger) -> float:
    """The shortest boot of any machine type."""
    return min((machine_type.boot_s for machine_type in ledger.machine_types.values()), default=0.0)


@dataclass
class Supply:
    """Room that is free, or will be by the time that a new machine could be up."""

    slots: list[Slot] = field(default_factory=list)
    cpus: float = 0.0
    frees_in: float = 0.0  # CPU-seconds until all of it is free

    def mean_wait_s(self) -> float:
        """How long, on the average, until a CPU of it is free."""
        return self.frees_in / self.cpus if self.cpus > 0 else 0.0


def supply(ledger: Ledger, now: float, provisioning: dict[MachineKind, int]) -> Supply:
    """What there is, will soon be free, boots, or is being provisioned."""
    found = Supply()
    soon_s = 0.7 * min_boot_s(ledger)
    runs = {job.job_id: ledger.run_s(job) for job in ledger.ready_jobs.values()}
    for machine in ledger.machines.values():
        if not _counts(ledger, machine, now):
            continue
        if machine.phase == BOOTING:
            found.slots.append(Slot(machine.kind, list(machine.capacity), machine))
        elif machine.phase == UP:
            room = _room_soon(machine, runs, soon_s, found, now)
            found.slots.append(Slot(machine.kind, room, machine))
    for kind, count in provisioning.items():
        found.slots += [Slot(kind, list(ledger.capacity(kind.machine_type))) for _ in range(count)]
    return found


def _counts(ledger: Ledger, machine: Machine, now: float) -> bool:
    """Whether a machine is one on which anything may start in the time that a plan looks at."""
    if machine.quarantine_reason or machine.terminating or machine.reclaim_at is not None:
        return False
    if machine.unresponsive_since is not None:
        return False  # so that another is provisioned in its place
    # Behind a cut, its lease kept by another controller, it is no place to start anything.
    return (
        not machine.reconciled or now - machine.last_heartbeat_at <= ledger.limits.workers.lease_s
    )


def _room_soon(
    machine: Machine, runs: dict[str, float], soon_s: float, found: Supply, now: float
) -> list[float]:
    """What is free on a machine, and what will be soon; counted in the supply."""
    room = machine.free()
    found.cpus += room[0]
    for binding in machine.bindings.values():
        job = binding.job
        left = math.inf
        if binding.stop_grace_s is not None:
            left = 0.0
        elif job is not None and binding.started > 0.0:
            left = left_s(runs.get(job.job_id, math.inf), now - binding.started)
        if left <= soon_s:
            found.cpus += binding.request.cpus
            found.frees_in += left * binding.request.cpus
            for n in range(3):
                room[n] += binding.request[n]
    return room
