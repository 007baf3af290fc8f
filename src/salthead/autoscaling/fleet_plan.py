"""How many machines of which kind: what to provision, and what to return."""

from __future__ import annotations

import logging
import math
from collections import defaultdict
from dataclasses import dataclass, field

from salthead.autoscaling.capacity_backoff import CapacityBackoff
from salthead.autoscaling.fleet_supply import (
    Pool,
    Slot,
    min_boot_s,
    per_machine,
    price,
    suits,
    supply,
)
from salthead.autoscaling.scale_in import (
    MIN_CHARGE_S,
    FleetCounts,
    cordon_surplus,
    termination_reason,
)
from salthead.cluster.estimates import left_s
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import BOOTING, Job, Machine, MachineKind, machine_kind
from salthead.scheduling import eligibility, guarantees, pending_queue, queue_order

log = logging.getLogger(__name__)

MAX_PROVISION_BATCH = 50  # in one call
# In one plan, of a kind: the least, and a part of the fleet, so that a fleet of any size can grow.
# Up to 500 machines the least is what counts.
MIN_PROVISION_PER_PLAN, PROVISION_SHARE_PER_PLAN = 50, 0.1
# A line longer than a boot counts once it has lasted for this part of a boot, while no more than
# this part of the fleet is still on its way.
BACKLOG_BOOTS, MAX_BOOTING_SHARE = 0.5, 0.25


@dataclass
class Plan:
    """What to provision, by kind, and which machines to return."""

    to_provision: dict[MachineKind, int] = field(default_factory=dict)
    to_terminate: list[Machine] = field(default_factory=list)
    reasons: dict[str, str] = field(default_factory=dict)  # of the returns, by machine


def kinds_for(
    ledger: Ledger, job: Job, capacity_backoff: CapacityBackoff, now: float
) -> list[MachineKind]:
    """Kinds that suit the job, the cheapest place for one of its tasks first.

    Types that are the only ones for another class come last: their number is limited, and small
    tasks on them would keep that class waiting.
    """
    found: list[tuple[bool, float, MachineKind]] = []
    for type_index, machine_type in ledger.machine_types.items():
        if job.allowed_types is not None and type_index not in job.allowed_types:
            continue
        fit = per_machine(ledger.capacity(type_index), job.request)
        if fit < 1:
            continue
        for name in machine_type.zones:
            zone = ledger.zones.intern(name)
            if job.zone is not None and zone != job.zone:
                continue
            for spot in (False, True):
                if spot and (not job.spec.spot or machine_type.spot_price is None):
                    continue
                kind = machine_kind(type_index, zone, spot)
                if capacity_backoff.allows(kind, now) and max_provision(ledger, zone) > 0:
                    last = type_index in ledger.scarce and not job.constrained
                    found.append((last, price(ledger, kind) / fit, kind))
    found.sort()
    return [kind for _, _, kind in found]


def max_provision_per_plan(ledger: Ledger) -> int:
    """How many machines of a kind one plan may provision."""
    return max(MIN_PROVISION_PER_PLAN, int(PROVISION_SHARE_PER_PLAN * len(ledger.machines)))


def max_provision(ledger: Ledger, zone: int) -> int:
    """How many machines of a kind may be provisioned in a zone by one plan."""
    if ledger.shared_silence is not None and zone in ledger.shared_silence.unheard_zones:
        return 0  # a machine that boots behind a cut serves nobody
    hooks = ledger.zone_hooks
    bound = hooks.max_provision(zone) if hooks is not None else None
    most = max_provision_per_plan(ledger)
    return most if bound is None else min(most, bound)


