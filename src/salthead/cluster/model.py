"""What the ledger holds: machines, jobs, and the tasks that are bound to machines.

A binding refers to its job and to its machine, and both list it: so the three share a module.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import StrEnum

from salthead.cluster.resources import (
    EPSILON,
    MachineKind,
    Resources,
    ResourceUsage,
    machine_kind,
)
from salthead.failure_detection.links import WorkerLinks
from salthead.protocol import wire_names
from salthead.protocol.messages import Submission, TaskStatus


class MachinePhase(StrEnum):
    """How far a machine is, as the leader knows."""

    BOOTING = "booting"  # provisioned; no heartbeat yet
    UP = "up"
    LOST = "lost"  # its worker's lease must be over; the cloud still has it
    GONE = "gone"  # the cloud confirmed that it is terminated


# Loops over all machines compare these: to name a member by its class costs a call.
BOOTING, UP = MachinePhase.BOOTING, MachinePhase.UP
LOST, GONE = MachinePhase.LOST, MachinePhase.GONE


class ReleaseReason(StrEnum):
    """Why a task is certainly not on its machine any more."""

    EXITED = "exited"
    NOT_SHOWN = "not_shown"  # it was shown, and a newer heartbeat does not show it
    NEVER_STARTED = "never_started"  # a heartbeat newer than all answers that ordered it lacks it
    NEVER_SENT = "never_told"  # no answer carried its start
    LEASE_EXPIRED = "lease_over"
    NEW_INCARNATION = "new_session"
    TERMINATED = "returned"  # the cloud confirmed that the machine is gone


@dataclass(slots=True, eq=False)
class Binding:
    """One task on one machine, or on its way there."""

    job: Job | None
    index: int
    attempt: int
    machine: Machine
    request: Resources
    team: int
    phase: str = ""  # empty until a heartbeat shows it
    since: float = 0.0
    started: float = 0.0
    start_sends: int = 0  # answers that carried its start
    stop_grace_s: float | None = None  # the leeway of the stop that is wanted
    stop_sent: bool = False
    orphan: bool = False  # on a machine, but not ours to keep: its stop is wanted
    rejected: bool = False  # bound against an invariant: its start is not sent

    @property
    def task_id(self) -> str:
        """The task's name, as commands to workers carry it."""
        return f"{self.job.job_id if self.job else '?'}/{self.index}"

    def start_unsent(self) -> bool:
        """Whether no answer carried its start yet, so that it can't be on its machine."""
        return (
            not self.start_sends
            and not self.phase
            and self.stop_grace_s is None
            and not self.orphan
        )


