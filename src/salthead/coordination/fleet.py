"""How many machines of which kind: what to hire, and what to return."""

from __future__ import annotations

import logging
import math
from collections import defaultdict
from dataclasses import dataclass, field

from salthead.coordination import order, placement
from salthead.coordination.estimates import left_s
from salthead.coordination.ledger import Ledger
from salthead.coordination.model import BOOTING, LOST, UP, Job, Kind, Machine, Vec

log = logging.getLogger("salthead.fleet")

# A deleted machine costs at least this long (protocol), so nothing shorter is worth a hire.
LEAST_CHARGE_S = 60.0
# A boot this many times longer than the cloud names is taken for one that never ends.
BOOT_PATIENCE = 2.5
# After a refusal the same kind is asked for again with doubling pauses.
REFUSED_S, REFUSED_MAX_S = 5.0, 40.0
HIRE_MOST = 50  # in one call
# In one plan: the least, and a part of the fleet. At 50 a plan, 2,000 of 4,000 machines were hired
# in 40 s; a part of what there is grows as fast as any fleet, and changes nothing below 500.
PLAN_HIRES_LEAST, PLAN_HIRES_PART = 50, 0.1
# A line longer than a boot counts once it has lasted for this part of a boot, while no more than
# this part of the fleet is still on its way.
LINE_BOOTS, LINE_BOOTING = 0.5, 0.25
# Up to this part of the roster, silence after a takeover is the machines' own fault.
SILENT_FEW = 0.15
# A machine that was not needed for this part of a boot is worth less than its rent: the second
# where all work within guarantees begins in time, so that less spare room would do as well.
SURPLUS_BOOTS, SURPLUS_BOOTS_SPARE = 1.0, 0.3


@dataclass
class Refusals:
    """Kinds of machines that the cloud refused lately."""

    until: dict[Kind, float] = field(default_factory=dict)
    pause: dict[Kind, float] = field(default_factory=dict)

    def refused(self, kind: Kind, now: float) -> None:
        pause = min(REFUSED_MAX_S, self.pause.get(kind, REFUSED_S / 2) * 2)
        self.pause[kind] = pause
        self.until[kind] = now + pause

    def granted(self, kind: Kind) -> None:
        self.pause.pop(kind, None)
        self.until.pop(kind, None)

    def open(self, kind: Kind, now: float) -> bool:
        return now >= self.until.get(kind, -math.inf)


