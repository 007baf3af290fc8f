"""Profile the cost of each operation of a controller, and its load per second.

    python3 tools/profile_costs.py [--machines 570] [--report-s 3] [--seconds]

A leader with a fully used fleet and a follower run in this process on loopback; requests come from
another thread, which is not measured. Each line shows the number of Python function calls of one
operation and how often it occurs per second. Calls are counted because their number hardly differs
between runs. ``--seconds`` measures processor time instead, which does differ, and also that of a
start.
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
from salthead.leases.unloaded_renewals import NO_TERM  # noqa: E402
from salthead.protocol import wire_names  # noqa: E402
from salthead.protocol.messages import Heartbeat, encode  # noqa: E402
from salthead.scheduling import scheduling_pass  # noqa: E402
from salthead.state_store.held_lease import HeldLease  # noqa: E402

FENCING_TOKEN = 7
REVISION = 1_000_000  # returned for every transaction of the profiled term
LEASE_S = 1e9  # never expires, because no state service renews the lease of the profiled term
REQUESTS = 200  # number of requests of each kind over which the cost is averaged
QUEUED_JOBS = 40
BURST_JOBS, BURST_TASKS = 100, 60
# Rates of operations that do not depend on the number of machines.
POLLS_PER_S, SUBMISSIONS_PER_S, PROBES_PER_S = 8.0, 1.0, 3.0
PEER_CALLS_PER_S, LOG_LINES_PER_S = 4.0, 10.0
PASSES_PER_S, SWEEPS_PER_S, FLEET_PLANS_PER_S, COST_UPDATES_PER_S = 4.0, 2.0, 1.0, 0.5
TASK_END_SHARE = 0.1  # share of heartbeats that report the end of a task

HttpRequest = tuple[str, str, bytes | None]


class Meter:
    """Measures the Python function calls and the processor time of the current thread."""

    def __init__(self, with_calls: bool) -> None:
        self.with_calls = with_calls
        self.calls = 0
        self.seconds = 0.0

    def _count_call(self, frame: Any, event: str, argument: Any) -> None:
        self.calls += event == "call"

    def __enter__(self) -> Meter:
        self.started_at = time.thread_time()
        if self.with_calls:
            sys.setprofile(self._count_call)
        return self

    def __exit__(self, *_: object) -> None:
        sys.setprofile(None)
        self.seconds = time.thread_time() - self.started_at


@dataclass(frozen=True)
class Cost:
    """Function calls and processor time of one operation."""

    calls: float
    seconds: float


class FakeStateStore:
    """Minimal fake of the state service's client that commits every transaction at once."""

    last_response_at = float("inf")

    async def get(self, key: str, **_: Any) -> None:
        """Return None: there are no records."""

    async def transaction(self, *_: Any, **__: Any) -> int:
        """Return a revision later than that of the transaction that acquired the lead."""
        return REVISION


class RequestThread(threading.Thread):
    """Sends requests sequentially over one connection."""

    def __init__(
        self, endpoint: str, requests: list[HttpRequest], done: Callable[[], None]
    ) -> None:
        super().__init__(daemon=True)
        self.endpoint, self.requests, self.done = endpoint, requests, done
        self.statuses: set[int] = set()

    def run(self) -> None:
        """Send the requests and collect the HTTP statuses."""
        connection = http.client.HTTPConnection(self.endpoint)
        for method, path, body in self.requests:
            connection.request(method, path, body)
            answer = connection.getresponse()
            answer.read()
            self.statuses.add(answer.status)
        self.done()


def free_endpoint() -> str:
    """Return an unused address on loopback."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def fill_ledger(ledger: Ledger, machines: int, now: float) -> None:
    """Allocate the whole fleet, queue pending jobs, and confirm all tasks by heartbeats."""
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
        handle_heartbeat(ledger, bound_tasks_heartbeat(ledger, name, 2), now)


def bound_tasks_heartbeat(
    ledger: Ledger,
    name: str,
    sequence: int,
    ended: int = 0,
    fencing_token: int = FENCING_TOKEN,
    incarnation: int = 1,
) -> Heartbeat:
    """Return a heartbeat with a machine's bound tasks, the first ``ended`` of them exited."""
    tasks: list[tuple[Any, ...]] = [
        (b.task_id, b.attempt, "running") for b in ledger.machines[name].bindings.values()
    ]
    tasks[:ended] = [(*task[:2], "exited", "done") for task in tasks[:ended]]
    zone = ledger.zones[ledger.machines[name].zone]
    return heartbeat(
        name, sequence, *tasks, fencing_token=fencing_token, incarnation=incarnation, zone=zone
    )