@dataclass(slots=True, eq=False)
class Machine:
    """One machine, as the leader knows it."""

    name: str
    machine_type: int
    zone: int
    spot: bool
    capacity: Resources
    phase: MachinePhase = BOOTING
    index: int = -1  # a dense number, for sets of machines
    provisioned_at: float = 0.0
    lost_at: float = 0.0
    endpoint: str = ""
    terminating: bool = False  # set by the autoscaler while it asks the cloud to terminate it

    # What the leader knows of its worker.
    registered: bool = False  # set once the state service knows the machine
    reconciled: bool = False  # has sent a heartbeat under this term's token
    seen_in_earlier_term: bool = False  # has sent one, though not under this term's token
    incarnation: int = 0
    sequence: int = -1
    min_incarnation: int = 0  # those before must have ended with their lease
    last_heartbeat_at: float = -math.inf
    acknowledged_at: float = -math.inf
    first_acknowledged_at: float = math.inf  # when it was first answered
    links: WorkerLinks = field(default_factory=WorkerLinks)
    # What its last heartbeat showed, and whether that left nothing to do: then the next one with
    # the same tasks changes nothing.
    last_tasks: list[TaskStatus] = field(default_factory=list)
    unchanged: bool = False

    # What is on it.
    bindings: dict[tuple[str, int], Binding] = field(default_factory=dict)
    orphans: dict[tuple[str, int, int], Binding] = field(default_factory=dict)
    allocated: ResourceUsage = field(default_factory=ResourceUsage)
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)  # in its cache, by use
    has_freed_capacity: bool = False  # has room that it had not at its last heartbeat
    free_whole_cpus: int = -1  # whole CPUs that are free, as the capacity index last noted

    # Why it takes no work, beside its phase: each is set by one owner.
    # By heartbeats: when the cloud takes the spot machine back, as its worker was warned.
    reclaim_at: float | None = None
    # By machine health: heartbeats arrive, but nothing reaches it; then a growing pause.
    unresponsive_since: float | None = None
    unresponsive_times: int = 0
    trusted_again_at: float = 0.0
    # By machine health, after errors of its tasks: a pause, then quarantine. The autoscaler too
    # quarantines a machine that the cloud lists as failed.
    error_jobs: set[str] = field(default_factory=set)
    error_until: float = 0.0
    quarantine_reason: str = ""  # why it takes no more tasks and is to be returned
    # By the capacity index: the job for which room is being made here.
    reserved_for: str = ""
    reserved_until: float = 0.0
    # By scale-in: since when all there is to do would fit elsewhere; then cordoned, so that it
    # empties and can be terminated. A heartbeat after its lease ended takes both back.
    surplus_since: float | None = None
    cordoned: bool = False
    # By zone recovery: in a zone that was lost, and not yet open to new work.
    awaiting_slow_start: bool = False

    # Kept rather than derived: plans read it a thousand times each.
    kind: MachineKind = field(init=False)

    def __post_init__(self) -> None:
        self.kind = machine_kind(self.machine_type, self.zone, self.spot)

    def free(self) -> list[float]:
        """CPUs, GPUs and memory that are not allocated, as a list that the caller may change."""
        return [
            self.capacity.cpus - self.allocated.cpus,
            self.capacity.gpus - self.allocated.gpus,
            self.capacity.memory_gb - self.allocated.memory_gb,
        ]

    def fits(self, request: Resources) -> bool:
        """Whether there is room for a task."""
        capacity, allocated = self.capacity, self.allocated
        return (
            allocated.cpus + request.cpus <= capacity.cpus + EPSILON
            and allocated.gpus + request.gpus <= capacity.gpus + EPSILON
            and allocated.memory_gb + request.memory_gb <= capacity.memory_gb + EPSILON
        )

    def places_for(self, request: Resources) -> float:
        """How many tasks with this request fit into what is free, with fractions."""
        capacity, allocated = self.capacity, self.allocated
        places = math.inf
        if request.cpus > 0:
            places = (capacity.cpus - allocated.cpus + EPSILON) / request.cpus
        if request.gpus > 0:
            places = min(places, (capacity.gpus - allocated.gpus + EPSILON) / request.gpus)
        if request.memory_gb > 0:
            free_gb = capacity.memory_gb - allocated.memory_gb
            places = min(places, (free_gb + EPSILON) / request.memory_gb)
        return places

    def fullest(self) -> float:
        """The largest booked share of CPUs, GPUs or memory."""
        allocated, capacity = self.allocated, self.capacity
        return max(
            allocated.cpus / capacity.cpus if capacity.cpus > 0 else 0.0,
            allocated.gpus / capacity.gpus if capacity.gpus > 0 else 0.0,
            allocated.memory_gb / capacity.memory_gb if capacity.memory_gb > 0 else 0.0,
        )

    def has_image(self, name: str, size_gb: float, cache_gb: float) -> None:
        """A task that has its image was seen: the cache keeps the most recently used ones."""
        self.images[name] = size_gb
        self.images.move_to_end(name)
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb > 0:
            self.images.popitem(last=False)

    def busy(self) -> bool:
        """Whether any task is on the machine, or on its way there."""
        return bool(self.bindings or self.orphans)

    def responsive(self, now: float) -> bool:
        """Whether answers and commands reach its worker, as far as is known."""
        return self.unresponsive_since is None and now >= self.trusted_again_at


