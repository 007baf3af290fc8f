"""Stand-ins for the cloud and the workers, as PROTOCOL describes them.

Workers run arrays and gangs; tasks save no checkpoints.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import Any

from wire import Answer, Link, Server, Unanswered

ANSWER_WITHIN_S, MIN_REPORT_S, STEP_S = 4.0, 0.5, 0.05


class Worker:
    """A machine and its worker."""

    def __init__(self, fleet: Fleet, name: str, build: str, paddock: str, borrowed: bool) -> None:
        self.fleet, self.name, self.build = fleet, name, build
        self.paddock, self.borrowed = paddock, borrowed
        self.rented_at = time.monotonic()
        self.up_at = 0.0
        self.gone = False
        self.tenure, self.tally, self.baton = 1, 0, 0
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.images: set[str] = set()
        self.renewed_at = 0.0  # sending of the last answered report, or begin of the session
        self.changed = asyncio.Event()
        self.node = 0
        self.hung = False  # does nothing; messages to it wait
        self.deaf = False  # answers and direct commands do not reach it
        self.mute = False  # it reaches no controller
        self.links: dict[int, Link] = {}
        self.server = Server(self.serve)
        self.loops: list[asyncio.Task[None]] = [asyncio.ensure_future(self.live())]

    async def live(self) -> None:
        await asyncio.sleep(self.fleet.boot_s)
        self.endpoint = await self.server.start()
        self.up_at = self.renewed_at = time.monotonic()
        self.loops += [
            asyncio.ensure_future(self.run_loop()),
            asyncio.ensure_future(self.report_loop()),
        ]

    async def end(self) -> None:
        self.gone = True
        for key in list(self.tasks):
            self.leave(key, "the machine is gone")
        for loop in self.loops:
            loop.cancel()
        if self.up_at:
            await self.server.stop()
        for link in self.links.values():
            link.close()

    # -- reports

    def report(self) -> dict[str, Any]:
        self.tally += 1
        pieces = []
        for (piece, attempt), task in self.tasks.items():
            row = {"piece": piece, "try": attempt, "phase": task["phase"]}
            if task["phase"] == "exited":
                row |= {"cause": task["cause"], "saved": False}
            pieces.append(row)
        return {
            "saltlick": self.name,
            "endpoint": self.endpoint,
            "build": self.build,
            "paddock": self.paddock,
            "borrowed": self.borrowed,
            "tenure": self.tenure,
            "tally": self.tally,
            "baton": self.baton,
            "warning_s": None,
            "pieces": pieces,
        }

    async def report_loop(self) -> None:
        interval = self.fleet.timings["report_s"]
        while not self.gone:
            while self.hung or self.mute:
                await asyncio.sleep(STEP_S)
            self.check_lease()
            sent_at, tenure = time.monotonic(), self.tenure
            link = self.links.setdefault(self.node, Link(self.fleet.nodes[self.node]))
            try:
                status, body = await link.call("POST", "/hello", self.report(), ANSWER_WITHIN_S)
            except Unanswered:
                status, body = 0, {}
            if self.deaf:
                await asyncio.sleep(max(0.0, sent_at + ANSWER_WITHIN_S - time.monotonic()))
                status, body = 0, {}
            while self.hung:
                await asyncio.sleep(STEP_S)
            self.check_lease()
            if time.monotonic() - sent_at > ANSWER_WITHIN_S + 0.1:
                status, body = 0, {}
            if status == 200:
                if tenure == self.tenure and body.get("baton", -1) >= self.baton:
                    self.take_token(body["baton"])
                    self.renewed_at = max(self.renewed_at, sent_at)
                    self.obey(body.get("orders") or [])
                await asyncio.sleep(MIN_REPORT_S)
                wait_s = interval * self.fleet.rng.uniform(0.75, 1.25) - MIN_REPORT_S
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(max(0.01, wait_s)):
                        await self.changed.wait()
                self.changed.clear()
                continue
            link.close()
            other = self.fleet.names.get(body.get("herder", "")) if status == 421 else None
            if other is not None and other != self.node:
                self.node = other
                await asyncio.sleep(self.fleet.rng.uniform(0.0, 0.5))
            else:
                self.node = (self.node + 1) % len(self.fleet.nodes)
                await asyncio.sleep(1.0)

    def take_token(self, baton: int) -> None:
        if baton > self.baton:
            self.baton = baton
            self.changed.set()

    # -- commands

    def obey(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = order["piece"], order["try"]
            if order["verb"] == "start":
                if key not in self.tasks:
                    self.start(key)
            elif order["verb"] == "stop":
                if key in self.tasks and self.tasks[key]["phase"] != "exited":
                    self.exit(key, "halted")
            elif key in self.tasks and self.tasks[key]["phase"] == "exited":
                del self.tasks[key]

    async def serve(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> Answer | None:
        while self.hung:
            await asyncio.sleep(STEP_S)
        self.check_lease()
        if self.deaf or self.gone:
            return None
        if path == "/show":
            return 200, self.report()
        if body.get("baton") is None or body.get("tenure") is None:
            return 400, {}
        if body["baton"] < self.baton or body["tenure"] != self.tenure:
            return 409, self.report()
        self.take_token(body["baton"])
        self.obey(body.get("orders") or [])
        return 200, self.report()

    # -- tasks

    def start(self, key: tuple[str, int]) -> None:
        piece, attempt = key
        job = self.fleet.jobs.get(piece.rpartition("/")[0])
        if job is None:
            self.tasks[key] = {"phase": "exited", "cause": "unknown"}
        elif any(p == piece and t["phase"] != "exited" for (p, _), t in self.tasks.items()):
            self.tasks[key] = {"phase": "exited", "cause": "in_use"}
        elif not self.has_room(job):
            self.tasks[key] = {"phase": "exited", "cause": "full"}
        else:
            pull = self.fleet.builds[self.build]["pull_gb_per_s"]
            fetch_s = 0.0 if job["kit"] in self.images else job["image_gb"] / pull
            self.tasks[key] = {"phase": "fetching", "fetch": fetch_s, "left": job["run_s"]}
            self.fleet.on_task("ordered", self, key, "")
        self.changed.set()

    def has_room(self, job: dict[str, Any]) -> bool:
        build = self.fleet.builds[self.build]
        there = [
            self.fleet.jobs[piece.rpartition("/")[0]]
            for (piece, _), task in self.tasks.items()
            if task["phase"] != "exited"
        ]
        return all(
            sum(other[name] for other in there) + job[name] <= build[name] + 1e-6
            for name in ("vcpus", "ram_gb")
        )

    def leave(self, key: tuple[str, int], why: str) -> None:
        if self.tasks[key]["phase"] not in ("fetching", "exited"):
            self.fleet.on_task("left", self, key, why)

    def exit(self, key: tuple[str, int], cause: str) -> None:
        self.leave(key, cause)
        self.tasks[key] = {"phase": "exited", "cause": cause}
        self.changed.set()

    def check_lease(self) -> None:
        now = time.monotonic()
        if now - self.renewed_at > self.fleet.timings["lease_s"]:
            for key in list(self.tasks):
                self.leave(key, "the lease ended")
            self.tasks.clear()
            self.tenure += 1
            self.renewed_at = now
            self.changed.set()
            self.fleet.on_session(self)

    async def run_loop(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(STEP_S)
            now = time.monotonic()
            step, last = now - last, now
            self.check_lease()  # a machine that hangs goes on within its lease or not at all
            if self.hung:
                continue
            for key, task in list(self.tasks.items()):
                if task["phase"] == "fetching":
                    task["fetch"] -= step
                    if task["fetch"] <= 0:
                        job = self.fleet.jobs[key[0].rpartition("/")[0]]
                        self.images.add(job["kit"])
                        task["phase"] = "gathering" if job["shape"] == "gang" else "running"
                        self.fleet.on_task("on", self, key, task["phase"])
                        self.changed.set()
                elif self.fleet.jobs[key[0].rpartition("/")[0]]["shape"] == "gang":
                    if task["phase"] in ("gathering", "running"):
                        self.run_gang_task(key, task, step)
                elif task["phase"] == "running":
                    task["left"] -= step
                    if task["left"] <= 0:
                        self.fleet.done.add(key[0])
                        self.exit(key, "done")

    def run_gang_task(self, key: tuple[str, int], task: dict[str, Any], step: float) -> None:
        """Advance a gang's task: they run together, and all are done when one is."""
        others = self.fleet.gang(key)
        if len(others) == self.fleet.jobs[key[0].rpartition("/")[0]]["pieces"]:
            if task["phase"] == "gathering":
                task["phase"] = "running"
                self.changed.set()
            task["apart"] = 0.0
            task["left"] -= step
            if task["left"] <= 0:
                for worker, other in others:
                    self.fleet.done.add(other[0])
                    worker.exit(other, "done")
            return
        task["apart"] = task.get("apart", 0.0) + step
        if task["phase"] == "running" and task["apart"] > self.fleet.timings["gang_peer_s"]:
            self.exit(key, "mates_gone")
        elif task["apart"] > self.fleet.timings["gang_wait_s"]:
            self.exit(key, "alone")


