"""Simulated machine whose worker sends heartbeats, executes commands and runs tasks."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sized
from typing import Any, Protocol

from builders.platform import LIMITS
from salthead.protocol.messages import encode
from salthead.transport.client import UnansweredError

BOOT_S = 5.0
ANSWER_WITHIN_S = 4.0
UNANSWERED = 599  # status in place of a missing answer
MIN_HEARTBEAT_INTERVAL_S = 0.5
REDIRECT_PAUSE_S, RETRY_PAUSE_S = 0.2, 1.0
HANG_CHECK_S = 0.2
TASK_STEP_S = 0.1


class Surroundings(Protocol):
    """The part of the world that a worker uses."""

    boot_s: float
    fetch_s: Callable[[Worker], float]

    @property
    def controllers(self) -> Sized:
        """The controllers, which a worker tries in turn."""

    def now(self) -> float:
        """Return the fake time in seconds."""

    async def deliver_heartbeat(
        self, worker: Worker, controller: int, message: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Send a heartbeat to a controller and return the status and the body of its answer."""

    def before_start(self, worker: Worker, task_id: str) -> None:
        """Check and count a task that a worker is about to start."""

    def run_s(self, task_id: str) -> float:
        """Return the run time of a task in seconds."""

    def gang_is_complete(self, task_id: str, attempt: int) -> bool:
        """Return whether all tasks of this gang attempt are on machines."""

    def complete_task(self, worker: Worker, task_id: str, attempt: int) -> None:
        """End a task that has run for its full run time."""


