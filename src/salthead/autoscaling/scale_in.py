"""Which machines are not needed, and which should be returned."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from salthead.autoscaling.fleet_supply import Pool, Slot, price, suits
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import BOOTING, LOST, UP, Machine

log = logging.getLogger(__name__)

# A deleted machine costs at least this long (protocol), so nothing shorter is worth a provision.
MIN_CHARGE_S = 60.0
# A boot this many times longer than the cloud names is taken for one that never ends.
BOOT_PATIENCE = 2.5
# Up to this part of the machine registry, silence after a failover is the machines' own fault.
MAX_SILENT_SHARE = 0.15
# Reasons for a return that news of the machine takes away.
LOST_REASON, SILENT_REASON = "lost", "silent after a takeover"
SILENCE_REASONS = frozenset({LOST_REASON, SILENT_REASON})
# A machine that was not needed for this part of a boot is worth less than its rent: the second
# where all work within guarantees begins in time, so that less spare room would do as well.
SURPLUS_BOOTS, SURPLUS_BOOTS_SPARE = 1.0, 0.3


def cordon_surplus(ledger: Ledger, needed: set[str], now: float) -> None:
    """Cordon machines without which all that runs and waits would have fitted for a while.

    The pair draw spreads tasks over all machines, so that none is ever idle for long and a
    fleet that was provisioned for a peak would stay. Tasks are packed, in thought, on the cheapest
    machines; a machine that stays untouched takes no more tasks and is returned once empty.
    """
    slots = _pack(ledger)
    # Spare room is for jobs to come.
    spare = 1.0 if ledger.arrivals.stopped(now) else ledger.start_attainment.spare()
    patience = SURPLUS_BOOTS - spare * (SURPLUS_BOOTS - SURPLUS_BOOTS_SPARE)
    for slot in slots:
        machine = slot.machine
        assert machine is not None
        if slot.taken or machine.name in needed or now < machine.reserved_until:
            machine.surplus_since = None
            machine.cordoned = False
        elif machine.surplus_since is None:
            machine.surplus_since = now
        elif not machine.cordoned and now - machine.surplus_since > (
            patience * ledger.machine_types[machine.machine_type].boot_s
        ):
            machine.cordoned = True
            log.info("machine %s is not needed: cordoned", machine.name)


def _pack(ledger: Ledger) -> list[Slot]:
    """All that runs, packed in thought on the machines that stay, the cheapest first."""
    up = [
        m
        for m in ledger.machines.values()
        if m.phase == UP
        and not m.quarantine_reason
        and not m.terminating
        and m.reclaim_at is None
        and m.machine_type in ledger.machine_types
    ]
    costs = {
        kind: price(ledger, kind) / max(ledger.capacity(kind.machine_type)[0], 1e-9)
        for kind in {m.kind for m in up}
    }
    up.sort(key=lambda m: (costs[m.kind], m.name))
    slots = [Slot(m.kind, list(m.capacity), m) for m in up]
    cheapest = sorted(costs, key=lambda kind: (costs[kind], kind))
    # The largest first, and of these the ones that suit the fewest kinds of machines.
    running = []
    for job in ledger.ready_jobs.values():
        count = sum(1 for binding in job.bindings.values() if binding.stop_grace_s is None)
        if count and not job.complete:
            running.append((job, count))
    running.sort(key=lambda row: (-row[0].request.cpus, row[0].spec.spot, row[0].request.memory_gb))
    pool = Pool(slots, min((job.request.cpus for job, _ in running), default=0.0))
    for job, count in running:
        for kind in cheapest:
            if suits(job, kind):
                count = pool.fill(kind, job.request, count)
                if not count:
                    break
    return slots


@dataclass(frozen=True, slots=True)
class TerminationDecision:
    """A machine that is to be returned, why, and what that rests on."""

    machine: Machine
    reason: str
    phase: str
    last_heartbeat_at: float  # when the last news of the machine came

    @classmethod
    def of(cls, machine: Machine, reason: str) -> TerminationDecision:
        """A decision made now."""
        return cls(machine, reason, machine.phase, machine.last_heartbeat_at)

    def holds(self) -> bool:
        """Whether it would be made again: a machine that was silent has come back otherwise.

        A call waits for its turn among those that the cloud takes, and a cut may heal meanwhile.
        """
        machine = self.machine
        if machine.phase != self.phase:
            return False
        return (
            machine.last_heartbeat_at == self.last_heartbeat_at
            or self.reason not in SILENCE_REASONS
        )


class FleetCounts:
    """What a plan counts once over the fleet: for each machine anew, a failover in which half of
    a thousand are silent took a million steps a plan."""

    def __init__(self, ledger: Ledger, now: float) -> None:
        most = max(1.0, MAX_SILENT_SHARE * sum(1 for m in ledger.machines.values() if m.registered))
        # Whether so many machines are lost at once that a cut is likelier than their deaths. They
        # are up behind the cut, with no tasks left; waiting for them for as long as a boot takes
        # is cheaper than to return them and boot as many.
        self.mass_loss = sum(1 for m in ledger.machines.values() if m.phase == LOST) > most
        # Silent machines to return rather than wait for their leases to end. After a failover one
        # dead or hanging machine holds up every start for a whole lease. The cloud's word that it
        # is gone settles that at the price of one boot. Many silent machines are a cut, not
        # broken machines, and are waited for.
        self.silent_few: set[str] = set()
        if not ledger.ready and ledger.heartbeats_expected(now):
            silent = ledger.failover.unreconciled_machines()
            if ledger.shared_silence is not None:
                # Seen on zone-behind-cut: 62 machines that a cut of their zone had left well.
                silent = [m for m in silent if not ledger.shared_silence.behind_cut(m)]
            if len(silent) <= most:
                self.silent_few = {machine.name for machine in silent}


def termination_reason(
    ledger: Ledger,
    machine: Machine,
    needed: set[str],
    counted: FleetCounts,
    now: float,
) -> str:
    """Why the machine should be returned now; empty when it should not."""
    if machine.phase == LOST:
        return _lost(ledger, machine, counted, now)
    if (
        machine.phase == UP
        and machine.reconciled
        and (machine.acknowledged_at - machine.last_heartbeat_at > ledger.limits.workers.lease_s)
    ):
        # Copies alone, or a worker that began to count anew: nothing that it says is news, and
        # each answer puts off the end of its lease. The cloud's word ends that.
        return "only old reports"
    if machine.name in counted.silent_few:
        return SILENT_REASON
    if machine.quarantine_reason:
        return machine.quarantine_reason if not machine.busy() else ""
    if machine.phase == BOOTING:
        return _never_came_up(ledger, machine, now)
    if machine.busy() or not ledger.ready:
        return ""
    return _idle(ledger, machine, needed, now)


def _lost(ledger: Ledger, machine: Machine, counted: FleetCounts, now: float) -> str:
    """Its lease is over: at once, or after a boot's time where many were lost together."""
    if ledger.shared_silence is not None:
        return "" if _worth_waiting(ledger, machine, machine.lost_at, now) else LOST_REASON
    machine_type = ledger.machine_types.get(machine.machine_type)
    if not counted.mass_loss or machine_type is None:
        return LOST_REASON
    return "" if now - machine.lost_at < machine_type.boot_s else LOST_REASON


