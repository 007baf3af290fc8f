"""Records of the ledger: machines, jobs, and bindings of tasks to machines.

A binding refers to its job and its machine, and both list it, so the three share a module.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import StrEnum

from salthead.cluster.recent_starts import RecentStarts
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
    """Lifecycle phase of a machine, as far as the leader knows."""

    BOOTING = "booting"  # provisioned; no heartbeat yet
    UP = "up"
    LOST = "lost"  # its worker's lease has certainly expired; the cloud still lists it
    GONE = "gone"  # the cloud confirmed that it is terminated


# Loops over all machines compare these names: access to an enum member by its class costs a call.
BOOTING, UP = MachinePhase.BOOTING, MachinePhase.UP
LOST, GONE = MachinePhase.LOST, MachinePhase.GONE


@dataclass(slots=True, eq=False)
class Binding:
    """A task bound to a machine: running there, or with its start still to be sent."""

    job: Job | None
    index: int
    attempt: int
    machine: Machine
    request: Resources
    team: int
    phase: str = ""  # empty until a heartbeat lists the task
    since: float = 0.0  # when this leader placed the task, or adopted it; 0.0 for an orphan
    started: float = 0.0  # when a heartbeat first listed it as running; 0.0: none has
    start_sends: int = 0  # answers that carried its start
    stop_grace_s: float | None = None  # grace period of the requested stop; None: no stop
    stop_sent: bool = False
    orphan: bool = False  # runs without a decision of this leader, and is to be stopped
    rejected: bool = False  # violates an invariant: its start is not sent

    @property
    def task_id(self) -> str:
        """Return the task's id in commands to workers."""
        return f"{self.job.job_id if self.job else '?'}/{self.index}"

    def start_unsent(self) -> bool:
        """Return whether no answer carried the start yet, so the task can't be on its machine."""
        return (
            not self.start_sends
            and not self.phase
            and self.stop_grace_s is None
            and not self.orphan
        )


@dataclass(slots=True, eq=False)
class Machine:
    """A machine and its worker, as far as the leader knows."""

    name: str
    machine_type: int
    zone: int
    spot: bool
    capacity: Resources
    phase: MachinePhase = BOOTING
    index: int = -1  # consecutive number, used in bitmap sets of machines
    provisioned_at: float = 0.0
    lost_at: float = 0.0
    endpoint: str = ""
    terminating: bool = False  # set by the autoscaler while it asks the cloud to terminate it

    # State of the machine's worker.
    registered: bool = False  # the state service's registry lists the machine
    reconciled: bool = False  # has sent a heartbeat with this term's fencing token
    seen_in_earlier_term: bool = False  # has sent a heartbeat with another fencing token
    incarnation: int = 0
    sequence: int = -1
    min_incarnation: int = 0  # earlier incarnations have certainly ended with their lease
    last_heartbeat_at: float = -math.inf
    acknowledged_at: float = -math.inf  # when a heartbeat was last answered
    first_acknowledged_at: float = math.inf  # first answer, while the token is not yet accepted
    # Evidence on the link to the worker, by direction.
    links: WorkerLinks = field(default_factory=WorkerLinks)
    # Tasks of the last heartbeat, and whether no command was pending after it. If none was, the
    # next heartbeat with the same tasks changes nothing.
    last_tasks: list[TaskStatus] = field(default_factory=list)
    nothing_pending: bool = False

    # Tasks, allocations and cached images.
    bindings: dict[tuple[str, int], Binding] = field(default_factory=dict)
    orphans: dict[tuple[str, int, int], Binding] = field(default_factory=dict)
    recent_starts: RecentStarts = field(default_factory=RecentStarts)
    allocated: ResourceUsage = field(default_factory=ResourceUsage)
    # Sizes of cached images in GB, the least recently used first.
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)
    has_freed_capacity: bool = False  # capacity has become free since its last heartbeat
    free_whole_cpus: int = -1  # whole free CPUs in the capacity index; -1: not indexed

    # Reasons besides the phase why the machine takes no work. One component sets each.
    # Heartbeats: when the cloud will reclaim the spot machine, by the warning that its worker got.
    reclaim_at: float | None = None
    # Machine health: its heartbeats arrive, but answers do not reach it. After it responds again, a
    # pause that doubles each time.
    unresponsive_since: float | None = None
    unresponsive_times: int = 0
    trusted_again_at: float = 0.0
    # Machine health: a pause after its tasks failed, then quarantine. The autoscaler also
    # quarantines a machine that the cloud lists as failed.
    error_jobs: set[str] = field(default_factory=set)
    error_until: float = 0.0
    quarantine_reason: str = ""  # if set, it takes no more tasks and is to be terminated
    # Capacity index: the job for which its capacity is reserved.
    reserved_for: str = ""
    reserved_until: float = 0.0
    # Scale-in: since when all work would fit on other machines; later cordoned, so that it drains
    # and can be terminated. A heartbeat after its lease expired resets both.
    surplus_since: float | None = None
    cordoned: bool = False
    # Zone recovery: in a zone that returns after an outage, and not yet admitted to new work.
    awaiting_slow_start: bool = False

    # Stored rather than derived, since each plan reads it about a thousand times.
    kind: MachineKind = field(init=False)

    def __post_init__(self) -> None:
        self.kind = machine_kind(self.machine_type, self.zone, self.spot)

    def free(self) -> list[float]:
        """Return the unallocated CPUs, GPUs and GB of memory as a new list."""
        return [
            self.capacity.cpus - self.allocated.cpus,
            self.capacity.gpus - self.allocated.gpus,
            self.capacity.memory_gb - self.allocated.memory_gb,
        ]

    def fits(self, request: Resources) -> bool:
        """Return whether a task with this request fits into the free capacity."""
        capacity, allocated = self.capacity, self.allocated
        return (
            allocated.cpus + request.cpus <= capacity.cpus + EPSILON
            and allocated.gpus + request.gpus <= capacity.gpus + EPSILON
            and allocated.memory_gb + request.memory_gb <= capacity.memory_gb + EPSILON
        )

    def fitting_task_count(self, request: Resources) -> float:
        """Return how many tasks with this request fit into the free capacity, with fractions."""
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

    def max_utilization(self) -> float:
        """Return the highest allocated share among CPUs, GPUs and memory."""
        allocated, capacity = self.allocated, self.capacity
        return max(
            allocated.cpus / capacity.cpus if capacity.cpus > 0 else 0.0,
            allocated.gpus / capacity.gpus if capacity.gpus > 0 else 0.0,
            allocated.memory_gb / capacity.memory_gb if capacity.memory_gb > 0 else 0.0,
        )

    def record_image(self, name: str, size_gb: float, cache_gb: float) -> None:
        """Record that the machine has an image; evict the least recently used beyond the cache."""
        self.images[name] = size_gb
        self.images.move_to_end(name)
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb > 0:
            self.images.popitem(last=False)

    def busy(self) -> bool:
        """Return whether any task is bound to the machine or an orphan on it."""
        return bool(self.bindings or self.orphans)

    def responsive(self, now: float) -> bool:
        """Return whether answers and commands are believed to reach its worker."""
        return self.unresponsive_since is None and now >= self.trusted_again_at


