"""Stand-ins for what the controllers talk to, met by protocol, on fake time.

``World`` holds a state service, a cloud, workers and users, all in one process on a loop whose
clock jumps to the next timer. Calls can be cut, lost (executed without an answer) or late. It
checks the rules as it goes: what it calls broken is broken.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import selectors
from collections.abc import Callable, Coroutine
from typing import Any
from urllib.parse import parse_qs, urlsplit

import cbor2
import msgspec

import production
from helpers import FLAVORS, LIMITS, given, settings
from salthead.controller.controller import Controller
from salthead.errors import InvalidJobError
from salthead.policy import NO_POLICY, Policy
from salthead.protocol.messages import MalformedMessageError, Submission, encode
from salthead.transport.client import Answer, UnansweredError


class _Jump(selectors.DefaultSelector):
    """Instead of waiting for a timer, the clock goes there."""

    loop: FakeLoop

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("nothing left to wait for")
        self.loop.clock += max(0.0, timeout)
        return super().select(0)


class FakeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.clock = 1000.0
        selector = _Jump()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.clock


def run(work: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    loop = FakeLoop()
    try:
        return loop.run_until_complete(work())
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(
            asyncio.wait_for(asyncio.gather(*tasks, return_exceptions=True), 60.0)
        )
        loop.close()


class State:
    """The state service: keys with revisions, leases, changes."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.epoch = 1
        self.grants: dict[int, list[float]] = {}  # ttl, end
        self.log: list[dict[str, Any]] = []
        self.down = False
        self.changed = asyncio.Event()
        self.tethers = 0
        # Larger values and transactions are refused, and changes beyond the rate put off.
        self.limits: dict[str, Any] = dict(LIMITS["state"])
        self.refused: list[str] = []
        self.level, self.level_at = self.limits["write_rps"], world.now()
        self.sizes: dict[str, int] = {}  # the longest value of each kind of key

    def _within(self, operations: list[dict[str, Any]]) -> int:
        """0, or the status with which the limits refuse a transaction."""
        limits = self.limits
        if len(operations) > limits["txn_ops"]:
            self.refused.append(f"{len(operations)} changes: {operations[0]}")
            return 400
        for change in operations:
            if "set" not in change:
                continue
            size = len(json.dumps(change["value"]))
            kind = change["set"].split("/")[0]
            self.sizes[kind] = max(size, self.sizes.get(kind, 0))
            if size > limits["value_kb"] * 1024:
                self.refused.append(f"{size} bytes: {change['set']}")
                return 400
        now, rate = self.world.now(), limits["write_rps"]
        self.level = min(rate, self.level + (now - self.level_at) * rate)
        self.level_at = now
        if self.level < len(operations):
            return 429
        self.level -= len(operations)
        return 0

    def _note(self, change: dict[str, Any]) -> None:
        self.log.append(change)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self) -> None:
        if self.down:
            return
        for tether, (_, end) in list(self.grants.items()):
            if self.world.now() >= end:
                self.end(tether)

    def end(self, tether: int) -> None:
        del self.grants[tether]
        for key, (_, _, held) in list(self.keys.items()):
            if held == tether:
                self.epoch += 1
                del self.keys[key]
                self._note({"drop": key, "stamp": self.epoch})

    def back(self) -> None:
        self.down = False
        for grant in self.grants.values():
            grant[1] = self.world.now() + grant[0]

    async def handle(self, method: str, path: str, query: dict[str, str], body: Any) -> Answer:
        if path == "/changes":
            return await self.watch(query)
        if self.down:
            return Answer(503, {})
        self.expire()
        if path.startswith("/keys/"):
            row = self.keys.get(path.removeprefix("/keys/"))
            if row is None:
                return Answer(404, {"epoch": self.epoch})
            return Answer(200, {"value": row[0], "stamp": row[1]})
        if path == "/keys":
            found = [
                {"path": key, "value": row[0], "stamp": row[1]}
                for key, row in sorted(self.keys.items())
                if key.startswith(query["prefix"]) and key > query.get("from", "")
            ]
            return Answer(200, {"rows": found, "truncated": False, "epoch": self.epoch})
        if path == "/grants":
            self.tethers += 1
            ttl = body["ttl_ms"] / 1000
            self.grants[self.tethers] = [ttl, self.world.now() + ttl]
            return Answer(200, {"tether": self.tethers})
        if path.startswith("/grants/"):
            tether = int(path.split("/")[2])
            if tether not in self.grants:
                return Answer(404, {})
            if method == "DELETE":
                self.end(tether)
            else:
                self.grants[tether][1] = self.world.now() + self.grants[tether][0]
            return Answer(200, {})
        assert path == "/txn", path
        return self.transaction(body)

    def transaction(self, body: Any) -> Answer:
        if status := self._within(body["apply"]):
            return Answer(status, {})
        failed = [
            c["path"]
            for c in body["when"]
            if (self.keys[c["path"]][1] if c["path"] in self.keys else 0) != c["stamp"]
        ]
        if any(
            c.get("tether") is not None and c["tether"] not in self.grants for c in body["apply"]
        ):
            return Answer(400, {"error": "no such lease"})
        if failed:
            return Answer(409, {"failed": failed, "epoch": self.epoch})
        self.epoch += 1
        for change in body["apply"]:
            if "set" in change:
                self.keys[change["set"]] = (change["value"], self.epoch, change.get("tether"))
                self._note({"set": change["set"], "value": change["value"], "stamp": self.epoch})
            else:
                self.keys.pop(change["drop"], None)
                self._note({"drop": change["drop"], "stamp": self.epoch})
        return Answer(200, {"epoch": self.epoch})

    async def watch(self, query: dict[str, str]) -> Answer:
        end = self.world.now() + int(query["wait_ms"]) / 1000
        while True:
            self.expire()
            found = [
                c
                for c in self.log
                if c["stamp"] > int(query["from"])
                and (c.get("set") or c.get("drop")).startswith(query["prefix"])
            ]
            if not self.down and (found or self.world.now() >= end):
                return Answer(200, {"log": found, "epoch": self.epoch})
            await asyncio.sleep(0.05)


