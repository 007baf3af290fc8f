"""One scene: three controllers as processes, the stand-ins around them, users, and a record."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from machines import Fleet, Worker
from state import State
from wire import Answer, Server, Unanswered, call_once

ROOT = Path(__file__).resolve().parents[2]
MEMBERS = ("saltlick-0", "saltlick-1", "saltlick-2")
PROTOCOL_FIELDS = frozenset(
    "uid breed crew shape urgency pieces vcpus accelerators ram_gb kit image_gb builds paddock "
    "same_place apart borrowed guess_s cairn_s stow_s due_s awaits".split()
)
FINAL = ("done", "aborted")


class CannotRun(Exception):
    """The case can't run here; exit code 2."""


def free_port() -> int:
    """Return a port that is free now and outside the range of outgoing connections."""
    limit = 32768
    with contextlib.suppress(OSError, ValueError):
        limit = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    chooser = random.SystemRandom()
    while True:
        port = chooser.randrange(min(15000, limit - 2000), limit)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


class Scene:
    """The processes, the stand-ins and the record of one run."""

    def __init__(self, folder: Path, site: dict[str, Any]) -> None:
        self.folder, self.site = folder, site
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began_at = time.monotonic()
        self.record = (folder / "record.txt").open("w")
        self.rng = random.Random()
        self.state = State(site["state_now"] if "state_now" in site else site["state"])
        self.fleet = Fleet(
            site["builds"],
            site["workers"],
            site["max_machines"],
            site["boot_s"],
            site["cloud"]["list_lag_s"],
            self.rng,
        )
        self.fleet.on_task = self._note_task
        self.fleet.on_session = lambda w: self.note(f"{w.name} begins session {w.tenure}")
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.client: dict[str, str] = {}
        self.cluster: dict[str, str] = {}
        self.broken: list[str] = []
        self.task_events: list[tuple[float, str, str, int, str]] = []
        self.background: list[asyncio.Task[Any]] = []
        self.accepted: dict[str, float] = {}

    # -- record

    def now(self) -> float:
        return time.monotonic() - self.began_at

    def note(self, text: str) -> None:
        self.record.write(f"{round(self.now() * 1000):7d} {text}\n")
        self.record.flush()

    def breach(self, text: str) -> None:
        self.broken.append(text)
        self.note(f"BROKEN {text}")

    def _note_task(self, what: str, worker: Worker, key: tuple[str, int], why: str) -> None:
        self.task_events.append((self.now(), what, key[0], key[1], worker.name))
        self.note(f"{worker.name} task {key[0]} try {key[1]}: {what} {why}")

    def on_machines(self, job_id: str) -> list[str]:
        """Return the machines that have a task of the job, with its image, not exited."""
        return [
            worker.name
            for worker in self.fleet.workers.values()
            for (piece, _), task in worker.tasks.items()
            if piece.rpartition("/")[0] == job_id and task["phase"] not in ("fetching", "exited")
        ]

    # -- processes

    async def __aenter__(self) -> Scene:
        if not (ROOT / "target/deps").is_dir() or not (ROOT / "target/app").is_dir():
            raise CannotRun("run the build of deploy/service.toml first")
        self.temporary = tempfile.TemporaryDirectory()
        self.servers = [Server(self.state.handler(member)) for member in MEMBERS]
        self.servers.append(Server(self.fleet.serve))
        addresses = [await server.start() for server in self.servers]
        for number, member in enumerate(MEMBERS):
            self.client[member] = f"127.0.0.1:{free_port()}"
            self.cluster[member] = f"127.0.0.1:{free_port()}"
            self.fleet.nodes.append(self.client[member])
            self.fleet.names[member] = number
        self.state_addresses = dict(zip(MEMBERS, addresses, strict=False))
        self.cloud_address = addresses[-1]
        self.background = [
            asyncio.ensure_future(self.state.expire_loop()),
            asyncio.ensure_future(self.fleet.snapshot_loop()),
        ]
        return self

    def _settings(self, member: str) -> str:
        number = MEMBERS.index(member)
        zones = self.site["areas"]
        lines = [
            f'member = "{member}"',
            f'area = "{zones[number]}"',
            f'client_listen = "{self.client[member]}"',
            f'cluster_listen = "{self.cluster[member]}"',
        ]
        for other in MEMBERS:
            if other != member:
                lines += [
                    "[[seeds]]",
                    f'member = "{other}"',
                    f'area = "{zones[MEMBERS.index(other)]}"',
                    f'endpoint = "{self.cluster[other]}"',
                ]
        lines += [
            "[endpoints]",
            f'cloud = "{self.cloud_address}"',
            f'state = "{self.state_addresses[member]}"',
            "[settings]",
            "initial_size = 3",
            "zones = [" + ", ".join(f'"{zone}"' for zone in self.site["zones"]) + "]",
            "clock_error_ms = 1000.0",
        ]
        for team in self.site["teams"]:
            lines += ["[[settings.teams]]"] + [
                f'{k} = "{v}"' if isinstance(v, str) else f"{k} = {v}" for k, v in team.items()
            ]
        for group in ("workers", "state", "cloud", "quota"):
            lines += [f"[settings.{group}]"]
            lines += [f"{k} = {v}" for k, v in self.site[group].items()]
        if "state_next" in self.site:
            lines += ["[settings.state.next]"]
            lines += [f"{k} = {v}" for k, v in self.site["state_next"].items()]
        return "\n".join(lines) + "\n"

    def start(self, member: str, root: Path = ROOT) -> None:
        """Start a controller of the version in ``root`` with the run line of its deploy file."""
        deploy = tomllib.loads((root / "deploy/service.toml").read_text())
        command = shlex.split(deploy["run"])
        path = Path(self.temporary.name) / f"{member}.toml"
        path.write_text(self._settings(member))
        log = (Path(self.temporary.name) / f"{member}.log").open("ab")
        program = [sys.executable if command[0] == "python3" else command[0]]
        environment = {k: v for k, v in os.environ.items() if k != "PYTHONPATH"}
        environment["LOG_LEVEL"] = os.environ.get("LOG_LEVEL", "info")
        self.processes[member] = subprocess.Popen(
            [*program, *command[1:], str(path)],
            cwd=root,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env=environment,
        )
        log.close()
        self.note(f"{member} started")

    def kill(self, member: str) -> None:
        process = self.processes.pop(member)
        process.kill()
        process.wait()
        self.note(f"{member} killed")

    def log_of(self, member: str) -> str:
        return (Path(self.temporary.name) / f"{member}.log").read_text(errors="replace")

    def leader(self) -> str | None:
        row = self.state.keys.get("lead")
        return None if row is None else row[0]["member"]

    async def until(self, what: str, condition: Callable[[], bool], within_s: float) -> None:
        """Wait for a part of the scene that has to come about; else the case can't run."""
        end = time.monotonic() + within_s
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"{what}: not within {within_s:g} s")
            for member, process in self.processes.items():
                if process.poll() is not None:
                    raise CannotRun(f"{member} ended with {process.returncode}")
            await asyncio.sleep(0.02)

    async def start_all(self, root: Path = ROOT) -> str:
        """Start all controllers; return the leader once all are healthy."""
        for member in MEMBERS:
            self.start(member, root)
        await self.until("a leader", lambda: self.leader() is not None, 20.0)
        for member in MEMBERS:
            await self.healthy(member)
        leader = self.leader()
        assert leader is not None
        self.note(f"{leader} leads")
        return leader

    async def healthy(self, member: str, within_s: float = 20.0) -> None:
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            with contextlib.suppress(Unanswered):
                if (await call_once(self.client[member], "GET", "/up", timeout=1.0))[0] == 200:
                    return
            await asyncio.sleep(0.2)
        raise CannotRun(f"{member} is not healthy")

    # -- users

    async def ask(
        self, member: str, method: str, path: str, body: Any = None, timeout: float = 5.0
    ) -> Answer | None:
        """Send one request of a user to one node; None without an answer. Both are recorded."""
        self.note(f"user > {member} {method} {path}")
        try:
            status, answer = await call_once(self.client[member], method, path, body, timeout)
        except Unanswered as error:
            self.note(f"user < {member} {method} {path}: no answer ({error})")
            return None
        self.note(f"user < {member} {method} {path}: {status} {answer}")
        return status, answer

    async def submit(self, members: list[str], job: dict[str, Any]) -> Answer:
        """Submit as a user does: retried at one node after another for up to 60 s."""
        self.fleet.jobs[job["uid"]] = job
        body = {k: v for k, v in job.items() if k in PROTOCOL_FIELDS}
        return await self._until_final(members, "POST", "/work", body, 5.0)

    async def cancel(self, members: list[str], job_id: str) -> Answer:
        return await self._until_final(members, "POST", f"/work/{job_id}/cancel", None, 5.0)

    async def poll(self, member: str, job_id: str) -> Answer | None:
        return await self.ask(member, "GET", f"/work/{job_id}", None, 2.0)

    async def _until_final(
        self, members: list[str], method: str, path: str, body: Any, timeout: float
    ) -> Answer:
        end = time.monotonic() + 60.0
        number = 0
        while time.monotonic() < end:
            answer = await self.ask(members[number % len(members)], method, path, body, timeout)
            if answer is not None and answer[0] in (200, 201, 400, 404, 422):
                return answer
            number += 1
            await asyncio.sleep(1.0)
        raise CannotRun(f"{method} {path}: no final answer in 60 s")

    async def __aexit__(self, *error: object) -> None:
        for member in list(self.processes):
            self.kill(member)
        for task in [*self.background, *self.state.late]:
            task.cancel()
        await self.fleet.end()
        for server in self.servers:
            await server.stop()
        gc.collect()  # connections that were opened last are closed while the loop still runs
        await asyncio.sleep(0.1)
        keep = os.environ.get("KEEP_LOGS")
        for member in MEMBERS:
            path = Path(self.temporary.name) / f"{member}.log"
            if keep and path.exists():
                Path(keep).mkdir(parents=True, exist_ok=True)
                (Path(keep) / f"{member}.log").write_bytes(path.read_bytes())
        self.temporary.cleanup()


