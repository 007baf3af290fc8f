"""A machine and its worker: it sends heartbeats, obeys commands and runs tasks."""

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
UNANSWERED = 599  # where no answer came
MIN_HEARTBEAT_INTERVAL_S = 0.5
REDIRECT_PAUSE_S, RETRY_PAUSE_S = 0.2, 1.0
HANG_CHECK_S = 0.2
TASK_STEP_S = 0.1


class Surroundings(Protocol):
    """What a worker needs of the world."""

    boot_s: float
    fetch_s: Callable[[Worker], float]

    @property
    def controllers(self) -> Sized:
        """The controllers, of which a worker tries one after the other."""

    def now(self) -> float:
        """Return the time in seconds."""

    async def deliver_heartbeat(
        self, worker: Worker, controller: int, message: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Send a heartbeat to a controller, and return the status and the body of its answer."""

    def started(self, worker: Worker, task_id: str) -> None:
        """A worker is about to start a task."""

    def run_s(self, task_id: str) -> float:
        """Return for how long a task runs."""

    def gang_whole(self, task_id: str, attempt: int) -> bool:
        """Return whether all tasks of the task's gang are on machines."""

    def complete(self, worker: Worker, task_id: str, attempt: int) -> None:
        """A task has run for as long as it runs."""


class Worker:
    """A machine and its worker."""

    def __init__(
        self, world: Surroundings, name: str, machine_type: str, zone: str, spot: bool
    ) -> None:
        self.world, self.name, self.machine_type, self.zone = world, name, machine_type, zone
        self.spot = spot
        self.born = world.now()
        self.up = False
        # The machine itself stands still: it sends nothing, and commands wait until it goes on.
        self.hung = False
        # The inbound direction fails: its heartbeats arrive; answers and commands are lost.
        self.deaf = False
        # The outbound direction fails: it opens no connection; commands to it arrive.
        self.mute = False
        # Both directions fail: heartbeats and commands sent meanwhile arrive once that is over.
        self.cut = False
        self.incarnation, self.sequence, self.fencing_token = 1, 0, 0
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}  # by task and attempt
        self.acknowledged_at = 0.0  # when the last heartbeat that was answered had been sent
        self.changed = asyncio.Event()
        self.controller = 0  # to which heartbeats go
        self.background = [
            asyncio.create_task(self._send_heartbeats()),
            asyncio.create_task(self._run_tasks()),
        ]

    def end(self) -> None:
        """The machine is gone, with its tasks."""
        self.tasks.clear()
        for task in self.background:
            task.cancel()

    def heartbeat(self) -> dict[str, Any]:
        """Return the next heartbeat as it goes over the wire."""
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
        self.world.started(self, task_id)
        fetch_s = self.world.fetch_s(self)
        self.tasks[task_id, attempt] = {
            "phase": "fetching" if fetch_s > 0 else "running",
            "fetch": fetch_s,
            "left": self.world.run_s(task_id),
        }

    # -- heartbeats

    async def _send_heartbeats(self) -> None:
        await asyncio.sleep(self.world.boot_s)
        self.up, self.acknowledged_at = True, self.world.now()
        heartbeat_interval_s = LIMITS["workers"]["report_s"]
        while True:
            # A machine that hangs goes on within its lease or not at all.
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
        """The lease has expired: all tasks end, and the worker registers anew."""
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
                self._take_answer(sent_at, body)
            return True
        if status == 421 and "herder" in body:
            self.controller = int(body["herder"][1:])
            await asyncio.sleep(REDIRECT_PAUSE_S)
        else:
            self.controller = (self.controller + 1) % len(self.world.controllers)
            await asyncio.sleep(RETRY_PAUSE_S)
        return False

    def _take_answer(self, sent_at: float, body: dict[str, Any]) -> None:
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
        """Let one step of time pass for a task."""
        if task["phase"] == "fetching":
            task["fetch"] -= TASK_STEP_S
            if task["fetch"] <= 0:
                task["phase"] = "running"
                self.changed.set()
        if task["phase"] != "running":
            return
        if not self.world.gang_whole(task_id, attempt):
            self._miss_peers(task)
            return
        task |= {"ran": True, "missed": 0.0}
        task["left"] -= TASK_STEP_S
        if task["left"] <= 0:
            self.world.complete(self, task_id, attempt)

    def _miss_peers(self, task: dict[str, Any]) -> None:
        """A gang's task whose others are not there: it gives up after what the protocol says."""
        task["missed"] = task.get("missed", 0.0) + TASK_STEP_S
        workers = LIMITS["workers"]
        if task.get("ran") and task["missed"] > workers["gang_peer_s"]:
            task |= {"phase": "exited", "cause": "mates_gone"}
            self.changed.set()
        elif task["missed"] > workers["gang_wait_s"]:
            task |= {"phase": "exited", "cause": "alone"}
            self.changed.set()
