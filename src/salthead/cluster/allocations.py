"""Bindings of tasks to machines, and their usage of machine capacity and team quotas."""

from __future__ import annotations

import logging
from enum import StrEnum

from salthead import metrics
from salthead.cluster.invariants import Invariants
from salthead.cluster.job_table import JobTable
from salthead.cluster.model import Binding, Job, Machine
from salthead.cluster.resources import Resources, ResourceUsage
from salthead.event_log import event
from salthead.protocol import wire_names
from salthead.settings import Team

log = logging.getLogger(__name__)

# An attempt number is the fencing token, shifted by these bits, and a counter of the term, so it is
# unique across terms.
ATTEMPT_COUNTER_BITS = 24


class ReleaseReason(StrEnum):
    """Proof that a task is not on its machine any more."""

    EXITED = "exited"
    NOT_SHOWN = "not_shown"  # an earlier heartbeat listed it and a newer one does not
    NEVER_STARTED = "never_started"  # not in a heartbeat newer than every answer with its start
    NEVER_SENT = "never_told"  # no answer carried its start
    LEASE_EXPIRED = "lease_over"
    NEW_INCARNATION = "new_session"
    TERMINATED = "returned"  # the cloud confirmed that the machine is gone


class Allocations:
    """All bindings and the usage that they cause; the only code that changes either."""

    def __init__(
        self, teams: list[Team], fencing_token: int, jobs: JobTable, invariants: Invariants
    ) -> None:
        self.fencing_token = fencing_token
        self.job_table = jobs
        self.capacity_index = jobs.registry.capacity_index
        self.invariants = invariants
        self.events = jobs.events
        self.attempts = 0  # attempt numbers that this term has assigned
        self.allocated_by_team = [[0.0, 0.0] for _ in teams]  # allocated CPUs and GPUs, by team
        self.team_limits = [(team.max_cpus, team.max_gpus) for team in teams]
        self.bound_by_priority = [0] * len(wire_names.URGENCIES)  # number of bound tasks
        self.stops: list[Binding] = []  # requested since the last call of take_stops

    def next_attempt(self) -> int:
        """Return an attempt number that is unique across terms."""
        self.attempts += 1
        return (self.fencing_token << ATTEMPT_COUNTER_BITS) | self.attempts

    def adjust_usage(self, machine: Machine, request: Resources, team: int, sign: float) -> None:
        """Add a task's request to the usage of a machine and a team, or subtract it.

        ``sign`` is 1.0 or -1.0. A negative ``team`` stands for an unknown one.
        """
        allocated = machine.allocated
        allocated.cpus += sign * request.cpus
        allocated.gpus += sign * request.gpus
        allocated.memory_gb += sign * request.memory_gb
        if sign < 0:
            machine.has_freed_capacity = True
            if not machine.busy():  # clear rounding errors
                machine.allocated = ResourceUsage()
        self.capacity_index.reindex(machine)
        if team >= 0:
            usage = self.allocated_by_team[team]
            usage[0] = max(0.0, usage[0] + sign * request.cpus)
            usage[1] = max(0.0, usage[1] + sign * request.gpus)

    def bind(
        self,
        job: Job,
        index: int,
        machine: Machine,
        attempt: int,
        now: float,
        granted: bool = False,
    ) -> Binding:
        """Bind a task to a machine and add its request to their usage.

        ``granted`` means that this leader decided to start the task, so its team's limit applies.
        """
        allowed = self.invariants.may_bind(job, index, machine, granted)
        binding = Binding(job, index, attempt, machine, job.request, job.team, since=now)
        binding.rejected = not allowed
        if index in job.bindings or (job.job_id, index) in machine.bindings:
            # If this replaced the existing binding, that one would never be released.
            return binding
        machine.bindings[(job.job_id, index)] = binding
        machine.nothing_pending = False
        job.bindings[index] = binding
        self.bound_by_priority[job.priority] += 1
        self.adjust_usage(machine, job.request, job.team, 1.0)
        if not allowed:
            self.request_stop(binding, 0.0)
        return binding

    def release(
        self, binding: Binding, now: float, reason: ReleaseReason, detail: object = ""
    ) -> None:
        """Release a task that is certainly not on its machine any more.

        An unfinished task of an array job waits for a machine again; for an unfinished gang, the
        whole attempt ends.
        """
        job = binding.job
        assert job is not None
        self._record_release(binding, reason, detail)
        self._unbind(job, binding)
        if job.gang:
            if not job.complete and not job.failed:
                why = f"{binding.task_id} on {binding.machine.name}: {reason} {detail}"
                self.fail_gang(job, now, why)
            if not job.bindings:
                job.failed = False
        else:
            job.requeue_task(binding.index)
        if job.terminal_phase:
            self.job_table.forget(job)
        self.events.changed()

    def _record_release(self, binding: Binding, reason: ReleaseReason, detail: object) -> None:
        machine = binding.machine
        event(
            log,
            "task_released",
            logging.DEBUG if reason is ReleaseReason.EXITED else logging.INFO,
            task=binding.task_id,
            attempt=binding.attempt,
            machine=machine.name,
            incarnation=machine.incarnation,
            sequence=machine.sequence,
            proof=reason,
            detail=detail,
            start_sends=binding.start_sends,
            fencing_token=self.fencing_token,
        )
        metrics.TASKS_RELEASED.labels(reason).inc()

    def _unbind(self, job: Job, binding: Binding) -> None:
        machine = binding.machine
        machine.bindings.pop((job.job_id, binding.index), None)
        machine.nothing_pending = False
        job.bindings.pop(binding.index, None)
        self.bound_by_priority[job.priority] -= 1
        self.adjust_usage(machine, binding.request, binding.team, -1.0)

    def move(self, binding: Binding, machine: Machine, now: float) -> None:
        """Bind a task, whose start no answer has carried yet, to another machine."""
        job = binding.job
        assert job is not None and binding.start_unsent()
        self._unbind(job, binding)
        self.bind(job, binding.index, machine, binding.attempt, now)

    def set_priority(self, job: Job, priority: int) -> None:
        """Change a job's priority and the count of bound tasks by priority."""
        self.bound_by_priority[job.priority] -= len(job.bindings)
        job.priority = priority
        self.bound_by_priority[job.priority] += len(job.bindings)

    def fail_gang(self, job: Job, now: float, why: str) -> None:
        """End a gang's attempt: stop its remaining tasks before the gang is placed again."""
        job.failed = True
        event(log, "gang_attempt_over", job=job.job_id, attempt=job.attempt, why=why)
        for other in list(job.bindings.values()):
            if other.stop_grace_s is None:
                self.request_stop(other, 0.0)

    def stop_gang(self, job: Job, grace_s: float, why: str) -> None:
        """Stop a whole gang; each task may save its progress within the grace period."""
        event(log, "gang_stopped", job=job.job_id, why=why)
        job.failed = True
        for binding in job.bindings.values():
            self.request_stop(binding, grace_s)

    def request_stop(self, binding: Binding, grace_s: float) -> None:
        """Request the stop of a task; a shorter grace period replaces a longer one."""
        if binding.stop_grace_s is None or grace_s < binding.stop_grace_s:
            binding.stop_grace_s = grace_s
            binding.stop_sent = False
            binding.machine.nothing_pending = False
            self.stops.append(binding)

    def stop_all(self, job: Job) -> None:
        """Request the stop of all bound tasks of a job, without a grace period."""
        for binding in list(job.bindings.values()):
            self.request_stop(binding, 0.0)

    def take_stops(self) -> list[Binding]:
        """Return the stops that were requested since the last call."""
        stops, self.stops = self.stops, []
        return stops
