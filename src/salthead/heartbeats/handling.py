"""Handling of a worker's heartbeat: whether to answer it, and updates of its machine."""

from __future__ import annotations

import logging
import math

from salthead.cluster.allocations import ReleaseReason
from salthead.cluster.ledger import Ledger
from salthead.cluster.machine_health import mark_unresponsive
from salthead.cluster.model import BOOTING, LOST, UP, Machine
from salthead.event_log import event
from salthead.failure_detection.preconditions import Action, Precondition, missing_preconditions
from salthead.heartbeats.task_reconciliation import commands_for, stops_of_ended_jobs
from salthead.protocol import wire_names
from salthead.protocol.messages import Command, Heartbeat

log = logging.getLogger(__name__)

JOBS_KNOWN = int(Precondition.JOBS_KNOWN)
MACHINE_NOT_TERMINATED = int(Precondition.MACHINE_NOT_TERMINATED)
INCARNATION_CURRENT = int(Precondition.INCARNATION_CURRENT)
RESPONSES_DELIVERED = int(Precondition.RESPONSES_DELIVERED)
# A new incarnation within this part of a lease after the last heartbeat shows that the previous one
# ended although its heartbeats were answered.
EARLY_INCARNATION_LEASES = 0.5


def handle_heartbeat(
    ledger: Ledger,
    heartbeat: Heartbeat,
    now: float,
    direct: bool = False,
) -> list[Command] | None:
    """Return commands for the worker, or None if the heartbeat must not be answered with 200.

    A ``direct`` heartbeat is the worker's response to a call by this controller. It renews no lease
    and is not answered with commands. It may have been made while an answer with starts was in
    flight, so a bound task that it does not list may still start.
    """
    machine = ledger.machines.get(heartbeat.worker)
    if (
        machine is not None
        and machine.nothing_pending
        and not machine.has_freed_capacity
        and heartbeat.fencing_token == ledger.fencing_token
        and not direct
        and heartbeat.tasks == machine.last_tasks
        and heartbeat.incarnation == machine.incarnation
        and heartbeat.sequence > machine.sequence
        and machine.reconciled
        and heartbeat.warning_s is None
        and machine.reclaim_at is None
        and not ledger.newer_fencing_token
    ):
        # Fast path for nearly all heartbeats of a busy fleet: the preconditions of an answer hold
        # as they did for the last one, the tasks are the same and no command is pending. Inlined,
        # since calls of functions are most of the cost of a heartbeat.
        links = machine.links
        if heartbeat.sequence == links.acknowledged_sequence + 1 and ledger.other_controllers:
            links.confirmed_answer_sent_at = links.acknowledged_at
            links.unaccepted_answers = 0
        links.acknowledged_incarnation = heartbeat.incarnation
        links.acknowledged_sequence = machine.sequence = heartbeat.sequence
        links.acknowledged_at = links.last_received_at = now
        machine.acknowledged_at = machine.last_heartbeat_at = now
        if ledger.zone_hooks is not None:
            ledger.zone_hooks.heartbeat_received(machine)
        if ledger.shared_silence is not None:
            ledger.shared_silence.heartbeat_received(machine)
        return []
    return _handle_slow_path(ledger, machine, heartbeat, now, direct)


def _handle_slow_path(
    ledger: Ledger, machine: Machine | None, heartbeat: Heartbeat, now: float, direct: bool
) -> list[Command] | None:
    """Handle a heartbeat that the fast path does not cover."""
    # A heartbeat with this term's token was made after the worker accepted an answer of this term.
    # Any other may be a late copy.
    current = heartbeat.fencing_token == ledger.fencing_token
    if heartbeat.fencing_token > ledger.fencing_token:
        ledger.newer_fencing_token = max(ledger.newer_fencing_token, heartbeat.fencing_token)
    if machine is not None and not direct:
        _record_acknowledgements(ledger, machine, heartbeat, current, now)
    if not _may_acknowledge(ledger, machine, heartbeat, current or direct, now):
        return None
    if not direct and not ledger.invariants.may_renew_lease(heartbeat.worker, now):
        return None
    return _acknowledge(ledger, machine, heartbeat, current, now, direct)


