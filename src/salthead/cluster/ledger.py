"""The leader's ledger: machines, jobs, and which task is bound to which machine.

The ledger does no I/O and reads no clock: callers pass the time. A task is *bound* from the
decision to place it until it is certain that it is not on its machine. Proof of that is a heartbeat
that does not list the task and is newer than the answer that ordered its start, a newer
incarnation, the end of the worker's lease, or the cloud's confirmation that the machine is
terminated. A bound task occupies capacity on its machine and in its zone, and counts against its
team's quota.

``MachineRegistry``, ``JobTable``, ``Allocations``, ``JobDependencies`` and ``OrphanTasks`` each
write their own part of the state. The public attributes of ``Ledger`` are references to theirs.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from salthead.cluster.allocations import Allocations, ReleaseReason
from salthead.cluster.dependencies import JobDependencies
from salthead.cluster.estimates import StartAttainment
from salthead.cluster.events import LedgerEvents
from salthead.cluster.failover import Failover
from salthead.cluster.hooks import SilenceHooks, ZoneHooks
from salthead.cluster.invariants import Invariants
from salthead.cluster.job_table import JobTable, PendingQueue
from salthead.cluster.machine_registry import MachineRegistry
from salthead.cluster.model import BOOTING, GONE, UP, Job, Machine, MachinePhase
from salthead.cluster.orphans import OrphanTasks
from salthead.cluster.worker_leases import UnloadedHeartbeats, WorkerLeases
from salthead.failure_detection.blocked_actions import BlockedActions
from salthead.failure_detection.preconditions import Precondition
from salthead.leases.unloaded_renewals import UNKNOWN_TERM, PrecedingTerm, unloaded_renewal_s
from salthead.protocol import wire_names
from salthead.protocol.interning import Interner
from salthead.protocol.messages import MachineType, Submission
from salthead.settings import Limits

LEADER_LEASE, TOKEN_CURRENT = int(Precondition.LEADER_LEASE), int(Precondition.TOKEN_CURRENT)
JOBS_KNOWN, FLEET_RECONCILED = int(Precondition.JOBS_KNOWN), int(Precondition.FLEET_RECONCILED)


class Ledger:
    """What one leader knows and has decided during one term."""

    def __init__(
        self,
        limits: Limits,
        fencing_token: int,
        now: float,
        wall: float | None = None,
        preceding: PrecedingTerm = UNKNOWN_TERM,
    ) -> None:
        self.limits = limits
        self.fencing_token = fencing_token
        self.term_started_at = now
        # Until when leases may be renewed without the records of earlier terms.
        self.unloaded_renewals_end_at = now + unloaded_renewal_s(
            limits.workers.lease_s, limits.workers.cancel_s, preceding
        )
        # Wall clock minus monotonic clock: records hold submission times as wall-clock times, and
        # all other times in the ledger are monotonic.
        self.wall_clock_offset_s = 0.0 if wall is None else wall - now
        self.unloaded_heartbeats = UnloadedHeartbeats(fencing_token)
        self.loaded = False  # the records of earlier leaders have been read
        self.ready = False  # loaded, and every registered machine is reconciled
        self.newer_fencing_token = 0
        self.events = LedgerEvents()
        self.blocked_actions = BlockedActions()
        self.zone_hooks: ZoneHooks | None = None  # set where the policy enables zone recovery
        self.shared_silence: SilenceHooks | None = None  # set where the policy enables it
        # Whether a worker whose heartbeat is not answered has another controller to try.
        self.other_controllers = limits.initial_size > 1
        # Whether the leader's lease is certainly valid now; set by the term.
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
        self.unstored_machines = registry.unstored_machines
        self.recently_gone = registry.recently_gone
        self.failover = Failover(registry, self.fencing_token, now)

    def _init_jobs(self, now: float) -> None:
        self.team_names = Interner([team.name for team in self.limits.teams])
        jobs = self.job_table = JobTable(self.machine_registry, self.team_names, self.events, now)
        self.jobs = jobs.jobs
        self.ready_jobs = jobs.ready_jobs
        self.scarce_types = jobs.scarce_types
        self.estimates = jobs.estimates
        self.arrivals = jobs.arrivals
        self.leases = WorkerLeases(self.limits.workers, self.machine_registry, self.jobs, now)

    def _init_allocations(self) -> None:
        self.invariants = Invariants(self)
        allocations = self.allocations = Allocations(
            self.limits.teams, self.fencing_token, self.job_table, self.invariants
        )
        self.allocated_by_team = allocations.allocated_by_team
        self.team_limits = allocations.team_limits
        self.bound_by_priority = allocations.bound_by_priority
        self.orphans = OrphanTasks(self.job_table, allocations)
        self.unknown_jobs = self.orphans.unknown_jobs
        self.orphan_task_counts = self.orphans.task_counts
        self.dependencies = JobDependencies(self.job_table, allocations, self.limits.objectives)
        self.dependency_graph = self.dependencies.graph
        self.pending_aborts = self.dependencies.pending_aborts

    def _init_scheduling(self) -> None:
        """Create the state that scheduling and autoscaling keep between passes."""
        teams = self.limits.teams
        self.guarantees = [(team.guaranteed_cpus, team.guaranteed_gpus) for team in teams]
        self.limit_logged_at = [-math.inf for _ in teams]
        # By team: no quota is reserved for its gangs before this time.
        self.reservation_paused_until = [0.0 for _ in teams]
        self.pending = PendingQueue()
        self.start_attainment = StartAttainment.of(self.limits.objectives)

    # -- preconditions ------------------------------------------------------------------

    def confirmed_preconditions(self) -> int:
        """Return which preconditions on the lead, the jobs and the fleet hold now, as bits."""
        held = LEADER_LEASE if self.leader_lease_valid() else 0
        if not self.newer_fencing_token:
            held |= TOKEN_CURRENT
        if self.loaded:
            held |= JOBS_KNOWN
        if self.ready:
            held |= FLEET_RECONCILED
        return held

    def may_schedule(self, job: Job) -> bool:
        """Return whether every task of the job is accounted for (``TASK_NOWHERE``).

        Until every registered machine is reconciled, a task that no heartbeat lists may be running
        on a silent machine. That is impossible for a job accepted in this term, since no earlier
        leader can have started it.
        """
        if self.ready:
            return True
        return self.loaded and (
            job.accepted_this_term
            or (self.shared_silence is not None and not self.failover.may_be_running(job))
        )

    def unreconciled_capacity(self) -> tuple[float, float]:
        """Return the CPUs and GPUs that any team's tasks may occupy on unreconciled machines."""
        return (0.0, 0.0) if self.ready else self.failover.unreconciled_capacity()

    # -- jobs -----------------------------------------------------------------------------

    def run_s(self, job: Job) -> float:
        """Return the expected run time of a task: the owner's estimate, corrected by history."""
        return self.estimates.run_s(job.spec.job_class, job.spec.estimated_run_s)

    def add_job(self, spec: Submission, now: float, accepted_this_term: bool = False) -> Job | None:
        """Return the ledger's job, added if it is new.

        None if the job has ended, or if the settings lack its team.
        """
        existing = self.jobs.get(spec.job_id)
        if existing is not None:
            return existing
        submitted_at = min(now, spec.at - self.wall_clock_offset_s) if spec.at else now
        job = self.job_table.add(spec, now, submitted_at, accepted_this_term)
        if job is not None:
            self.dependencies.add_job(job)
            self.events.changed()
        return job

    def request_cancel(self, job: Job) -> None:
        """Start no more tasks of a job whose user asked to cancel it, and stop its running tasks.

        The request is not an outcome, and no status shows it. Tasks are stopped before the outcome
        is durable because their work is no longer of use, and because another controller may
        confirm the cancellation to the user first.
        """
        if job.cancel_requested:
            return
        job.cancel_requested = True
        self.capacity_index.release_reservations(job.job_id)
        self.allocations.stop_all(job)
        self.events.changed()

    def end_job(self, job: Job, phase: str, now: float) -> None:
        """Apply a durable outcome; the job is forgotten once none of its tasks is bound."""
        job.terminal_phase = phase
        job.unsaved.clear()
        self.dependencies.end_job(job, phase, now)
        if phase == wire_names.ABORTED:
            self.allocations.stop_all(job)
        self.job_table.forget(job)
        self.events.changed()

    def resolve_dependency(self, job_id: str, phase: str, at: float | None, now: float) -> None:
        """Apply the recorded outcome of a dependency that ended before this term.

        ``at`` is a wall-clock time. It is capped at ``now``, since clocks of controllers differ.
        """
        ended_at = now if at is None else min(now, at - self.wall_clock_offset_s)
        self.dependencies.resolve(job_id, phase, ended_at)

    def phase_of(self, job: Job) -> tuple[str, int, int]:
        """Return the phase, the tasks done and the tasks running, as a job's status shows them."""
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

    # -- machines -----------------------------------------------------------------------

    def set_machine_types(self, machine_types: Iterable[MachineType]) -> None:
        """Add or update the cloud's machine types."""
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
        """Return the machine of this name, added if it is new.

        ``registered``: the state service's registry lists it. A machine is registered at its first
        heartbeat, so one that a new leader finds there is not booting: it counts as up until its
        worker's lease has certainly expired, however long ago it was provisioned. Treating it as a
        machine that never came up would terminate running machines.
        """
        machine = self.machine_registry.add(name, machine_type, zone, spot, now)
        if registered:
            if machine.phase == BOOTING:
                self.set_phase(machine, UP)
            self.machine_registry.mark_registered(machine)
            self.failover.invalidate_capacity()
        return machine

    def set_phase(self, machine: Machine, phase: MachinePhase) -> None:
        """Set a machine's phase, reindex it and notify the hooks."""
        self.machine_registry.set_phase(machine, phase)
        if self.zone_hooks is not None:
            self.zone_hooks.phase_changed(machine)
        if self.shared_silence is not None:
            self.shared_silence.phase_changed(machine)

    def release_all_tasks(self, machine: Machine, now: float, reason: ReleaseReason) -> None:
        """Release every task of a machine; the caller has proof that none is left on it."""
        if self.zone_hooks is not None:
            self.zone_hooks.tasks_lost(machine.bindings.values(), now)
        for binding in list(machine.bindings.values()):
            self.allocations.release(binding, now, reason)
        for key in list(machine.orphans):
            self.orphans.drop(machine, key)

    def machine_gone(self, machine: Machine, now: float) -> None:
        """Release the tasks of a machine that the cloud confirmed as terminated, and remove it."""
        self.release_all_tasks(machine, now, ReleaseReason.TERMINATED)
        self.set_phase(machine, GONE)
        self.machine_registry.remove(machine, now)
        self.events.changed()
