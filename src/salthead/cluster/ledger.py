"""The leader's ledger: machines, jobs, and which task is bound to which machine.

Pure: the caller passes the time. A task is *bound* from the decision to place it until it is
certain that it is not on its machine: a heartbeat without it that is newer than the answer that
ordered it, a newer incarnation, the end of the worker's lease, or the cloud's word that the machine
is gone. While it is bound it holds its booking on the machine, its team's quota and its zone.

The parts of the ledger each write their own fields: ``MachineRegistry``, ``JobTable``,
``Allocations``, ``JobDependencies`` and ``OrphanTasks``. Its public attributes refer to theirs.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from salthead.cluster.allocations import Allocations
from salthead.cluster.dependencies import JobDependencies
from salthead.cluster.estimates import StartAttainment
from salthead.cluster.events import LedgerEvents
from salthead.cluster.failover import Failover
from salthead.cluster.invariants import Invariants
from salthead.cluster.job_table import JobTable
from salthead.cluster.machine_registry import MachineRegistry
from salthead.cluster.model import (
    BOOTING,
    GONE,
    UP,
    Job,
    Machine,
    MachinePhase,
    ReleaseReason,
)
from salthead.cluster.orphans import OrphanTasks
from salthead.cluster.pending_queue import PendingQueue
from salthead.cluster.silence_hooks import SilenceHooks
from salthead.cluster.worker_leases import WorkerLeases
from salthead.cluster.zone_hooks import ZoneHooks
from salthead.failure_detection.blocked_actions import BlockedActions
from salthead.failure_detection.preconditions import Precondition
from salthead.leases.leader_lease import unloaded_grace_s
from salthead.protocol import wire_names
from salthead.protocol.interning import Interner
from salthead.protocol.messages import MachineType, Submission
from salthead.settings import Limits

LEADER_LEASE, TOKEN_CURRENT = int(Precondition.LEADER_LEASE), int(Precondition.TOKEN_CURRENT)
JOBS_KNOWN, FLEET_RECONCILED = int(Precondition.JOBS_KNOWN), int(Precondition.FLEET_RECONCILED)

# A heartbeat is overdue when the last one is older than this many intervals.
OVERDUE_HEARTBEAT_INTERVALS = 3.0
# How long after the start of a term workers may take to find the leader, beyond one period.
DISCOVERY_S = 1.0


class Ledger:
    """What one leader knows and has decided, for one term."""

    def __init__(
        self,
        limits: Limits,
        fencing_token: int,
        now: float,
        wall: float | None = None,
    ) -> None:
        self.limits = limits
        self.fencing_token = fencing_token
        self.term_started_at = now
        self.unloaded_grace_s = unloaded_grace_s(limits.workers.lease_s, limits.workers.cancel_s)
        # Submission times are kept as times of day; here all else is in steady time.
        self.wall_ahead = 0.0 if wall is None else wall - now
        self.loaded = False  # the records of earlier leaders have been read
        self.ready = False  # and all machines are accounted for
        self.newer_fencing_token = 0
        self.events = LedgerEvents()
        self.blocked_actions = BlockedActions()
        self.zone_hooks: ZoneHooks | None = None  # where the policy enables them
        self.shared_silence: SilenceHooks | None = None  # where the policy enables it
        # A worker whose heartbeat is not answered turns to one of them.
        self.other_controllers = limits.initial_size > 1
        # Whether the lease on the lead is certain now; the term knows.
        self.leader_lease_valid: Callable[[], bool] = lambda: True
        self._init_machines(now)
        self._init_jobs(now)
        self._init_allocations()
        self._init_scheduling()

    def _init_machines(self, now: float) -> None:
        registry = self.machine_registry = MachineRegistry(self.limits.zones)
        self.zones = registry.zones
        self.type_names = registry.type_names
        self.machine_types = registry.machine_types
        self.capacities = registry.capacities
        self.capacity_index = registry.capacity_index
        self.machines = registry.machines
        self.unregistered = registry.unregistered
        self.recently_gone = registry.recently_gone
        self.failover = Failover(registry, self.fencing_token, now)

    def _init_jobs(self, now: float) -> None:
        self.team_names = Interner([team.name for team in self.limits.teams])
        jobs = self.job_table = JobTable(self.machine_registry, self.team_names, self.events, now)
        self.jobs = jobs.jobs
        self.ready_jobs = jobs.ready_jobs
        self.scarce = jobs.scarce
        self.estimates = jobs.estimates
        self.arrivals = jobs.arrivals
        self.leases = WorkerLeases(self.limits.workers, self.machine_registry, self.jobs, now)

    def _init_allocations(self) -> None:
        self.invariants = Invariants(self)
        allocations = self.allocations = Allocations(
            self.limits.teams, self.fencing_token, self.job_table, self.invariants
        )
        self.usage = allocations.usage
        self.team_limits = allocations.team_limits
        self.bound_by_priority = allocations.bound_by_priority
        self.orphans = OrphanTasks(self.job_table, allocations)
        self.unknown_jobs = self.orphans.unknown_jobs
        self.orphan_jobs = self.orphans.count_by_job
        self.dependencies = JobDependencies(self.job_table, allocations, self.limits.objectives)
        self.dependency_graph = self.dependencies.graph
        self.pending_aborts = self.dependencies.pending_aborts

    def _init_scheduling(self) -> None:
        """What scheduling and autoscaling keep from one pass to the next."""
        teams = self.limits.teams
        self.guarantees = [(team.guaranteed_cpus, team.guaranteed_gpus) for team in teams]
        self.limit_logged_at = [-math.inf for _ in teams]
        # Until then no quota is kept for gangs
        self.reservation_paused_until = [0.0 for _ in teams]
        self.pending = PendingQueue()
        objective = next((one for one in self.limits.objectives if one.kind == "guarantee"), None)
        self.start_attainment = (
            StartAttainment(objective.within_s, objective.share)
            if objective
            else StartAttainment(0, 1)
        )

    # -- evidence -----------------------------------------------------------------------

    def confirmed_preconditions(self) -> int:
        """What is confirmed now of the lead, the jobs and the fleet, as bits of
        ``Precondition``."""
        held = LEADER_LEASE if self.leader_lease_valid() else 0
        if not self.newer_fencing_token:
            held |= TOKEN_CURRENT
        if self.loaded:
            held |= JOBS_KNOWN
        if self.ready:
            held |= FLEET_RECONCILED
        return held

    def may_schedule(self, job: Job) -> bool:
        """Whether all tasks of the job are accounted for: the fact ``TASK_NOWHERE``.

        Until every machine of the machine registry is, a task that no heartbeat shows may be on one
        that is silent. A job accepted after this term began can't be: no earlier leader could start
        it.
        """
        if self.ready:
            return True
        return self.loaded and (
            job.accepted_this_term
            or (self.shared_silence is not None and not self.failover.could_run(job))
        )

    def unreconciled_capacity(self) -> tuple[float, float]:
        """CPUs and GPUs that tasks of any team may be taking on unreconciled machines."""
        return (0.0, 0.0) if self.ready else self.failover.unreconciled_capacity()

    def heartbeats_expected(self, now: float) -> bool:
        """Whether machines that are well have had the time to find this leader."""
        interval_s = self.limits.workers.heartbeat_interval_s
        return now - self.term_started_at > DISCOVERY_S + interval_s

    def heartbeat_counts(self, now: float) -> tuple[int, int]:
        """How many machines that are up have sent a heartbeat lately, and how many have not."""
        up = [m for m in self.machines.values() if m.phase == UP]
        late = now - OVERDUE_HEARTBEAT_INTERVALS * self.limits.workers.heartbeat_interval_s
        on_time = sum(1 for m in up if m.last_heartbeat_at >= late)
        return on_time, len(up) - on_time

    # -- jobs -----------------------------------------------------------------------------

    def run_s(self, job: Job) -> float:
        """How long one of the job's tasks should run, by its owner's estimate and by experience."""
        return self.estimates.run_s(job.spec.job_class, job.spec.estimated_run_s)

    def add_job(self, spec: Submission, now: float, accepted_this_term: bool = False) -> Job | None:
        """Take an accepted job in; None when its team is unknown to these settings."""
        found = self.jobs.get(spec.job_id)
        if found is not None:
            return found
        submitted = min(now, spec.at - self.wall_ahead) if spec.at else now
        job = self.job_table.add(spec, now, submitted, accepted_this_term)
        if job is not None:
            self.dependencies.add_job(job)
            self.events.changed()
        return job

    def request_cancel(self, job: Job) -> None:
        """A user has asked to cancel the job: nothing of it starts any more, and what runs stops.

        That is no outcome yet, and no status shows it; but whatever a job does after its user has
        asked is of no use, and another controller may confirm the outcome before this one knows.
        """
        if job.cancel_requested:
            return
        job.cancel_requested = True
        self.capacity_index.release_reservations(job.job_id)
        self.allocations.stop_all(job)
        self.events.changed()

    def end_job(self, job: Job, phase: str, now: float) -> None:
        """The outcome is durable: stop what is left and forget the job once it is gone."""
        job.terminal_phase = phase
        job.unsaved.clear()
        self.dependencies.ended(job, phase, now)
        if phase == wire_names.ABORTED:
            self.allocations.stop_all(job)
        self.job_table.forget(job)
        self.events.changed()

    def resolve_dependency(self, job_id: str, phase: str, at: float | None, now: float) -> None:
        """What a record says of a job that others await, and that ended before this term.

        ``at`` is the time of day; clocks differ within their bound, so it is no later than now.
        """
        ended_at = now if at is None else min(now, at - self.wall_ahead)
        self.dependencies.resolve(job_id, phase, ended_at)

    def phase_of(self, job: Job) -> tuple[str, int, int]:
        """Phase, tasks done and tasks running, as a job's status shows them."""
        running = sum(
            1
            for b in job.bindings.values()
            if b.phase in (wire_names.RUNNING, wire_names.GATHERING, wire_names.FLUSHING)
        )
        # An outcome is shown only once it is durable.
        phase = job.terminal_phase or (
            wire_names.ABORTED
            if job.dependency_cancelled
            else wire_names.RUNNING
            if running or job.n_done
            else wire_names.QUEUED
        )
        return phase, job.n_done, running

    # -- bindings -------------------------------------------------------------------------

    # -- machines -----------------------------------------------------------------------

    def set_machine_types(self, machine_types: Iterable[MachineType]) -> None:
        """Take the cloud's machine types in."""
        self.failover.invalidate_capacity()
        self.machine_registry.set_machine_types(machine_types)

    def add_machine(
        self,
        name: str,
        machine_type: str,
        zone: str,
        spot: bool,
        now: float,
        registered: bool = False,
    ) -> Machine:
        """A machine that was provisioned, listed, seen by heartbeat, or in the machine registry of
        an
        earlier term.

        A machine enters the machine registry with its first heartbeat. One that a new leader finds
        there is therefore not booting: it is up until its lease must be over, however long ago it
        was provisioned. Taking it for a machine that never came up would return running machines.
        """
        machine = self.machine_registry.add(name, machine_type, zone, spot, now)
        if registered:
            if machine.phase == BOOTING:
                self.set_phase(machine, UP)
            self.machine_registry.mark_registered(machine)
            self.failover.invalidate_capacity()
        return machine

    def set_phase(self, machine: Machine, phase: MachinePhase) -> None:
        """Change a machine's phase, and what is indexed by it."""
        self.machine_registry.set_phase(machine, phase)
        if self.zone_hooks is not None:
            self.zone_hooks.phase_changed(machine)
        if self.shared_silence is not None:
            self.shared_silence.phase_changed(machine)

    def lose_tasks(self, machine: Machine, now: float, proof: ReleaseReason) -> None:
        """All that was on a machine is certainly gone."""
        if self.zone_hooks is not None:
            self.zone_hooks.displaced(machine.bindings.values(), now)
        for binding in list(machine.bindings.values()):
            self.allocations.release(binding, now, proof)
        for key in list(machine.orphans):
            self.orphans.drop(machine, key)

    def machine_gone(self, machine: Machine, now: float) -> None:
        """The cloud confirmed the termination: the machine and all on it are gone."""
        self.lose_tasks(machine, now, ReleaseReason.TERMINATED)
        self.set_phase(machine, GONE)
        self.machine_registry.remove(machine, now)
        self.events.changed()
