"""Base of the simulated world: clock, random generator, services, machines and controllers."""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine
from typing import Any

import production
from salthead.controller.controller import Controller
from standins.cloud import Cloud
from standins.state_service import State
from standins.worker import BOOT_S, Worker


class Hosts(ABC):
    """The state service, the cloud with its machines, and the processes of the controllers."""

    def __init__(self, seed: int, max_machines: int, areas: dict[str, str]) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.counter = 0
        self.max_machines = max_machines  # capacity of the cloud
        self.max_machines_in_zone: dict[str, int] = {}  # capacity of a zone, if less
        self.areas = areas  # zones of controllers; north if not named
        self.names: list[str] = []
        self.controllers: dict[str, Controller | None] = {}
        self.versions: dict[str, production.Version] = {}
        self.boot_s = BOOT_S
        self.fetch_s: Callable[[Worker], float] = lambda worker: 0.0  # time to fetch an image
        self.pending: set[asyncio.Task[Any]] = set()  # calls that outlive their caller's timeout
        self.state = State(self.now)
        self.cloud = Cloud(self)

    def now(self) -> float:
        """Return the fake time in seconds."""
        return self.loop.time()

    def next_number(self) -> int:
        """Increment the counter and return it."""
        self.counter += 1
        return self.counter

    def area(self, name: str) -> str:
        """Return the zone of a machine or a controller."""
        worker = self.cloud.hosts.get(name)
        return worker.zone if worker is not None else self.areas.get(name, "north")

    def version_of(self, controller: Any) -> production.Version:
        """Return the salthead version that a controller process runs."""
        return self.versions[controller.settings.member]

    def leader(self) -> Controller | None:
        """Return the controller that holds the leader lease by its own view, or None."""
        return next(iter(self.leaders()), None)

    def leaders(self) -> list[Controller]:
        """Return all controllers that may act as the leader by their own view."""
        running = (one for one in self.controllers.values() if one is not None)
        return [one for one in running if one.leading()]

    def on_machines(self) -> list[tuple[Worker, str]]:
        """Return the tasks on machines that have not exited, each with its worker."""
        return [
            (worker, task_id)
            for worker in self.cloud.hosts.values()
            for (task_id, _), task in worker.tasks.items()
            if task["phase"] != "exited"
        ]

    def in_background(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start work that continues after its caller has timed out."""
        task = asyncio.create_task(work)
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)
        return task

    @abstractmethod
    async def deliver_heartbeat(
        self, worker: Worker, controller: int, message: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Send a heartbeat to a controller and return the status and the body of its answer."""

    @abstractmethod
    def before_start(self, worker: Worker, task_id: str) -> None:
        """Check and count a task that a worker is about to start."""

    @abstractmethod
    def run_s(self, task_id: str) -> float:
        """Return the run time of a task in seconds."""

    @abstractmethod
    def gang_is_complete(self, task_id: str, attempt: int) -> bool:
        """Return whether all tasks of this gang attempt are on machines."""

    @abstractmethod
    def complete_task(self, worker: Worker, task_id: str, attempt: int) -> None:
        """End a task that has run for its full run time."""