def job(uid: str, **fields: Any) -> dict[str, Any]:
    """Return a submission; ``run_s`` is how long its tasks really run."""
    return {
        "uid": uid,
        "breed": "swelldecode",
        "crew": "harbour",
        "shape": "array",
        "urgency": "normal",
        "pieces": 1,
        "vcpus": 1.0,
        "accelerators": 0.0,
        "ram_gb": 2.9,
        "kit": "img-01",
        "image_gb": 0.4,
        "builds": None,
        "paddock": None,
        "same_place": False,
        "apart": False,
        "borrowed": False,
        "guess_s": 20.0,
        "cairn_s": 0.0,
        "stow_s": 0.0,
        "due_s": None,
        "run_s": 20.0,
    } | fields


MOANA: dict[str, Any] = {
    "zones": ["poneke"],
    "areas": ["poneke"] * 3,
    "teams": [
        {"name": "harbour", "cpus": 112.0, "cpus_max": 248.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "fisheries", "cpus": 144.0, "cpus_max": 408.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "oceanscience", "cpus": 96.0, "cpus_max": 328.0, "gpus": 0.0, "gpus_max": 0.0},
    ],
    "workers": {
        "report_s": 1.0,
        "lease_s": 11.0,
        "gang_wait_s": 40.0,
        "gang_peer_s": 5.0,
        "cancel_s": 36.0,
    },
    "state": {"rps": 60.0, "write_rps": 20.0, "value_kb": 4.0, "txn_ops": 12},
    "cloud": {"rps": 4.0, "list_lag_s": 8.0},
    "quota": {"cpu_share": 0.288, "ram_mb": 146.0, "max_connections": 600},
    "builds": [
        {
            "name": "kahawai",
            "vcpus": 8.0,
            "accelerators": 0.0,
            "ram_gb": 32.0,
            "local_gb": 80.0,
            "pull_gb_per_s": 1.0,
            "rate": 0.53,
            "spot_price": 0.2,
            "boot_s": 25.0,
            "paddocks": ["poneke"],
        }
    ],
    "max_machines": 28,
    # "At times machines are up within a second or two."
    "boot_s": 2.0,
}


def run(folder: str, site: dict[str, Any], play: Callable[[Scene], Awaitable[None]]) -> None:
    """Play a scene; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def main() -> int:
        scene = Scene(Path(folder), site)
        stop = asyncio.current_task()
        assert stop is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stop.cancel)
        try:
            async with asyncio.timeout(115.0), scene:
                await play(scene)
        except (CannotRun, TimeoutError, asyncio.CancelledError) as error:
            scene.note(f"could not run: {error or type(error).__name__}")
            print(f"could not run: {error or type(error).__name__}")
            return 2
        verdict = f"broken: {scene.broken[0]}" if scene.broken else "held"
        scene.note(verdict)
        print(verdict)
        return 1 if scene.broken else 0

    async def play_and_exit() -> None:
        code = await main()
        sys.stdout.flush()
        os._exit(code)  # nothing that is left in this process can hold it up

    asyncio.run(play_and_exit())
