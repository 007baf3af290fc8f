"""Periodic updates of the ledger: expired worker leases and the end of a failover."""

from __future__ import annotations

import logging
import math

from salthead.cluster.allocations import ReleaseReason
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import LOST, UP, Machine
from salthead.event_log import event
from salthead.failure_detection.preconditions import Action, Precondition, permits

log = logging.getLogger(__name__)

WORKER_LEASE_EXPIRED = int(Precondition.WORKER_LEASE_EXPIRED)


def sweep(ledger: Ledger, now: float) -> None:
    """Apply what has expired by ``now``; called about twice a second."""
    ledger.dependencies.update_due_times()
    ledger.invariants.audit(now)
    # A leader without a valid lease must not declare machines lost, since their workers may already
    # send heartbeats to the next leader. Without this check, a leader declared 135 such machines
    # lost.
    if permits(Action.DECLARE_LOST, ledger.confirmed_preconditions() | WORKER_LEASE_EXPIRED):
        for machine in ledger.machines.values():
            if machine.phase == UP and now > ledger.leases.expires_at(machine):
                _declare_lost(ledger, machine, now)
    if ledger.loaded and not ledger.ready and ledger.failover.sweep(now):
        _complete_failover(ledger, now)


def _declare_lost(ledger: Ledger, machine: Machine, now: float) -> None:
    # The machine's tasks can safely be placed elsewhere, since a worker whose lease expired
    # continues with the next incarnation and without tasks. Later heartbeats of this incarnation
    # are therefore late copies.
    event(
        log,
        "machine_lost",
        machine=machine.name,
        unheard_s=now - machine.last_heartbeat_at,
        fencing_token=ledger.fencing_token,
    )
    ledger.set_phase(machine, LOST)
    machine.lost_at = now
    machine.min_incarnation = machine.incarnation + 1
    # The machine runs no tasks any more, and may come up again.
    machine.first_acknowledged_at = math.inf
    machine.reconciled = False
    ledger.release_all_tasks(machine, now, ReleaseReason.LEASE_EXPIRED)


def _complete_failover(ledger: Ledger, now: float) -> None:
    ledger.ready = True
    _end_partial_gangs(ledger, now)
    event(
        log,
        "failover_complete",
        fencing_token=ledger.fencing_token,
        after_s=now - ledger.term_started_at,
        machines=len(ledger.machines),
        jobs=len(ledger.jobs),
    )
    ledger.events.changed()


def _end_partial_gangs(ledger: Ledger, now: float) -> None:
    """End the attempts of gangs that an earlier leader had started only in part.

    Once all machines are reconciled, the missing tasks are on none of them. The running part would
    occupy its machines and wait for its peers until it gives up, so the gang is placed again.
    """
    for job in list(ledger.jobs.values()):
        if job.gang and 0 < len(job.bindings) < job.spec.task_count and not job.complete:
            ledger.allocations.fail_gang(job, now, "incomplete after a failover")