class Fleet:
    """The cloud, its machines, and what they run."""

    def __init__(
        self,
        builds: list[dict[str, Any]],
        timings: dict[str, float],
        max_machines: int,
        boot_s: float,
        list_lag_s: float,
        rng: Any,
    ) -> None:
        self.builds = {build["name"]: build for build in builds}
        self.timings, self.max_machines, self.boot_s, self.rng = timings, max_machines, boot_s, rng
        self.list_lag_s = list_lag_s
        self.nodes: list[str] = []
        self.names: dict[str, int] = {}
        self.jobs: dict[str, dict[str, Any]] = {}  # submissions, with run_s
        self.done: set[str] = set()  # tasks that completed
        self.workers: dict[str, Worker] = {}
        self.rented: dict[str, list[str]] = {}
        self.counter = 0
        self.on_task: Callable[[str, Worker, tuple[str, int], str], None] = lambda *_: None
        self.on_session: Callable[[Worker], None] = lambda _: None
        self.snapshots: list[tuple[float, list[dict[str, Any]]]] = []

    def gang(self, key: tuple[str, int]) -> list[tuple[Worker, tuple[str, int]]]:
        """Return the tasks of this gang and attempt that are ready or run, with their workers."""
        job_id = key[0].rpartition("/")[0]
        return [
            (worker, other)
            for worker in self.workers.values()
            if not worker.hung
            for other, task in worker.tasks.items()
            if other[1] == key[1]
            and other[0].startswith(job_id + "/")
            and task["phase"] in ("gathering", "running")
        ]

    async def snapshot_loop(self) -> None:
        """Keep the list as it was, since the list that the cloud answers with lags."""
        while True:
            now = time.monotonic()
            rows = [
                {
                    "uid": worker.name,
                    "endpoint": worker.endpoint if worker.up_at else None,
                    "build": worker.build,
                    "paddock": worker.paddock,
                    "borrowed": worker.borrowed,
                    "phase": "running" if worker.up_at else "booting",
                    "age_s": now - worker.rented_at,
                }
                for _, worker in sorted(self.workers.items())
            ]
            self.snapshots.append((now, rows))
            while len(self.snapshots) > 1 and self.snapshots[1][0] < now - self.list_lag_s:
                self.snapshots.pop(0)
            await asyncio.sleep(0.25)

    async def serve(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> Answer | None:
        if path == "/flavors":
            return 200, {"builds": list(self.builds.values())}
        if path == "/hosts/return":
            for name in body["saltlicks"][:100]:
                if (worker := self.workers.pop(name, None)) is not None:
                    await worker.end()
            return 200, {}
        if path == "/hosts" and method == "GET":
            most = min(500, int(query.get("most", 500)))
            rows = [row for row in self.snapshots[0][1] if row["uid"] > query.get("from", "")]
            return 200, {"saltlicks": rows[:most], "truncated": len(rows) > most}
        if path == "/hosts":
            if body["hire"] not in self.rented:
                room = min(body["how_many"], self.max_machines - len(self.workers))
                if room <= 0:
                    return 503, {"error": "no capacity"}
                names = []
                for _ in range(room):
                    self.counter += 1
                    name = f"host-{self.counter:06d}"
                    self.workers[name] = Worker(
                        self, name, body["build"], body["paddock"], body["borrowed"]
                    )
                    names.append(name)
                self.rented[body["hire"]] = names
            return 200, {"saltlicks": self.rented[body["hire"]]}
        return 400, {"error": "malformed"}

    async def end(self) -> None:
        for worker in list(self.workers.values()):
            await worker.end()
