"""Orphan tasks: those on a machine that no binding explains, so that their stop is wanted.

Until a heartbeat shows that one is gone it holds its booking on the machine, its team's quota, and
its job, of which nothing is started. Of a job that is unknown here the team is unknown as well, and
nothing at all is started until its record has been read.
"""

from __future__ import annotations

import logging

from salthead import metrics
from salthead.cluster.allocations import Allocations
from salthead.cluster.job_table import JobTable
from salthead.cluster.model import Binding, Machine
from salthead.cluster.resources import NO_RESOURCES, Resources
from salthead.event_log import event
from salthead.protocol.messages import Submission

log = logging.getLogger(__name__)

OrphanKey = tuple[str, int, int]  # job, task number and attempt


class OrphanTasks:
    """The orphan tasks on all machines. It alone adds and drops them."""

    def __init__(self, jobs: JobTable, allocations: Allocations) -> None:
        self.job_table = jobs
        self.allocations = allocations
        # Orphan tasks whose job is not known: their team is unknown until its record is read.
        self.unknown_jobs: set[str] = set()
        self.count_by_job: dict[str, int] = {}  # such a job starts nothing

    def add(self, machine: Machine, key: OrphanKey) -> None:
        """Note an orphan task that a heartbeat shows, and book what it takes."""
        if key in machine.orphans:
            return
        job_id, index, attempt = key
        job = self.job_table.jobs.get(job_id)
        if job is not None:
            team, request = job.team, job.request
        elif job_id in self.job_table.team_of:
            team, request = self.job_table.team_of[job_id]
        else:
            team, request = -1, NO_RESOURCES
            self.unknown_jobs.add(job_id)
        event(
            log,
            "orphan_found",
            task=f"{job_id}/{index}",
            attempt=attempt,
            machine=machine.name,
            incarnation=machine.incarnation,
            job_known=job is not None,
            team_known=team >= 0,
            fencing_token=self.allocations.fencing_token,
        )
        metrics.ORPHAN_TASKS.inc()
        self.count_by_job[job_id] = self.count_by_job.get(job_id, 0) + 1
        machine.orphans[key] = Binding(job, index, attempt, machine, request, team, orphan=True)
        self.allocations.adjust_usage(machine, request, team, 1.0)

    def drop(self, machine: Machine, key: OrphanKey) -> None:
        """The orphan task is certainly gone: release what it took."""
        orphan = machine.orphans.pop(key)
        event(log, "orphan_gone", task=f"{key[0]}/{key[1]}", attempt=key[2], machine=machine.name)
        self.allocations.adjust_usage(machine, orphan.request, orphan.team, -1.0)
        left = self.count_by_job.pop(key[0], 1) - 1
        if left > 0:
            self.count_by_job[key[0]] = left
        else:
            self.unknown_jobs.discard(key[0])
        self.job_table.events.changed()

    def identify_job(self, spec: Submission) -> None:
        """The record of an ended job whose tasks are still on machines: count them in."""
        found = self.job_table.team_names.get(spec.team)
        team = -1 if found is None else found
        request = Resources(spec.vcpus, spec.accelerators, spec.ram_gb)
        self.job_table.team_of[spec.job_id] = (team, request)
        self.unknown_jobs.discard(spec.job_id)
        for machine in self.job_table.registry.machines.values():
            for key, orphan in machine.orphans.items():
                if key[0] == spec.job_id and orphan.team < 0:
                    orphan.request, orphan.team = request, team
                    self.allocations.adjust_usage(machine, request, orphan.team, 1.0)
