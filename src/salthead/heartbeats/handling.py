"""How a worker's heartbeat is answered, and what it changes in the ledger, its tasks aside."""

from __future__ import annotations

import logging
import math

from salthead.cluster.ledger import Ledger
from salthead.cluster.machine_health import mark_unresponsive
from salthead.cluster.model import BOOTING, LOST, UP, Machine, ReleaseReason
from salthead.event_log import event
from salthead.failure_detection.preconditions import Action, Precondition, missing_preconditions
from salthead.heartbeats.task_reconciliation import commands_for
from salthead.protocol import wire_names
from salthead.protocol.messages import Command, Heartbeat

log = logging.getLogger(__name__)

JOBS_KNOWN = int(Precondition.JOBS_KNOWN)
MACHINE_NOT_TERMINATED = int(Precondition.MACHINE_NOT_TERMINATED)
INCARNATION_CURRENT = int(Precondition.INCARNATION_CURRENT)
RESPONSES_DELIVERED = int(Precondition.RESPONSES_DELIVERED)
# A new incarnation this soon after the last heartbeat, in leases, ended while it was answered.
EARLY_INCARNATION_LEASES = 0.5


def handle_heartbeat(
    ledger: Ledger,
    heartbeat: Heartbeat,
    now: float,
    direct: bool = False,
) -> list[Command] | None:
    """Commands for the worker, or None when the heartbeat must not be answered with 200.

    A ``direct`` heartbeat is the answer to a call of ours. It renews no lease and carries no
    commands back, and it may have been made while an answer with starts was under way, so what it
    does not show may still begin.
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
        # Nearly all heartbeats of a busy fleet are like this: all that an answer requires holds, as
        # at the last one, nothing is new and nothing is wanted. Inlined from what follows, since at
        # 570 machines half of what a leader did for heartbeats was to find that out.
        links = machine.links
        if heartbeat.sequence == links.acknowledged_sequence + 1 and ledger.other_controllers:
            links.answers_at = links.acknowledged_at
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
    return _answer(ledger, machine, heartbeat, now, direct)


def _answer(
    ledger: Ledger, machine: Machine | None, heartbeat: Heartbeat, now: float, direct: bool
) -> list[Command] | None:
    """Any other heartbeat: whether it may be answered, and with which commands."""
    # Made after an answer of this term was accepted: a heartbeat of an earlier term, or of
    # before the worker's first answer, may be a copy that comes late.
    current = heartbeat.fencing_token == ledger.fencing_token
    if heartbeat.fencing_token > ledger.fencing_token:
        ledger.newer_fencing_token = max(ledger.newer_fencing_token, heartbeat.fencing_token)
    if machine is not None and not direct:
        _record_acknowledgements(ledger, machine, heartbeat, current, now)
    facts = _answer_facts(ledger, machine, heartbeat, current or direct, now)
    missing = missing_preconditions(Action.ACKNOWLEDGE_HEARTBEAT, facts)
    if missing:
        ledger.blocked_actions.note(Action.ACKNOWLEDGE_HEARTBEAT, missing, now)
        return None
    if machine is None:
        if not current or not ledger.loaded:
            # The answer carries the token, and the next heartbeat is under it. Nothing is recorded:
            # a machine that an earlier leader terminated looks like this in a late copy, and
            # one that is not in the machine registry was never started anything.
            return []
        machine = _add_unexpected(ledger, heartbeat, now)
    if not direct:
        machine.acknowledged_at = now
        machine.links.acknowledged(heartbeat.incarnation, heartbeat.sequence, now)
    newer = (heartbeat.incarnation, heartbeat.sequence) > (machine.incarnation, machine.sequence)
    if not newer or not ledger.loaded:
        return []  # not loaded: keep the worker alive, look at its tasks next time
    if not current:
        # Its tasks may be those of long ago: an exit reaped since, a task that is elsewhere
        # now. A machine that comes up may enter the machine registry meanwhile.
        machine.seen_in_earlier_term = True
        machine.endpoint = machine.endpoint or heartbeat.endpoint
        return []
    return _take_new_heartbeat(ledger, machine, heartbeat, now, direct)


def _add_unexpected(ledger: Ledger, heartbeat: Heartbeat, now: float) -> Machine:
    """A machine that shows this term's token, though neither the registry nor the cloud lists
    it."""
    machine = ledger.add_machine(
        heartbeat.worker, heartbeat.machine_type, heartbeat.zone, heartbeat.spot, now
    )
    event(log, "machine_unexpected", machine=machine.name)
    return machine


def _take_new_heartbeat(
    ledger: Ledger, machine: Machine, heartbeat: Heartbeat, now: float, direct: bool
) -> list[Command]:
    """Take in a new heartbeat under this term's token; the commands that follow."""
    _take_in(ledger, machine, heartbeat, now)
    if (
        machine.nothing_pending
        and not machine.has_freed_capacity
        and heartbeat.tasks == machine.last_tasks
    ):
        return []  # nothing is new, and nothing is wanted
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
    """What a worker's own heartbeat shows of the answers to those before it."""
    lost = machine.links.heartbeat_received(
        heartbeat.incarnation, heartbeat.sequence, current, ledger.other_controllers, now
    )
    if lost and not machine.reconciled and ledger.shared_silence is not None:
        # None of our answers renewed its lease, nor will one of them. Counted from the last of
        # them, deaf machines held up a failover for two leases (33 s and 46 s of 15 s and 21 s).
        machine.acknowledged_at = -math.inf


