"""The jobs that are not over, with the tasks of theirs that are done."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from salthead.cluster.estimates import Arrivals, Estimates
from salthead.cluster.events import LedgerEvents
from salthead.cluster.machine_registry import REMEMBERED_FLEETS, MachineRegistry
from salthead.cluster.model import Job
from salthead.cluster.resources import EPSILON, Resources
from salthead.event_log import event
from salthead.protocol import wire_names
from salthead.protocol.interning import Interner
from salthead.protocol.messages import Submission

log = logging.getLogger(__name__)

# Ended jobs whose team is remembered, for orphan tasks of theirs: at the least.
MIN_REMEMBERED_JOBS = 5000


class JobTable:
    """Jobs by their id. It alone adds and forgets jobs and notes which of their tasks are done."""

    def __init__(
        self, registry: MachineRegistry, team_names: Interner, events: LedgerEvents, now: float
    ) -> None:
        self.registry = registry
        self.team_names = team_names
        self.events = events
        self.estimates = Estimates()
        self.arrivals = Arrivals(now)
        self.jobs: dict[str, Job] = {}
        # Those that wait for no other job: what passes and plans look at.
        self.ready_jobs: dict[str, Job] = {}
        # Types that are the only ones for some class of jobs, as seen in this term.
        self.scarce: set[int] = set()
        self.team_of: dict[str, tuple[int, Resources]] = {}  # of ended jobs: team and request

    def add(
        self, spec: Submission, now: float, submitted: float, accepted_this_term: bool
    ) -> Job | None:
        """Add an accepted job; None when its team is unknown to these settings."""
        team = self.team_names.get(spec.team)
        if team is None:
            event(log, "team_unknown", logging.WARNING, job=spec.job_id, team=spec.team)
            return None
        job = self._job(spec, team, submitted, accepted_this_term)
        self.jobs[spec.job_id] = job
        if accepted_this_term:
            self.arrivals.record_arrival(now)
        fitting = self.fitting(job)
        if len(fitting) == 1 < len(self.registry.machine_types):
            self.scarce |= fitting
        job.constrained = fitting <= self.scarce
        return job

    def _job(self, spec: Submission, team: int, submitted: float, accepted_this_term: bool) -> Job:
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
            submitted=submitted,
            done=bytearray(spec.task_count),
            accepted_this_term=accepted_this_term,
        )

    def fitting(self, job: Job) -> set[int]:
        """Types that a task of the job may be on and fits on."""
        return {
            type_index
            for type_index, capacity in self.registry.capacities.items()
            if (job.allowed_types is None or type_index in job.allowed_types)
            and all(c + EPSILON >= n for c, n in zip(capacity, job.request, strict=True))
        }

    def load_done(self, job: Job, indices: Iterable[int]) -> None:
        """Tasks that an earlier term saved as done."""
        for index in indices:
            if 0 <= index < job.spec.task_count and not job.done[index]:
                job.done[index] = 1
                job.n_done += 1
                job.saved.add(index)
        if job.complete:
            self.events.completed(job)

    def mark_done(self, job: Job, index: int) -> None:
        """A heartbeat says that a task is done."""
        # A gang's tasks complete together: one that is done speaks for all.
        which = range(job.spec.task_count) if job.gang else (index,)
        for one in which:
            if not job.done[one]:
                job.done[one] = 1
                job.n_done += 1
                job.unsaved.add(one)
        if job.complete:
            self.events.completed(job)
        self.events.changed()

    def mark_saved(self, job: Job, indices: Iterable[int]) -> None:
        """These done tasks are known to the state service."""
        for index in indices:
            job.saved.add(index)
            job.unsaved.discard(index)

    def forget(self, job: Job) -> None:
        """Remove a job that is over and has no task on a machine any more; its team stays known."""
        if job.terminal_phase and not job.bindings and self.jobs.get(job.job_id) is job:
            self.team_of[job.job_id] = (job.team, job.request)
            most = max(MIN_REMEMBERED_JOBS, REMEMBERED_FLEETS * self.registry.largest_fleet)
            if len(self.team_of) > most:
                self.team_of.pop(next(iter(self.team_of)))
            del self.jobs[job.job_id]
            self.ready_jobs.pop(job.job_id, None)
