"""What each thing that a controller does costs, and how much of a second that takes.

    python3 tools/profile_costs.py [--machines 570] [--report-s 3] [--seconds]

A leader with a full fleet and a follower run in this process on loopback; requests come from
another thread, which is not counted. Each line has the calls of Python functions that one thing
takes and how often it happens in a second. Calls are counted, not timed, so that the table is the
same each time; ``--seconds`` adds the processor time of this machine, which is not, and a start's.
"""

from __future__ import annotations

import argparse
import asyncio
import http.client
import importlib.util
import logging
import os
import random
import resource
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
if importlib.util.find_spec("salthead") is None:
    sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT / "src"), str(ROOT / "tests")]

from builders.ledgers import add_machine, heartbeat  # noqa: E402
from builders.platform import MACHINE_TYPES, settings  # noqa: E402
from builders.submissions import submission, submission_fields  # noqa: E402
from salthead.autoscaling import fleet_plan  # noqa: E402
from salthead.cluster.ledger import Ledger  # noqa: E402
from salthead.cluster.sweep import sweep  # noqa: E402
from salthead.controller.controller import Controller  # noqa: E402
from salthead.controller.handlers import ClientHandlers, PeerHandlers  # noqa: E402
from salthead.controller.server import listen  # noqa: E402
from salthead.heartbeats.handling import handle_heartbeat  # noqa: E402
from salthead.leader.term import Term  # noqa: E402
from salthead.leases.leader_lease import LeaseClock  # noqa: E402
from salthead.protocol import wire_names  # noqa: E402
from salthead.protocol.messages import Heartbeat, encode  # noqa: E402
from salthead.scheduling import scheduling_pass  # noqa: E402

FENCING_TOKEN = 7
REVISION = 1_000_000  # of all that is written in the profiled term
LEASE_S = 1e9  # of the profiled term, which no state service renews
REQUESTS = 200  # of each kind, over which the cost of one is averaged
QUEUED_JOBS = 40
BURST_JOBS, BURST_TASKS = 100, 60
# How often things happen that do not follow from the number of machines.
POLLS_PER_S, SUBMISSIONS_PER_S, PROBES_PER_S = 8.0, 1.0, 3.0
CALLS_PER_S, LOG_LINES_PER_S = 4.0, 10.0
PASSES_PER_S, SWEEPS_PER_S, PLANS_PER_S, ACCOUNTS_PER_S = 4.0, 2.0, 1.0, 0.5
ENDED_PART = 0.1  # of the heartbeats, that show the end of a task

HttpRequest = tuple[str, str, bytes | None]


class Meter:
    """Counts the calls of Python functions, and the processor time, of this thread."""

    def __init__(self, with_calls: bool) -> None:
        self.with_calls = with_calls
        self.calls = 0
        self.seconds = 0.0

    def _note(self, frame: Any, event: str, argument: Any) -> None:
        self.calls += event == "call"

    def __enter__(self) -> Meter:
        self.began = time.thread_time()
        if self.with_calls:
            sys.setprofile(self._note)
        return self

    def __exit__(self, *_: object) -> None:
        sys.setprofile(None)
        self.seconds = time.thread_time() - self.began


@dataclass(frozen=True)
class Cost:
    """What one thing takes: calls, and seconds where they were asked for."""

    calls: float
    seconds: float


class FakeStateStore:
    """Just enough of the state service's client: whatever is written is taken at once."""

    last_response_at = float("inf")

    async def get(self, key: str, **_: Any) -> None:
        """No record is there."""

    async def transaction(self, *_: Any, **__: Any) -> int:
        """Every transaction is carried out, after the one that took the lead."""
        return REVISION


class Client(threading.Thread):
    """Sends requests over one connection, one after the other."""

    def __init__(
        self, endpoint: str, requests: list[HttpRequest], done: Callable[[], None]
    ) -> None:
        super().__init__(daemon=True)
        self.endpoint, self.requests, self.done = endpoint, requests, done
        self.statuses: set[int] = set()

    def run(self) -> None:
        """Run the work once for each time."""
        connection = http.client.HTTPConnection(self.endpoint)
        for method, path, body in self.requests:
            connection.request(method, path, body)
            answer = connection.getresponse()
            answer.read()
            self.statuses.add(answer.status)
        self.done()


