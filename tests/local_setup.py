"""Local cluster to try salthead by hand: controllers and simulated services on loopback.

    python3 tests/local_setup.py [CONTROLLERS]

It prints the addresses for ``salthead submit`` and runs until it is interrupted. The machines
are simulated: a task "runs" by waiting for its ``guess_s``.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT / "src"), str(ROOT / "tests")]

import cbor2  # noqa: E402
from tornado.httpserver import HTTPServer  # noqa: E402
from tornado.web import Application, RequestHandler  # noqa: E402

from builders.platform import LIMITS  # noqa: E402
from salthead.protocol.messages import Submission, encode, shape  # noqa: E402
from salthead.transport.client import HttpClient  # noqa: E402
from standins import Worker, World  # noqa: E402

LOWEST_PORT = 15000
EPHEMERAL_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


_returned_ports: set[int] = set()


def free_port() -> int:
    """Return a free port below the ephemeral range, for a process that starts later.

    No port is returned twice, since the process that it is for may not listen on it yet.
    Within the ephemeral range, a connection of a proxy or of a concurrent test run can take the
    port before the controller listens on it.
    """
    upper_limit = (
        int(EPHEMERAL_PORT_RANGE.read_text().split()[0]) if EPHEMERAL_PORT_RANGE.exists() else 32768
    )
    while True:
        port = random.SystemRandom().randrange(LOWEST_PORT, upper_limit)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            if port not in _returned_ports:
                _returned_ports.add(port)
                return port


class LocalWorld(World):
    """Simulated services whose workers send heartbeats over HTTP to real controllers."""

    def __init__(self, addresses: list[str]) -> None:
        super().__init__(controllers=0)
        self.callers = [HttpClient(address, 100) for address in addresses]
        self.controllers = {f"n{n}": None for n in range(len(addresses))}
        self.printed_count = 0  # number of printed violations

    async def deliver_heartbeat(
        self, worker: Worker, controller: int, message: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Send a heartbeat over HTTP and return the status and the body of its answer."""
        if worker.cut:
            await asyncio.sleep(60.0)
        answer = await self.callers[controller].call(
            "POST", "/hello", cbor2.loads(message), timeout=4.0
        )
        return answer.status, answer.body

    def spec(self, job_id: str) -> Submission | None:
        """Return a job's submission from the records of the state service, or None."""
        for key in (f"job/{job_id}", f"over/{job_id}"):
            if key in self.state.keys:
                value = self.state.keys[key][0]
                return shape(value.get("spec", value), Submission)
        return None

    def before_start(self, worker: Worker, task_id: str) -> None:
        """Check and count a task that a worker is about to start, and print new violations."""
        job_id = task_id.rpartition("/")[0]
        if (spec := self.spec(job_id)) is not None:
            self.specs[job_id] = spec
        super().before_start(worker, task_id)
        for violation in self.broken[self.printed_count :]:
            print("violated invariant:", violation, file=sys.stderr)
        self.printed_count = len(self.broken)


class ServiceHandler(RequestHandler):
    """HTTP handler of the simulated state service or cloud."""

    def initialize(self, standin: Any) -> None:
        """Store the argument of the route."""
        self.standin = standin

    async def answer(self) -> None:
        """Pass the request to the simulated service and send its answer."""
        query = {k: v[0].decode() for k, v in self.request.query_arguments.items()}
        body = cbor2.loads(self.request.body) if self.request.body else {}
        answer = await self.standin.handle(self.request.method, self.request.path, query, body)
        self.set_status(answer.status)
        self.finish(encode(answer.body))

    get = post = delete = answer


def settings_file(
    path: Path,
    n: int,
    addresses: list[tuple[str, str]],
    cloud: str,
    state: str,
    areas: Sequence[str] = (),
) -> None:
    """Write the settings of controller ``n``; ``areas`` are the zones by controller, or north."""
    areas = [*areas, *["north"] * (len(addresses) - len(areas))]
    lines = [
        f'member = "n{n}"',
        f'area = "{areas[n]}"',
        f'client_listen = "{addresses[n][0]}"',
        f'cluster_listen = "{addresses[n][1]}"',
    ]
    for other, (_, cluster) in enumerate(addresses):
        if other != n:
            lines += [
                "[[seeds]]",
                f'member = "n{other}"',
                f'area = "{areas[other]}"',
                f'endpoint = "{cluster}"',
            ]
    lines += [
        "[endpoints]",
        f'cloud = "{cloud}"',
        f'state = "{state}"',
        "[settings]",
        f"initial_size = {len(addresses)}",
        'zones = ["north", "south"]',
    ]
    for team in LIMITS["teams"]:
        lines += ["[[settings.teams]]"] + [
            f'{k} = "{v}"' if isinstance(v, str) else f"{k} = {v}" for k, v in team.items()
        ]
    for group in ("workers", "state", "cloud"):
        lines += [f"[settings.{group}]"] + [f"{k} = {v}" for k, v in LIMITS[group].items()]
    lines += ["[settings.state.next]", "value_kb = 2.0", "txn_ops = 4", "write_rps = 15.0"]
    path.write_text("\n".join(lines) + "\n")


