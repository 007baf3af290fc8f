"""Scale-in: which machines to cordon as surplus, and which to terminate."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from salthead.autoscaling.fleet_supply import Slot, SlotPool, hourly_price
from salthead.cluster.ledger import Ledger
from salthead.cluster.machine_health import heartbeats_expected
from salthead.cluster.model import BOOTING, LOST, UP, Job, Machine
from salthead.event_log import event
from salthead.scheduling.eligibility import allowed_kinds

log = logging.getLogger(__name__)

# By the protocol, a machine is charged for at least this time, so less work justifies no machine.
MIN_CHARGE_S = 60.0
# A boot has failed after this multiple of the boot time that the cloud names, plus this margin.
MAX_BOOT_FACTOR, BOOT_MARGIN_S = 2.5, 10.0
# If at most this share of the registered machines is lost, or silent after a failover, the machines
# themselves are assumed to have failed; if more, a network partition is likelier.
MAX_SILENT_SHARE = 0.15
# Reasons for a termination that no longer hold once a heartbeat of the machine arrives. All reasons
# appear in logs.
LOST_REASON, SILENT_REASON = "lost", "silent after a takeover"
SILENCE_REASONS = frozenset({LOST_REASON, SILENT_REASON})
# Other reasons for a termination.
STALE_HEARTBEATS_REASON, UNRESPONSIVE_REASON = "only old reports", "unresponsive"
NEVER_UP_REASON, RECLAIM_ANNOUNCED_REASON = "never came up", "taken soon"
SURPLUS_REASON = "not needed"
NO_TERMINATION = ""  # the machine is not to be terminated
# A machine is surplus once it was not needed for this multiple of its boot time. The shorter time
# applies where all guaranteed work starts in time, since less spare capacity would do there.
SURPLUS_BOOTS, SURPLUS_BOOTS_SPARE = 1.0, 0.3


def cordon_surplus(ledger: Ledger, needed: set[str], now: float) -> None:
    """Cordon machines that neither running tasks nor the queue have needed for a while.

    The power of two choices spreads tasks over all machines, so that none is ever idle for long and
    a fleet that was provisioned for a peak would never shrink. The running tasks are therefore
    packed onto the cheapest machines, without moving them. A machine that stays empty in this
    packing is cordoned, and is terminated once it is idle.
    """
    slots = _pack_running_tasks(ledger)
    # Spare capacity is kept for future jobs, so none is needed once jobs have stopped arriving.
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
    """Return slots for all usable machines, cheapest first, filled with the running tasks."""
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
    """Return jobs with their numbers of running tasks, in the order in which they are packed.

    The largest tasks come first, and among these the jobs that may not run on spot instances, since
    fewer kinds of machines are open to them.
    """
    running = []
    for job in ledger.ready_jobs.values():
        count = sum(1 for binding in job.bindings.values() if binding.stop_grace_s is None)
        if count and not job.complete:
            running.append((job, count))
    running.sort(key=_packing_order)
    return running


def _packing_order(job_and_count: tuple[Job, int]) -> tuple[float, bool, float]:
    job, _ = job_and_count
    return (-job.request.cpus, job.spec.spot, job.request.memory_gb)


@dataclass(frozen=True, slots=True)
class TerminationDecision:
    """A machine to terminate, the reason, and the evidence for it."""

    machine: Machine
    reason: str
    phase: str
    last_heartbeat_at: float  # of the machine, at the time of the decision

    @classmethod
    def of(cls, machine: Machine, reason: str) -> TerminationDecision:
        """Return a decision based on the machine's current state."""
        return cls(machine, reason, machine.phase, machine.last_heartbeat_at)

    def is_still_valid(self) -> bool:
        """Return whether the evidence for the decision still stands.

        A call waits until the cloud's rate limit allows it. Meanwhile a network partition may heal,
        and heartbeats of a silent machine may arrive again.
        """
        machine = self.machine
        if machine.phase != self.phase:
            return False
        return (
            machine.last_heartbeat_at == self.last_heartbeat_at
            or self.reason not in SILENCE_REASONS
        )


