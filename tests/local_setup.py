"""A small local set-up to try salthead by hand: stand-ins and controllers on loopback.

    python3 tests/local_setup.py [CONTROLLERS]

It prints the addresses for ``salthead submit`` and runs until it is interrupted. The machines
are stand-ins: a task "runs" by waiting for its ``guess_s``.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT / "src"), str(ROOT / "tests")]

import cbor2  # noqa: E402
from tornado.httpserver import HTTPServer  # noqa: E402
from tornado.web import Application, RequestHandler  # noqa: E402

from helpers import LIMITS  # noqa: E402
from salthead.protocol.messages import Submission, encode, shape  # noqa: E402
from salthead.transport.client import Caller  # noqa: E402
from standins import Worker, World  # noqa: E402


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class LocalWorld(World):
    """Stand-ins whose workers report over HTTP to real controllers."""

    def __init__(self, addresses: list[str]) -> None:
        super().__init__(nodes=0)
        self.callers = [Caller(address, 100) for address in addresses]
        self.nodes = {f"n{n}": None for n in range(len(addresses))}

    async def hello(self, worker: str, node: int, message: bytes) -> tuple[int, dict[str, Any]]:
        answer = await self.callers[node].call("POST", "/hello", cbor2.loads(message), timeout=4.0)
        return answer.status, answer.body

    def spec(self, job_id: str) -> Submission | None:
        for key in (f"job/{job_id}", f"over/{job_id}"):
            if key in self.state.keys:
                value = self.state.keys[key][0]
                return shape(value.get("spec", value), Submission)
        return None

    def started(self, worker: Worker, task_id: str) -> None:
        job_id = task_id.rpartition("/")[0]
        if (found := self.spec(job_id)) is not None:
            self.specs[job_id] = found
        super().started(worker, task_id)
        for what in self.broken:
            print("broken rule:", what, file=sys.stderr)
        self.broken.clear()


class Serve(RequestHandler):
    def initialize(self, standin: Any) -> None:
        self.standin = standin

    async def answer(self) -> None:
        query = {k: v[0].decode() for k, v in self.request.query_arguments.items()}
        body = cbor2.loads(self.request.body) if self.request.body else {}
        found = await self.standin.handle(self.request.method, self.request.path, query, body)
        self.set_status(found.status)
        self.finish(encode(found.body))

    get = post = delete = answer


def settings_file(
    path: Path, n: int, addresses: list[tuple[str, str]], cloud: str, state: str
) -> None:
    lines = [
        f'member = "n{n}"',
        'area = "north"',
        f'client_listen = "{addresses[n][0]}"',
        f'cluster_listen = "{addresses[n][1]}"',
    ]
    for other, (_, cluster) in enumerate(addresses):
        if other != n:
            lines += [
                "[[seeds]]",
                f'member = "n{other}"',
                'area = "north"',
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


async def main(controllers: int) -> None:
    addresses = [
        (f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}") for _ in range(controllers)
    ]
    world = LocalWorld([client for client, _ in addresses])
    ports = []
    for standin in (world.state, world.cloud):
        ports.append(free_port())
        HTTPServer(
            Application([(r"/.*", Serve, {"standin": standin})], log_function=lambda handler: None)
        ).listen(ports[-1], "127.0.0.1")
    state, cloud = (f"127.0.0.1:{port}" for port in ports)
    with tempfile.TemporaryDirectory() as folder:
        processes = []
        for n in range(controllers):
            path = Path(folder) / f"n{n}.toml"
            settings_file(path, n, addresses, cloud, state)
            processes.append(
                subprocess.Popen([sys.executable, str(ROOT / "run.py"), "--config", str(path)])
            )
        print(
            "export SALTHEAD_CONTROLLERS='" + " ".join(client for client, _ in addresses) + "'",
            flush=True,
        )
        stop = asyncio.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, stop.set)
        try:
            while not stop.is_set() and all(p.poll() is None for p in processes):
                await asyncio.sleep(0.3)
        finally:
            for process in processes:
                process.kill()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 3))
