"""A small deployment on loopback: the project's controllers as processes, and the stand-ins."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from fleet import Fleet
from state import State
from wire import Server, call, free_port

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The limits of Prairie Ledger Records Cluster in the first brief, and a little of its fleet.
PRAIRIE: dict[str, Any] = {
    "workers": {
        "report_s": 3.0,
        "lease_s": 21.0,
        "gang_wait_s": 50.0,
        "gang_peer_s": 6.0,
        "cancel_s": 46.0,
    },
    "state": {"rps": 120.0, "write_rps": 20.0, "value_kb": 16.0, "txn_ops": 16},
    "cloud": {"rps": 8.0, "list_lag_s": 3.0},
    "quota": {"cpu_share": 0.54, "ram_mb": 266.0, "max_connections": 1500},
    "zones": ["eastbank", "westbank"],
    "build": "wheatbox",
    "vcpus": 16.0,
    "ram_gb": 128.0,
    "boot_s": 50.0,
    "team": "lookups",
}
# The same of Moana Buoy Service Cluster.
MOANA: dict[str, Any] = {
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
    "zones": ["poneke"],
    "build": "tarakihi",
    "vcpus": 16.0,
    "ram_gb": 64.0,
    "boot_s": 40.0,
    "team": "harbour",
}


def millis(seconds: float) -> int:
    """Return a time as whole milliseconds, which no reader takes for an address."""
    return round(seconds * 1000)


class CouldNotRun(Exception):
    """The case did not get as far as the rule that it checks."""


class Cluster:
    """Controllers, stand-ins and the record of one run."""

    def __init__(
        self, folder: Path, site: dict[str, Any], state: State | None = None, machines: int = 2
    ) -> None:
        self.site = site
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = (folder / "record.txt").open("w")
        self.started = time.monotonic()
        self.state = state or State(site["state"])
        build = {
            "name": site["build"],
            "vcpus": site["vcpus"],
            "accelerators": 0.0,
            "ram_gb": site["ram_gb"],
            "local_gb": 80.0,
            "pull_gb_per_s": 1.0,
            "rate": 1.0,
            "spot_price": 0.4,
            "boot_s": site["boot_s"],
            "paddocks": site["zones"],
        }
        self.fleet = Fleet([build], site["workers"], self.note, machines)
        self.names = [f"saltlick-{n}" for n in range(3)]
        self.client = [free_port() for _ in self.names]
        self.peer = [free_port() for _ in self.names]
        self.fleet.names, self.fleet.nodes = self.names, self.client
        self.folder = tempfile.TemporaryDirectory()
        self.logs = Path(self.folder.name)
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.state_ports: list[int] = []
        self.cloud_port = 0
        self.loops: list[asyncio.Task[Any]] = []
        self.jobs = 0

    def now(self) -> float:
        return time.monotonic() - self.started

    def note(self, what: str, **facts: Any) -> None:
        """Write one line to the record."""
        text = " ".join(f"{k}={v}" for k, v in facts.items())
        self.record.write(f"{millis(self.now()):7d} ms {what} {text}\n")
        self.record.flush()

    async def __aenter__(self) -> Cluster:
        self.state_ports = [await self.state.serve(name) for name in self.names]
        self.cloud_port = await Server(self.fleet.handle).start()
        self.loops.append(asyncio.create_task(self.state.expire_loop()))
        return self

    async def __aexit__(self, *error: object) -> None:
        for n in list(self.processes):
            self.kill(n)
        for worker in self.fleet.machines.values():
            worker.end()
        for loop in self.loops:
            loop.cancel()
        if keep := os.environ.get("KEEP_LOGS"):
            for path in self.logs.glob("*.log"):
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self.folder.cleanup()
        self.record.close()

    # -- controllers ----------------------------------------------------------------------

    def _settings(self, n: int) -> str:
        site, zones = self.site, self.site["zones"]

        def table(header: str, fields: dict[str, Any]) -> str:
            rows = [f'{k} = "{v}"' if type(v) is str else f"{k} = {v}" for k, v in fields.items()]
            return header + "\n" + "\n".join(rows) + "\n"

        text = (
            f'member = "{self.names[n]}"\narea = "{zones[n % len(zones)]}"\n'
            f'client_listen = "127.0.0.1:{self.client[n]}"\n'
            f'cluster_listen = "127.0.0.1:{self.peer[n]}"\n'
        )
        for other, name in enumerate(self.names):
            if other != n:
                endpoint = f"127.0.0.1:{self.peer[other]}"
                area = zones[other % len(zones)]
                text += table("[[seeds]]", {"member": name, "area": area, "endpoint": endpoint})
        cloud, state = self.cloud_port, self.state_ports[n]
        text += table("[endpoints]", {"cloud": f"127.0.0.1:{cloud}", "state": f"127.0.0.1:{state}"})
        text += "[settings]\ninitial_size = 3\n"
        text += "zones = [" + ", ".join(f'"{z}"' for z in zones) + "]\nclock_error_ms = 1000.0\n"
        team = {"name": site["team"], "cpus": 88.0, "cpus_max": 248.0, "gpus": 0.0, "gpus_max": 0.0}
        text += table("[[settings.teams]]", team)
        for group in ("workers", "state", "cloud", "quota"):
            text += table(f"[settings.{group}]", site[group])
        return text

    def start(self, n: int) -> None:
        """Start a controller with the run line of the deploy file."""
        path = self.logs / f"{self.names[n]}.toml"
        path.write_text(self._settings(n))
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"].split()
        log = (self.logs / f"{self.names[n]}.log").open("ab")
        self.processes[n] = subprocess.Popen([*run, str(path)], cwd=ROOT, stderr=log, stdout=log)
        log.close()
        self.note("controller started", node=self.names[n])

    def kill(self, n: int) -> None:
        process = self.processes.pop(n)
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()
        self.note("controller ended", node=self.names[n])

    async def until(self, what: str, check: Any, within: float) -> None:
        """Wait until a check holds; the case could not run if it does not in time."""
        ends = time.monotonic() + within
        while time.monotonic() < ends:
            if check():
                return
            await asyncio.sleep(0.01)
        raise CouldNotRun(what)

    async def ready(self, nodes: list[int], within: float = 20.0) -> None:
        """Wait until these controllers can take requests."""
        ends = time.monotonic() + within
        for n in nodes:
            while (await call(self.client[n], "GET", "/up", timeout=1.0))[0] != 200:
                if time.monotonic() > ends:
                    raise CouldNotRun(f"{self.names[n]} is not up")
                await asyncio.sleep(0.1)

    def leader(self) -> int | None:
        """Return the controller that the state service's key names."""
        row = self.state.keys.get("lead")
        return self.names.index(row[0]["member"]) if row is not None else None

    # -- users ----------------------------------------------------------------------------

    def job(self, run_s: float, **fields: Any) -> dict[str, Any]:
        """Return a new job, uploaded to the machines; its tasks run for ``run_s``."""
        self.jobs += 1
        spec = {
            "uid": f"req-{self.jobs:06d}",
            "breed": "demo",
            "crew": self.site["team"],
            "shape": "array",
            "urgency": "normal",
            "pieces": 1,
            "vcpus": 1.0,
            "accelerators": 0.0,
            "ram_gb": 2.0,
            "kit": "img-01",
            "image_gb": 0.5,
            "builds": None,
            "paddock": None,
            "same_place": False,
            "apart": False,
            "borrowed": False,
            "guess_s": run_s,
            "cairn_s": 0.0,
            "stow_s": 0.0,
            "due_s": None,
        } | fields
        self.fleet.specs[spec["uid"]] = spec
        self.fleet.run_times[spec["uid"]] = run_s
        return spec

    async def ask(
        self, n: int, method: str, path: str, body: Any = None, timeout: float = 5.0
    ) -> tuple[float, int, Any]:
        """Send one user's request to one node; return when it was sent, and the answer."""
        sent = self.now()
        status, answer = await call(self.client[n], method, path, body, timeout)
        self.note(
            "user",
            node=self.names[n],
            request=f"{method} {path}",
            sent_ms=millis(sent),
            status=status,
            answer=answer,
        )
        return sent, status, answer

    async def submit(self, n: int, spec: dict[str, Any], within: float = 30.0) -> None:
        """Submit a job until it is accepted."""
        ends = time.monotonic() + within
        while time.monotonic() < ends:
            _, status, _ = await self.ask(n, "POST", "/work", spec)
            if status in (200, 201):
                return
            await asyncio.sleep(1.0)
        raise CouldNotRun(f"{spec['uid']} was not accepted")


def main(folder: Path, case: Any) -> None:
    """Run a case, print and record its result, and exit with it."""

    async def run() -> int:
        # A script that is told to end also ends its controllers.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(118.5):
                return int(await case())
        except (CouldNotRun, TimeoutError, asyncio.CancelledError) as error:
            print(f"could not run: {error!r}")
            return NOT_RUN

    try:
        result = asyncio.run(run())
    except Exception as error:  # a mistake of the case is no broken rule
        print(f"could not run: {error!r}")
        result = NOT_RUN
    print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[result])
    sys.exit(result)