def free_endpoint() -> str:
    """An address on loopback that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def fill(ledger: Ledger, machines: int, now: float) -> None:
    """Allocate a whole fleet, with a queue of pending jobs; each machine has shown what it runs."""
    ledger.set_machine_types(MACHINE_TYPES)
    ledger.loaded = ledger.ready = True
    ledger.team_limits[:] = [(1e9, 1e9) for _ in ledger.team_limits]
    for n in range(machines):
        add_machine(ledger, f"m{n}", now, zone=("north", "south")[n % 2])
    for n in range(QUEUED_JOBS):
        ledger.add_job(
            submission(job_id=f"req-{n}", task_count=machines, vcpus=2.0, estimated_run_s=50.0), now
        )
    scheduling_pass.schedule(ledger, random.Random(1), now)
    for name in ledger.machines:
        handle_heartbeat(ledger, shown(ledger, name, 2), now)


def shown(
    ledger: Ledger,
    name: str,
    sequence: int,
    ended: int = 0,
    fencing_token: int = FENCING_TOKEN,
    incarnation: int = 1,
) -> Heartbeat:
    """A heartbeat of a machine with what is bound to it, of which some has ended."""
    tasks: list[tuple[Any, ...]] = [
        (b.task_id, b.attempt, "running") for b in ledger.machines[name].bindings.values()
    ]
    tasks[:ended] = [(*task[:2], "exited", "done") for task in tasks[:ended]]
    zone = ledger.zones[ledger.machines[name].zone]
    return heartbeat(
        name, sequence, *tasks, fencing_token=fencing_token, incarnation=incarnation, zone=zone
    )


class Bench:
    """A leader and a follower on loopback, and the meter over what they do."""

    def __init__(self, machines: int, seconds: bool) -> None:
        self.machines, self.with_seconds = machines, seconds
        self.endpoints = [free_endpoint() for _ in range(4)]
        self.leader = self._controller("n0", "n1", self.endpoints[3])
        self.follower = self._controller("n1", "n0", self.endpoints[1])
        self.follower.leader_view.member = "n0"
        self.term = Term(self.leader, FENCING_TOKEN, 1, 1, LeaseClock(LEASE_S))
        self.term.clock.renewed(self.leader.now())
        self.ledger = self.term.ledger
        fill(self.ledger, machines, self.leader.now())
        self.leader.leader_view.term, self.leader.leader_view.member = self.term, "n0"
        for controller, first in ((self.leader, 0), (self.follower, 2)):
            listen(controller, ClientHandlers(controller).router(), self.endpoints[first])
            listen(controller, PeerHandlers(controller).router(), self.endpoints[first + 1])

    @staticmethod
    def _controller(member: str, other: str, other_endpoint: str) -> Controller:
        own = settings(member, (other,))
        own.seeds[0].endpoint = other_endpoint
        controller = Controller(
            own,
            random.Random(1),
            state_store=FakeStateStore(),  # type: ignore[arg-type]
        )
        controller.machine_types.update({found.name: found for found in MACHINE_TYPES})
        return controller

    def of_work(self, work: Callable[[], Any], times: int = 1) -> Cost:
        """The cost of a function call, or of each of the things that it does."""
        with Meter(with_calls=not self.with_seconds) as meter:
            work()
        return Cost(meter.calls / times, meter.seconds / times)

    async def of_requests(self, endpoint: str, requests: list[HttpRequest], status: int) -> Cost:
        """The cost of a request, on the side of the controllers."""
        over = asyncio.Event()
        loop = asyncio.get_running_loop()

        def done() -> None:
            loop.call_soon_threadsafe(over.set)

        client = Client(endpoint, requests, done)
        with Meter(with_calls=not self.with_seconds) as meter:
            client.start()
            await over.wait()
        assert client.statuses == {status}, client.statuses
        return Cost(meter.calls / len(requests), meter.seconds / len(requests))

    async def of_heartbeats(self, sequence: int, ended: int) -> Cost:
        """Of heartbeats, by which so many tasks have ended."""
        requests: list[HttpRequest] = [
            (
                "POST",
                wire_names.HEARTBEAT_PATH,
                encode(shown(self.ledger, f"m{n}", sequence, ended)),
            )
            for n in range(REQUESTS)
        ]
        return await self.of_requests(self.endpoints[0], requests, 200)

    async def of_polls(self, endpoint: str) -> Cost:
        """Of polls at one controller."""
        requests: list[HttpRequest] = [
            ("GET", f"{wire_names.JOBS_PATH}/req-{n % QUEUED_JOBS}", None) for n in range(REQUESTS)
        ]
        return await self.of_requests(endpoint, requests, 200)

    async def of_submissions(self) -> Cost:
        """Of new jobs."""
        requests: list[HttpRequest] = [
            (
                "POST",
                wire_names.JOBS_PATH,
                encode(submission_fields(submission(job_id=f"req-{9000 + n}"))),
            )
            for n in range(REQUESTS)
        ]
        return await self.of_requests(self.endpoints[0], requests, 201)

    async def of_peer_calls(self) -> Cost:
        """Of calls between controllers."""
        peer = self.leader.peers["n1"]
        await peer.call("POST", wire_names.PEER_CONNECTIVITY_PATH)
        with Meter(with_calls=not self.with_seconds) as meter:
            for _ in range(REQUESTS):
                await peer.call("POST", wire_names.PEER_CONNECTIVITY_PATH)
        return Cost(meter.calls / REQUESTS, meter.seconds / REQUESTS)

    def of_burst(self) -> Cost:
        """Of a burst of jobs."""
        now = self.leader.now()

        def submit_all() -> None:
            for n in range(BURST_JOBS):
                self.ledger.add_job(
                    submission(job_id=f"req-{5000 + n}", task_count=BURST_TASKS), now, True
                )
            self.term.scheduling_loop.run_pass(now)

        return self.of_work(submit_all, BURST_JOBS)

    def of_return(self) -> Cost:
        """Half of the fleet is behind a cut for longer than its leases, and comes back."""
        later = self.leader.now() + 10.0 * self.leader.limits.workers.lease_s
        half = [f"m{n}" for n in range(0, self.machines, 2)]
        for name in set(self.ledger.machines) - set(half):
            handle_heartbeat(self.ledger, shown(self.ledger, name, 50), later)

        def come_back() -> None:
            sweep(self.ledger, later)
            for name in half:
                handle_heartbeat(self.ledger, shown(self.ledger, name, 1, incarnation=2), later)

        return self.of_work(come_back, len(half))

    def of_failover(self) -> Cost:
        """The next leader hears every machine with its tasks, and has read every job."""
        now = self.leader.now()
        new = Ledger(self.leader.limits, FENCING_TOKEN + 1, now)
        new.set_machine_types(MACHINE_TYPES)
        heartbeats = [
            shown(self.ledger, name, 60, fencing_token=FENCING_TOKEN + 1)
            for name in self.ledger.machines
        ]
        specs = [job.spec for job in self.ledger.jobs.values()]

        def fail_over() -> None:
            for spec in specs:
                new.add_job(spec, now)
            for one in heartbeats:
                new.add_machine(one.worker, one.machine_type, one.zone, False, now, registered=True)
            new.loaded = True
            for one in heartbeats:
                handle_heartbeat(new, one, now, direct=True)
            sweep(new, now)

        return self.of_work(fail_over, len(heartbeats))


def start_seconds() -> float:
    """Processor time of one start, imports only, as the platform starts it: the least of five."""
    found = []
    for _ in range(5):
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        subprocess.run(
            [sys.executable, "-S", "run.py", "--config", os.devnull],
            cwd=ROOT,
            capture_output=True,
            env={"PYTHONDONTWRITEBYTECODE": "1"},
        )
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        found.append(after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime)
    return min(found)


Row = tuple[str, Cost, float]  # what is done, what it takes, how often in a second


async def measure_requests(bench: Bench, heartbeats_per_s: float) -> list[Row]:
    """The costs of requests, on the side of the controllers."""
    rare, often = heartbeats_per_s * ENDED_PART, heartbeats_per_s * (1.0 - ENDED_PART)
    leader, follower = bench.endpoints[0], bench.endpoints[2]
    probes: list[HttpRequest] = [("GET", wire_names.READY_PATH, None)] * REQUESTS
    return [
        ("heartbeat, nothing new", await bench.of_heartbeats(3, 0), often),
        ("heartbeat, nothing new, again", await bench.of_heartbeats(4, 0), 0.0),
        ("heartbeat with a task's end", await bench.of_heartbeats(5, 1), rare),
        ("poll at the leader", await bench.of_polls(leader), POLLS_PER_S),
        ("poll at a follower (both)", await bench.of_polls(follower), POLLS_PER_S),
        ("submission", await bench.of_submissions(), SUBMISSIONS_PER_S),
        ("health check", await bench.of_requests(leader, probes, 200), PROBES_PER_S),
        ("call to a peer (both)", await bench.of_peer_calls(), CALLS_PER_S),
    ]


def measure_loops(bench: Bench) -> list[Row]:
    """The costs of what the leader does by itself."""
    now, term = bench.leader.now, bench.term
    log = logging.getLogger("salthead.profile")

    def plan_fleet() -> None:
        fleet_plan.plan(bench.ledger, now(), fleet_plan.CapacityBackoff(), {})

    def write_lines() -> None:
        for n in range(REQUESTS):
            log.info("machine %s up", n)

    return [
        (
            "pass of placement",
            bench.of_work(lambda: term.scheduling_loop.run_pass(now())),
            PASSES_PER_S,
        ),
        (
            "sweep over the machines",
            bench.of_work(lambda: term.scheduling_loop.sweep(now())),
            SWEEPS_PER_S,
        ),
        ("plan of the fleet", bench.of_work(plan_fleet), PLANS_PER_S),
        (
            "account of the cost",
            bench.of_work(lambda: term.fleet_metrics.account_cpu_time(now())),
            ACCOUNTS_PER_S,
        ),
        ("log line", bench.of_work(write_lines, REQUESTS), LOG_LINES_PER_S),
        ("job of a burst, placed", bench.of_burst(), 0.0),
        ("machine at a failover", bench.of_failover(), 0.0),
        ("machine that returns from a cut", bench.of_return(), 0.0),
    ]


async def measure(machines: int, heartbeat_interval_s: float, seconds: bool) -> list[Row]:
    """All costs at one size of the fleet, with how often each occurs."""
    bench = Bench(machines, seconds)
    requests = await measure_requests(bench, machines / heartbeat_interval_s)
    return [*requests, *measure_loops(bench)]


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--machines", type=int, default=570)
    parser.add_argument("--report-s", dest="heartbeat_interval_s", type=float, default=3.0)
    parser.add_argument(
        "--seconds",
        action="store_true",
        help="processor time instead of calls; differs from run to run",
    )
    words = parser.parse_args()
    with open(os.devnull, "w") as nowhere:
        logging.basicConfig(stream=nowhere, level=logging.INFO)
        table = asyncio.run(measure(words.machines, words.heartbeat_interval_s, words.seconds))
    unit = "microseconds" if words.seconds else "calls"
    print(f"{words.machines} machines, a heartbeat every {words.heartbeat_interval_s:g} s")
    print(f"{'what':34} {unit:>12} {'a second':>9} {unit + ' a second':>22}")
    for what, cost, rate in table:
        one = cost.seconds * 1e6 if words.seconds else cost.calls
        print(f"{what:34} {one:12.1f} {rate:9.1f} {one * rate:22.0f}")
    if words.seconds:
        print(f"a start (imports, to the settings): {start_seconds():.3f} s")


if __name__ == "__main__":
    main()