def _wait_s(ledger: Ledger, machine: Machine) -> float:
    """For how long a machine that may be well is waited for.

    A second of waiting costs a second of its rent, and another machine in its place the rent of a
    boot. Whoever waits for one boot, and then returns it, pays at the most twice the least that
    anybody could have paid who had known when it would be back. The policy may weigh that.
    """
    machine_type = ledger.machine_types.get(machine.machine_type)
    if ledger.shared_silence is None or machine_type is None:
        return 0.0
    return ledger.shared_silence.policy.wait_boots * machine_type.boot_s


def _worth_waiting(ledger: Ledger, machine: Machine, since: float, now: float) -> bool:
    """Whether a silent machine may be well, by its group or by the other directions of its link."""
    silence, lease_s = ledger.shared_silence, ledger.limits.workers.lease_s
    if silence is None or now - since >= _wait_s(ledger, machine):
        return False
    links = machine.links
    return (
        silence.behind_cut(machine)
        or links.last_received_at >= now - lease_s
        or links.commands_at >= max(links.command_failed_at, now - lease_s)
    )


def _never_came_up(ledger: Ledger, machine: Machine, now: float) -> str:
    """It boots for so long that it is taken never to come up."""
    machine_type = ledger.machine_types.get(machine.machine_type)
    boot_s = machine_type.boot_s if machine_type else MIN_CHARGE_S
    if now - ledger.term_started_at < ledger.limits.workers.lease_s:
        return ""  # it may be up and not have found this leader yet
    return "never came up" if now - machine.provisioned_at > BOOT_PATIENCE * boot_s + 10.0 else ""


def _idle(ledger: Ledger, machine: Machine, needed: set[str], now: float) -> str:
    """Nothing runs on it."""
    since = machine.unresponsive_since
    if since is not None and now - since > max(
        ledger.limits.workers.lease_s, _wait_s(ledger, machine)
    ):
        return "unresponsive"
    if machine.reclaim_at is not None:
        return "taken soon"
    if machine.name in needed or (machine.reserved_for and now < machine.reserved_until):
        return ""
    return "not needed" if machine.cordoned else ""
