"""What time alone decides: leases that have certainly expired, and the end of a failover."""

from __future__ import annotations

import logging
import math

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import LOST, UP, Machine, ReleaseReason
from salthead.event_log import event
from salthead.failure_detection.preconditions import Action, Precondition, permits

log = logging.getLogger(__name__)

WORKER_LEASE_EXPIRED = int(Precondition.WORKER_LEASE_EXPIRED)


def sweep(ledger: Ledger, now: float) -> None:
    """Bring the ledger in line with the time; called about twice a second."""
    ledger.dependencies.update_due_times()
    ledger.invariants.audit(now)
    # Workers of a leader without its lease may send their heartbeats to the next one by now: such a
    # leader had declared 135 machines lost that the next one heard from.
    if permits(Action.DECLARE_LOST, ledger.confirmed_preconditions() | WORKER_LEASE_EXPIRED):
        for machine in ledger.machines.values():
            if machine.phase == UP and now > ledger.leases.expires_at(machine):
                _declare_lost(ledger, machine, now)
    if ledger.loaded and not ledger.ready and ledger.failover.sweep(now):
        _complete_failover(ledger, now)


def _declare_lost(ledger: Ledger, machine: Machine, now: float) -> None:
    # Heartbeats of this incarnation that still come are late: a worker that goes on does so with
    # the next incarnation and no tasks.
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
    # It holds nothing any more, and may join if it heals.
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
    """Gangs of which an earlier leader had started only a part when it ended.

    With all machines accounted for, the rest of the gang is nowhere: the part would hold its places
    and wait for it until it gives up. It is stopped, and the gang drawn anew.
    """
    for job in list(ledger.jobs.values()):
        if job.gang and 0 < len(job.bindings) < job.spec.task_count and not job.complete:
            ledger.allocations.fail_gang(job, now, "incomplete after a failover")
