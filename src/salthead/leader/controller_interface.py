"""The interface of the controller to its term; ``leader`` must not import ``controller``."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol

from salthead.leases.leader_lease import LeaderStickiness
from salthead.policy import Policy
from salthead.protocol.messages import JobStatus, MachineType, Submission
from salthead.protocol.terminal_outcome import TerminalOutcome
from salthead.settings import Limits, Settings, StateLimits
from salthead.state_store.client import StateStore
from salthead.state_store.messages import Listing
from salthead.state_store.request_stats import RequestClass
from salthead.transport.client import HttpClient

# Returns all records with a prefix.
ReadRecords = Callable[[str], Awaitable[Listing]]


class JobLookup(Protocol):
    """Consistent reads of jobs in the state service."""

    async def read_outcome(
        self, job_id: str, request_class: RequestClass
    ) -> TerminalOutcome | None:
        """Return the outcome of a job, or None if it has none."""

    async def read_dependencies(self, spec: Submission, request_class: RequestClass) -> Submission:
        """Return a job with the dependencies that are stored in continuation values."""

    async def read_status(
        self, job_id: str, request_class: RequestClass = RequestClass.USER
    ) -> JobStatus | None:
        """Return the status of a job, or None if it was never accepted."""


class WorkerSlots(Protocol):
    """The limit on calls to workers in progress."""

    reconcile_slots: int


class ControllerInterface(Protocol):
    """The parts of a controller that its term uses."""

    settings: Settings
    policy: Policy
    limits: Limits
    state_limits: StateLimits
    state_store: StateStore
    rng: random.Random
    cloud: HttpClient
    workers: HttpClient
    peers: dict[str, HttpClient]
    machine_types: dict[str, MachineType]
    leader_stickiness: LeaderStickiness

    @property
    def job_reader(self) -> JobLookup:
        """Return the reader of jobs that are not in the ledger."""

    @property
    def sockets(self) -> WorkerSlots:
        """Return the limits on connections that divide the sockets of the process."""

    @property
    def terminal_outcomes(self) -> Mapping[str, TerminalOutcome]:
        """Return the cached outcomes by job id."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    async def sleep_with_jitter(self, seconds: float) -> None:
        """Sleep for about ``seconds``, with jitter."""

    def log_throttled(self, kind: str, error: object) -> None:
        """Count an error, and log errors of the same kind at a limited rate."""

    def remember_outcome(
        self, job_id: str, phase: str, task_count: int, at: float | None = None
    ) -> None:
        """Add a job's outcome to the cache."""