def _may_acknowledge(
    ledger: Ledger, machine: Machine | None, heartbeat: Heartbeat, receives: bool, now: float
) -> bool:
    """Return whether the heartbeat may be answered, and record it if not.

    ``receives``: as in ``_acknowledgement_preconditions``.
    """
    held = _acknowledgement_preconditions(ledger, machine, heartbeat, receives, now)
    missing = missing_preconditions(Action.ACKNOWLEDGE_HEARTBEAT, held)
    if not ledger.loaded:
        until = ledger.unloaded_renewals_end_at
        ledger.unloaded_heartbeats.record(heartbeat.worker, not missing, until, now)
    if missing:
        ledger.blocked_actions.record(Action.ACKNOWLEDGE_HEARTBEAT, missing, now)
    return not missing


def _acknowledge(
    ledger: Ledger,
    machine: Machine | None,
    heartbeat: Heartbeat,
    current: bool,
    now: float,
    direct: bool,
) -> list[Command]:
    """Return the commands of an answer, which renews the worker's lease.

    The content of a heartbeat counts only if it is new and has this term's token, and once the
    records are loaded. Otherwise the answer carries the token, so that the next one shows it.
    """
    if machine is None:
        if not current or not ledger.loaded:
            # Not added yet, since this may be a late copy from a machine that an earlier leader
            # terminated. No task was ever started on a machine that is not registered.
            return stops_of_ended_jobs(ledger, heartbeat)
        machine = _add_unexpected(ledger, heartbeat, now)
    if not direct:
        machine.acknowledged_at = now
        machine.links.acknowledged(heartbeat.incarnation, heartbeat.sequence, now)
    newer = (heartbeat.incarnation, heartbeat.sequence) > (machine.incarnation, machine.sequence)
    if not newer or not ledger.loaded:
        return stops_of_ended_jobs(ledger, heartbeat)
    if not current:
        # A late copy may list outdated tasks: exits that were reaped since, or tasks that run
        # elsewhere now. The machine may be registered meanwhile.
        machine.seen_in_earlier_term = True
        machine.endpoint = machine.endpoint or heartbeat.endpoint
        return stops_of_ended_jobs(ledger, heartbeat)
    return _apply_heartbeat(ledger, machine, heartbeat, now, direct)


def _add_unexpected(ledger: Ledger, heartbeat: Heartbeat, now: float) -> Machine:
    """Add a machine with this term's token that is neither registered nor listed by the cloud."""
    machine = ledger.add_machine(
        heartbeat.worker, heartbeat.machine_type, heartbeat.zone, heartbeat.spot, now
    )
    event(log, "machine_unexpected", machine=machine.name)
    return machine


def _apply_heartbeat(
    ledger: Ledger, machine: Machine, heartbeat: Heartbeat, now: float, direct: bool
) -> list[Command]:
    """Apply a new heartbeat with this term's token; return the commands that follow from it."""
    _update_machine(ledger, machine, heartbeat, now)
    if (
        machine.nothing_pending
        and not machine.has_freed_capacity
        and heartbeat.tasks == machine.last_tasks
    ):
        return []
    commands = commands_for(ledger, machine, heartbeat, now, direct)
    machine.last_tasks = heartbeat.tasks
    machine.nothing_pending = (
        not commands
        and not machine.orphans
        and all(
            binding.phase and binding.stop_grace_s is None for binding in machine.bindings.values()
        )
        and all(task.phase != wire_names.EXITED for task in heartbeat.tasks)
    )
    return commands


def _record_acknowledgements(
    ledger: Ledger, machine: Machine, heartbeat: Heartbeat, current: bool, now: float
) -> None:
    """Update the machine's link by what a heartbeat shows of the answers to earlier ones."""
    lost = machine.links.heartbeat_received(
        heartbeat.incarnation, heartbeat.sequence, current, ledger.other_controllers, now
    )
    if lost and not machine.reconciled and ledger.shared_silence is not None:
        # No answer of this controller has renewed the worker's lease, nor will one of those already
        # sent. Counted from the last answer, the lease would delay the failover by another one.
        machine.acknowledged_at = -math.inf


