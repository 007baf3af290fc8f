"""Simulated network that can cut, delay and duplicate calls, or lose their answers.

A call whose answer is lost is still executed: its caller can't tell it from a call that never
arrived.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

import cbor2

from salthead.protocol.messages import encode
from salthead.transport.client import Answer, UnansweredError
from standins.peers import Peers
from standins.worker import Worker

LATENCY_S = (0.001, 0.01)  # range for each direction
NEVER_S = 60.0  # longer than any caller's timeout
HELD_CHECK_S = 0.05
COMMAND_CHECK_S = 0.2
WATCH_CHECK_S = 0.25
LATE_WRITE_S = (2.0, 12.0)
LATE_COPY_S = (1.0, 6.0, 20.0, 45.0)
KEPT_COPY_SHARE = 0.3  # share of heartbeats copied for delivery after a change of leader


@dataclass(frozen=True)
class Call:
    """A request in transit from one host to another."""

    source: str
    target: str
    method: str
    path: str
    body: Any
    query: dict[str, str] = field(default_factory=dict)


class Network(Peers):
    """Delivery of calls between controllers, services and workers, with injected faults."""

    def __init__(self, seed: int, max_machines: int, areas: dict[str, str]) -> None:
        super().__init__(seed, max_machines, areas)
        self.cuts: set[tuple[str, str]] = set()  # (source, target), or (controller, "workers")
        self.zones_partitioned = False  # hosts reach only their own zone
        self.paused: set[str] = set()  # suspended controllers; heartbeats to them are held
        self.refused: set[str] = set()  # controllers to which the state service answers 503
        self.lost_answer_share = 0.0  # share of calls that are executed without an answer
        self.extra_latency_s: Callable[[str, str], float] = lambda source, path: 0.0
        self.late_writes = 0.0  # share of transactions that get no answer
        self.writes_at_once = False  # whether these are applied at once, not seconds later
        # Returns when a call gets no answer and is executed this many seconds late, else None.
        self.late_unanswered_s: Callable[[Call], float | None] = lambda call: None
        self.copies = 0.0  # share of heartbeats that are delivered a second time, late
        self.keep_copies = False  # whether heartbeats are copied for the next leader
        self.kept_copies: list[bytes] = []
        self.direct_calls = self.max_direct_calls = 0  # concurrent calls to machines

    def can_reach(self, source: str, target: str) -> bool:
        """Return whether two hosts reach each other; partitions spare the regional services."""
        if (source, target) in self.cuts:
            return False
        regional = {"state", "cloud"} & {source, target}
        return (
            bool(regional) or not self.zones_partitioned or self.area(source) == self.area(target)
        )

    # -- calls

    async def call(self, call: Call, timeout: float) -> Answer:
        """Deliver a call and return its answer; raise UnansweredError after ``timeout`` seconds."""
        await asyncio.sleep(self.rng.uniform(*LATENCY_S))
        if not self.can_reach(call.source, call.target):
            await self._time_out(timeout, "cut")
        if call.target == "state" and call.source in self.refused:
            timeout = await self._wait_while_refused(call, timeout)
            if call.source in self.refused:
                return Answer(503, {})
        if (delay_s := self.late_unanswered_s(call)) is not None:
            self.in_background(self._deliver(call, delay_s))
            raise UnansweredError("connection closed")
        if call.path == "/txn" and self.rng.random() < self.late_writes:
            late_s = 0.0 if self.writes_at_once else self.rng.uniform(*LATE_WRITE_S)
            self.in_background(self._deliver(call, late_s))
            await self._time_out(timeout, "no answer")
        delivery = self.in_background(
            self._deliver(call, self.extra_latency_s(call.source, call.path))
        )
        if self.rng.random() < self.lost_answer_share:
            await self._time_out(timeout, "lost")
        done, _ = await asyncio.wait([delivery], timeout=timeout)
        if not done:
            raise UnansweredError("timeout")
        answer: Answer = delivery.result()
        return answer

    async def _time_out(self, timeout: float, why: str) -> None:
        await asyncio.sleep(timeout)
        raise UnansweredError(why)

    async def _wait_while_refused(self, call: Call, timeout: float) -> float:
        """Hold an open watch while its caller is refused; return the remaining timeout."""
        while call.path == "/changes" and call.source in self.refused and timeout > 0:
            await asyncio.sleep(WATCH_CHECK_S)
            timeout -= WATCH_CHECK_S
        return timeout

    async def _deliver(self, call: Call, late_s: float) -> Answer:
        """Execute a call at its target after a delay."""
        self.direct_calls += call.target in self.cloud.hosts
        self.max_direct_calls = max(self.max_direct_calls, self.direct_calls)
        await asyncio.sleep(late_s + self.rng.uniform(*LATENCY_S))
        self.direct_calls -= call.target in self.cloud.hosts
        if call.target == "state":
            return await self.state.handle(call.method, call.path, call.query, call.body)
        if call.target == "cloud":
            return await self.cloud.handle(call.method, call.path, call.query, call.body)
        if call.target in self.controllers:
            return await self.call_peer(call.target, call.path, call.body)
        return await self.deliver_command(call.target, call.body)

    async def deliver_command(self, name: str, body: Any) -> Answer:
        """Deliver a direct command from a leader to a worker."""
        worker = self.cloud.hosts.get(name)
        if worker is None or not worker.up:
            raise UnansweredError("no such machine")
        if worker.deaf:
            await asyncio.sleep(NEVER_S)
        while worker.hung or worker.cut:
            await asyncio.sleep(COMMAND_CHECK_S)
        if body["baton"] < worker.fencing_token or body["tenure"] != worker.incarnation:
            return Answer(409, worker.heartbeat())
        worker.fencing_token = body["baton"]
        worker.obey(body["orders"])
        return Answer(200, worker.heartbeat())

    # -- heartbeats

    async def deliver_heartbeat(
        self, worker: Worker, controller: int, message: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Send a heartbeat to a controller and return the status and the body of its answer."""
        name = self.names[controller]
        await asyncio.sleep(self.rng.uniform(*LATENCY_S))
        if not self.can_reach(worker.name, name) or (name, "workers") in self.cuts:
            await asyncio.sleep(NEVER_S)
        if worker.mute:
            raise UnansweredError("no connection can be opened")
        if worker.cut or name in self.paused:
            self.in_background(self.deliver_held_heartbeat(worker, name, message))
            await asyncio.sleep(NEVER_S)
        receiver = self.controllers[name]
        if receiver is None:
            raise UnansweredError("refused")
        if self.keep_copies and self.rng.random() < KEPT_COPY_SHARE:
            self.kept_copies.append(message)
        if self.copies and self.rng.random() < self.copies:
            self.in_background(self.deliver_copy(message, self.rng.choice(LATE_COPY_S)))
        answer = self.versions[name].handle_heartbeat(receiver, message)
        if worker.deaf:
            await asyncio.sleep(NEVER_S)
        return answer

    async def deliver_held_heartbeat(self, worker: Worker, name: str, message: bytes) -> None:
        """Deliver a heartbeat after the cut or the pause; its worker has already timed out."""
        while worker.cut or name in self.paused:
            await asyncio.sleep(HELD_CHECK_S)
        controller = self.controllers[name]
        if controller is not None:
            status, body = self.versions[name].handle_heartbeat(controller, message)
            if status == 200 and controller.leading() is None and body["orders"] != []:
                self.broken.append(f"orders of {name}, which does not lead")

    async def deliver_copy(self, message: bytes, late_s: float) -> None:
        """Deliver a late copy of a heartbeat to all controllers and discard the answers."""
        await asyncio.sleep(late_s)
        for name, controller in list(self.controllers.items()):
            if controller is not None:
                self.versions[name].handle_heartbeat(controller, message)