class Bench:
    """A leader and a follower on loopback, and the cost measurements on them."""

    def __init__(self, machines: int, seconds: bool) -> None:
        self.machines, self.with_seconds = machines, seconds
        self.endpoints = [free_endpoint() for _ in range(4)]
        self.leader = self._controller("n0", "n1", self.endpoints[3])
        self.follower = self._controller("n1", "n0", self.endpoints[1])
        self.follower.leader_view.member = "n0"
        lease = HeldLease(self.leader.state_store, 1, 0.0, LEASE_S)
        self.term = Term(self.leader, FENCING_TOKEN, 1, lease, LeaseClock(lease.ttl), NO_TERM)
        self.term.clock.record_renewal(self.leader.now())
        self.ledger = self.term.ledger
        fill_ledger(self.ledger, machines, self.leader.now())
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
        controller.machine_types.update(
            {machine_type.name: machine_type for machine_type in MACHINE_TYPES}
        )
        return controller

    def cost_of_calls(self, work: Callable[[], Any], operations: int = 1) -> Cost:
        """Return the cost of calling ``work``, divided by the number of its operations."""
        with Meter(with_calls=not self.with_seconds) as meter:
            work()
        return Cost(meter.calls / operations, meter.seconds / operations)

    async def cost_of_requests(
        self, endpoint: str, requests: list[HttpRequest], status: int
    ) -> Cost:
        """Return the mean cost of a request to the controllers, without that of the client."""
        all_sent = asyncio.Event()
        loop = asyncio.get_running_loop()

        def done() -> None:
            loop.call_soon_threadsafe(all_sent.set)

        client = RequestThread(endpoint, requests, done)
        with Meter(with_calls=not self.with_seconds) as meter:
            client.start()
            await all_sent.wait()
        assert client.statuses == {status}, client.statuses
        return Cost(meter.calls / len(requests), meter.seconds / len(requests))

    async def cost_of_heartbeats(self, sequence: int, ended: int) -> Cost:
        """Return the cost of a heartbeat that reports ``ended`` exited tasks."""
        requests: list[HttpRequest] = [
            (
                "POST",
                wire_names.HEARTBEAT_PATH,
                encode(bound_tasks_heartbeat(self.ledger, f"m{n}", sequence, ended)),
            )
            for n in range(REQUESTS)
        ]
        return await self.cost_of_requests(self.endpoints[0], requests, 200)

    async def cost_of_polls(self, endpoint: str) -> Cost:
        """Return the cost of a status poll at one controller."""
        requests: list[HttpRequest] = [
            ("GET", f"{wire_names.JOBS_PATH}/req-{n % QUEUED_JOBS}", None) for n in range(REQUESTS)
        ]
        return await self.cost_of_requests(endpoint, requests, 200)

    async def cost_of_submissions(self) -> Cost:
        """Return the cost of the submission of a new job."""
        requests: list[HttpRequest] = [
            (
                "POST",
                wire_names.JOBS_PATH,
                encode(submission_fields(submission(job_id=f"req-{9000 + n}"))),
            )
            for n in range(REQUESTS)
        ]
        return await self.cost_of_requests(self.endpoints[0], requests, 201)

    async def cost_of_peer_calls(self) -> Cost:
        """Return the cost of a call between controllers."""
        peer = self.leader.peers["n1"]
        await peer.call("POST", wire_names.PEER_CONNECTIVITY_PATH)
        with Meter(with_calls=not self.with_seconds) as meter:
            for _ in range(REQUESTS):
                await peer.call("POST", wire_names.PEER_CONNECTIVITY_PATH)
        return Cost(meter.calls / REQUESTS, meter.seconds / REQUESTS)

    def cost_of_burst(self) -> Cost:
        """Return the cost of each job of a burst, including its placement."""
        now = self.leader.now()

        def submit_all() -> None:
            for n in range(BURST_JOBS):
                self.ledger.add_job(
                    submission(job_id=f"req-{5000 + n}", task_count=BURST_TASKS), now, True
                )
            self.term.scheduling_loop.run_pass(now)

        return self.cost_of_calls(submit_all, BURST_JOBS)

    def cost_of_recovery(self) -> Cost:
        """Return the cost of each machine that recovers from a cut longer than its lease.

        Half of the fleet is behind the cut.
        """
        later = self.leader.now() + 10.0 * self.leader.limits.workers.lease_s
        half = [f"m{n}" for n in range(0, self.machines, 2)]
        for name in set(self.ledger.machines) - set(half):
            handle_heartbeat(self.ledger, bound_tasks_heartbeat(self.ledger, name, 50), later)

        def recover() -> None:
            sweep(self.ledger, later)
            for name in half:
                handle_heartbeat(
                    self.ledger, bound_tasks_heartbeat(self.ledger, name, 1, incarnation=2), later
                )

        return self.cost_of_calls(recover, len(half))

    def cost_of_failover(self) -> Cost:
        """Return the cost of each machine whose tasks a new leader adopts.

        The new leader has read every job, and receives a heartbeat of every machine.
        """
        now = self.leader.now()
        new_ledger = Ledger(self.leader.limits, FENCING_TOKEN + 1, now)
        new_ledger.set_machine_types(MACHINE_TYPES)
        heartbeats = [
            bound_tasks_heartbeat(self.ledger, name, 60, fencing_token=FENCING_TOKEN + 1)
            for name in self.ledger.machines
        ]
        specs = [job.spec for job in self.ledger.jobs.values()]

        def fail_over() -> None:
            for spec in specs:
                new_ledger.add_job(spec, now)
            for message in heartbeats:
                new_ledger.add_machine(
                    message.worker, message.machine_type, message.zone, False, now, registered=True
                )
            new_ledger.loaded = True
            for message in heartbeats:
                handle_heartbeat(new_ledger, message, now, direct=True)
            sweep(new_ledger, now)

        return self.cost_of_calls(fail_over, len(heartbeats))