def heartbeat_seen_by_peer(
    ledger: Ledger,
    worker: str,
    heartbeat_id: tuple[int, int],
    shows_fencing_token: bool,
    now: float,
) -> None:
    """Record that a worker turned to another controller, having missed the answer of this one.

    ``heartbeat_id``: the incarnation and sequence of its heartbeat there. A worker that receives no
    answers tries all controllers in turn, so its next heartbeat here may be three time-outs away.
    """
    machine = ledger.machines.get(worker)
    if machine is None:
        return
    lost = machine.links.redirected_heartbeat_received(*heartbeat_id, shows_fencing_token, now)
    if lost and not shows_fencing_token and not machine.reconciled:
        machine.acknowledged_at = -math.inf


def _acknowledgement_preconditions(
    ledger: Ledger, machine: Machine | None, heartbeat: Heartbeat, receives: bool, now: float
) -> int:
    """Return which preconditions for answering the heartbeat hold, as bits.

    ``receives``: the worker has shown this term's token, or responds to a call by this controller.
    """
    held = ledger.confirmed_preconditions()
    if now < ledger.unloaded_renewals_end_at:
        held |= JOBS_KNOWN
    if heartbeat.worker not in ledger.recently_gone:
        held |= MACHINE_NOT_TERMINATED
    if machine is None:
        return held | INCARNATION_CURRENT | RESPONSES_DELIVERED
    if heartbeat.incarnation >= machine.min_incarnation:
        held |= INCARNATION_CURRENT
    if receives or machine.reconciled or _may_receive(ledger, machine, now):
        held |= RESPONSES_DELIVERED
    return held


def _may_receive(ledger: Ledger, machine: Machine, now: float) -> bool:
    """Return whether a worker that has not shown the token may still receive answers.

    Each answer may renew its lease, which would delay a failover without end. A worker is therefore
    not answered any more if it has not shown the token a whole lease after the first answer, or if
    neither answers nor direct calls reach it. Such calls are repeated, and one that the worker
    answers lifts this.
    """
    if ledger.shared_silence is not None and machine.links.unreachable():
        return False
    machine.first_acknowledged_at = min(machine.first_acknowledged_at, now)
    return now - machine.first_acknowledged_at <= ledger.limits.workers.lease_s


def _update_machine(ledger: Ledger, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
    """Update the machine by a new heartbeat, except for its tasks."""
    if heartbeat.incarnation > machine.incarnation and machine.incarnation > 0:
        _handle_new_incarnation(ledger, machine, heartbeat, now)
    if machine.phase in (BOOTING, LOST):
        _mark_up(ledger, machine, now)
    machine.incarnation, machine.sequence = heartbeat.incarnation, heartbeat.sequence
    machine.last_heartbeat_at = now
    if ledger.zone_hooks is not None:
        ledger.zone_hooks.heartbeat_received(machine)
    if ledger.shared_silence is not None:
        ledger.shared_silence.heartbeat_received(machine)
    if not machine.reconciled:
        machine.reconciled = True
        machine.has_freed_capacity = True
        ledger.events.changed()
    reclaim_at = None if heartbeat.warning_s is None else now + heartbeat.warning_s
    if reclaim_at is not None and machine.reclaim_at is None:
        event(log, "machine_reclaim_warning", machine=machine.name, in_s=heartbeat.warning_s)
    machine.reclaim_at = reclaim_at
    if heartbeat.endpoint:
        machine.endpoint = heartbeat.endpoint


def _handle_new_incarnation(
    ledger: Ledger, machine: Machine, heartbeat: Heartbeat, now: float
) -> None:
    """Release all tasks of a worker whose lease has expired, as its new incarnation shows."""
    event(log, "incarnation_changed", machine=machine.name, incarnation=heartbeat.incarnation)
    early_s = EARLY_INCARNATION_LEASES * ledger.limits.workers.lease_s
    if machine.reconciled and now - machine.last_heartbeat_at < early_s:
        why = "its lease ended though its heartbeats were answered"
        mark_unresponsive(ledger, machine, now, why)
    ledger.release_all_tasks(machine, now, ReleaseReason.NEW_INCARNATION)


def _mark_up(ledger: Ledger, machine: Machine, now: float) -> None:
    event(log, "machine_up", machine=machine.name, after_s=now - machine.provisioned_at)
    if machine.phase == LOST:
        # It was found to be surplus while other machines did its work. If that were kept, scale-in
        # would terminate it within seconds of its return.
        machine.surplus_since, machine.cordoned = None, False
    ledger.set_phase(machine, UP)
    machine.has_freed_capacity = True
    ledger.events.changed()