@dataclass(slots=True, eq=False)
class Job:
    """One job that is not over, with what is bound of it."""

    spec: Submission
    team: int
    priority: int  # 0 is the highest urgency
    request: Resources
    allowed_types: frozenset[int] | None  # None: any
    zone: int | None
    submitted: float  # in this ledger's steady time
    since: float = 0.0  # when it could begin: submitted, or the last that it awaits was done
    done: bytearray = field(default_factory=bytearray)
    n_done: int = 0
    saved: set[int] = field(default_factory=set)  # done and known to the state service
    unsaved: set[int] = field(default_factory=set)  # done and not yet saved
    next_unstarted: int = 0
    retry_queue: deque[int] = field(default_factory=deque)
    bindings: dict[int, Binding] = field(default_factory=dict)
    attempt: int = 0  # of a gang, while it is bound
    failed: bool = False  # a gang whose attempt is over, until all its tasks are gone
    preempted: bool = False  # a gang that was stopped to make room or for its machine's sake
    terminal_phase: str = ""  # done or aborted, once that is durable
    wait_until: float = 0.0  # after errors and refusals
    pause_until: float = 0.0  # after a draw without candidates
    pause: float = 0.0
    # Quota reserved for gangs ahead of it in the queue
    quota_reserved_ahead: tuple[float, float] = (0.0, 0.0)
    room_until: float = 0.0  # until then room that was made for it by stops is awaited
    reserved_at: float | None = None  # since when its team's quota is kept for it
    held_back_since: float | None = None  # since when only what is kept for others keeps it waiting
    quota_exhausted: bool = False  # of quota, at the last pass
    error_machines: set[str] = field(default_factory=set)
    first_start: float | None = None
    within_guarantee: bool = False  # was within its team's guarantee when it came
    attainment_recorded: bool = False  # it is known whether it found its machines in time
    constrained: bool = False  # fits on no type but those that are scarce
    accepted_this_term: bool = False  # no earlier leader can have started any of it
    blocked_on_dependencies: bool = (
        False  # not all jobs that it awaits are known to be durably done
    )
    cancel_requested: bool = False  # its user has asked to cancel it: nothing of it starts any more
    dependency_cancelled: bool = (
        False  # a job that it needs was cancelled: aborted, if not yet written so
    )
    due: tuple[float, float] = (math.inf, math.inf)  # when it has to be done for those after it
    # Kept rather than derived: a tenth of all calls of a busy leader were to derive them.
    job_id: str = field(init=False)
    gang: bool = field(init=False)

    def __post_init__(self) -> None:
        self.job_id = self.spec.job_id
        self.gang = self.spec.shape == wire_names.GANG

    @property
    def complete(self) -> bool:
        """Whether all of its tasks are done."""
        return self.n_done >= self.spec.task_count

    def size(self) -> tuple[float, float]:
        """CPUs and GPUs that all unfinished tasks take together."""
        left = self.spec.task_count - (0 if self.gang else self.n_done)
        return self.request.cpus * left, self.request.gpus * left

    def waiting(self) -> int:
        """How many tasks have no machine."""
        if (
            self.terminal_phase
            or self.complete
            or self.blocked_on_dependencies
            or self.dependency_cancelled
            or self.cancel_requested
        ):
            return 0
        if self.gang:
            return 0 if self.bindings else self.spec.task_count
        return self.spec.task_count - self.n_done - len(self.bindings)

    def next_task(self) -> int | None:
        """The next task without a machine, if any."""
        while self.retry_queue:
            index = self.retry_queue.popleft()
            if not self.done[index] and index not in self.bindings:
                return index
        while self.next_unstarted < self.spec.task_count:
            index = self.next_unstarted
            self.next_unstarted += 1
            if not self.done[index] and index not in self.bindings:
                return index
        return None

    def requeue_task(self, index: int) -> None:
        """A task has lost its machine and waits again."""
        if not self.gang and index < self.next_unstarted and not self.done[index]:
            self.retry_queue.append(index)