class FakeCaller:
    """Replacement for a controller's HTTP client of one endpoint."""

    def __init__(
        self,
        world: Network,
        source: str,
        endpoint: str,
        alive: Callable[[], bool],
        unanswered: type[Exception],
    ) -> None:
        self.world, self.source, self.endpoint = world, source, endpoint
        self.alive = alive  # whether the calling process still runs
        self.unanswered = unanswered  # the error class of the process's version

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout: float = 2.0,
        query: dict[str, Any] | None = None,
        endpoint: str = "",
    ) -> Answer:
        """Call with the interface and the errors of the real client."""
        while self.source in self.world.paused:
            await asyncio.sleep(HELD_CHECK_S)
        if not self.alive():
            raise self.unanswered("this process has been killed")
        target = (endpoint or self.endpoint).split(":")[0]
        parts = urlsplit(path)
        fields = {key: str(value) for key, value in (query or {}).items()}
        fields |= {key: values[0] for key, values in parse_qs(parts.query).items()}
        plain = cbor2.loads(encode(body)) if body is not None else {}
        request = Call(self.source, target, method, parts.path, plain, fields)
        try:
            return await self.world.call(request, timeout)
        except UnansweredError as error:
            raise self.unanswered(str(error)) from None

    def close(self) -> None:
        """Do nothing: there is no connection to close."""
