"""Limits on provisioning: which kinds of machines, and how many of each per plan."""

from __future__ import annotations

from salthead.autoscaling.capacity_backoff import CapacityBackoff
from salthead.autoscaling.fleet_supply import hourly_price, tasks_per_machine
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Job
from salthead.cluster.resources import MachineKind, machine_kind
from salthead.scheduling.eligibility import allowed_kinds

# One plan may provision this many machines of a kind, or this share of the fleet if that is more,
# so that large fleets can grow as well. The share takes effect above 500 machines.
MIN_PROVISION_PER_PLAN, PROVISION_SHARE_PER_PLAN = 50, 0.1


def max_provision_per_plan(ledger: Ledger) -> int:
    """Return how many machines of a kind one plan may provision in a healthy zone."""
    return max(MIN_PROVISION_PER_PLAN, int(PROVISION_SHARE_PER_PLAN * len(ledger.machines)))


def max_provision(ledger: Ledger, zone: int) -> int:
    """Return how many machines of a kind one plan may provision in the zone."""
    if ledger.shared_silence is not None and zone in ledger.shared_silence.silent_zones:
        return 0  # a machine that boots behind a partition is of no use
    hooks = ledger.zone_hooks
    zone_limit = hooks.max_provision(zone) if hooks is not None else None
    plan_limit = max_provision_per_plan(ledger)
    return plan_limit if zone_limit is None else min(plan_limit, zone_limit)


def offered_kinds(ledger: Ledger) -> list[MachineKind]:
    """Return all kinds of machines that the cloud offers."""
    return [
        machine_kind(type_index, ledger.zones.intern(zone), spot)
        for type_index, machine_type in ledger.machine_types.items()
        for zone in machine_type.zones
        for spot in (False, True)
        if not spot or machine_type.spot_price is not None
    ]


def provisionable_kinds(
    ledger: Ledger,
    job: Job,
    offered: list[MachineKind],
    capacity_backoff: CapacityBackoff,
    now: float,
) -> list[MachineKind]:
    """Return the offered kinds that may be provisioned for the job, cheapest per task first.

    Scarce types come last: their number is limited, and small tasks on them would delay the jobs
    that fit on no other type.
    """
    tasks_by_type: dict[int, int] = {}
    candidates: list[tuple[bool, float, MachineKind]] = []
    for kind in allowed_kinds(job, offered):
        if kind.machine_type not in tasks_by_type:
            capacity = ledger.machine_registry.capacity(kind.machine_type)
            tasks_by_type[kind.machine_type] = tasks_per_machine(capacity, job.request)
        tasks = tasks_by_type[kind.machine_type]
        if tasks < 1:
            continue
        if capacity_backoff.allows(kind, now) and max_provision(ledger, kind.zone) > 0:
            scarce = kind.machine_type in ledger.scarce_types and not job.constrained
            candidates.append((scarce, hourly_price(ledger, kind) / tasks, kind))
    candidates.sort()
    return [kind for _, _, kind in candidates]