class LocalSetup:
    """Simulated services in this process and controllers as subprocesses, on loopback."""

    def __init__(
        self,
        controllers: int,
        areas: Sequence[str] = (),
        policy: Path | None = None,
        world: Callable[[list[str]], LocalWorld] = LocalWorld,
    ) -> None:
        self.areas = areas
        self.policy = policy
        self.addresses = [
            (f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}") for _ in range(controllers)
        ]
        self.world = world([client for client, _ in self.addresses])
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.servers: list[HTTPServer] = []
        self.folder = tempfile.TemporaryDirectory()
        self.ports: list[int] = []
        self.logs: Path | None = None  # folder for the logs of the controllers

    def standins(self) -> list[Any]:
        """Return the services on loopback, in the order of ``ports``."""
        return [self.world.state, self.world.cloud]

    def __enter__(self) -> LocalSetup:
        for standin in self.standins():
            self.ports.append(free_port())
            server = HTTPServer(
                Application(
                    [(r"/.*", ServiceHandler, {"standin": standin})],
                    log_function=lambda handler: None,
                )
            )
            server.listen(self.ports[-1], "127.0.0.1")
            self.servers.append(server)
        for n in range(len(self.addresses)):
            self.start(n)
        return self

    def start(self, n: int) -> None:
        """Start or restart controller ``n``."""
        path = Path(self.folder.name) / f"n{n}.toml"
        self.write_settings(path, n)
        command = [sys.executable, str(ROOT / "run.py"), "--config", str(path)]
        if self.policy is not None:
            command += ["--policy", str(self.policy)]
        if self.logs is None:
            self.processes[n] = subprocess.Popen(command)
            return
        with (self.logs / f"n{n}.log").open("ab") as log:
            self.processes[n] = subprocess.Popen(command, stderr=log)

    def write_settings(self, path: Path, n: int) -> None:
        """Write the settings of controller ``n`` with the addresses of its peers and services."""
        state, cloud = (f"127.0.0.1:{port}" for port in self.ports)
        settings_file(path, n, self.addresses, cloud, state, self.areas)

    def pause(self, n: int) -> None:
        """Suspend controller ``n`` (SIGSTOP)."""
        self.processes[n].send_signal(signal.SIGSTOP)

    def resume(self, n: int) -> None:
        """Resume controller ``n`` (SIGCONT)."""
        self.processes[n].send_signal(signal.SIGCONT)

    def kill(self, n: int) -> None:
        """Kill controller ``n`` (SIGKILL) and wait for its end."""
        process = self.processes.pop(n)
        process.kill()
        process.wait()

    def __exit__(self, *error: object) -> None:
        for n in list(self.processes):
            self.kill(n)
        for server in self.servers:
            server.stop()
        for caller in self.world.callers:
            caller.close()
        self.folder.cleanup()


async def end_other_tasks(rounds: int = 40) -> None:
    """Cancel all other tasks of the loop until they have ended.

    Tasks are cancelled repeatedly because ``asyncio.wait_for``, which the simulated workers use,
    loses a cancellation that coincides with the end of the awaited work, and the loop would never
    close.
    """
    for _ in range(rounds):
        left = asyncio.all_tasks() - {asyncio.current_task()}
        if not left:
            return
        for task in left:
            task.cancel()
        await asyncio.wait(left, timeout=0.25)
    raise AssertionError(f"tasks did not end after {rounds} cancellations")


async def main(controllers: int) -> None:
    """Run a local cluster until it is interrupted or a controller ends."""
    with LocalSetup(controllers, policy=ROOT / "deploy" / "policy.toml") as local:
        print(
            "export SALTHEAD_CONTROLLERS='"
            + " ".join(client for client, _ in local.addresses)
            + "'",
            flush=True,
        )
        stop = asyncio.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, stop.set)
        while not stop.is_set() and all(p.poll() is None for p in local.processes.values()):
            await asyncio.sleep(0.3)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 3))