class Cloud:
    def __init__(self, world: World) -> None:
        self.world = world
        self.hosts: dict[str, Worker] = {}
        self.hired: dict[str, list[str]] = {}
        self.down = False

    async def handle(self, method: str, path: str, query: dict[str, str], body: Any) -> Answer:
        if self.down:
            return Answer(503, {"error": "trouble"})
        if path == "/flavors":
            return Answer(200, {"builds": [cbor2.loads(encode(f)) for f in FLAVORS]})
        if path == "/hosts/return":
            for name in body["saltlicks"]:
                if (worker := self.hosts.pop(name, None)) is not None:
                    worker.end()
            return Answer(200, {})
        if method == "GET":
            return Answer(
                200,
                {
                    "truncated": False,
                    "saltlicks": [
                        {
                            "uid": w.name,
                            "endpoint": w.name + ":9",
                            "build": w.machine_type,
                            "paddock": w.zone,
                            "borrowed": w.spot,
                            "phase": "running" if w.up else "booting",
                            "age_s": self.world.now() - w.born,
                        }
                        for name, w in sorted(self.hosts.items())
                        if name > query.get("from", "")
                    ],
                },
            )
        return self.hire(body)

    def hire(self, body: Any) -> Answer:
        """Rent machines; the same request again rents nothing."""
        if body["hire"] not in self.hired:
            names = []
            for _ in range(body["how_many"]):
                in_zone = sum(w.zone == body["paddock"] for w in self.hosts.values())
                most_in_zone = self.world.most_in_zone.get(body["paddock"], self.world.most)
                if len(self.hosts) >= self.world.most or in_zone >= most_in_zone:
                    break
                name = f"host-{self.world.count():06d}"
                self.hosts[name] = Worker(
                    self.world, name, body["build"], body["paddock"], body["borrowed"]
                )
                names.append(name)
            if not names:
                return Answer(503, {"error": "no capacity"})
            self.hired[body["hire"]] = names
        return Answer(200, {"saltlicks": self.hired[body["hire"]]})


