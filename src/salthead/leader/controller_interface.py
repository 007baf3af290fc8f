"""The controller as its term uses it, so that ``leader`` imports nothing of ``controller``."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Protocol

from salthead.leases.leader_lease import LeaderStickiness
from salthead.policy import Policy
from salthead.protocol.messages import JobStatus, MachineType, Submission
from salthead.settings import Limits, Settings, StateLimits
from salthead.state_store.client import StateStore
from salthead.transport.client import HttpClient

# Phase, number of tasks, and the time of day of the end if it is known.
TerminalOutcome = tuple[str, int, float | None]


class JobLookup(Protocol):
    """Consistent reads of jobs in the state service."""

    async def ended(self, job_id: str) -> TerminalOutcome | None:
        """The outcome of a job, if it has one."""

    async def whole(self, spec: Submission) -> Submission:
        """A job with all of its dependencies, where its record is continued in further values."""

    async def read(self, job_id: str) -> JobStatus | None:
        """A job's status; None when it was never accepted."""


class WorkerSlots(Protocol):
    """How many calls to workers may be in progress."""

    reconcile_slots: int


class ControllerInterface(Protocol):
    """What a term is given of the controller that it leads for."""

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
        """Reads of jobs that the ledger does not hold."""

    @property
    def sockets(self) -> WorkerSlots:
        """How the sockets of the process are divided."""

    @property
    def terminal_outcomes(self) -> Mapping[str, TerminalOutcome]:
        """Outcomes that this controller remembers."""

    def now(self) -> float:
        """Steady time in seconds."""

    async def sleep_with_jitter(self, seconds: float) -> None:
        """A pause with jitter."""

    def log_throttled(self, kind: str, error: object) -> None:
        """Count an error, and log each kind of them once in a while."""

    def remember_outcome(
        self, job_id: str, phase: str, task_count: int, at: float | None = None
    ) -> None:
        """Remember a job's outcome."""
