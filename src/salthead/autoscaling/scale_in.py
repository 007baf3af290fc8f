"""Scale-in: which machines are not needed, and which should be terminated."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from salthead.autoscaling.fleet_supply import Slot, SlotPool, hourly_price
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import BOOTING, LOST, UP, Job, Machine
from salthead.event_log import event
from salthead.scheduling.eligibility import allowed_kinds

log = logging.getLogger(__name__)

# A deleted machine costs at least this long (protocol), so nothing shorter is worth a provision.
MIN_CHARGE_S = 60.0
# A machine that boots this many times longer than the cloud names, and this margin, never comes up.
MAX_BOOT_FACTOR, BOOT_MARGIN_S = 2.5, 10.0
# Up to this part of the machine registry, silence after a failover is the machines' own fault.
MAX_SILENT_SHARE = 0.15
# Reasons for a termination that no longer hold once a heartbeat of the machine arrives. They are
# published in logs.
LOST_REASON, SILENT_REASON = "lost", "silent after a takeover"
SILENCE_REASONS = frozenset({LOST_REASON, SILENT_REASON})
# Other reasons, published as well.
STALE_HEARTBEATS_REASON, UNRESPONSIVE_REASON = "only old reports", "unresponsive"
NEVER_UP_REASON, RECLAIMED_REASON, SURPLUS_REASON = "never came up", "taken soon", "not needed"
NO_TERMINATION = ""  # the machine is not to be terminated
# A machine that was not needed for this part of a boot is worth less than its rent: the second
# where all work within guarantees begins in time, so that less spare room would do as well.
SURPLUS_BOOTS, SURPLUS_BOOTS_SPARE = 1.0, 0.3


def cordon_surplus(ledger: Ledger, needed: set[str], now: float) -> None:
    """Cordon machines without which all that runs and waits would have fitted for a while.

    The power of two choices spreads tasks over all machines, so that none is ever idle for long
    and a fleet that was provisioned for a peak would stay. So the running tasks are packed, in the
    plan alone, on the cheapest machines; a machine that this leaves empty takes no more tasks and
    is terminated once it is idle.
    """
    slots = _pack_running_tasks(ledger)
    # Spare room is for jobs to come.
    spare = 1.0 if ledger.arrivals.stopped(now) else ledger.start_attainment.spare()
    surplus_boots = SURPLUS_BOOTS - spare * (SURPLUS_BOOTS - SURPLUS_BOOTS_SPARE)
    for slot in slots:
        machine = slot.machine
        assert machine is not None
        if slot.used or machine.name in needed or now < machine.reserved_until:
            machine.surplus_since = None
            machine.cordoned = False
        elif machine.surplus_since is None:
            machine.surplus_since = now
        elif not machine.cordoned and now - machine.surplus_since > (
            surplus_boots * ledger.machine_types[machine.machine_type].boot_s
        ):
            machine.cordoned = True
            event(log, "machine_cordoned", machine=machine.name)


def _pack_running_tasks(ledger: Ledger) -> list[Slot]:
    """The machines that stay, the cheapest first, filled with all running tasks in this order."""
    machines = [
        m
        for m in ledger.machines.values()
        if m.phase == UP
        and not m.quarantine_reason
        and not m.terminating
        and m.reclaim_at is None
        and m.machine_type in ledger.machine_types
    ]
    costs = {
        kind: hourly_price(ledger, kind)
        / max(ledger.machine_registry.capacity(kind.machine_type)[0], 1e-9)
        for kind in {m.kind for m in machines}
    }
    machines.sort(key=lambda m: (costs[m.kind], m.name))
    slots = [Slot(m.kind, list(m.capacity), m) for m in machines]
    cheapest = sorted(costs, key=lambda kind: (costs[kind], kind))
    running = _running_jobs(ledger)
    pool = SlotPool(slots, min((job.request.cpus for job, _ in running), default=0.0))
    for job, count in running:
        for kind in allowed_kinds(job, cheapest):
            count = pool.fill(kind, job.request, count)
            if not count:
                break
    return slots


def _running_jobs(ledger: Ledger) -> list[tuple[Job, int]]:
    """Jobs and how many of their tasks run, in the order of packing: the largest tasks first, and
    of these the ones that may run on the fewest kinds of machines."""
    running = []
    for job in ledger.ready_jobs.values():
        count = sum(1 for binding in job.bindings.values() if binding.stop_grace_s is None)
        if count and not job.complete:
            running.append((job, count))
    running.sort(
        key=lambda entry: (-entry[0].request.cpus, entry[0].spec.spot, entry[0].request.memory_gb)
    )
    return running


@dataclass(frozen=True, slots=True)
class TerminationDecision:
    """A machine that is to be terminated, why, and on what evidence."""

    machine: Machine
    reason: str
    phase: str
    last_heartbeat_at: float  # of the machine, at the time of the decision

    @classmethod
    def of(cls, machine: Machine, reason: str) -> TerminationDecision:
        """A decision made now."""
        return cls(machine, reason, machine.phase, machine.last_heartbeat_at)

    def holds(self) -> bool:
        """Whether it would be made again now.

        A call waits until the cloud's rate limit allows it, and meanwhile a cut may heal and a
        machine that was silent may be back.
        """
        machine = self.machine
        if machine.phase != self.phase:
            return False
        return (
            machine.last_heartbeat_at == self.last_heartbeat_at
            or self.reason not in SILENCE_REASONS
        )


class FleetCounts:
    """What a plan counts once over the whole fleet, and not for each machine anew.

    Counted for each, a failover with half of 1,000 machines silent took a million steps a plan.
    """

    def __init__(self, ledger: Ledger, now: float) -> None:
        registered = sum(1 for m in ledger.machines.values() if m.registered)
        tolerated = max(1.0, MAX_SILENT_SHARE * registered)
        # Whether so many machines are lost at once that a cut is likelier than their deaths. They
        # are up behind the cut, with no tasks left; waiting for them for as long as a boot takes
        # is cheaper than to terminate them and boot as many.
        self.mass_loss = sum(1 for m in ledger.machines.values() if m.phase == LOST) > tolerated
        # Silent machines to terminate rather than wait for their leases to end. After a failover
        # one dead or hanging machine holds up every start for a whole lease. The cloud's
        # confirmation that it is gone ends that at the price of one boot. Many silent machines are
        # a cut, not broken machines, and are waited for.
        self.silent_to_terminate: set[str] = set()
        if not ledger.ready and ledger.heartbeats_expected(now):
            silent = ledger.failover.unreconciled_machines()
            if ledger.shared_silence is not None:
                # Seen on zone-behind-cut: 62 healthy machines behind the cut of their zone.
                silent = [m for m in silent if not ledger.shared_silence.behind_cut(m)]
            if len(silent) <= tolerated:
                self.silent_to_terminate = {machine.name for machine in silent}


def termination_reason(
    ledger: Ledger,
    machine: Machine,
    needed: set[str],
    counts: FleetCounts,
    now: float,
) -> str:
    """Why the machine should be terminated now; ``NO_TERMINATION`` when it should not."""
    if machine.phase == LOST:
        return _lost_reason(ledger, machine, counts, now)
    if (
        machine.phase == UP
        and machine.reconciled
        and (machine.acknowledged_at - machine.last_heartbeat_at > ledger.limits.workers.lease_s)
    ):
        # Only copies of old heartbeats arrive, or the worker's sequence began anew: none of them is
        # news, and each answer renews its lease. Only the cloud's confirmation ends that.
        return STALE_HEARTBEATS_REASON
    if machine.name in counts.silent_to_terminate:
        return SILENT_REASON
    if machine.quarantine_reason:
        return machine.quarantine_reason if not machine.busy() else NO_TERMINATION
    if machine.phase == BOOTING:
        return _booting_reason(ledger, machine, now)
    if machine.busy() or not ledger.ready:
        return NO_TERMINATION
    return _idle_reason(ledger, machine, needed, now)


def _lost_reason(ledger: Ledger, machine: Machine, counts: FleetCounts, now: float) -> str:
    """For a lost machine: at once, or after the time of a boot where many were lost together."""
    if ledger.shared_silence is not None:
        return (
            NO_TERMINATION
            if _should_wait_for(ledger, machine, machine.lost_at, now)
            else LOST_REASON
        )
    machine_type = ledger.machine_types.get(machine.machine_type)
    if not counts.mass_loss or machine_type is None:
        return LOST_REASON
    return NO_TERMINATION if now - machine.lost_at < machine_type.boot_s else LOST_REASON


def _max_wait_s(ledger: Ledger, machine: Machine) -> float:
    """For how many seconds a machine that may be healthy is waited for.

    A second of waiting costs a second of its rent, and another machine in its place the rent of a
    boot. Waiting for the time of one boot, and then terminating it, costs at most twice the least
    that is possible with knowledge of the time of its return. The policy may set another number.
    """
    machine_type = ledger.machine_types.get(machine.machine_type)
    if ledger.shared_silence is None or machine_type is None:
        return 0.0
    return ledger.shared_silence.policy.wait_boots * machine_type.boot_s


def _should_wait_for(ledger: Ledger, machine: Machine, since: float, now: float) -> bool:
    """Whether a silent machine may be healthy, by its group or by other directions of its link."""
    shared_silence, lease_s = ledger.shared_silence, ledger.limits.workers.lease_s
    if shared_silence is None or now - since >= _max_wait_s(ledger, machine):
        return False
    links = machine.links
    return (
        shared_silence.behind_cut(machine)
        or links.last_received_at >= now - lease_s
        or links.commands_at >= max(links.command_failed_at, now - lease_s)
    )


def _booting_reason(ledger: Ledger, machine: Machine, now: float) -> str:
    """For a machine that boots: whether it is taken never to come up."""
    machine_type = ledger.machine_types.get(machine.machine_type)
    boot_s = machine_type.boot_s if machine_type else MIN_CHARGE_S
    if now - ledger.term_started_at < ledger.limits.workers.lease_s:
        return NO_TERMINATION  # it may be up and not have found this leader yet
    booting_s = now - machine.provisioned_at
    return (
        NEVER_UP_REASON if booting_s > MAX_BOOT_FACTOR * boot_s + BOOT_MARGIN_S else NO_TERMINATION
    )


def _idle_reason(ledger: Ledger, machine: Machine, needed: set[str], now: float) -> str:
    """For a machine on which nothing runs: whether it is of no use any more."""
    since = machine.unresponsive_since
    if since is not None and now - since > max(
        ledger.limits.workers.lease_s, _max_wait_s(ledger, machine)
    ):
        return UNRESPONSIVE_REASON
    if machine.reclaim_at is not None:
        return RECLAIMED_REASON
    if machine.name in needed or (machine.reserved_for and now < machine.reserved_until):
        return NO_TERMINATION
    return SURPLUS_REASON if machine.cordoned else NO_TERMINATION
