"""Builders of leader ledgers, machines, heartbeats and jobs."""

from __future__ import annotations

from typing import Any

import msgspec

from builders.platform import MACHINE_TYPES, platform_limits
from builders.submissions import submission
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Job, Machine
from salthead.heartbeats.handling import handle_heartbeat
from salthead.leases.unloaded_renewals import NO_TERM
from salthead.protocol.messages import Command, Heartbeat, TaskStatus

FENCING_TOKEN = 7


def new_ledger(now: float = 0.0, fencing_token: int = FENCING_TOKEN, **changes: Any) -> Ledger:
    """Return the ledger of a leader that has read all records and knows no machine yet."""
    ledger = Ledger(platform_limits(**changes), fencing_token, now, preceding=NO_TERM)
    ledger.set_machine_types(MACHINE_TYPES)
    ledger.loaded = True
    return ledger


def ready_ledger(now: float = 0.0, **changes: Any) -> Ledger:
    """Return the ledger of a leader whose failover is complete."""
    ledger = new_ledger(now, **changes)
    ledger.ready = True
    return ledger


def heartbeat(
    name: str,
    sequence: int,
    *tasks: tuple[Any, ...],
    incarnation: int = 1,
    fencing_token: int = FENCING_TOKEN,
    machine_type: str = "small",
    zone: str = "north",
    spot: bool = False,
    warning_s: float | None = None,
) -> Heartbeat:
    """Return a heartbeat; tasks are (task, attempt, phase[, cause[, saved]])."""
    return Heartbeat(
        worker=name,
        incarnation=incarnation,
        sequence=sequence,
        fencing_token=fencing_token,
        machine_type=machine_type,
        zone=zone,
        spot=spot,
        warning_s=warning_s,
        endpoint="x:1",
        tasks=[
            TaskStatus(
                task_id=task[0],
                attempt=task[1],
                phase=task[2],
                cause=task[3] if len(task) > 3 else None,
                saved=task[4] if len(task) > 4 else False,
            )
            for task in tasks
        ],
    )


def add_machine(ledger: Ledger, name: str, now: float = 0.0, **kind: Any) -> Machine:
    """Add a registered machine that has sent a heartbeat with the current fencing token."""
    ledger.add_machine(
        name,
        kind.get("machine_type", "small"),
        kind.get("zone", "north"),
        kind.get("spot", False),
        now,
        registered=True,
    )
    assert handle_heartbeat(ledger, heartbeat(name, 1, **kind), now) == []
    return ledger.machines[name]


def add_job(ledger: Ledger, now: float = 0.0, **changes: Any) -> Job:
    """Add a job; ``changes`` override attributes of the default submission."""
    job = ledger.add_job(submission(**changes), now)
    assert job is not None
    return job


def verbs_of(orders: list[Command] | None) -> list[tuple[str, str]]:
    """Return the verb and the task of each command."""
    assert orders is not None
    return [(order["verb"], order["piece"]) for order in msgspec.to_builtins(orders)]