def serving_span_s(ledger: Ledger, line: list[Job], now: float) -> float:
    """Work that the fleet gets to before a new machine would be up needs no new machine.

    Nor is one worth its least charge for less work than that, unless the line stays longer than a
    boot. Seen on loss, moana-buoys-fleet: 12,000 tasks waited for up to a minute, with deadlines of
    fifty seconds, beside 1,700 CPUs that were not provisioned.
    """
    boot_s = min_boot_s(ledger)
    work = sum(job.waiting() * job.request.cpus * ledger.run_s(job) for job in line if not job.gang)
    rate = queue_order.fleet_cpus(ledger)
    booting = sum([m.capacity.cpus for m in ledger.machines.values() if m.phase == BOOTING])
    # One array that comes, or a fleet that begins to boot, has a long line, too: what is
    # provisioned for that comes too late, and what is then too much was given back too deep.
    if work <= boot_s * rate or booting > MAX_BOOTING_SHARE * rate:
        ledger.pending.long_since = None
        return max(MIN_CHARGE_S, boot_s)
    if ledger.pending.long_since is None:
        ledger.pending.long_since = now
    lasts = now - ledger.pending.long_since >= BACKLOG_BOOTS * boot_s
    return boot_s if lasts else max(MIN_CHARGE_S, boot_s)


def plan(
    ledger: Ledger,
    now: float,
    capacity_backoff: CapacityBackoff,
    provisioning: dict[MachineKind, int],
) -> Plan:
    """The difference between the fleet that the queue wants and the one that is there."""
    result = Plan()
    if not ledger.machine_types:
        return result
    if ledger.shared_silence is not None:
        ledger.shared_silence.look(now)
    slots: list[Slot] = []
    new: list[Slot] = []
    if ledger.ready:
        slots, new = _provide_for_line(ledger, now, capacity_backoff, provisioning)
    counts: dict[MachineKind, int] = defaultdict(int)
    for slot in new:
        counts[slot.kind] += 1
    result.to_provision = {
        kind: min(count, max_provision(ledger, kind.zone)) for kind, count in counts.items()
    }
    needed = {slot.machine.name for slot in slots if slot.machine is not None and slot.taken}
    if ledger.ready:
        cordon_surplus(ledger, needed, now)
    counted = FleetCounts(ledger, now)
    for machine in ledger.machines.values():
        if machine.terminating:
            continue
        if reason := termination_reason(ledger, machine, needed, counted, now):
            result.to_terminate.append(machine)
            result.reasons[machine.name] = reason
    return result


def _provide_for_line(
    ledger: Ledger,
    now: float,
    capacity_backoff: CapacityBackoff,
    provisioning: dict[MachineKind, int],
) -> tuple[list[Slot], list[Slot]]:
    """What there is, filled with those in line, and the machines that they lack."""
    slots: list[Slot] = []
    new: list[Slot] = []
    left: dict[int, list[float]] = {
        team: [most[n] - ledger.usage[team][n] for n in range(2)]
        for team, most in enumerate(ledger.team_limits)
    }
    line = pending_queue.pending_jobs(ledger, guarantees.guaranteed_job_ids(ledger), now)
    span = serving_span_s(ledger, line, now)
    soon = soon_ready(ledger, now)
    if line or soon:  # with nothing to place, free room need not be known
        there = supply(ledger, now, provisioning)
        slots = there.slots
        # A place that is still taken serves the line for what is left of the span. Counted as
        # free at once, a fleet of short tasks looked large enough for too long a line.
        span = max(1.0, span - there.mean_wait_s())
    pool = Pool(slots, min((job.request.cpus for job in [*line, *soon]), default=0.0))
    for job in line:
        _provide(ledger, job, job.waiting(), pool, new, left[job.team], span, capacity_backoff, now)
    for job in soon:
        count = job.spec.task_count
        _provide(ledger, job, count, pool, new, left[job.team], span, capacity_backoff, now)
    return slots, new


def soon_ready(ledger: Ledger, now: float) -> list[Job]:
    """Jobs that will wait for nothing more by the time that a new machine could be up."""
    boot_s = min_boot_s(ledger)
    found = []
    for job_ids in ledger.dependency_graph.job_classes.values():
        for job_id in job_ids:
            before = [
                ledger.ready_jobs.get(other)
                for other in ledger.dependency_graph.nodes[job_id].unfinished
            ]
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


