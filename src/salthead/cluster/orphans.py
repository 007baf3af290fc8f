"""Orphan tasks: tasks that run on a machine without a binding, and are to be stopped.

Until a heartbeat no longer lists it, an orphan task occupies capacity on its machine, counts
against its team's quota, and prevents starts of its job. The team of an unknown job is unknown too,
so no task of any job is started until the record of that job has been read.
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
    """The orphan tasks on all machines; the only code that adds and drops them."""

    def __init__(self, jobs: JobTable, allocations: Allocations) -> None:
        self.job_table = jobs
        self.allocations = allocations
        # Jobs of orphan tasks whose records are still to be read, to learn their team.
        self.unknown_jobs: set[str] = set()
        self.task_counts: dict[str, int] = {}  # by job; no task of such a job is started

    def add(self, machine: Machine, key: OrphanKey) -> None:
        """Add an orphan task that a heartbeat lists, and count its usage."""
        if key in machine.orphans:
            return
        job_id, index, attempt = key
        job = self.job_table.jobs.get(job_id)
        known = job or self.job_table.ended_jobs.get(job_id)
        if known is not None:
            team, request = known.team, known.request
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
        self.task_counts[job_id] = self.task_counts.get(job_id, 0) + 1
        machine.orphans[key] = Binding(job, index, attempt, machine, request, team, orphan=True)
        self.allocations.adjust_usage(machine, request, team, 1.0)

    def drop(self, machine: Machine, key: OrphanKey) -> None:
        """Remove an orphan task that is certainly gone, and release its usage."""
        orphan = machine.orphans.pop(key)
        event(log, "orphan_gone", task=f"{key[0]}/{key[1]}", attempt=key[2], machine=machine.name)
        self.allocations.adjust_usage(machine, orphan.request, orphan.team, -1.0)
        remaining = self.task_counts.pop(key[0], 1) - 1
        if remaining > 0:
            self.task_counts[key[0]] = remaining
        else:
            self.unknown_jobs.discard(key[0])
        self.job_table.events.changed()

    def identify_job(self, spec: Submission) -> None:
        """Count the usage of orphan tasks by the record of their job, which has ended."""
        known_team = self.job_table.team_names.get(spec.team)
        team = -1 if known_team is None else known_team
        request = Resources(spec.vcpus, spec.accelerators, spec.ram_gb)
        self.job_table.ended_jobs.add(spec.job_id, team, request)
        self.unknown_jobs.discard(spec.job_id)
        for machine in self.job_table.registry.machines.values():
            for key, orphan in machine.orphans.items():
                if key[0] == spec.job_id and orphan.team < 0:
                    orphan.request, orphan.team = request, team
                    self.allocations.adjust_usage(machine, request, orphan.team, 1.0)