@dataclass(slots=True, eq=False)
class Job:
    """A job that has not ended, with its done tasks and its bindings."""

    spec: Submission
    team: int
    priority: int  # 0 is the highest urgency
    request: Resources
    allowed_types: frozenset[int] | None  # None: any
    zone: int | None
    submitted_at: float  # in the ledger's monotonic time
    since: float = 0.0  # when it became ready: submitted, or its last dependency was done
    done: bytearray = field(default_factory=bytearray)  # by task index: 1 if the task is done
    n_done: int = 0
    saved: set[int] = field(default_factory=set)  # done tasks that the state service holds
    unsaved: set[int] = field(default_factory=set)  # done tasks that are still to be saved
    next_unstarted: int = 0
    retry_queue: deque[int] = field(default_factory=deque)
    bindings: dict[int, Binding] = field(default_factory=dict)
    # A gang's attempt number, unique across terms and shared by all its tasks. It is valid only
    # while the gang is bound.
    attempt: int = 0
    failed: bool = False  # a gang whose attempt has failed, until all its tasks are released
    preempted: bool = False  # a gang that was stopped for other jobs, or to vacate a machine
    terminal_phase: str = ""  # done or aborted, once that is durable
    error_backoff_until: float = 0.0  # backoff after task errors and refused starts
    placement_backoff_until: float = 0.0  # backoff after a placement without candidates
    pause: float = 0.0
    # CPUs and GPUs of its team's quota that are reserved for gangs ahead of it in the queue.
    quota_reserved_ahead: tuple[float, float] = (0.0, 0.0)
    # Until when it waits for the capacity that preemption frees for it.
    preemption_wait_until: float = 0.0
    reserved_at: float | None = None  # since when its team's quota is reserved for it
    held_back_since: float | None = None  # since when only reservations for others delay it
    quota_exhausted: bool = False  # its team's quota was used up at the last pass
    error_machines: set[str] = field(default_factory=set)
    first_start: float | None = None
    within_guarantee: bool = False  # was within its team's guarantee at some pass
    attainment_recorded: bool = False  # counted in the start-time objective
    constrained: bool = False  # fits on scarce machine types only
    accepted_this_term: bool = False  # no earlier leader can have started any of its tasks
    # Not every job that it depends on is known to be durably done.
    blocked_on_dependencies: bool = False
    cancel_requested: bool = False  # its user asked to cancel it: none of its tasks may start
    # A job that it depends on was cancelled, so it is aborted even if that is not yet written.
    dependency_cancelled: bool = False
    # Due time and the latest completion that still counts, each earlier if a dependent needs it.
    due: tuple[float, float] = (math.inf, math.inf)
    # Stored rather than derived: as properties they made up a tenth of a busy leader's calls.
    job_id: str = field(init=False)
    gang: bool = field(init=False)

    def __post_init__(self) -> None:
        self.job_id = self.spec.job_id
        self.gang = self.spec.shape == wire_names.GANG

    @property
    def complete(self) -> bool:
        """Return whether all tasks are done."""
        return self.n_done >= self.spec.task_count

    def size(self) -> tuple[float, float]:
        """Return the CPUs and GPUs of all tasks of a gang, or all unfinished tasks of an array."""
        unfinished = self.spec.task_count - (0 if self.gang else self.n_done)
        return self.request.cpus * unfinished, self.request.gpus * unfinished

    def waiting(self) -> int:
        """Return how many tasks wait for a machine."""
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
        """Pop the index of the next task that waits for a machine, or return None."""
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
        """Let a task that lost its machine wait for another one."""
        if not self.gang and index < self.next_unstarted and not self.done[index]:
            self.retry_queue.append(index)
