"""Stand-ins of the cloud and of the workers, by the protocol's sections about them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from wire import Server, call

ANSWER_S, RETRY_S, REDIRECT_S, MIN_GAP_S, STEP_S = 4.0, 1.0, 0.2, 0.5, 0.02


class Worker:
    """One machine and its worker; it runs array tasks for the times that the case sets."""

    def __init__(self, fleet: Fleet, name: str, build: str, zone: str, spot: bool) -> None:
        self.fleet, self.name, self.build, self.zone, self.spot = fleet, name, build, zone, spot
        self.created = time.monotonic()
        self.up = False
        self.gone = False
        self.tenure, self.tally, self.baton = 1, 0, 0
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.lease_from = 0.0
        self.token_report_at = -1e9
        self.node = 0
        self.change = asyncio.Event()
        self.last_report_at = 0.0
        self.server = Server(self._direct)
        self.jobs = [asyncio.create_task(self._life())]

    def end(self) -> None:
        """End the machine with everything on it, as the cloud takes it away."""
        self.gone = True
        self.server.stop()
        for (piece, attempt), task in self.tasks.items():
            if task["phase"] != "exited":
                self.fleet.note("gone", machine=self.name, piece=piece, attempt=attempt)
        self.tasks.clear()
        for job in self.jobs:
            job.cancel()

    async def _life(self) -> None:
        await asyncio.sleep(self.fleet.boot_s)
        await self.server.start()
        self.up, self.lease_from = True, time.monotonic()
        self.jobs += [asyncio.create_task(self._clockwork()), asyncio.create_task(self._reports())]

    def report(self) -> dict[str, Any]:
        self.tally += 1
        return {
            "saltlick": self.name,
            "endpoint": f"127.0.0.1:{self.server.port}",
            "build": self.build,
            "paddock": self.zone,
            "borrowed": self.spot,
            "tenure": self.tenure,
            "tally": self.tally,
            "baton": self.baton,
            "warning_s": None,
            "pieces": [
                {"piece": piece, "try": attempt, "phase": t["phase"]}
                | ({"cause": t["cause"]} if t["phase"] == "exited" else {})
                for (piece, attempt), t in self.tasks.items()
            ],
        }

    async def _direct(self, method: str, path: str, query: Any, body: Any) -> tuple[int, Any]:
        if path == "/show":
            return 200, self.report()
        if "baton" not in body or "tenure" not in body:
            return 400, {}
        if body["baton"] < self.baton or body["tenure"] != self.tenure:
            return 409, self.report()
        self._token(body["baton"])
        self._obey(body.get("orders") or [], "direct")
        return 200, self.report()

    def _token(self, baton: int) -> None:
        if baton > self.baton:
            self.baton = baton
            if time.monotonic() - self.token_report_at > self.fleet.lease_s / 2:
                self.token_report_at = time.monotonic()
                self.change.set()

    def _obey(self, orders: list[dict[str, Any]], how: str) -> None:
        for order in orders:
            key = (order["piece"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "reap":
                if task is not None and task["phase"] == "exited":
                    del self.tasks[key]
            elif order["verb"] == "stop":
                if task is not None and task["phase"] != "exited":
                    self._exit(key, "halted")
            elif task is None:
                self._start(key)

    def _start(self, key: tuple[str, int]) -> None:
        piece, attempt = key
        spec = self.fleet.specs.get(piece.rpartition("/")[0])
        live = {k: t for k, t in self.tasks.items() if t["phase"] != "exited"}
        cause = None
        if spec is None or not 0 <= int(piece.rpartition("/")[2]) < spec["pieces"]:
            cause = "unknown"
        elif any(k[0] == piece for k in live):
            cause = "in_use"
        else:
            build = self.fleet.builds[self.build]
            used = [self.fleet.specs[k[0].rpartition("/")[0]] for k in live]
            for field in ("vcpus", "ram_gb"):
                if sum(s[field] for s in used) + spec[field] > build[field] + 1e-6:
                    cause = "full"
        if cause is not None:
            self.tasks[key] = {"phase": "exited", "cause": cause}
            self.change.set()
            return
        self.fleet.note("started", machine=self.name, piece=piece, attempt=attempt)
        self.tasks[key] = {
            "phase": "running",
            "until": time.monotonic() + self.fleet.run_s(piece),
        }
        self.change.set()

    def _exit(self, key: tuple[str, int], cause: str) -> None:
        self.tasks[key] = {"phase": "exited", "cause": cause}
        self.fleet.note("exited", machine=self.name, piece=key[0], attempt=key[1], cause=cause)
        self.change.set()

    async def _clockwork(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            now = time.monotonic()
            if now - self.lease_from > self.fleet.lease_s:
                self.tenure, self.tally, self.lease_from = self.tenure + 1, 0, now
                self.fleet.note("lease over", machine=self.name, tenure=self.tenure)
                self.tasks.clear()
                self.change.set()
            for key, task in list(self.tasks.items()):
                if task["phase"] == "running" and now >= task["until"]:
                    self._exit(key, "done")

    async def _reports(self) -> None:
        while True:
            self.change.clear()
            sent, tenure = time.monotonic(), self.tenure
            self.last_report_at = sent
            status, body = await call(
                self.fleet.nodes[self.node], "POST", "/hello", self.report(), ANSWER_S
            )
            self.fleet.heard(self, status, body)
            if status == 200:
                if (
                    tenure == self.tenure
                    and type(body.get("baton")) is int
                    and body["baton"] >= self.baton
                ):
                    self._token(body["baton"])
                    self.lease_from = sent
                    self._obey(body.get("orders") or [], "answer")
                await asyncio.sleep(max(0.0, sent + MIN_GAP_S - time.monotonic()))
                try:
                    async with asyncio.timeout(
                        max(0.01, sent + self.fleet.report_s - time.monotonic())
                    ):
                        await self.change.wait()
                except TimeoutError:
                    pass
                continue
            herder = body.get("herder") if status == 421 else None
            if herder in self.fleet.names and self.fleet.names.index(herder) != self.node:
                self.node = self.fleet.names.index(herder)
                await asyncio.sleep(REDIRECT_S)
            else:
                self.node = (self.node + 1) % len(self.fleet.nodes)
                await asyncio.sleep(RETRY_S)


class Fleet:
    """The cloud: it rents machines, lists them and takes them back."""

    def __init__(
        self,
        builds: list[dict[str, Any]],
        workers: dict[str, float],
        note: Callable[..., None],
        max_machines: int,
    ) -> None:
        self.builds = {b["name"]: b for b in builds}
        self.report_s, self.lease_s = workers["report_s"], workers["lease_s"]
        self.note = note
        self.max_machines = max_machines
        self.boot_s = 1.0
        self.machines: dict[str, Worker] = {}
        self.count = 0
        self.hires: dict[str, list[str]] = {}
        self.specs: dict[str, dict[str, Any]] = {}  # what users uploaded, by job
        self.run_times: dict[str, float] = {}  # by job
        self.names: list[str] = []  # controllers, in the order of their ports
        self.nodes: list[int] = []
        self.heard: Callable[[Worker, int, Any], None] = lambda worker, status, body: None

    def run_s(self, piece: str) -> float:
        return self.run_times.get(piece.rpartition("/")[0], 1.0)

    async def handle(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        """Answer a request to the cloud."""
        await asyncio.sleep(0.02)
        if path == "/flavors":
            return 200, {"builds": list(self.builds.values())}
        if path == "/hosts/return":
            for name in body["saltlicks"]:
                if (worker := self.machines.pop(name, None)) is not None:
                    worker.end()
            return 200, {}
        if method == "GET":
            after = query.get("from", "")
            rows = [
                {
                    "uid": w.name,
                    "endpoint": f"127.0.0.1:{w.server.port}" if w.up else "",
                    "build": w.build,
                    "paddock": w.zone,
                    "borrowed": w.spot,
                    "phase": "running" if w.up else "booting",
                    "age_s": time.monotonic() - w.created,
                }
                for name, w in sorted(self.machines.items())
                if name > after
            ]
            return 200, {"saltlicks": rows, "truncated": False}
        if body["hire"] not in self.hires:
            names = []
            while len(names) < body["how_many"] and len(self.machines) < self.max_machines:
                self.count += 1
                name = f"host-{self.count:06d}"
                names.append(name)
                self.machines[name] = Worker(
                    self, name, body["build"], body["paddock"], body["borrowed"]
                )
            if not names:
                return 503, {"error": "no capacity"}
            self.hires[body["hire"]] = names
            self.note("hired", hire=body["hire"], machines=" ".join(names))
        return 200, {"saltlicks": self.hires[body["hire"]]}