class Worker:
    """A machine and its worker."""

    def __init__(
        self, world: Surroundings, name: str, machine_type: str, zone: str, spot: bool
    ) -> None:
        self.world, self.name, self.machine_type, self.zone = world, name, machine_type, zone
        self.spot = spot
        self.created_at = world.now()
        self.up = False
        # The machine is suspended: it sends nothing, and commands wait until it resumes.
        self.hung = False
        # The inbound direction fails: heartbeats arrive, but answers and commands are lost.
        self.deaf = False
        # The outbound direction fails: the worker opens no connection, but commands arrive.
        self.mute = False
        # Both directions fail: heartbeats and commands sent meanwhile arrive after the cut.
        self.cut = False
        self.incarnation, self.sequence, self.fencing_token = 1, 0, 0
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}  # by task identifier and attempt
        self.acknowledged_at = 0.0  # send time of the last answered heartbeat
        self.changed = asyncio.Event()
        self.controller = 0  # index of the controller that gets the heartbeats
        self.background: list[asyncio.Task[None]] = []
        self.begin_process(world.boot_s)

    def begin_process(self, boot_s: float = 0.0) -> None:
        """Start the worker's process, which sends heartbeats after ``boot_s``."""
        self.background = [
            asyncio.create_task(self._send_heartbeats(boot_s)),
            asyncio.create_task(self._run_tasks()),
        ]

    def terminate(self) -> None:
        """Remove the machine with its tasks."""
        self.tasks.clear()
        for task in self.background:
            task.cancel()

    def heartbeat(self) -> dict[str, Any]:
        """Return the next heartbeat in its wire format."""
        self.sequence += 1
        return {
            "saltlick": self.name,
            "endpoint": self.name + ":9",
            "build": self.machine_type,
            "paddock": self.zone,
            "borrowed": self.spot,
            "tenure": self.incarnation,
            "tally": self.sequence,
            "baton": self.fencing_token,
            "warning_s": None,
            "pieces": [
                {
                    "piece": task_id,
                    "try": attempt,
                    "phase": task["phase"],
                    "cause": task.get("cause"),
                    "saved": task.get("saved", False),
                }
                for (task_id, attempt), task in self.tasks.items()
            ],
        }

    # -- commands

    def obey(self, orders: list[dict[str, Any]]) -> None:
        """Carry out commands."""
        for order in orders:
            key = (order["piece"], order["try"])
            if order["verb"] == "reap":
                if self.tasks.get(key, {}).get("phase") == "exited":
                    del self.tasks[key]
            elif order["verb"] == "stop":
                if key in self.tasks and self.tasks[key]["phase"] != "exited":
                    self.tasks[key] |= {"phase": "exited", "cause": "halted"}
            elif key not in self.tasks:
                self._start(*key)
            self.changed.set()

    def _start(self, task_id: str, attempt: int) -> None:
        self.world.before_start(self, task_id)
        fetch_s = self.world.fetch_s(self)
        self.tasks[task_id, attempt] = {
            "phase": "fetching" if fetch_s > 0 else "running",
            "fetch": fetch_s,
            "left": self.world.run_s(task_id),
        }

    # -- heartbeats

    async def _send_heartbeats(self, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        self.up, self.acknowledged_at = True, self.world.now()
        heartbeat_interval_s = LIMITS["workers"]["report_s"]
        while True:
            # A hung machine resumes within its lease, or its incarnation ends.
            while self.hung and not self.lease_expired():
                await asyncio.sleep(HANG_CHECK_S)
            if self.lease_expired():
                self.begin_incarnation()
            while self.hung:
                await asyncio.sleep(HANG_CHECK_S)
            if not await self._send_heartbeat():
                continue
            await asyncio.sleep(MIN_HEARTBEAT_INTERVAL_S)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self.changed.wait(), heartbeat_interval_s - MIN_HEARTBEAT_INTERVAL_S
                )
            self.changed.clear()

    def lease_expired(self) -> bool:
        """Return whether no heartbeat was answered for longer than the worker's lease."""
        return self.world.now() - self.acknowledged_at > LIMITS["workers"]["lease_s"]

    def begin_incarnation(self) -> None:
        """End all tasks after the lease has expired, and start a new incarnation."""
        self.incarnation, self.sequence = self.incarnation + 1, 0
        self.acknowledged_at = self.world.now()
        self.tasks.clear()

    async def _send_heartbeat(self) -> bool:
        """Send one heartbeat; return whether it was answered by the leader."""
        sent_at, incarnation = self.world.now(), self.incarnation
        message = encode(self.heartbeat())
        try:
            status, body = await asyncio.wait_for(
                self.world.deliver_heartbeat(self, self.controller, message), ANSWER_WITHIN_S
            )
        except (TimeoutError, UnansweredError):
            status, body = UNANSWERED, {}
        if status == 200:
            if incarnation == self.incarnation:
                self._apply_answer(sent_at, body)
            return True
        if status == 421 and "herder" in body:
            self.controller = int(body["herder"][1:])
            await asyncio.sleep(REDIRECT_PAUSE_S)
        else:
            self.controller = (self.controller + 1) % len(self.world.controllers)
            await asyncio.sleep(RETRY_PAUSE_S)
        return False

    def _apply_answer(self, sent_at: float, body: dict[str, Any]) -> None:
        if body["baton"] < self.fencing_token:
            return
        if body["baton"] > self.fencing_token:
            self.fencing_token = body["baton"]
            self.changed.set()
        self.acknowledged_at = sent_at
        self.obey(body["orders"])

    # -- tasks

    async def _run_tasks(self) -> None:
        while True:
            await asyncio.sleep(TASK_STEP_S)
            if self.hung:
                continue
            for (task_id, attempt), task in self.tasks.items():
                self._advance(task_id, attempt, task)

    def _advance(self, task_id: str, attempt: int, task: dict[str, Any]) -> None:
        """Advance a task by one time step."""
        if task["phase"] == "fetching":
            task["fetch"] -= TASK_STEP_S
            if task["fetch"] <= 0:
                task["phase"] = "running"
                self.changed.set()
        if task["phase"] != "running":
            return
        if not self.world.gang_is_complete(task_id, attempt):
            self._await_gang_peers(task)
            return
        task |= {"ran": True, "missed": 0.0}
        task["left"] -= TASK_STEP_S
        if task["left"] <= 0:
            self.world.complete_task(self, task_id, attempt)

    def _await_gang_peers(self, task: dict[str, Any]) -> None:
        """Count the time without gang peers; exit after the limits of the protocol."""
        task["missed"] = task.get("missed", 0.0) + TASK_STEP_S
        workers = LIMITS["workers"]
        if task.get("ran") and task["missed"] > workers["gang_peer_s"]:
            task |= {"phase": "exited", "cause": "mates_gone"}
            self.changed.set()
        elif task["missed"] > workers["gang_wait_s"]:
            task |= {"phase": "exited", "cause": "alone"}
            self.changed.set()
