"""The leader's ledger: machines, jobs, and which task is bound to which machine.

Pure: the caller passes the time and a heartbeat, and gets orders back. A task is *bound* from the
decision to place it until it is certain that it is not on its machine: a heartbeat without it that
is newer than the answer that ordered it, a newer incarnation, the end of the worker's lease, or the
cloud's word that the machine is gone. While it is bound it holds its booking on the machine, its
team's quota and its zone.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from salthead import metrics
from salthead.cluster import dependencies, orphans
from salthead.cluster.capacity_index import CapacityIndex
from salthead.cluster.dependency_graph import DependencyGraph
from salthead.cluster.estimates import Arrivals, Estimates, StartAttainment
from salthead.cluster.failover import Failover
from salthead.cluster.invariants import Invariants
from salthead.cluster.model import (
    BOOTING,
    EPSILON,
    GONE,
    LOST,
    NO_RESOURCES,
    UP,
    Binding,
    Job,
    Machine,
    ReleaseReason,
    Resources,
    ResourceUsage,
)
from salthead.cluster.zone_hooks import ZoneHooks
from salthead.event_log import event
from salthead.failure_detection.blocked_actions import BlockedActions
from salthead.failure_detection.preconditions import Action, Precondition, permits
from salthead.heartbeats import handling
from salthead.leases.leader_lease import unloaded_grace_s
from salthead.leases.worker_leases import WorkerLeases
from salthead.protocol import wire_names
from salthead.protocol.interning import Interner
from salthead.protocol.messages import (
    Command,
    Heartbeat,
    MachineType,
    Submission,
)
from salthead.settings import Limits

if TYPE_CHECKING:
    from salthead.failure_detection.shared_silence import SharedSilence

log = logging.getLogger(__name__)

LEADER_LEASE, TOKEN_CURRENT = int(Precondition.LEADER_LEASE), int(Precondition.TOKEN_CURRENT)
JOBS_KNOWN, FLEET_RECONCILED = int(Precondition.JOBS_KNOWN), int(Precondition.FLEET_RECONCILED)
WORKER_LEASE_OVER = int(Precondition.WORKER_LEASE_OVER)

# An attempt is the term's token and a counter, so no two starts of any terms share one.
ATTEMPT_BITS = 24
# Ended jobs whose team is remembered, for orphan tasks of theirs, and returned machines, for late
# copies of their heartbeats and for a machine list that lags. These are the least: a fleet of which
# everything can go at once needs room for all of it, or its machines are taken for new ones.
MIN_REMEMBERED_JOBS, MIN_REMEMBERED_MACHINES = 5000, 2000
REMEMBERED_FLEETS = 2  # how many times the largest fleet of this term is remembered


@dataclass
class PendingQueue:
    """Jobs with tasks that wait, in the order of the last pass: who is offered freed room."""

    jobs: list[Job] = field(default_factory=list)
    min_cpus: float = 0.0  # of the smallest task in line
    constrained: bool = False  # whether a job was in line that fits on scarce types alone
    long_since: float | None = None  # since when the fleet can't keep up with it


@dataclass
class LedgerEvents:
    """What the ledger tells whoever acts on it."""

    changed: Callable[[], None] = lambda: None
    completed: Callable[[Job], None] = lambda job: None  # all tasks of the job are done
    aborts_pending: Callable[[], None] = lambda: None
    # Placement, called between what a heartbeat says and the starts that its answer carries.
    room_freed: Callable[[Machine, float], None] = lambda machine, now: None


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
        self.leases = WorkerLeases(self, now)
        self.unloaded_grace_s = unloaded_grace_s(limits.workers.lease_s, limits.workers.cancel_s)
        self.counter = 0
        # Submission times are kept as times of day; here all else is in steady time.
        self.wall_ahead = 0.0 if wall is None else wall - now
        self.estimates = Estimates()
        self.arrivals = Arrivals(now)
        start_objective = next(
            (objective for objective in limits.objectives if objective.kind == "guarantee"), None
        )
        self.start_attainment = (
            StartAttainment(start_objective.within_s, start_objective.share)
            if start_objective
            else StartAttainment(0, 1)
        )
        self.team_names = Interner([team.name for team in limits.teams])
        self.zones = Interner(list(limits.zones))
        self.type_names = Interner()
        self.machine_types: dict[int, MachineType] = {}
        self.capacities: dict[int, Resources] = {}  # of a machine, by type
        self.team_limits = [(team.max_cpus, team.max_gpus) for team in limits.teams]
        self.guarantees = [(team.guaranteed_cpus, team.guaranteed_gpus) for team in limits.teams]
        self.capacity_index = CapacityIndex()
        # Types that are the only ones for some class of jobs, as seen in this term.
        self.scarce: set[int] = set()
        self.stops: list[Binding] = []  # wanted since they were last sent directly
        self.bound_by_priority = [0] * len(wire_names.URGENCIES)  # tasks bound, by urgency
        self.pending = PendingQueue()
        self.usage = [[0.0, 0.0] for _ in limits.teams]
        self.limit_logged_at = [-math.inf for _ in limits.teams]
        self.rest_until = [0.0 for _ in limits.teams]  # until then no quota is kept for gangs
        self.jobs: dict[str, Job] = {}
        # Those that wait for no other job: what passes and plans look at.
        self.ready_jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        # Machines that the state service does not know yet: what its loop would else look for
        # among all machines ten times a second.
        self.unregistered: dict[Machine, None] = {}
        self.largest_fleet = 0
        self.machines_seen = 0  # in this term, for their numbers
        self.loaded = False
        self.ready = False
        # tasks on machines whose job we do not know: their team is unknown until it is read
        self.unknown_jobs: set[str] = set()
        self.team_of: dict[str, tuple[int, Resources]] = {}
        self.orphan_jobs: dict[str, int] = {}  # orphan tasks by job: such a job starts nothing
        self.newer_fencing_token = 0
        self.failover = Failover(self)
        self.invariants = Invariants(self)
        self.dependency_graph = DependencyGraph()
        self.factors: dict[str, float] = {}  # of estimates, as the pipelines' due times use them
        self.pending_aborts: dict[
            str, None
        ] = {}  # jobs whose outcome follows, and is to be written
        self.events = LedgerEvents()
        self.recently_gone: dict[str, float] = {}
        self.zone_hooks: ZoneHooks | None = None  # where the policy enables them
        self.shared_silence: SharedSilence | None = None  # where the policy enables it
        self.blocked_actions = BlockedActions()
        # A worker whose report is not answered turns to one of them.
        self.other_controllers = limits.initial_size > 1
        # Whether the lease on the lead is certain now; the term knows.
        self.leader_lease_valid: Callable[[], bool] = lambda: True

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

    # -- machine types and jobs ---------------------------------------------------------------

    def set_machine_types(self, machine_types: Iterable[MachineType]) -> None:
        """Take the cloud's machine types in."""
        self.failover.invalidate_capacity()
        for machine_type in machine_types:
            index = self.type_names.intern(machine_type.name)
            self.machine_types[index] = machine_type
            self.capacities[index] = Resources(
                machine_type.vcpus, machine_type.accelerators, machine_type.ram_gb
            )
            for zone in machine_type.zones:
                self.zones.intern(zone)
            capacity = self.capacity(index)
            for machine in self.machines.values():
                if machine.machine_type == index:
                    machine.capacity = capacity
                    self.capacity_index.reindex(machine)

    def capacity(self, type_index: int) -> Resources:
        """CPUs, GPUs and memory of a machine of this type; nothing while the type is unknown."""
        return self.capacities.get(type_index, NO_RESOURCES)

    def run_s(self, job: Job) -> float:
        """How long one of the job's tasks should run, by its owner's estimate and by experience."""
        return self.estimates.run_s(job.spec.job_class, job.spec.estimated_run_s)

    def add_job(self, spec: Submission, now: float, accepted_this_term: bool = False) -> Job | None:
        """Take an accepted job in; None when its team is unknown to these settings."""
        found = self.jobs.get(spec.job_id)
        if found is not None:
            return found
        team = self.team_names.get(spec.team)
        if team is None:
            log.warning("job %s: unknown team %s", spec.job_id, spec.team)
            return None
        allowed_types = None
        if spec.machine_types is not None:
            allowed_types = frozenset(self.type_names.intern(name) for name in spec.machine_types)
        job = Job(
            spec=spec,
            team=team,
            priority=wire_names.URGENCIES.index(spec.urgency),
            request=Resources(spec.vcpus, spec.accelerators, spec.ram_gb),
            allowed_types=allowed_types,
            zone=None if spec.zone is None else self.zones.intern(spec.zone),
            submitted=min(now, spec.at - self.wall_ahead) if spec.at else now,
            done=bytearray(spec.task_count),
            accepted_this_term=accepted_this_term,
        )
        self.jobs[spec.job_id] = job
        if accepted_this_term:
            self.arrivals.record_arrival(now)
        fitting = self.fitting(job)
        if len(fitting) == 1 < len(self.machine_types):
            self.scarce |= fitting
        job.constrained = fitting <= self.scarce
        dependencies.add_job(self, job)
        self.events.changed()
        return job

    def fitting(self, job: Job) -> set[int]:
        """Types that a task of the job may be on and fits on."""
        return {
            type_index
            for type_index in self.machine_types
            if (job.allowed_types is None or type_index in job.allowed_types)
            and all(
                c + EPSILON >= n
                for c, n in zip(self.capacity(type_index), job.request, strict=True)
            )
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

    def saved(self, job: Job, indices: Iterable[int]) -> None:
        """These done tasks are known to the state service."""
        for index in indices:
            job.saved.add(index)
            job.unsaved.discard(index)

    def request_cancel(self, job: Job) -> None:
        """A user has asked to cancel the job: nothing of it starts any more, and what runs stops.

        That is no outcome, and is not told; but whatever a job does after its user has asked is of
        no use to anybody, and the outcome may be told by another controller before this one knows
        of it.
        """
        if job.cancel_requested:
            return
        job.cancel_requested = True
        self.capacity_index.release_reservations(job.job_id)
        for binding in list(job.bindings.values()):
            self.request_stop(binding, 0.0)
        self.events.changed()

    def end_job(self, job: Job, phase: str, now: float) -> None:
        """The outcome is durable: stop what is left and forget the job once it is gone."""
        job.terminal_phase = phase
        job.unsaved.clear()
        dependencies.ended(self, job, phase, now)
        for binding in list(job.bindings.values()):
            if phase == wire_names.ABORTED:
                self.request_stop(binding, 0.0)
        self._forget(job)
        self.events.changed()

    def _forget(self, job: Job) -> None:
        if job.terminal_phase and not job.bindings and self.jobs.get(job.job_id) is job:
            self.team_of[job.job_id] = (job.team, job.request)
            if len(self.team_of) > max(MIN_REMEMBERED_JOBS, REMEMBERED_FLEETS * self.largest_fleet):
                self.team_of.pop(next(iter(self.team_of)))
            del self.jobs[job.job_id]
            self.ready_jobs.pop(job.job_id, None)

    # -- bookings -----------------------------------------------------------------------

    def book(self, machine: Machine, request: Resources, team: int, sign: float) -> None:
        """Book a task's need on a machine and its team, or take the booking back."""
        allocated = machine.allocated
        if sign < 0:
            machine.has_freed_capacity = True
        allocated.cpus += sign * request.cpus
        allocated.gpus += sign * request.gpus
        allocated.memory_gb += sign * request.memory_gb
        if not machine.busy():
            machine.allocated = ResourceUsage()
        self.capacity_index.reindex(machine)
        if team >= 0:
            usage = self.usage[team]
            usage[0] = max(0.0, usage[0] + sign * request.cpus)
            usage[1] = max(0.0, usage[1] + sign * request.gpus)

    def set_phase(self, machine: Machine, phase: str) -> None:
        """Change a machine's phase, and what is indexed by it."""
        machine.phase = phase
        self.capacity_index.reindex(machine)
        if self.zone_hooks is not None:
            self.zone_hooks.phase_changed(machine)
        if self.shared_silence is not None:
            self.shared_silence.phase_changed(machine)

    def bind(
        self,
        job: Job,
        index: int,
        machine: Machine,
        attempt: int,
        now: float,
        granted: bool = False,
    ) -> Binding:
        """Bind a task to a machine, with its bookings.

        ``granted``: by a new decision to start it, which its team's limit has to allow.
        """
        sound = self.invariants.may_bind(job, index, machine, granted)
        binding = Binding(job, index, attempt, machine, job.request, job.team, since=now)
        binding.rejected = not sound
        if index in job.bindings or (job.job_id, index) in machine.bindings:
            # Put in the place of the one that there is, that one would never be released.
            return binding
        machine.bindings[(job.job_id, index)] = binding
        machine.unchanged = False
        job.bindings[index] = binding
        self.bound_by_priority[job.priority] += 1
        self.book(machine, job.request, job.team, 1.0)
        if not sound:
            self.request_stop(binding, 0.0)
        return binding

    def release(
        self, binding: Binding, now: float, proof: ReleaseReason, detail: object = ""
    ) -> None:
        """The task is certainly not on the machine any more."""
        job, machine = binding.job, binding.machine
        assert job is not None
        event(
            log,
            "task_released",
            logging.DEBUG if proof is ReleaseReason.EXITED else logging.INFO,
            task=binding.task_id,
            attempt=binding.attempt,
            machine=machine.name,
            incarnation=machine.incarnation,
            sequence=machine.sequence,
            proof=proof,
            detail=detail,
            start_sends=binding.start_sends,
            fencing_token=self.fencing_token,
        )
        metrics.TASKS_RELEASED.labels(proof).inc()
        machine.bindings.pop((job.job_id, binding.index), None)
        machine.unchanged = False
        job.bindings.pop(binding.index, None)
        self.bound_by_priority[job.priority] -= 1
        self.book(machine, binding.request, binding.team, -1.0)
        if job.gang:
            if not job.complete and not job.failed:
                self.fail_gang(job, now, f"{binding.task_id} on {machine.name}: {proof} {detail}")
            if not job.bindings:
                job.failed = False
        else:
            job.requeue_task(binding.index)
        self._forget(job)
        self.events.changed()

    def move(self, binding: Binding, machine: Machine, now: float) -> None:
        """Bind a gang's member, of which nobody has been told, to another machine."""
        job = binding.job
        assert job is not None and binding.start_unsent()
        del binding.machine.bindings[(job.job_id, binding.index)]
        binding.machine.unchanged = False
        del job.bindings[binding.index]
        self.bound_by_priority[job.priority] -= 1
        self.book(binding.machine, binding.request, binding.team, -1.0)
        self.bind(job, binding.index, machine, binding.attempt, now)

    def fail_gang(self, job: Job, now: float, why: str) -> None:
        """A gang's attempt is over: the tasks left of it go before it is drawn anew."""
        job.failed = True
        log.info("gang %s attempt %d over: %s", job.job_id, job.attempt, why)
        for other in list(job.bindings.values()):
            if other.stop_grace_s is None:
                self.request_stop(other, 0.0)

    def stop_gang(self, job: Job, grace_s: float, why: str) -> None:
        """Stop a whole gang in order: every member is told, and what it saved is kept."""
        log.info("gang %s stopped: %s", job.job_id, why)
        job.failed = True
        for binding in job.bindings.values():
            self.request_stop(binding, grace_s)

    def request_stop(self, binding: Binding, grace_s: float) -> None:
        """Ask for a task's stop; a shorter grace replaces a longer one."""
        if binding.stop_grace_s is None or grace_s < binding.stop_grace_s:
            binding.stop_grace_s = grace_s
            binding.stop_sent = False
            binding.machine.unchanged = False
            self.stops.append(binding)

    def next_attempt(self) -> int:
        """A number that no other attempt of any term has."""
        self.counter += 1
        return (self.fencing_token << ATTEMPT_BITS) | self.counter

    # -- machines -----------------------------------------------------------------------

    def add_machine(
        self,
        name: str,
        machine_type: str,
        zone: str,
        spot: bool,
        now: float,
        registered: bool = False,
    ) -> Machine:
        """A machine heard of: provisioned, listed, reporting, or in the machine registry of an
        earlier term.

        A machine enters the machine registry with its first heartbeat. One that a new leader finds
        there is therefore not booting: it is up until its lease must be over, however long ago it
        was provisioned. Taking it for a machine that never came up would return running machines.
        """
        machine = self.machines.get(name)
        if machine is None:
            index = self.type_names.intern(machine_type)
            machine = Machine(
                name,
                index,
                self.zones.intern(zone),
                spot,
                self.capacity(index),
                provisioned_at=now,
            )
            machine.index = self.machines_seen
            self.machines_seen += 1
            self.machines[name] = machine
            self.unregistered[machine] = None
            self.largest_fleet = max(self.largest_fleet, len(self.machines))
        if registered and machine.phase == BOOTING:
            self.set_phase(machine, UP)
        if registered:
            self.mark_registered(machine)
            self.failover.invalidate_capacity()
        return machine

    def mark_registered(self, machine: Machine) -> None:
        """The state service knows the machine, so that it may be given work."""
        machine.registered = True
        self.unregistered.pop(machine, None)

    def lose_tasks(self, machine: Machine, now: float, proof: ReleaseReason) -> None:
        """All that was on a machine is certainly gone."""
        if self.zone_hooks is not None:
            self.zone_hooks.displaced(machine.bindings.values(), now)
        for binding in list(machine.bindings.values()):
            self.release(binding, now, proof)
        for key in list(machine.orphans):
            orphans.drop(self, machine, key)

    def machine_gone(self, machine: Machine, now: float) -> None:
        """The cloud confirmed the return: the machine and all on it are gone."""
        self.lose_tasks(machine, now, ReleaseReason.TERMINATED)
        self.set_phase(machine, GONE)
        self.capacity_index.reserved.pop(machine, None)
        self.machines.pop(machine.name, None)
        self.unregistered.pop(machine, None)
        self.recently_gone[machine.name] = now
        if len(self.recently_gone) > max(
            MIN_REMEMBERED_MACHINES, REMEMBERED_FLEETS * self.largest_fleet
        ):
            self.recently_gone.pop(next(iter(self.recently_gone)))
        self.events.changed()

    def tick(self, now: float) -> None:
        """What time alone decides: leases that are surely over, and the end of a failover."""
        dependencies.revise_runs(self)
        self.invariants.audit(now)
        # Of a leader without its lease workers may be another one's by now: what it last heard
        # says nothing of them. It had judged 135 machines lost that reported to the next leader.
        if permits(Action.DECLARE_LOST, self.confirmed_preconditions() | WORKER_LEASE_OVER):
            for machine in self.machines.values():
                if machine.phase == UP and now > self.leases.expires_at(machine):
                    self._mark_lost(machine, now)
        if self.loaded and not self.ready and self.failover.sweep(now):
            self.ready = True
            self._end_partial_gangs(now)
            event(
                log,
                "failover_complete",
                fencing_token=self.fencing_token,
                after_s=now - self.term_started_at,
                machines=len(self.machines),
                jobs=len(self.jobs),
            )
            self.events.changed()

    def _mark_lost(self, machine: Machine, now: float) -> None:
        # Whatever it still reports of this incarnation is late news: a worker that
        # goes on does so with the next incarnation and no tasks.
        log.info(
            "machine %s lost: unheard for %.1f s", machine.name, now - machine.last_heartbeat_at
        )
        self.set_phase(machine, LOST)
        machine.lost_at = now
        machine.min_incarnation = machine.incarnation + 1
        machine.first_acknowledged_at = (
            math.inf
        )  # it holds nothing any more, and may join if it heals
        machine.reconciled = False
        self.lose_tasks(machine, now, ReleaseReason.LEASE_OVER)

    def _end_partial_gangs(self, now: float) -> None:
        """Gangs of which an earlier leader had started only a part when it ended.

        With all machines accounted for, the rest of the gang is nowhere: the part would hold its
        places and wait for it until it gives up. It is stopped, and the gang drawn anew.
        """
        for job in list(self.jobs.values()):
            if job.gang and 0 < len(job.bindings) < job.spec.task_count and not job.complete:
                self.fail_gang(job, now, "incomplete after a takeover")

    # -- reports ------------------------------------------------------------------------

    def heartbeats_expected(self, now: float) -> bool:
        """Whether machines that are well have had the time to find this leader."""
        return now - self.term_started_at > 1.0 + self.limits.workers.heartbeat_interval_s

    def heartbeat_counts(self, now: float) -> tuple[int, int]:
        """How many machines that are up were heard lately, and how many were not."""
        up = [m for m in self.machines.values() if m.phase == UP]
        late = now - 3.0 * self.limits.workers.heartbeat_interval_s
        heard = sum(1 for m in up if m.last_heartbeat_at >= late)
        return heard, len(up) - heard

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

    def handle_heartbeat(
        self,
        heartbeat: Heartbeat,
        now: float,
        direct: bool = False,
    ) -> list[Command] | None:
        """Commands for the worker, or None when the heartbeat must not be answered with 200."""
        return handling.handle(self, heartbeat, now, direct)

    # -- views --------------------------------------------------------------------------

    def unfinished_dependencies(self, job_id: str, most: int) -> list[str]:
        """What a job still waits for."""
        node = self.dependency_graph.nodes.get(job_id)
        return sorted(node.unfinished)[:most] if node is not None else []

    def phase_of(self, job: Job) -> tuple[str, int, int]:
        """Phase, tasks done and tasks running, as users are told."""
        running = sum(
            1
            for b in job.bindings.values()
            if b.phase in (wire_names.RUNNING, wire_names.GATHERING, wire_names.FLUSHING)
        )
        # Before the outcome is durable nobody is told of it.
        phase = job.terminal_phase or (
            wire_names.ABORTED
            if job.dependency_cancelled
            else wire_names.RUNNING
            if running or job.n_done
            else wire_names.QUEUED
        )
        return phase, job.n_done, running
