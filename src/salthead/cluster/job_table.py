"""The jobs that have not ended, which of their tasks are done, and which jobs wait."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

from salthead.cluster.ended_jobs import EndedJobs
from salthead.cluster.estimates import Arrivals, Estimates
from salthead.cluster.events import LedgerEvents
from salthead.cluster.machine_registry import MachineRegistry
from salthead.cluster.model import Job
from salthead.cluster.resources import EPSILON, Resources
from salthead.event_log import event
from salthead.protocol import wire_names
from salthead.protocol.interning import Interner
from salthead.protocol.messages import Submission

log = logging.getLogger(__name__)


@dataclass
class PendingQueue:
    """Jobs with waiting tasks, in the order in which freed capacity is offered to them."""

    jobs: list[Job] = field(default_factory=list)
    min_cpus: float = 0.0  # smallest request of a task in the queue
    constrained: bool = False  # whether a queued job fits on scarce machine types only
    backlog_since: float | None = None  # since when the fleet can't keep up with the queue


class JobTable:
    """Jobs by id; the only code that adds and forgets jobs and marks their tasks as done."""

    def __init__(
        self, registry: MachineRegistry, team_names: Interner, events: LedgerEvents, now: float
    ) -> None:
        self.registry = registry
        self.team_names = team_names
        self.events = events
        self.estimates = Estimates()
        self.arrivals = Arrivals(now)
        self.jobs: dict[str, Job] = {}
        # Jobs without unfinished dependencies, which scheduling passes and fleet plans consider.
        self.ready_jobs: dict[str, Job] = {}
        # Machine types that were the only fitting ones for some job of this term.
        self.scarce_types: set[int] = set()
        self.ended_jobs = EndedJobs(registry)

    def add(
        self, spec: Submission, now: float, submitted_at: float, accepted_this_term: bool
    ) -> Job | None:
        """Add an accepted job; return None if it has ended, or if the settings lack its team.

        Each way of learning of a job ends here. A record can be outdated by the time it is applied,
        since the job may have ended after it was read.
        """
        if spec.job_id in self.ended_jobs:
            event(log, "record_outdated", job=spec.job_id)
            return None
        team = self.team_names.get(spec.team)
        if team is None:
            event(log, "team_unknown", logging.WARNING, job=spec.job_id, team=spec.team)
            return None
        job = self._build_job(spec, team, submitted_at, accepted_this_term)
        self.jobs[spec.job_id] = job
        if accepted_this_term:
            self.arrivals.record_arrival(now)
        fitting_types = self.fitting_types(job)
        if len(fitting_types) == 1 < len(self.registry.machine_types):
            self.scarce_types |= fitting_types
        job.constrained = fitting_types <= self.scarce_types
        return job

    def _build_job(
        self, spec: Submission, team: int, submitted_at: float, accepted_this_term: bool
    ) -> Job:
        registry = self.registry
        allowed_types = None
        if spec.machine_types is not None:
            allowed_types = frozenset(
                registry.type_names.intern(name) for name in spec.machine_types
            )
        return Job(
            spec=spec,
            team=team,
            priority=wire_names.URGENCIES.index(spec.urgency),
            request=Resources(spec.vcpus, spec.accelerators, spec.ram_gb),
            allowed_types=allowed_types,
            zone=None if spec.zone is None else registry.zones.intern(spec.zone),
            submitted_at=submitted_at,
            done=bytearray(spec.task_count),
            accepted_this_term=accepted_this_term,
        )

    def fitting_types(self, job: Job) -> set[int]:
        """Return the machine types that the job allows and that one of its tasks fits on."""
        return {
            type_index
            for type_index, capacity in self.registry.capacities.items()
            if (job.allowed_types is None or type_index in job.allowed_types)
            and all(c + EPSILON >= n for c, n in zip(capacity, job.request, strict=True))
        }

    def load_done(self, job: Job, indices: Iterable[int]) -> None:
        """Mark tasks as done that an earlier term saved as done."""
        for index in indices:
            if 0 <= index < job.spec.task_count and not job.done[index]:
                job.done[index] = 1
                job.n_done += 1
                job.saved.add(index)
        if job.complete:
            self.events.completed(job)

    def mark_done(self, job: Job, index: int) -> None:
        """Mark a task as done that a heartbeat reports as done."""
        # The tasks of a gang complete together, so one done task completes them all.
        done_indices = range(job.spec.task_count) if job.gang else (index,)
        for done_index in done_indices:
            if not job.done[done_index]:
                job.done[done_index] = 1
                job.n_done += 1
                job.unsaved.add(done_index)
        if job.complete:
            self.events.completed(job)
        self.events.changed()

    def mark_saved(self, job: Job, indices: Iterable[int]) -> None:
        """Record that the state service holds these done tasks."""
        for index in indices:
            job.saved.add(index)
            job.unsaved.discard(index)

    def forget(self, job: Job) -> None:
        """Remove a job that has ended and has no bound task; remember its team and request."""
        if job.terminal_phase and not job.bindings and self.jobs.get(job.job_id) is job:
            self.ended_jobs.add(job.job_id, job.team, job.request)
            del self.jobs[job.job_id]
            self.ready_jobs.pop(job.job_id, None)