class Slot:
    """A machine in the plan: one that is there, is booting, or would be hired."""

    __slots__ = ("kind", "room", "machine", "taken")

    def __init__(self, kind: Kind, room: list[float], machine: Machine | None = None) -> None:
        self.kind = kind
        self.room = room
        self.machine = machine
        self.taken = False

    def fill(self, need: Vec, most: int) -> int:
        """Take as many tasks as fit, up to ``most``; how many that were."""
        room = self.room
        count = most
        for n in (0, 1, 2):  # the innermost loop of a plan
            if need[n] > 0:
                places = int((room[n] + 1e-6) // need[n])
                if places < count:
                    count = places
        if count <= 0:
            return 0
        self.taken = True
        for n in (0, 1, 2):
            room[n] -= count * need[n]
        return count


class Pool:
    """The plan's slots by kind. Slots that no task in sight fits into are dropped on the way."""

    def __init__(self, slots: list[Slot], least: float) -> None:
        self.least = least  # CPUs of the smallest task
        self.slots: dict[Kind, list[Slot]] = {}
        for slot in slots:
            self.add(slot)

    def add(self, slot: Slot) -> None:
        self.slots.setdefault(slot.kind, []).append(slot)

    def fill(self, kind: Kind, need: Vec, count: int) -> int:
        """Put tasks into the slots of one kind, in their order; how many found none."""
        slots = self.slots.get(kind)
        if slots is None:
            return count
        full = False
        for slot in slots:
            if not count:
                break
            count -= slot.fill(need, count)
            full = full or slot.room[0] + 1e-6 < self.least
        if full:
            self.slots[kind] = [s for s in slots if s.room[0] + 1e-6 >= self.least]
        return count

    def places(self, kind: Kind, need: Vec) -> int:
        return sum(
            min(
                (int((r + 1e-6) // n) for r, n in zip(slot.room, need, strict=True) if n > 0),
                default=0,
            )
            for slot in self.slots.get(kind, ())
        )


@dataclass
class Plan:
    hires: dict[Kind, int] = field(default_factory=dict)
    returns: list[Machine] = field(default_factory=list)


def price(ledger: Ledger, kind: Kind) -> float:
    machine_type = ledger.machine_types[kind[0]]
    if kind[2] and machine_type.spot_price is not None:
        return machine_type.spot_price
    return machine_type.rate


def per_machine(cap: Vec, need: Vec) -> int:
    return int(min((c + 1e-6) // n for c, n in zip(cap, need, strict=True) if n > 0))


def kinds_for(ledger: Ledger, job: Job, refusals: Refusals, now: float) -> list[Kind]:
    """Kinds that suit the job, the cheapest place for one of its tasks first.

    Types that are the only ones for another class come last: their number is limited, and small
    tasks on them would keep that class waiting.
    """
    found: list[tuple[bool, float, Kind]] = []
    for type_index, machine_type in ledger.machine_types.items():
        if job.allowed_types is not None and type_index not in job.allowed_types:
            continue
        fit = per_machine(ledger.capacity(type_index), job.need)
        if fit < 1:
            continue
        for name in machine_type.zones:
            zone = ledger.zones.intern(name)
            if job.zone is not None and zone != job.zone:
                continue
            for spot in (False, True):
                if spot and (not job.spec.spot or machine_type.spot_price is None):
                    continue
                kind = (type_index, zone, spot)
                if refusals.open(kind, now) and hire_most(ledger, zone) > 0:
                    last = type_index in ledger.scarce and not job.choosy
                    found.append((last, price(ledger, kind) / fit, kind))
    found.sort()
    return [kind for _, _, kind in found]


def plan_hires_most(ledger: Ledger) -> int:
    """How many machines of a kind one plan may hire."""
    return max(PLAN_HIRES_LEAST, int(PLAN_HIRES_PART * len(ledger.machines)))


def hire_most(ledger: Ledger, zone: int) -> int:
    """How many machines of a kind may be hired in a zone by one plan."""
    hooks = ledger.zone_hooks
    bound = hooks.hire_most(zone) if hooks is not None else None
    most = plan_hires_most(ledger)
    return most if bound is None else min(most, bound)


def least_boot_s(ledger: Ledger) -> float:
    return min((machine_type.boot_s for machine_type in ledger.machine_types.values()), default=0.0)


def horizon(ledger: Ledger, line: list[Job], now: float) -> float:
    """Work that the fleet gets to before a new machine would be up needs no new machine.

    Nor is one worth its least charge for less work than that, unless the line stays longer than a
    boot. Seen on loss, moana-buoys-fleet: 12,000 tasks waited for up to a minute, with deadlines of
    fifty seconds, beside 1,700 CPUs that were not hired.
    """
    boot_s = least_boot_s(ledger)
    work = sum(job.waiting() * job.need[0] * ledger.run_s(job) for job in line if not job.gang)
    rate = order.rate_of(ledger)
    booting = sum([m.cap[0] for m in ledger.machines.values() if m.phase == BOOTING])
    # One array that comes, or a fleet that begins to boot, has a long line, too: what is hired for
    # that comes too late, and what is then too much was given back too deep.
    if work <= boot_s * rate or booting > LINE_BOOTING * rate:
        ledger.long_line_since = None
        return max(LEAST_CHARGE_S, boot_s)
    if ledger.long_line_since is None:
        ledger.long_line_since = now
    lasts = now - ledger.long_line_since >= LINE_BOOTS * boot_s
    return boot_s if lasts else max(LEAST_CHARGE_S, boot_s)


@dataclass
class Supply:
    """Room that is free, or will be by the time that a new machine could be up."""

    slots: list[Slot] = field(default_factory=list)
    cpus: float = 0.0
    frees_in: float = 0.0  # CPU-seconds until all of it is free

    def mean_wait_s(self) -> float:
        """How long, on the average, until a CPU of it is free."""
        return self.frees_in / self.cpus if self.cpus > 0 else 0.0


def supply(ledger: Ledger, now: float, coming: dict[Kind, int]) -> Supply:
    """What there is, will soon be free, boots, or is being hired."""
    found = Supply()
    slots = found.slots
    soon_s = 0.7 * least_boot_s(ledger)
    runs = {job.job_id: ledger.run_s(job) for job in ledger.live.values()}
    for machine in ledger.machines.values():
        if machine.condemned or machine.returning or machine.warn_at is not None:
            continue
        if machine.unresponsive_since is not None:
            continue  # so that another is hired in its place
        if machine.joined and now - machine.heard > ledger.limits.workers.lease_s:
            continue  # behind a cut, its lease kept by another node: no place to start anything
        if machine.phase == BOOTING:
            slots.append(Slot(machine.kind, list(machine.cap), machine))
        elif machine.phase == UP:
            room = list(machine.room())
            found.cpus += room[0]
            for binding in machine.bindings.values():
                job = binding.job
                left = math.inf
                if binding.stop is not None:
                    left = 0.0
                elif job is not None and binding.started > 0.0:
                    left = left_s(runs.get(job.job_id, math.inf), now - binding.started)
                if left <= soon_s:
                    found.cpus += binding.need[0]
                    found.frees_in += left * binding.need[0]
                    for n in range(3):
                        room[n] += binding.need[n]
            slots.append(Slot(machine.kind, room, machine))
    for kind, count in coming.items():
        slots += [Slot(kind, list(ledger.capacity(kind[0]))) for _ in range(count)]
    return found


def suits(job: Job, kind: Kind) -> bool:
    return (
        (job.spec.spot or not kind[2])
        and (job.allowed_types is None or kind[0] in job.allowed_types)
        and (job.zone is None or kind[1] == job.zone)
    )


def plan(
    ledger: Ledger,
    now: float,
    refusals: Refusals,
    coming: dict[Kind, int],
) -> Plan:
    """The difference between the fleet that the queue wants and the one that is there."""
    result = Plan()
    if not ledger.machine_types:
        return result
    slots: list[Slot] = []
    new: list[Slot] = []
    if ledger.ready:
        left: dict[int, list[float]] = {
            team: [most[n] - ledger.usage[team][n] for n in range(2)]
            for team, most in enumerate(ledger.caps)
        }
        within = placement.entitled(ledger)
        line = placement.queue(ledger, within, now)
        span = horizon(ledger, line, now)
        soon = soon_ready(ledger, now)
        if line or soon:  # with nothing to place, free room need not be known
            there = supply(ledger, now, coming)
            slots = there.slots
            # A place that is still taken serves the line for what is left of the span. Counted as
            # free at once, a fleet of short tasks looked large enough for a line half as long again.
            span = max(1.0, span - there.mean_wait_s())
        pool = Pool(slots, min((job.need[0] for job in [*line, *soon]), default=0.0))
        for job in line:
            _provide(ledger, job, job.waiting(), pool, new, left[job.team], span, refusals, now)
        for job in soon:
            count = job.spec.task_count
            _provide(ledger, job, count, pool, new, left[job.team], span, refusals, now)
    counts: dict[Kind, int] = defaultdict(int)
    for slot in new:
        counts[slot.kind] += 1
    result.hires = {kind: min(count, hire_most(ledger, kind[1])) for kind, count in counts.items()}
    needed = {slot.machine.name for slot in slots if slot.machine is not None and slot.taken}
    if ledger.ready:
        mark_surplus(ledger, needed, now)
    counted = Counted(ledger, now)
    result.returns = [
        machine
        for machine in ledger.machines.values()
        if not machine.returning and wanted_back(ledger, machine, needed, counted, now)
    ]
    return result


def soon_ready(ledger: Ledger, now: float) -> list[Job]:
    """Jobs that will wait for nothing more by the time that a new machine could be up."""
    boot_s = least_boot_s(ledger)
    found = []
    for job_ids in ledger.pipelines.job_classes.values():
        for job_id in job_ids:
            before = [ledger.live.get(other) for other in ledger.pipelines.nodes[job_id].open]
            if all(
                other is not None and not other.waiting() and end_s(ledger, other, now) <= boot_s
                for other in before
            ):
                found.append(ledger.jobs[job_id])
    return found


def end_s(ledger: Ledger, job: Job, now: float) -> float:
    """How long the last of a job's tasks should go on, all of which have a machine."""
    run_s = ledger.run_s(job)
    return max(
        (
            left_s(run_s, now - binding.started) if binding.started else run_s
            for binding in job.bindings.values()
        ),
        default=0.0,
    )


def mark_surplus(ledger: Ledger, needed: set[str], now: float) -> None:
    """Cordon machines without which all that runs and waits would have fitted for a while.

    The pair draw spreads tasks over all machines, so that none is ever idle for long and a
    fleet that was hired for a peak would stay. Tasks are packed, in thought, on the cheapest
    machines; a machine that stays untouched takes no more tasks and is returned once empty.
    """
    up = [
        m
        for m in ledger.machines.values()
        if m.phase == UP and not m.condemned and not m.returning and m.warn_at is None
    ]
    up = [m for m in up if m.machine_type in ledger.machine_types]
    costs = {
        kind: price(ledger, kind) / max(ledger.capacity(kind[0])[0], 1e-9)
        for kind in {m.kind for m in up}
    }
    up.sort(key=lambda m: (costs[m.kind], m.name))
    slots = [Slot(m.kind, list(m.cap), m) for m in up]
    cheapest = sorted(costs, key=lambda kind: (costs[kind], kind))
    # The largest first, and of these the ones that suit the fewest kinds of machines.
    rows = []
    for job in ledger.live.values():
        count = sum(1 for binding in job.bindings.values() if binding.stop is None)
        if count and not job.complete:
            rows.append((job, count))
    rows.sort(key=lambda row: (-row[0].need[0], row[0].spec.spot, row[0].need[2]))
    pool = Pool(slots, min((job.need[0] for job, _ in rows), default=0.0))
    for job, count in rows:
        for kind in cheapest:
            if suits(job, kind):
                count = pool.fill(kind, job.need, count)
                if not count:
                    break
    # Spare room is for jobs to come.
    spare = 1.0 if ledger.arrivals.stopped(now) else ledger.prompt.spare()
    patience = SURPLUS_BOOTS - spare * (SURPLUS_BOOTS - SURPLUS_BOOTS_SPARE)
    for slot in slots:
        machine = slot.machine
        assert machine is not None
        if slot.taken or machine.name in needed or now < machine.held_until:
            machine.surplus_since = None
            machine.cordoned = False
        elif machine.surplus_since is None:
            machine.surplus_since = now
        elif not machine.cordoned and now - machine.surplus_since > (
            patience * ledger.machine_types[machine.machine_type].boot_s
        ):
            machine.cordoned = True
            log.info("machine %s is not needed: cordoned", machine.name)


class Counted:
    """What a plan counts once over the fleet: for each machine anew, a takeover in which half of
    a thousand are silent took a million steps a plan."""

    def __init__(self, ledger: Ledger, now: float) -> None:
        most = max(1.0, SILENT_FEW * sum(1 for m in ledger.machines.values() if m.rostered))
        # Whether so many machines are lost at once that a cut is likelier than their deaths. They
        # are up behind the cut, with no tasks left; waiting for them for as long as a boot takes
        # is cheaper than to return them and boot as many.
        self.lost_many = sum(1 for m in ledger.machines.values() if m.phase == LOST) > most
        # Silent machines to return rather than wait for their leases to end. After a takeover one
        # dead or hanging machine holds up every start for a whole lease. The cloud's word that it
        # is gone settles that at the price of one boot. Many silent machines are a cut, not
        # broken machines, and are waited for.
        self.silent_few: set[str] = set()
        if not ledger.ready and now - ledger.took_over > 1.0 + ledger.limits.workers.report_s:
            silent = ledger.unheard()
            if len(silent) <= most:
                self.silent_few = {machine.name for machine in silent}


def wanted_back(
    ledger: Ledger,
    machine: Machine,
    needed: set[str],
    counted: Counted,
    now: float,
) -> str:
    """Why the machine should be returned now; empty when it should not."""
    if machine.phase == LOST:
        machine_type = ledger.machine_types.get(machine.machine_type)
        if not counted.lost_many or machine_type is None:
            return "lost"
        return "" if now - machine.lost_at < machine_type.boot_s else "lost"
    if (
        machine.phase == UP
        and machine.joined
        and (machine.answered - machine.heard > ledger.limits.workers.lease_s)
    ):
        # Copies alone, or a worker that began to count anew: nothing that it says is news, and
        # each answer puts off the end of its lease. The cloud's word ends that.
        return "only old reports"
    if machine.name in counted.silent_few:
        return "silent after a takeover"
    if machine.condemned:
        return machine.condemned if not machine.busy() else ""
    if machine.phase == BOOTING:
        machine_type = ledger.machine_types.get(machine.machine_type)
        boot_s = machine_type.boot_s if machine_type else LEAST_CHARGE_S
        if now - ledger.took_over < ledger.limits.workers.lease_s:
            return ""  # it may be up and not have found this leader yet
        return "never came up" if now - machine.hired_at > BOOT_PATIENCE * boot_s + 10.0 else ""
    if machine.busy() or not ledger.ready:
        return ""
    if machine.unresponsive_since is not None and now - machine.unresponsive_since > (
        ledger.limits.workers.lease_s
    ):
        return "unresponsive"
    if machine.warn_at is not None:
        return "taken soon"
    if machine.name in needed or (machine.held_for and now < machine.held_until):
        return ""
    return "not needed" if machine.cordoned else ""


def _provide(
    ledger: Ledger,
    job: Job,
    count: int,
    pool: Pool,
    new: list[Slot],
    left: list[float],
    span: float,
    refusals: Refusals,
    now: float,
) -> None:
    for n in range(2):
        if job.need[n] > 0:
            count = min(count, max(0, math.floor((left[n] + 1e-6) / job.need[n])))
    if job.gang:
        if count < job.spec.task_count:
            return
    else:
        # Short tasks share a place one after the other.
        count = min(
            count,
            math.ceil(count * ledger.run_s(job) / max(span, 1.0)),
        )
    for n in range(2):
        left[n] -= count * job.need[n]
    hirable = kinds_for(ledger, job, refusals, now)
    # What would be hired first is filled first, so that it is what is dear that falls empty.
    there = hirable + sorted(
        (kind for kind in pool.slots if kind not in hirable and suits(job, kind)),
        key=lambda kind: (
            price(ledger, kind) if kind[0] in ledger.machine_types else math.inf,
            kind,
        ),
    )
    if job.gang and job.spec.single_zone:
        zone = _best_zone(job, pool, there, hirable, count)
        if zone is None:
            return
        there = [kind for kind in there if kind[1] == zone]
        hirable = [kind for kind in hirable if kind[1] == zone]
    if not job.spec.spread_zones:
        _fill_or_hire(ledger, job, count, there, hirable, pool, new)
        return
    # The cheapest kinds alone would all be in one zone, where half of the job may not be.
    most, counts = (job.spec.task_count + 1) // 2, placement.zone_counts(job)
    for zone in dict.fromkeys(kind[1] for kind in there):
        part = max(0, min(count, most - counts.get(zone, 0)))
        here = [kind for kind in there if kind[1] == zone]
        hirable_here = [kind for kind in hirable if kind[1] == zone]
        count -= part - _fill_or_hire(ledger, job, part, here, hirable_here, pool, new)


def _fill_or_hire(
    ledger: Ledger,
    job: Job,
    count: int,
    there: list[Kind],
    hirable: list[Kind],
    pool: Pool,
    new: list[Slot],
) -> int:
    """Put a job's tasks on what there is, and plan hires for the rest; how many found no place."""
    for kind in there:
        if count:
            count = pool.fill(kind, job.need, count)
    for kind in hirable:
        most = hire_most(ledger, kind[1])
        count = _plan_hires(ledger, job, count, kind, most, pool, new)
        if not count or most == plan_hires_most(ledger):
            break  # the next kind is for what a zone that returns may not hire yet
    return count


def _plan_hires(
    ledger: Ledger, job: Job, count: int, kind: Kind, most: int, pool: Pool, new: list[Slot]
) -> int:
    """Add machines of a kind for a job's tasks; how many tasks are left.

    No more than ``most`` are hired at a time: a line of thousands of tasks must not make thousands
    of slots in each plan, when the leader has the least time for it.
    """
    capacity = ledger.capacity(kind[0])
    planned = sum([slot.kind == kind for slot in new])
    while count and planned < most:
        slot = Slot(kind, list(capacity))
        count -= slot.fill(job.need, count)
        new.append(slot)
        pool.add(slot)
        planned += 1
    return count


def _best_zone(
    job: Job,
    pool: Pool,
    there: list[Kind],
    hirable: list[Kind],
    count: int,
) -> int | None:
    """The zone in which a gang that must stay together lacks the fewest machines."""
    have: dict[int, int] = defaultdict(int)
    for kind in there:
        have[kind[1]] += pool.places(kind, job.need)
    can_hire = {kind[1] for kind in hirable}
    usable = [z for z in have if have[z] >= count or z in can_hire]
    return max(usable, key=lambda z: (min(have[z], count), -z), default=None)