class FleetCounts:
    """Counts over the whole fleet that a plan computes once.

    Computing them for each machine took a million steps per plan after a failover with half of
    1,000 machines silent.
    """

    def __init__(self, ledger: Ledger, now: float) -> None:
        registered = sum(1 for m in ledger.machines.values() if m.registered)
        tolerated = max(1.0, MAX_SILENT_SHARE * registered)
        # Whether so many machines are lost at once that a network partition is likelier than
        # machine failures. Machines behind a partition are up without tasks, and waiting one boot
        # time for them is cheaper than terminating them and booting as many new ones.
        self.mass_loss = sum(1 for m in ledger.machines.values() if m.phase == LOST) > tolerated
        # Silent machines to terminate without waiting for their leases to expire. After a failover,
        # one dead or hanging machine delays every start for a whole lease. The cloud's confirmation
        # of the machine's termination ends that delay at the cost of one boot. If many machines are
        # silent, a partition is the likelier cause, and none is terminated before its lease ends.
        self.silent_to_terminate: set[str] = set()
        if not ledger.ready and heartbeats_expected(ledger, now):
            silent = ledger.failover.unreconciled_machines()
            if ledger.shared_silence is not None:
                # Machines behind a partition of their zone are likely healthy.
                silent = [m for m in silent if not ledger.shared_silence.is_partitioned(m)]
            if len(silent) <= tolerated:
                self.silent_to_terminate = {machine.name for machine in silent}


def termination_reason(
    ledger: Ledger,
    machine: Machine,
    needed: set[str],
    counts: FleetCounts,
    now: float,
) -> str:
    """Return why the machine should be terminated now, or ``NO_TERMINATION``."""
    if machine.phase == LOST:
        return _lost_reason(ledger, machine, counts, now)
    if (
        machine.phase == UP
        and machine.reconciled
        and (machine.acknowledged_at - machine.last_heartbeat_at > ledger.limits.workers.lease_s)
    ):
        # Only duplicates of old heartbeats arrive, or the worker's sequence numbers restarted. They
        # carry no new state, but each answer renews the lease, so the machine is never declared
        # lost. Only the cloud's confirmation of a termination ends that.
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
    """Return why a lost machine should be terminated now, or ``NO_TERMINATION``.

    A machine that may be healthy behind a partition is terminated only after a wait.
    """
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
    """Return for how many seconds to wait for a silent machine that may be healthy.

    Each second of waiting costs a second of rent, and a replacement costs the rent of one boot
    time. Waiting for one boot time before the termination costs at most twice the optimum with
    knowledge of when the machine returns. The policy may set another number of boot times.
    """
    machine_type = ledger.machine_types.get(machine.machine_type)
    if ledger.shared_silence is None or machine_type is None:
        return 0.0
    return ledger.shared_silence.policy.wait_boots * machine_type.boot_s


def _should_wait_for(ledger: Ledger, machine: Machine, since: float, now: float) -> bool:
    """Return whether to wait for a silent machine that may be healthy.

    Its group may be behind a partition, or its link may still work in another direction.
    """
    shared_silence, lease_s = ledger.shared_silence, ledger.limits.workers.lease_s
    if shared_silence is None or now - since >= _max_wait_s(ledger, machine):
        return False
    links = machine.links
    return (
        shared_silence.is_partitioned(machine)
        or links.last_received_at >= now - lease_s
        or links.confirmed_command_sent_at >= max(links.command_failed_at, now - lease_s)
    )


def _booting_reason(ledger: Ledger, machine: Machine, now: float) -> str:
    """Return why a booting machine should be terminated now, or ``NO_TERMINATION``."""
    machine_type = ledger.machine_types.get(machine.machine_type)
    boot_s = machine_type.boot_s if machine_type else MIN_CHARGE_S
    if now - ledger.term_started_at < ledger.limits.workers.lease_s:
        return NO_TERMINATION  # it may be up without having found the new leader yet
    booting_s = now - machine.provisioned_at
    return (
        NEVER_UP_REASON if booting_s > MAX_BOOT_FACTOR * boot_s + BOOT_MARGIN_S else NO_TERMINATION
    )


def _idle_reason(ledger: Ledger, machine: Machine, needed: set[str], now: float) -> str:
    """Return why an idle machine should be terminated now, or ``NO_TERMINATION``."""
    since = machine.unresponsive_since
    if since is not None and now - since > max(
        ledger.limits.workers.lease_s, _max_wait_s(ledger, machine)
    ):
        return UNRESPONSIVE_REASON
    if machine.reclaim_at is not None:
        return RECLAIM_ANNOUNCED_REASON
    if machine.name in needed or (machine.reserved_for and now < machine.reserved_until):
        return NO_TERMINATION
    return SURPLUS_REASON if machine.cordoned else NO_TERMINATION