def _provide(
    ledger: Ledger,
    job: Job,
    count: int,
    pool: Pool,
    new: list[Slot],
    left: list[float],
    span: float,
    capacity_backoff: CapacityBackoff,
    now: float,
) -> None:
    for n in range(2):
        if job.request[n] > 0:
            count = min(count, max(0, math.floor((left[n] + 1e-6) / job.request[n])))
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
        left[n] -= count * job.request[n]
    provisionable = kinds_for(ledger, job, capacity_backoff, now)
    # What would be provisioned first is filled first, so that it is what is dear that falls empty.
    there = provisionable + sorted(
        (kind for kind in pool.slots if kind not in provisionable and suits(job, kind)),
        key=lambda kind: (
            price(ledger, kind) if kind.machine_type in ledger.machine_types else math.inf,
            kind,
        ),
    )
    if job.gang and job.spec.single_zone:
        zone = _best_zone(job, pool, there, provisionable, count)
        if zone is None:
            return
        there = [kind for kind in there if kind.zone == zone]
        provisionable = [kind for kind in provisionable if kind.zone == zone]
    if not job.spec.spread_zones:
        _fill_or_provision(ledger, job, count, there, provisionable, pool, new)
        return
    # The cheapest kinds alone would all be in one zone, where half of the job may not be.
    most, counts = (job.spec.task_count + 1) // 2, eligibility.zone_counts(job)
    for zone in dict.fromkeys(kind.zone for kind in there):
        part = max(0, min(count, most - counts.get(zone, 0)))
        here = [kind for kind in there if kind.zone == zone]
        provisionable_here = [kind for kind in provisionable if kind.zone == zone]
        count -= part - _fill_or_provision(ledger, job, part, here, provisionable_here, pool, new)


def _fill_or_provision(
    ledger: Ledger,
    job: Job,
    count: int,
    there: list[MachineKind],
    provisionable: list[MachineKind],
    pool: Pool,
    new: list[Slot],
) -> int:
    """Put a job's tasks on what there is, and plan provisions for the rest; how many found no
    place."""
    for kind in there:
        if count:
            count = pool.fill(kind, job.request, count)
    for kind in provisionable:
        most = max_provision(ledger, kind.zone)
        count = _plan_provisioning(ledger, job, count, kind, most, pool, new)
        if not count or most == max_provision_per_plan(ledger):
            break  # the next kind is for what a zone that returns may not provision yet
    return count


def _plan_provisioning(
    ledger: Ledger, job: Job, count: int, kind: MachineKind, most: int, pool: Pool, new: list[Slot]
) -> int:
    """Add machines of a kind for a job's tasks; how many tasks are left.

    No more than ``most`` are provisioned at a time: a line of thousands of tasks must not make
    thousands of slots in each plan, when the leader has the least time for it.
    """
    capacity = ledger.capacity(kind.machine_type)
    planned = sum([slot.kind == kind for slot in new])
    while count and planned < most:
        slot = Slot(kind, list(capacity))
        count -= slot.fill(job.request, count)
        new.append(slot)
        pool.add(slot)
        planned += 1
    return count


def _best_zone(
    job: Job,
    pool: Pool,
    there: list[MachineKind],
    provisionable: list[MachineKind],
    count: int,
) -> int | None:
    """The zone in which a gang that must stay together lacks the fewest machines."""
    have: dict[int, int] = defaultdict(int)
    for kind in there:
        have[kind.zone] += pool.places(kind, job.request)
    provisionable_zones = {kind.zone for kind in provisionable}
    usable = [z for z in have if have[z] >= count or z in provisionable_zones]
    return max(usable, key=lambda z: (min(have[z], count), -z), default=None)
