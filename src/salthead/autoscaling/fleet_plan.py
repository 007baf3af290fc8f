"""The fleet plan: how many machines of each kind to provision, and which to terminate."""

from __future__ import annotations

from dataclasses import dataclass, field

from salthead.autoscaling.capacity_backoff import CapacityBackoff
from salthead.autoscaling.fleet_supply import Slot, SlotPool, current_supply
from salthead.autoscaling.queue_demand import min_busy_s_to_provision, soon_ready_jobs
from salthead.autoscaling.queue_packing import QueuePacking
from salthead.autoscaling.scale_in import FleetCounts, cordon_surplus, termination_reason
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Machine
from salthead.cluster.resources import MachineKind
from salthead.scheduling.guarantees import guaranteed_job_ids
from salthead.scheduling.pending_queue import pending_jobs

MAX_PROVISION_BATCH = 50  # machines in one request to the cloud


@dataclass
class Plan:
    """Machines to provision, by kind, and machines to terminate."""

    to_provision: dict[MachineKind, int] = field(default_factory=dict)
    to_terminate: list[Machine] = field(default_factory=list)
    reasons: dict[str, str] = field(default_factory=dict)  # for each termination, by machine name


def plan(
    ledger: Ledger,
    now: float,
    capacity_backoff: CapacityBackoff,
    provisioning: dict[MachineKind, int],
) -> Plan:
    """Return the difference between the fleet that the queue needs and the existing fleet.

    ``provisioning`` counts, by kind, the machines that are requested but not listed yet.
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
    """Add provisions for the queue to the plan; return the names of existing machines it needs."""
    queue = pending_jobs(ledger, guaranteed_job_ids(ledger), now)
    span_s = min_busy_s_to_provision(ledger, queue, now)
    ready_soon = soon_ready_jobs(ledger, now)
    slots: list[Slot] = []
    if queue or ready_soon:  # an empty queue needs no computation of the supply
        supply = current_supply(ledger, now, provisioning)
        slots = supply.slots
        # Capacity that is still in use serves the queue only for the rest of the span. If it
        # counted as free at once, a fleet of short tasks would look large enough for a queue that
        # is too long for it.
        span_s = max(1.0, span_s - supply.mean_wait_s())
    min_cpus = min((job.request.cpus for job in [*queue, *ready_soon]), default=0.0)
    packing = QueuePacking(ledger, capacity_backoff, SlotPool(slots, min_cpus), span_s, now)
    for job in queue:
        packing.add(job, job.waiting())
    for job in ready_soon:
        packing.add(job, job.spec.task_count)
    result.to_provision = packing.provisions()
    return {slot.machine.name for slot in slots if slot.machine is not None and slot.used}
