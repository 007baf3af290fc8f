"""The plan of the fleet: how many machines of which kind to provision, and which to terminate."""

from __future__ import annotations

from dataclasses import dataclass, field

from salthead.autoscaling.capacity_backoff import CapacityBackoff
from salthead.autoscaling.fleet_supply import Slot, SlotPool, current_supply
from salthead.autoscaling.queue_demand import serving_span_s, soon_ready_jobs
from salthead.autoscaling.queue_packing import QueuePacking
from salthead.autoscaling.scale_in import FleetCounts, cordon_surplus, termination_reason
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Machine
from salthead.cluster.resources import MachineKind
from salthead.scheduling.guarantees import guaranteed_job_ids
from salthead.scheduling.pending_queue import pending_jobs

MAX_PROVISION_BATCH = 50  # machines in one call


@dataclass
class Plan:
    """What to provision, by kind, and which machines to terminate."""

    to_provision: dict[MachineKind, int] = field(default_factory=dict)
    to_terminate: list[Machine] = field(default_factory=list)
    reasons: dict[str, str] = field(default_factory=dict)  # of the terminations, by machine


def plan(
    ledger: Ledger,
    now: float,
    capacity_backoff: CapacityBackoff,
    provisioning: dict[MachineKind, int],
) -> Plan:
    """The difference between the fleet that the queue needs and the one that there is.

    ``provisioning``: how many machines of each kind have been asked for and are not listed yet.
    """
    result = Plan()
    if not ledger.machine_types:
        return result
    if ledger.shared_silence is not None:
        ledger.shared_silence.sweep(now)
    needed: set[str] = set()
    if ledger.ready:
        needed = _plan_provisioning(ledger, result, capacity_backoff, provisioning, now)
        cordon_surplus(ledger, needed, now)
    counts = FleetCounts(ledger, now)
    for machine in ledger.machines.values():
        if machine.terminating:
            continue
        if reason := termination_reason(ledger, machine, needed, counts, now):
            result.to_terminate.append(machine)
            result.reasons[machine.name] = reason
    return result


def _plan_provisioning(
    ledger: Ledger,
    result: Plan,
    capacity_backoff: CapacityBackoff,
    provisioning: dict[MachineKind, int],
    now: float,
) -> set[str]:
    """Plan provisions for the queue; the names of the machines there are that it needs."""
    queue = pending_jobs(ledger, guaranteed_job_ids(ledger), now)
    span_s = serving_span_s(ledger, queue, now)
    ready_soon = soon_ready_jobs(ledger, now)
    slots: list[Slot] = []
    if queue or ready_soon:  # with nothing to place, free room need not be known
        supply = current_supply(ledger, now, provisioning)
        slots = supply.slots
        # A place that is still taken serves the queue for what is left of the span. Counted as
        # free at once, a fleet of short tasks looked large enough for too long a queue.
        span_s = max(1.0, span_s - supply.mean_wait_s())
    min_cpus = min((job.request.cpus for job in [*queue, *ready_soon]), default=0.0)
    packing = QueuePacking(ledger, capacity_backoff, SlotPool(slots, min_cpus), span_s, now)
    for job in queue:
        packing.add(job, job.waiting())
    for job in ready_soon:
        packing.add(job, job.spec.task_count)
    result.to_provision = packing.provisions()
    return {slot.machine.name for slot in slots if slot.machine is not None and slot.used}
