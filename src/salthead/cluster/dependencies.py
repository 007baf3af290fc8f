"""What the graph of awaited jobs means for the jobs of the ledger."""

from __future__ import annotations

import logging
import math
from collections.abc import Sequence

from salthead.cluster.allocations import Allocations
from salthead.cluster.dependency_graph import DependencyGraph
from salthead.cluster.job_table import JobTable
from salthead.cluster.model import Job
from salthead.event_log import event
from salthead.protocol import wire_names
from salthead.settings import Objective

log = logging.getLogger(__name__)

# Due times follow an estimate that has moved by more than this part of itself.
ESTIMATE_TOLERANCE = 0.1
MAX_LOGGED_JOBS = 5


class JobDependencies:
    """Which jobs are ready, which end with one that they need, and what they inherit."""

    def __init__(
        self, jobs: JobTable, allocations: Allocations, objectives: Sequence[Objective]
    ) -> None:
        self.job_table = jobs
        self.allocations = allocations
        self.events = jobs.events
        self.deadline_objectives = [one for one in objectives if one.kind == "deadline"]
        self.graph = DependencyGraph()
        self.factors: dict[str, float] = {}  # of estimates, as the pipelines' due times use them
        self.pending_aborts: dict[str, None] = {}  # jobs whose outcome follows and is to be written

    def add_job(self, job: Job) -> None:
        """Find the job's place among those that wait for others."""
        spec, depends_on = job.spec, job.spec.depends_on or []
        job.since = job.submitted
        due = (math.inf, math.inf) if spec.deadline_s is None else self._due(job, spec.deadline_s)
        self.graph.add(
            job.job_id,
            depends_on,
            job.priority,
            spec.job_class,
            self.job_table.estimates.run_s(spec.job_class, spec.estimated_run_s),
            due,
        )
        job.blocked_on_dependencies = bool(self.graph.nodes[job.job_id].unfinished)
        if not job.blocked_on_dependencies:
            self.job_table.ready_jobs[job.job_id] = job
            self._count_from(job)
        if any(
            known.dependency_cancelled or known.terminal_phase == wire_names.ABORTED
            for job_id in depends_on
            if (known := self.job_table.jobs.get(job_id)) is not None
        ):
            self._cancel_dependents([job.job_id, *self.graph.aborted(job.job_id)])
        self._inherit()

    def _due(self, job: Job, deadline_s: float) -> tuple[float, float]:
        """When the job is due by its own deadline, and the last time that still counts."""
        times = [
            objective.times
            for objective in self.deadline_objectives
            if objective.job_class == job.spec.job_class
        ]
        return (
            job.submitted + deadline_s * min(times, default=1.0),
            job.submitted + deadline_s * max(times, default=1.0),
        )

    def _count_from(self, job: Job) -> None:
        ended = self.graph.ended
        awaited = job.spec.depends_on or []
        job.since = max(
            [job.submitted, *(at for job_id in awaited if (at := ended.get(job_id)) is not None)]
        )

    def _ready(self, job_ids: list[str]) -> None:
        """All that these await is durably done."""
        for job_id in job_ids:
            job = self.job_table.jobs[job_id]
            job.blocked_on_dependencies = False
            self.job_table.ready_jobs[job_id] = job
            self._count_from(job)
            event(log, "job_ready", job=job_id)
        if job_ids:
            self.events.changed()

    def _cancel_dependents(self, job_ids: list[str]) -> None:
        """A job that these need was cancelled, durably: their end follows from that."""
        for job_id in job_ids:
            job = self.job_table.jobs[job_id]
            job.dependency_cancelled = True
            self.job_table.ready_jobs.pop(job_id, None)
            self.pending_aborts[job_id] = None
            self.allocations.stop_all(job)
        if job_ids:
            first = ",".join(job_ids[:MAX_LOGGED_JOBS])
            event(log, "dependents_cancelled", jobs=len(job_ids), first=first)
            self.events.aborts_pending()
            self.events.changed()

    def end_job(self, job: Job, phase: str, now: float) -> None:
        """A job's outcome is durable: what awaits it is ready, or ends with it."""
        self.pending_aborts.pop(job.job_id, None)
        if phase == wire_names.DONE:
            node = self.graph.nodes.get(job.job_id)
            for job_id in node.dependents if node is not None else ():
                # Until now nobody could start it.
                self.job_table.jobs[job_id].accepted_this_term = True
            self._ready(self.graph.done(job.job_id, now))
        else:
            self._cancel_dependents(self.graph.aborted(job.job_id))
        self._inherit()

    def resolve(self, job_id: str, phase: str, ended_at: float) -> None:
        """What a record says of a job that others await, and that ended before this term."""
        if phase == wire_names.DONE:
            self._ready(self.graph.done(job_id, ended_at))
        else:
            self._cancel_dependents(self.graph.aborted(job_id))
        self._inherit()

    def _inherit(self) -> None:
        """Ranks and due times that have changed with the graph."""
        for job_id, node in self.graph.take_moved():
            job = self.job_table.jobs.get(job_id)
            if job is not None:
                job.due = node.inherited_due
                self.allocations.set_priority(job, node.inherited_priority)

    def revise_runs(self) -> None:
        """Where estimates of run times have moved by more than a tenth, so do due times."""
        jobs, estimates = self.job_table.jobs, self.job_table.estimates
        for job_class, job_ids in self.graph.job_classes.items():
            factor = estimates.factor(job_class)
            if abs(factor - self.factors.get(job_class, 1.0)) > ESTIMATE_TOLERANCE * factor:
                self.factors[job_class] = factor
                self.graph.revise(
                    (job_id, estimates.run_s(job_class, jobs[job_id].spec.estimated_run_s))
                    for job_id in job_ids
                )
        self._inherit()

    def unfinished(self, job_id: str, most: int) -> list[str]:
        """Up to ``most`` of the jobs that a job still waits for, by id."""
        node = self.graph.nodes.get(job_id)
        return sorted(node.unfinished)[:most] if node is not None else []