class Worker:
    """A machine and its worker."""

    BOOT_S = 5.0

    def __init__(self, world: World, name: str, machine_type: str, zone: str, spot: bool) -> None:
        self.world, self.name, self.machine_type, self.zone = world, name, machine_type, zone
        self.spot = spot
        self.born = world.now()
        self.up = self.hung = False
        self.deaf = False  # its heartbeats arrive, answers and commands don't reach it
        self.mute = False  # reaches no controller, while direct commands reach it
        self.cut = False  # from all controllers; what is sent meanwhile arrives when that is over
        self.incarnation, self.sequence, self.fencing_token = 1, 0, 0
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.answered = 0.0
        self.changed = asyncio.Event()
        self.controller = 0
        self.jobs = [asyncio.create_task(self.live()), asyncio.create_task(self.work())]

    def end(self) -> None:
        self.tasks.clear()
        for job in self.jobs:
            job.cancel()

    def heartbeat(self) -> dict[str, Any]:
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
                    "phase": t["phase"],
                    "cause": t.get("cause"),
                    "saved": t.get("saved", False),
                }
                for (task_id, attempt), t in self.tasks.items()
            ],
        }

    def obey(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["piece"], order["try"])
            if order["verb"] == "reap":
                if self.tasks.get(key, {}).get("phase") == "exited":
                    del self.tasks[key]
            elif order["verb"] == "stop":
                if key in self.tasks and self.tasks[key]["phase"] != "exited":
                    self.tasks[key] |= {"phase": "exited", "cause": "halted"}
            elif key not in self.tasks:
                self.world.started(self, order["piece"])
                fetch_s = self.world.fetch_s(self)
                self.tasks[key] = {
                    "phase": "fetching" if fetch_s > 0 else "running",
                    "fetch": fetch_s,
                    "left": self.world.run_s(order["piece"]),
                }
            self.changed.set()

    async def live(self) -> None:
        await asyncio.sleep(self.world.boot_s)
        self.up, self.answered = True, self.world.now()
        heartbeat_interval_s = LIMITS["workers"]["report_s"]
        while True:
            # A machine that hangs goes on within its lease or not at all.
            while self.hung and self.world.now() - self.answered <= LIMITS["workers"]["lease_s"]:
                await asyncio.sleep(0.2)
            if self.world.now() - self.answered > LIMITS["workers"]["lease_s"]:
                self.incarnation, self.sequence, self.answered = (
                    self.incarnation + 1,
                    0,
                    self.world.now(),
                )
                self.tasks.clear()
            while self.hung:
                await asyncio.sleep(0.2)
            sent, incarnation, message = (
                self.world.now(),
                self.incarnation,
                encode(self.heartbeat()),
            )
            try:
                status, body = await asyncio.wait_for(
                    self.world.hello(self, self.controller, message), 4.0
                )
            except (TimeoutError, UnansweredError):
                status, body = 599, {}
            if status == 200:
                if body["baton"] >= self.fencing_token and incarnation == self.incarnation:
                    if body["baton"] > self.fencing_token:
                        self.fencing_token = body["baton"]
                        self.changed.set()
                    self.answered = sent
                    self.obey(body["orders"])
            elif status == 421 and "herder" in body:
                self.controller = int(body["herder"][1:])
                await asyncio.sleep(0.2)
                continue
            else:
                self.controller = (self.controller + 1) % len(self.world.controllers)
                await asyncio.sleep(1.0)
                continue
            await asyncio.sleep(0.5)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), heartbeat_interval_s - 0.5)
            self.changed.clear()

    async def work(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            if self.hung:
                continue
            for (task_id, attempt), task in self.tasks.items():
                if task["phase"] == "fetching":
                    task["fetch"] -= 0.1
                    if task["fetch"] <= 0:
                        task["phase"] = "running"
                        self.changed.set()
                if task["phase"] != "running":
                    continue
                if not self.world.gang_whole(task_id, attempt):
                    self._miss_mates(task)
                    continue
                task |= {"ran": True, "missed": 0.0}
                task["left"] -= 0.1
                if task["left"] <= 0:
                    self.world.complete(self, task_id, attempt)

    def _miss_mates(self, task: dict[str, Any]) -> None:
        """A gang's task whose others are not there: it gives up after what the protocol says."""
        task["missed"] = task.get("missed", 0.0) + 0.1
        workers = LIMITS["workers"]
        if task.get("ran") and task["missed"] > workers["gang_peer_s"]:
            task |= {"phase": "exited", "cause": "mates_gone"}
            self.changed.set()
        elif task["missed"] > workers["gang_wait_s"]:
            task |= {"phase": "exited", "cause": "alone"}
            self.changed.set()


class Dial:
    """What a controller uses in place of HTTP calls."""

    def __init__(
        self,
        world: World,
        source: str,
        endpoint: str,
        slots: int,
        unanswered: type[Exception],
    ) -> None:
        self.world, self.source, self.endpoint = world, source, endpoint
        self.unanswered = unanswered
        self.life = world.lives.get(source, 0)

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout: float = 2.0,
        query: dict[str, Any] | None = None,
        endpoint: str = "",
    ) -> Answer:
        while self.source in self.world.frozen:
            await asyncio.sleep(0.05)
        if self.life != self.world.lives.get(self.source, 0):
            raise self.unanswered("this process has been killed")
        try:
            return await self.world.call(
                self.source, endpoint or self.endpoint, method, path, body, timeout, query or {}
            )
        except UnansweredError as error:
            raise self.unanswered(str(error)) from None

    def close(self) -> None:
        pass


