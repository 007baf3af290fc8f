"""Orphan tasks: those on a machine that no binding explains, so that their stop is wanted.

Until a heartbeat shows that one is gone it holds its booking on the machine, its team's quota, and
its job, of which nothing is started. Of a job that is unknown here the team is unknown as well, and
nothing at all is started until its record has been read.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from salthead import metrics
from salthead.cluster.model import NO_RESOURCES, Binding, Machine, Resources
from salthead.event_log import event
from salthead.protocol.messages import Submission

if TYPE_CHECKING:
    from salthead.cluster.ledger import Ledger

log = logging.getLogger(__name__)

OrphanKey = tuple[str, int, int]  # job, task number and attempt


def add(ledger: Ledger, machine: Machine, key: OrphanKey) -> None:
    """Note a orphan task that a heartbeat shows, and book what it takes."""
    if key in machine.orphans:
        return
    job_id, index, attempt = key
    job = ledger.jobs.get(job_id)
    if job is not None:
        team, request = job.team, job.request
    elif job_id in ledger.team_of:
        team, request = ledger.team_of[job_id]
    else:
        team, request = -1, NO_RESOURCES
        ledger.unknown_jobs.add(job_id)
    event(
        log,
        "orphan_found",
        task=f"{job_id}/{index}",
        attempt=attempt,
        machine=machine.name,
        incarnation=machine.incarnation,
        job_known=job is not None,
        team_known=team >= 0,
        fencing_token=ledger.fencing_token,
    )
    metrics.ORPHAN_TASKS.inc()
    ledger.orphan_jobs[job_id] = ledger.orphan_jobs.get(job_id, 0) + 1
    machine.orphans[key] = Binding(job, index, attempt, machine, request, team, orphan=True)
    ledger.book(machine, request, team, 1.0)


def drop(ledger: Ledger, machine: Machine, key: OrphanKey) -> None:
    """The orphan task is certainly gone: release what it took."""
    orphan = machine.orphans.pop(key)
    event(log, "orphan_gone", task=f"{key[0]}/{key[1]}", attempt=key[2], machine=machine.name)
    ledger.book(machine, orphan.request, orphan.team, -1.0)
    left = ledger.orphan_jobs.pop(key[0], 1) - 1
    if left > 0:
        ledger.orphan_jobs[key[0]] = left
    else:
        ledger.unknown_jobs.discard(key[0])
    ledger.events.changed()


def identify_job(ledger: Ledger, spec: Submission) -> None:
    """The record of an ended job whose tasks are still on machines: count them in."""
    team = ledger.team_names.get(spec.team)
    request = Resources(spec.vcpus, spec.accelerators, spec.ram_gb)
    ledger.team_of[spec.job_id] = (-1 if team is None else team, request)
    ledger.unknown_jobs.discard(spec.job_id)
    for machine in ledger.machines.values():
        for key, orphan in machine.orphans.items():
            if key[0] == spec.job_id and orphan.team < 0:
                orphan.request, orphan.team = request, -1 if team is None else team
                ledger.book(machine, request, orphan.team, 1.0)