def heartbeat_seen_by_peer(
    ledger: Ledger, worker: str, number: tuple[int, int], shows_fencing_token: bool, now: float
) -> None:
    """A heartbeat, by incarnation and sequence, came to another controller: it missed this one's
    answer.

    A deaf worker asks all controllers in turn, so that its next heartbeat here may be three
    time-outs away.
    """
    machine = ledger.machines.get(worker)
    if machine is None:
        return
    lost = machine.links.turned_away(*number, shows_fencing_token, now)
    if lost and not shows_fencing_token and not machine.reconciled:
        machine.acknowledged_at = -math.inf


def _answer_facts(
    ledger: Ledger, machine: Machine | None, heartbeat: Heartbeat, heeds: bool, now: float
) -> int:
    """What is confirmed about a worker whose heartbeat asks for an answer.

    ``heeds``: it has shown this term's token, or it answers a call of ours.
    """
    held = ledger.confirmed_preconditions()
    if now - ledger.term_started_at <= ledger.unloaded_grace_s:
        # Which jobs were cancelled may not be known here yet. In an outage of the state service
        # that may go on for longer than their tasks may be kept alive by answers.
        held |= JOBS_KNOWN
    if heartbeat.worker not in ledger.recently_gone:
        held |= MACHINE_NOT_TERMINATED
    if machine is None:
        return held | INCARNATION_CURRENT | RESPONSES_DELIVERED
    if heartbeat.incarnation >= machine.min_incarnation:
        held |= INCARNATION_CURRENT
    if heeds or machine.reconciled or _may_receive(ledger, machine, now):
        held |= RESPONSES_DELIVERED
    return held


def _may_receive(ledger: Ledger, machine: Machine, now: float) -> bool:
    """Whether a worker that has not shown the token may receive the answer to this heartbeat.

    Its lease has to be counted from some last answer, or it would hold up a failover: one that
    still does not know the token after a whole lease gets no more, nor one that neither answers
    nor direct calls reach. Such calls are repeated, and one that is answered ends that.
    """
    if ledger.shared_silence is not None and machine.links.unreachable():
        return False
    machine.first_acknowledged_at = min(machine.first_acknowledged_at, now)
    return now - machine.first_acknowledged_at <= ledger.limits.workers.lease_s


def _take_in(ledger: Ledger, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
    """What a new heartbeat says of its machine, its tasks aside."""
    if heartbeat.incarnation > machine.incarnation and machine.incarnation > 0:
        _new_incarnation(ledger, machine, heartbeat, now)
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
    warned = None if heartbeat.warning_s is None else now + heartbeat.warning_s
    if warned is not None and machine.reclaim_at is None:
        event(log, "machine_reclaim_warning", machine=machine.name, in_s=heartbeat.warning_s)
    machine.reclaim_at = warned
    if heartbeat.endpoint:
        machine.endpoint = heartbeat.endpoint


def _new_incarnation(ledger: Ledger, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
    """The worker's lease has ended, and with it all that it ran."""
    event(log, "incarnation_changed", machine=machine.name, incarnation=heartbeat.incarnation)
    early_s = EARLY_INCARNATION_LEASES * ledger.limits.workers.lease_s
    if machine.reconciled and now - machine.last_heartbeat_at < early_s:
        why = "its lease ended though its heartbeats were answered"
        mark_unresponsive(ledger, machine, now, why)
    ledger.release_all_tasks(machine, now, ReleaseReason.NEW_INCARNATION)


def _mark_up(ledger: Ledger, machine: Machine, now: float) -> None:
    event(log, "machine_up", machine=machine.name, after_s=now - machine.provisioned_at)
    if machine.phase == LOST:
        # That it was not needed was found while others did its work: seen on one-way-machines,
        # moana-buoys-hunt, 7 and 19 machines returned within seconds of coming back.
        machine.surplus_since, machine.cordoned = None, False
    ledger.set_phase(machine, UP)
    machine.has_freed_capacity = True
    ledger.events.changed()