class World:
    def __init__(
        self,
        controllers: int = 3,
        seed: int = 1,
        most: int = 12,
        areas: dict[str, str] | None = None,
        version: production.Version = production.THIS,
        policy: Policy = NO_POLICY,
        **state: Any,
    ) -> None:
        self.version = version  # with which processes start; each keeps its own
        self.policy = policy  # of processes of this version
        self.versions: dict[str, production.Version] = {}
        self.state_settings = state  # changes to the settings' limits of the state service
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.counter = 0
        self.lives: dict[str, int] = {}  # how often each controller was killed
        self.most = most
        self.most_in_zone: dict[str, int] = {}  # what the cloud has of a zone, if that is less
        self.state, self.cloud = State(self), Cloud(self)
        self.names = [f"n{n}" for n in range(controllers)]
        self.controllers: dict[str, Controller | None] = {}
        self.running: dict[str, asyncio.Task[None]] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.areas = areas or {}  # of controllers; north if not named
        self.apart = False  # the zones can't reach each other
        self.frozen: set[str] = set()  # controllers that stand still; what they get waits for them
        self.copies = 0.0  # part of the heartbeats of which a copy comes late
        self.loss = 0.0  # part of the calls that are executed without an answer
        self.late: Callable[[str, str], float] = lambda source, path: 0.0
        self.specs: dict[str, Submission] = {}
        self.asked: set[str] = set()  # jobs that somebody asked to cancel
        self.accepted: dict[str, float] = {}  # when a user was first told so
        self.cancelled: dict[str, float] = {}
        self.final: dict[str, tuple[str, float]] = {}  # the first final word on a job, and when
        self.told: dict[str, str] = {}
        self.done: set[str] = set()
        self.broken: list[str] = []
        self.starts = 0
        self.trouble_until = 0.0  # when the last trouble was over
        self.directs = self.direct_most = 0  # calls to machines at one time
        self.begun: dict[str, float] = {}  # when the first task of each job started
        self.pending: set[asyncio.Task[Any]] = set()
        self.refused: set[str] = set()  # controllers that the state service alone refuses, with 503
        self.late_writes = 0.0  # part of the transactions that get no answer
        self.writes_at_once = False  # those are carried out at once, not seconds later
        self.keep_copies = False  # of heartbeats, until a new leader has begun
        self.kept_copies: list[bytes] = []
        self.boot_s = Worker.BOOT_S
        self.fetch_s: Callable[[Worker], float] = lambda worker: 0.0  # of an image
        self.room_since: dict[str, float] = {}  # jobs that could start, and since when
        for name in self.names:
            self.boot(name)
        self.watching = self.loop.create_task(self.watch())

    def now(self) -> float:
        return self.loop.time()

    def count(self) -> int:
        self.counter += 1
        return self.counter

    # -- controllers

    def boot(self, name: str) -> None:
        others = tuple(other for other in self.names if other != name)
        version = self.versions[name] = self.version
        own = settings(name, others, version.settings, **self.state_settings)
        own.area = self.area(name)
        controller = version.controller(
            own,
            random.Random(self.rng.random()),
            now=self.loop.time,
            dial=lambda e, slots: Dial(self, name, e, slots, version.unanswered),
            **({"policy": self.policy} if version is production.THIS else {}),
        )
        self.controllers[name] = controller
        self.running[name] = self.loop.create_task(controller.run())

    def area(self, name: str) -> str:
        worker = self.cloud.hosts.get(name)
        return worker.zone if worker is not None else self.areas.get(name, "north")

    def reach(self, one: str, other: str) -> bool:
        """Whether two hosts reach each other; the regional services are cut from nobody."""
        if (one, other) in self.cuts:
            return False
        regional = {"state", "cloud"} & {one, other}
        return bool(regional) or not self.apart or self.area(one) == self.area(other)

    async def crash(self, name: str) -> None:
        self.controllers[name] = None
        self.lives[name] = self.lives.get(name, 0) + 1
        self.running[name].cancel()
        await asyncio.gather(self.running[name], return_exceptions=True)

    def leader(self) -> Controller | None:
        return next((n for n in self.controllers.values() if n is not None and n.leading()), None)

    # -- calls

    async def call(
        self,
        source: str,
        endpoint: str,
        method: str,
        path: str,
        body: Any,
        timeout: float,
        query: dict[str, Any],
    ) -> Answer:
        target = endpoint.split(":")[0]
        parts = urlsplit(path)
        query = {k: str(v) for k, v in query.items()} | {
            k: v[0] for k, v in parse_qs(parts.query).items()
        }
        plain = cbor2.loads(encode(body)) if body is not None else {}
        await asyncio.sleep(self.rng.uniform(0.001, 0.01))
        if not self.reach(source, target):
            await asyncio.sleep(timeout)
            raise UnansweredError("cut")
        if target == "state" and source in self.refused:
            while parts.path == "/changes" and source in self.refused and timeout > 0:
                await asyncio.sleep(0.25)  # open watches wait
                timeout -= 0.25
            if source in self.refused:
                return Answer(503, {})
        if parts.path == "/txn" and self.rng.random() < self.late_writes:
            late = 0.0 if self.writes_at_once else self.rng.uniform(2.0, 12.0)
            lost = asyncio.create_task(
                self._deliver(source, target, method, parts.path, query, plain, late)
            )
            self.pending.add(lost)
            lost.add_done_callback(self.pending.discard)
            await asyncio.sleep(timeout)
            raise UnansweredError("no answer")
        work = asyncio.create_task(
            self._deliver(source, target, method, parts.path, query, plain, self.late(source, path))
        )
        self.pending.add(work)
        work.add_done_callback(self.pending.discard)
        if self.rng.random() < self.loss:
            await asyncio.sleep(timeout)
            raise UnansweredError("lost")
        done, _ = await asyncio.wait([work], timeout=timeout)
        if not done:
            raise UnansweredError("timeout")
        return work.result()

    async def _deliver(
        self,
        source: str,
        target: str,
        method: str,
        path: str,
        query: dict[str, str],
        body: Any,
        late: float,
    ) -> Answer:
        self.directs += target in self.cloud.hosts
        self.direct_most = max(self.direct_most, self.directs)
        await asyncio.sleep(late + self.rng.uniform(0.001, 0.01))
        self.directs -= target in self.cloud.hosts
        if target == "state":
            return await self.state.handle(method, path, query, body)
        if target == "cloud":
            return await self.cloud.handle(method, path, query, body)
        if target in self.controllers:
            return await self.peer(target, path, body)
        return await self.direct(target, body)

    async def direct(self, name: str, body: Any) -> Answer:
        worker = self.cloud.hosts.get(name)
        if worker is None or not worker.up:
            raise UnansweredError("no such machine")
        if worker.deaf:
            await asyncio.sleep(60.0)
        while worker.hung or worker.cut:
            await asyncio.sleep(0.2)
        if body["baton"] < worker.fencing_token or body["tenure"] != worker.incarnation:
            return Answer(409, worker.heartbeat())
        worker.fencing_token = body["baton"]
        worker.obey(body["orders"])
        return Answer(200, worker.heartbeat())

    async def peer(self, name: str, path: str, body: Any) -> Answer:
        controller = self.controllers[name]
        if controller is None:
            raise UnansweredError("refused")
        version = self.versions[name]
        if path == "/peer/knocks":
            leads = bool(body) and body.get("leads") is True
            return Answer(200, version.connectivity_report(controller, leads))
        if path == "/peer/submit":
            try:
                status, found = await controller.submit(
                    version.messages.decode_submission(encode(given(body))), True
                )
            except version.undecided_errors:
                return Answer(503, {})
            return Answer(status, msgspec.to_builtins(found))
        if path == "/peer/promise":
            promised = await version.withhold_vote(controller, body["member"])
            return Answer(200 if promised else 409, {"promise": promised})
        term = controller.leading()
        if term is None:
            return Answer(503, {})
        try:
            found = await (
                term.cancel(body["uid"])
                if path == "/peer/cancel"
                else controller.poll_here(term, body["uid"])
            )
        except version.undecided_errors:
            return Answer(503, {})
        return Answer(404, {}) if found is None else Answer(200, msgspec.to_builtins(found))

    async def hello(
        self,
        worker: Worker,
        controller: int,
        message: bytes,
    ) -> tuple[int, dict[str, Any]]:
        name = self.names[controller]
        await asyncio.sleep(self.rng.uniform(0.001, 0.01))
        if not self.reach(worker.name, name) or (name, "workers") in self.cuts:
            await asyncio.sleep(60.0)
        if worker.mute:
            raise UnansweredError("no connection can be opened")
        held = worker.cut or name in self.frozen
        if held:
            late = asyncio.create_task(self.held(worker, name, message))
            self.pending.add(late)
            late.add_done_callback(self.pending.discard)
            await asyncio.sleep(60.0)
        found = self.controllers[name]
        if found is None:
            raise UnansweredError("refused")
        if self.keep_copies and self.rng.random() < 0.3:
            self.kept_copies.append(message)
        if self.copies and self.rng.random() < self.copies:
            late = self.rng.choice((1.0, 6.0, 20.0, 45.0))
            copy = asyncio.create_task(self.repeat(message, late))
            self.pending.add(copy)
            copy.add_done_callback(self.pending.discard)
        answer = self.versions[name].handle_heartbeat(found, message)
        if worker.deaf:
            await asyncio.sleep(60.0)
        return answer

    async def held(self, worker: Worker, name: str, message: bytes) -> None:
        """A heartbeat that arrives when the cut is over, or its controller goes on; its worker gave
        up."""
        while worker.cut or name in self.frozen:
            await asyncio.sleep(0.05)
        controller = self.controllers[name]
        if controller is not None:
            status, body = self.versions[name].handle_heartbeat(controller, message)
            if status == 200 and controller.leading() is None and body["orders"] != []:
                self.broken.append(f"orders of {name}, which does not lead")

    async def repeat(self, message: bytes, late: float) -> None:
        """A copy of a heartbeat that arrives at all controllers, late; nobody reads the answers."""
        await asyncio.sleep(late)
        for name, controller in list(self.controllers.items()):
            if controller is not None:
                self.versions[name].handle_heartbeat(controller, message)

    # -- users

    async def user(self, work: Callable[[Controller], Coroutine[Any, Any, Any]]) -> Any:
        """Ask some controller that is up until it decides."""
        for _ in range(200):
            ups = [name for name, controller in self.controllers.items() if controller is not None]
            if ups:
                name = self.rng.choice(ups)
                controller = self.controllers[name]
                assert controller is not None
                with contextlib.suppress(*self.versions[name].undecided_errors):
                    return await work(controller)
            await asyncio.sleep(1.0)
        raise AssertionError("no node ever decided")

    async def submit(self, job: Submission) -> int:
        self.specs[job.job_id] = job

        def ask(controller: Controller) -> Coroutine[Any, Any, Any]:
            messages = self.versions[controller.settings.member].messages
            return controller.submit(messages.decode_submission(encode(given(job))))

        began = self.now()
        try:
            status, found = msgspec.to_builtins(await self.user(ask))
        except MalformedMessageError:
            return 400
        except InvalidJobError:
            return 422
        self.told.setdefault(job.job_id, "queued")
        self.accepted.setdefault(job.job_id, self.now())
        self.hear(job.job_id, found["phase"], began)
        return int(status)

    def needed(self, job_id: str) -> set[str]:
        """All jobs that a job needs, directly or through others."""
        found: set[str] = set()
        line = list(self.specs[job_id].depends_on or [])
        while line:
            one = line.pop()
            if one not in found:
                found.add(one)
                line += self.specs[one].depends_on or []
        return found

    async def cancel(self, job_id: str) -> str:
        self.asked.add(job_id)
        began = self.now()
        found = msgspec.to_builtins(await self.user(lambda n: n.cancel(job_id)))
        self.hear(job_id, found["phase"], began)
        return str(found["phase"])

    async def ask(self, name: str, job_id: str, what: str = "poll") -> str:
        """Ask one controller once: the phase that it tells, ``none`` for 404, ``later`` for 503."""
        controller = self.controllers[name]
        if controller is None:
            return "later"
        began = self.now()
        if what == "cancel":
            self.asked.add(job_id)
        try:
            if what == "submit":
                messages = self.versions[name].messages
                _, found = await controller.submit(
                    messages.decode_submission(encode(given(self.specs[job_id])))
                )
            else:
                found = await (
                    controller.cancel(job_id) if what == "cancel" else controller.poll(job_id)
                )
        except (MalformedMessageError, InvalidJobError) as error:
            if job_id in self.accepted:
                self.broken.append(f"forgotten {job_id}: a repeat is refused, {error}")
            return "refused"
        except self.versions[name].undecided_errors:
            return "later"
        if found is None:
            if self.accepted.get(job_id, began) < began:
                self.broken.append(f"forgotten {job_id}")
            return "none"
        found = msgspec.to_builtins(found)
        self.hear(job_id, found["phase"], began)
        return str(found["phase"])

    async def poll(self, job_id: str) -> str | None:
        began = self.now()
        found = msgspec.to_builtins(await self.user(lambda n: n.poll(job_id)))
        if self.now() - max(began, self.trouble_until) > 75.0:
            self.broken.append(f"forgotten {job_id}: not answered")
        if found is None:
            if self.accepted.get(job_id, began) < began:
                self.broken.append(f"forgotten {job_id}")
            return None
        self.hear(job_id, found["phase"], began)
        return str(found["phase"])

    def hear(self, job_id: str, phase: str, began: float) -> None:
        """What any controller tells any user, who asked at ``began``."""
        if job_id not in self.specs:
            self.broken.append(f"invented {job_id}")
            return
        final, at = self.final.get(job_id, ("", 0.0))
        roots = [self.cancelled[one] for one in self.needed(job_id) if one in self.cancelled]
        if (
            phase in ("queued", "running")
            and roots
            and (self.now() > min(roots) + LIMITS["workers"]["cancel_s"])
        ):
            self.broken.append(f"orphaned {job_id}")
        if phase == "aborted" and job_id not in self.asked and not self.asked & self.needed(job_id):
            self.broken.append(f"went_back {job_id}: nobody cancelled it or what it needs")
        if final and phase != final and (at < began or phase in ("done", "aborted")):
            self.broken.append(f"went_back {job_id}: {final} to {phase}")
        if phase == "done" and not all(
            f"{job_id}/{n}" in self.done for n in range(self.specs[job_id].task_count)
        ):
            self.broken.append(f"not_done {job_id}")
        if phase in ("done", "aborted") and not final:
            self.final[job_id] = (phase, self.now())
            if phase == "aborted":
                # By the first word of any controller, whoever it was said to.
                self.cancelled[job_id] = self.now()
        if not final:
            self.told[job_id] = phase

    async def until_over(self, limit_s: float = 400.0) -> None:
        """Poll all accepted jobs until each is done or cancelled."""
        end = self.now() + limit_s
        while self.now() < end:
            await asyncio.sleep(3.0)
            if self.watching.done():
                self.watching.result()  # the checker itself has failed
            for job_id in list(self.told):
                await self.poll(job_id)
            if all(phase in ("done", "aborted") for phase in self.told.values()):
                return
        raise AssertionError(f"not over: {self.told}")

    # -- rules

    async def watch(self) -> None:
        """What breaks while nothing starts and nobody asks."""
        fencing_token = 0
        while True:
            await asyncio.sleep(0.25)
            leader = self.leader()
            if leader is not None and leader.term is not None:
                version = self.versions[leader.settings.member]
                led_under = version.fencing_token(leader.term)
            else:
                led_under = fencing_token
            if led_under != fencing_token:
                fencing_token = led_under
                copies, self.kept_copies = self.kept_copies, []
                for message in copies:
                    await self.repeat(message, 0.0)
            for worker, task_id in self.on_machines():
                job_id = task_id.rpartition("/")[0]
                roots = [
                    self.cancelled[one]
                    for one in {job_id, *self.needed(job_id)}
                    if one in self.cancelled
                ]
                if (
                    roots
                    and self.now() > min(roots) + LIMITS["workers"]["cancel_s"]
                    and (f"ran_cancelled {task_id} on {worker.name}" not in self.broken)
                ):
                    self.broken.append(f"ran_cancelled {task_id} on {worker.name}")
            if 0.0 < self.trouble_until < self.now():
                self.look_for_room()

    def look_for_room(self) -> None:
        """Jobs that wait for 90 s after the troubles while a machine has room for them."""
        there = self.on_machines()
        used: dict[str, list[float]] = {}
        teams: dict[str, float] = {}
        begun: dict[str, int] = {}
        for worker, task_id in there:
            job_id = task_id.rpartition("/")[0]
            one, row = self.specs[job_id], used.setdefault(worker.name, [0.0, 0.0])
            row[0] += one.vcpus
            row[1] += one.ram_gb
            teams[one.team] = teams.get(one.team, 0.0) + one.vcpus
            begun[job_id] = begun.get(job_id, 0) + 1
        for job_id, phase in self.told.items():
            one = self.specs[job_id]
            ended = sum(f"{job_id}/{n}" in self.done for n in range(one.task_count))
            many = one.task_count if one.shape == "gang" else 1
            limit = next(t for t in LIMITS["teams"] if t["name"] == one.team)["cpus_max"]
            places = 0
            for worker in self.cloud.hosts.values():
                machine_type = next(f for f in FLAVORS if f.name == worker.machine_type)
                row = used.get(worker.name, [0.0, 0.0])
                if (
                    worker.up
                    and not worker.hung
                    and (one.spot or not worker.spot)
                    and (one.machine_types is None or worker.machine_type in one.machine_types)
                    and one.zone in (None, worker.zone)
                ):
                    places += int(
                        min(
                            (machine_type.vcpus - row[0]) / one.vcpus,
                            (machine_type.ram_gb - row[1]) / one.ram_gb,
                        )
                        + 1e-6
                    )
            waits = (
                phase in ("queued", "running")
                and job_id not in self.asked
                and not any(one_before not in self.final for one_before in one.depends_on or [])
                and (ended + begun.get(job_id, 0) < one.task_count)
            )
            if not (
                waits
                and places >= many
                and not (one.single_zone or one.spread_zones)
                and teams.get(one.team, 0.0) + one.vcpus * many <= limit
            ):
                self.room_since.pop(job_id, None)
            elif self.now() - self.room_since.setdefault(job_id, self.now()) > 90.0:
                self.broken.append(f"left_waiting {job_id}: room for {places} of its tasks")
                self.room_since[job_id] = self.now() + 1e9

    def unserved(self, within_s: float = 240.0) -> list[str]:
        """Classes, teams and largest jobs of a class of which less than half began in time."""
        groups: dict[str, list[bool]] = {}
        jobs = [
            one
            for job_id, one in self.specs.items()
            if job_id in self.accepted
            and job_id not in self.asked
            and not self.asked & self.needed(job_id)
        ]
        for one in jobs:
            ready = max(
                [
                    self.accepted[one.job_id],
                    *(self.final.get(before, ("", 1e9))[1] for before in one.depends_on or []),
                ]
            )
            served = self.begun.get(one.job_id, 1e9) - ready <= within_s
            sizes = sorted(
                other.task_count * other.vcpus for other in jobs if other.job_class == one.job_class
            )
            names = [f"class {one.job_class}", f"team {one.team}"]
            if one.task_count * one.vcpus >= sizes[len(sizes) * 3 // 4]:
                names.append(f"largest of {one.job_class}")
            for name in names:
                groups.setdefault(name, []).append(served)
        return [name for name, found in groups.items() if 2 * sum(found) < len(found)]

    def on_machines(self) -> list[tuple[Worker, str]]:
        return [
            (w, task_id)
            for w in self.cloud.hosts.values()
            for (task_id, _), t in w.tasks.items()
            if t["phase"] != "exited"
        ]

    def run_s(self, task_id: str) -> float:
        return self.specs[task_id.rpartition("/")[0]].estimated_run_s

    def gang_whole(self, task_id: str, attempt: int) -> bool:
        job_id = task_id.rpartition("/")[0]
        spec = self.specs[job_id]
        if spec.shape != "gang":
            return True
        here = {
            p for w in self.cloud.hosts.values() if not w.hung for (p, a) in w.tasks if a == attempt
        }
        return all(f"{job_id}/{n}" in here for n in range(spec.task_count))

    def complete(self, worker: Worker, task_id: str, attempt: int) -> None:
        """A task is done; a gang's tasks are done together."""
        gang = self.specs[task_id.rpartition("/")[0]].shape == "gang"
        for other in list(self.cloud.hosts.values()) if gang else [worker]:
            for (name, number), task in other.tasks.items():
                mate = gang and name.startswith(task_id.rpartition("/")[0] + "/")
                if number == attempt and (name == task_id or mate) and task["phase"] == "running":
                    task |= {"phase": "exited", "cause": "done"}
                    self.done.add(name)
                    other.changed.set()

    def started(self, worker: Worker, task_id: str) -> None:
        self.starts += 1
        job_id = task_id.rpartition("/")[0]
        self.begun.setdefault(job_id, self.now())
        spec = self.specs[job_id]
        there = self.on_machines()
        early = [
            one
            for one in spec.depends_on or []
            if not all(f"{one}/{n}" in self.done for n in range(self.specs[one].task_count))
        ]
        if early:
            self.broken.append(f"too_early {task_id}: {early} not done")
        if any(other == task_id for _, other in there):
            self.broken.append(f"ran_twice {task_id}")
        outcome = self.state.keys.get(f"over/{job_id}")
        if outcome is not None and outcome[0]["phase"] == "done":
            self.broken.append(f"ran_twice {task_id}: its job was recorded as done")
        if (
            (worker.spot and not spec.spot)
            or (spec.machine_types is not None and worker.machine_type not in spec.machine_types)
            or (spec.zone is not None and worker.zone != spec.zone)
        ):
            self.broken.append(f"wrong_place {task_id}")
        mates = [w for w, other in there if other.startswith(job_id + "/")]
        if spec.single_zone and any(w.zone != worker.zone for w in mates):
            self.broken.append(f"wrong_place {task_id}: zones")
        if (
            spec.spread_zones
            and sum(w.zone == worker.zone for w in mates) >= (spec.task_count + 1) // 2
        ):
            self.broken.append(f"wrong_place {task_id}: not apart")
        team = next(t for t in LIMITS["teams"] if t["name"] == spec.team)
        used = spec.vcpus + sum(
            s.vcpus
            for _, other in there
            if (s := self.specs[other.rpartition("/")[0]]).team == spec.team
        )
        if used > team["cpus_max"] + 1e-6:
            self.broken.append(f"quota {spec.team}: {used}")
        # An answer that was on its way when the user was told arrives within 4 s, or is dropped.
        if job_id in self.cancelled and self.now() > self.cancelled[job_id] + 4.5:
            self.broken.append(f"ran_cancelled {task_id}: started")