def start_seconds() -> float:
    """Return the least processor time of five starts, which end after the imports."""
    durations = []
    for _ in range(5):
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        subprocess.run(
            [sys.executable, "-S", "run.py", "--config", os.devnull],
            cwd=ROOT,
            capture_output=True,
            env={"PYTHONDONTWRITEBYTECODE": "1"},
        )
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        durations.append(after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime)
    return min(durations)


Row = tuple[str, Cost, float]  # operation, its cost, its rate per second


async def measure_requests(bench: Bench, heartbeats_per_s: float) -> list[Row]:
    """Measure the cost of requests to the controllers."""
    with_end_per_s, unchanged_per_s = (
        heartbeats_per_s * TASK_END_SHARE,
        heartbeats_per_s * (1.0 - TASK_END_SHARE),
    )
    leader, follower = bench.endpoints[0], bench.endpoints[2]
    probes: list[HttpRequest] = [("GET", wire_names.READY_PATH, None)] * REQUESTS
    return [
        ("unchanged heartbeat", await bench.cost_of_heartbeats(3, 0), unchanged_per_s),
        ("unchanged heartbeat, repeated", await bench.cost_of_heartbeats(4, 0), 0.0),
        ("heartbeat with the end of a task", await bench.cost_of_heartbeats(5, 1), with_end_per_s),
        ("poll at the leader", await bench.cost_of_polls(leader), POLLS_PER_S),
        ("poll at a follower (both sides)", await bench.cost_of_polls(follower), POLLS_PER_S),
        ("submission", await bench.cost_of_submissions(), SUBMISSIONS_PER_S),
        ("health check", await bench.cost_of_requests(leader, probes, 200), PROBES_PER_S),
        ("peer call (both sides)", await bench.cost_of_peer_calls(), PEER_CALLS_PER_S),
    ]


def measure_loops(bench: Bench) -> list[Row]:
    """Measure the cost of the leader's periodic work and of rare events."""
    now, term = bench.leader.now, bench.term
    log = logging.getLogger("salthead.profile")

    def plan_fleet() -> None:
        fleet_plan.plan(bench.ledger, now(), fleet_plan.CapacityBackoff(), {})

    def write_log_lines() -> None:
        for n in range(REQUESTS):
            log.info("machine %s up", n)

    return [
        (
            "scheduling pass",
            bench.cost_of_calls(lambda: term.scheduling_loop.run_pass(now())),
            PASSES_PER_S,
        ),
        (
            "sweep of the machines",
            bench.cost_of_calls(lambda: term.scheduling_loop.sweep(now())),
            SWEEPS_PER_S,
        ),
        ("fleet plan", bench.cost_of_calls(plan_fleet), FLEET_PLANS_PER_S),
        (
            "update of the cost metrics",
            bench.cost_of_calls(lambda: term.fleet_metrics.account_cpu_time(now())),
            COST_UPDATES_PER_S,
        ),
        ("log line", bench.cost_of_calls(write_log_lines, REQUESTS), LOG_LINES_PER_S),
        ("job of a burst, with its placement", bench.cost_of_burst(), 0.0),
        ("machine in a failover", bench.cost_of_failover(), 0.0),
        ("machine that recovers from a cut", bench.cost_of_recovery(), 0.0),
    ]


async def measure(machines: int, heartbeat_interval_s: float, seconds: bool) -> list[Row]:
    """Measure all costs and rates for a number of machines."""
    bench = Bench(machines, seconds)
    requests = await measure_requests(bench, machines / heartbeat_interval_s)
    return [*requests, *measure_loops(bench)]


def main() -> None:
    """Print the table of costs."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--machines", type=int, default=570)
    parser.add_argument("--report-s", dest="heartbeat_interval_s", type=float, default=3.0)
    parser.add_argument(
        "--seconds",
        action="store_true",
        help="measure processor time instead of calls; differs from run to run",
    )
    options = parser.parse_args()
    with open(os.devnull, "w") as null_device:
        logging.basicConfig(stream=null_device, level=logging.INFO)
        table = asyncio.run(
            measure(options.machines, options.heartbeat_interval_s, options.seconds)
        )
    unit = "microseconds" if options.seconds else "calls"
    print(f"{options.machines} machines, a heartbeat every {options.heartbeat_interval_s:g} s")
    print(f"{'operation':34} {unit:>12} {'per s':>9} {unit + ' per s':>22}")
    for operation, cost, rate in table:
        amount = cost.seconds * 1e6 if options.seconds else cost.calls
        print(f"{operation:34} {amount:12.1f} {rate:9.1f} {amount * rate:22.0f}")
    if options.seconds:
        print(f"start (imports, up to the settings): {start_seconds():.3f} s")


if __name__ == "__main__":
    main()
