"""Effects of dependencies between jobs on the jobs of the ledger."""

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

# Due times are recomputed when the factor on the estimates of a job class changes by more than this
# share of itself.
ESTIMATE_TOLERANCE = 0.1
MAX_LOGGED_JOBS = 5


class JobDependencies:
    """Makes jobs ready or cancels them when their dependencies end.

    Also copies to jobs the priorities and due times that they inherit from their dependents.
    """

    def __init__(
        self, jobs: JobTable, allocations: Allocations, objectives: Sequence[Objective]
    ) -> None:
        self.job_table = jobs
        self.allocations = allocations
        self.events = jobs.events
        self.deadline_objectives = [
            objective for objective in objectives if objective.kind == "deadline"
        ]
        self.graph = DependencyGraph()
        # By job class: the factor on estimates with which due times were last computed.
        self.estimate_factors: dict[str, float] = {}
        # Jobs that a dependency cancelled and whose outcome is still to be written.
        self.pending_aborts: dict[str, None] = {}

    def add_job(self, job: Job) -> None:
        """Add a job to the graph; make it ready, blocked or cancelled by its dependencies."""
        spec, depends_on = job.spec, job.spec.depends_on or []
        job.since = job.submitted_at
        due = (
            (math.inf, math.inf)
            if spec.deadline_s is None
            else self._due_times(job, spec.deadline_s)
        )
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
            self._set_ready_time(job)
        if any(
            known.dependency_cancelled or known.terminal_phase == wire_names.ABORTED
            for job_id in depends_on
            if (known := self.job_table.jobs.get(job_id)) is not None
        ):
            self._cancel_dependents([job.job_id, *self.graph.mark_aborted(job.job_id)])
        self._apply_inherited()

    def _due_times(self, job: Job, deadline_s: float) -> tuple[float, float]:
        """Return the due time by the job's deadline, and the latest completion that counts."""
        times = [
            objective.times
            for objective in self.deadline_objectives
            if objective.job_class == job.spec.job_class
        ]
        return (
            job.submitted_at + deadline_s * min(times, default=1.0),
            job.submitted_at + deadline_s * max(times, default=1.0),
        )

    def _set_ready_time(self, job: Job) -> None:
        done_at = self.graph.done_at
        depends_on = job.spec.depends_on or []
        job.since = max(
            [
                job.submitted_at,
                *(at for job_id in depends_on if (at := done_at.get(job_id)) is not None),
            ]
        )

    def _mark_ready(self, job_ids: list[str]) -> None:
        """Make jobs ready whose dependencies are all durably done."""
        for job_id in job_ids:
            job = self.job_table.jobs[job_id]
            job.blocked_on_dependencies = False
            self.job_table.ready_jobs[job_id] = job
            self._set_ready_time(job)
            event(log, "job_ready", job=job_id)
        if job_ids:
            self.events.changed()

    def _cancel_dependents(self, job_ids: list[str]) -> None:
        """Cancel jobs that depend on a job whose outcome ``aborted`` is durable."""
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
        """Apply a durable outcome to a job's dependents: they become ready or are cancelled."""
        self.pending_aborts.pop(job.job_id, None)
        if phase == wire_names.DONE:
            node = self.graph.nodes.get(job.job_id)
            for job_id in node.dependents if node is not None else ():
                # No earlier leader can have started a dependent while this job was unfinished.
                self.job_table.jobs[job_id].accepted_this_term = True
            self._mark_ready(self.graph.mark_done(job.job_id, now))
        else:
            self._cancel_dependents(self.graph.mark_aborted(job.job_id))
        self._apply_inherited()

    def resolve(self, job_id: str, phase: str, ended_at: float) -> None:
        """Apply the recorded outcome of a dependency that ended before this term."""
        if phase == wire_names.DONE:
            self._mark_ready(self.graph.mark_done(job_id, ended_at))
        else:
            self._cancel_dependents(self.graph.mark_aborted(job_id))
        self._apply_inherited()

    def _apply_inherited(self) -> None:
        """Copy the inherited priorities and due times that changed to the jobs."""
        for job_id, node in self.graph.take_changed():
            job = self.job_table.jobs.get(job_id)
            if job is not None:
                job.due = node.inherited_due
                self.allocations.set_priority(job, node.inherited_priority)

    def update_due_times(self) -> None:
        """Recompute due times where the factor on estimates changed beyond the tolerance."""
        jobs, estimates = self.job_table.jobs, self.job_table.estimates
        for job_class, job_ids in self.graph.job_classes.items():
            factor = estimates.factor(job_class)
            known_factor = self.estimate_factors.get(job_class, 1.0)
            if abs(factor - known_factor) > ESTIMATE_TOLERANCE * factor:
                self.estimate_factors[job_class] = factor
                self.graph.update_run_times(
                    (job_id, estimates.run_s(job_class, jobs[job_id].spec.estimated_run_s))
                    for job_id in job_ids
                )
        self._apply_inherited()

    def unfinished(self, job_id: str, most: int) -> list[str]:
        """Return up to ``most`` unfinished dependencies of a job, sorted by id."""
        node = self.graph.nodes.get(job_id)
        return sorted(node.unfinished)[:most] if node is not None else []
