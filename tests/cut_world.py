"""Simulated world in which each direction of each link can be cut, and a table of such cuts.

    python3 tests/cut_world.py [--processes N] [--seed N]

runs all cases of the table and prints their counts; CI runs a seeded sample (``test_cuts.py``).
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import multiprocessing
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

if __name__ == "__main__":
    ROOT = Path(__file__).resolve().parent.parent
    sys.path[:0] = [str(ROOT / "target" / "deps"), *(str(ROOT / p) for p in ("src", "tests", ""))]

from builders.platform import LIMITS
from builders.submissions import submission
from history import AnswerHistory
from salthead.policy import PartialCutPolicy, Policy
from salthead.transport.client import Answer
from standins import Worker, run
from standins.network import Call
from zone_world import ZoneWorld

CUTS_ON = Policy(
    partial_cuts=PartialCutPolicy(
        enabled=True, min_machines=3, shared_share=0.15, wait_boots=1.0, handover_factor=1.5
    )
)
MACHINES_PER_ZONE = 6


class Direction(NamedTuple):
    """One direction of a link between controllers, zones of workers, and services."""

    source: str
    target: str


class CutWorld(ZoneWorld):
    """World of two zones and three controllers (one in the south) with cuts of any direction."""

    def __init__(
        self,
        seed: int,
        policy: Policy = CUTS_ON,
        machines_per_zone: int = MACHINES_PER_ZONE,
        **more: Any,
    ):
        super().__init__(seed=seed, areas={"n2": "south"}, policy=policy, **more)
        self.answers = AnswerHistory(LIMITS["workers"]["cancel_s"])
        self.watch_zones(machines_per_zone)
        self.drops: set[Direction] = set()
        # Messages are delivered after the cut, though their senders have timed out.
        self.holds: set[Direction] = set()
        self.healed = asyncio.Event()
        self.event_counts: Counter[str] = Counter()  # executed writes, starts and returns

    def _link_endpoint(self, host: str) -> str:
        """Return the zone of a worker, and any other host itself."""
        worker = self.cloud.hosts.get(host)
        return host if worker is None else worker.zone

    def heal(self) -> None:
        """Restore all directions and release the held messages."""
        self.drops, self.holds = set(), set()
        self.healed.set()
        self.healed = asyncio.Event()

    async def _transmit(self, source: str, target: str) -> None:
        """Delay a message by its direction: not at all, until the end of the cut, or for ever."""
        direction = Direction(self._link_endpoint(source), self._link_endpoint(target))
        if direction in self.drops:
            await asyncio.sleep(1e6)
        while direction in self.holds:
            await self.healed.wait()

    async def _deliver(self, call: Call, late_s: float) -> Answer:
        await self._transmit(call.source, call.target)
        answer = await super()._deliver(call, late_s)
        if call.path == "/txn" and answer.status == 200:
            self.event_counts["write"] += 1
            self._record_outcomes()
        self.event_counts["return"] += call.path == "/hosts/return"
        await self._transmit(call.target, call.source)
        return answer

    def _record_outcomes(self) -> None:
        for change in self.state.log[-LIMITS["state"]["txn_ops"] :]:
            key = change.get("set", "")
            if key.startswith("over/"):
                self.answers.record_outcome(self.now(), key[5:], change["value"]["phase"])

    async def deliver_heartbeat(
        self, worker: Worker, controller: int, message: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Send a heartbeat and return its answer, each as the cuts of its direction allow."""
        name = self.names[controller]
        direction = Direction(worker.zone, name)
        if direction in self.holds:
            self.in_background(self._deliver_when_healed(worker, name, message))
        if direction in self.drops | self.holds:
            await asyncio.sleep(60.0)
        answer = await super().deliver_heartbeat(worker, controller, message)
        await self._transmit(name, worker.name)
        return answer

    async def _deliver_when_healed(self, worker: Worker, name: str, message: bytes) -> None:
        await self._transmit(worker.name, name)
        await self.deliver_held_heartbeat(worker, name, message)

    def check_phase(self, job_id: str, phase: str, requested_at: float) -> None:
        """Check an answer to a user, also in the history of answers."""
        super().check_phase(job_id, phase, requested_at)
        self.answers.record_answer(requested_at, self.now(), job_id, phase)

    def snapshot(self) -> None:
        """Pass the tasks that are on machines now to both checkers."""
        super().snapshot()
        self.answers.check_present(self.now(), {task_id for _, task_id in self.on_machines()})

    def before_start(self, worker: Worker, task_id: str) -> None:
        """Check and count a task that a worker is about to start."""
        self.event_counts["start"] += 1
        super().before_start(worker, task_id)

    def violations(self) -> list[str]:
        """Return the violations that any checker has listed."""
        return self.broken + self.history.broken + self.answers.broken


# Cut directions by current role: ``peers`` are all controllers but the leader, ``nodes`` are all.
CUTS: dict[str, list[Direction]] = {
    name: [Direction(*way.split(">")) for way in ways.split()]
    for name, ways in {
        "leader can't ask state": "leader>state",
        "leader hears no state": "state>leader",
        "leader can't ask peers": "leader>peers",
        "leader hears no peers": "peers>leader",
        "follower hears no state": "state>follower",
        "leader hears no south": "south>leader",
        "south hears no leader": "leader>south",
        "south mute": "south>nodes",
        "south deaf": "nodes>south",
        "leader hears no cloud": "cloud>leader",
        "south apart": "south>nodes nodes>south",
        "leader without state and peers": "leader>state state>leader leader>peers peers>leader",
        "leader hears neither state nor south": "state>leader south>leader",
        "leader can't tell state nor south": "leader>state leader>south",
        "south and a peer apart": "leader>south leader>follower south>leader",
        "north deaf, south mute": "nodes>north south>nodes",
    }.items()
}
WORKERS = LIMITS["workers"]
# Near the periods of withheld votes and the leader's lease, a worker's lease, and ``cancel_s``.
DURATIONS_S = (2.5, 0.6 * WORKERS["lease_s"], 1.7 * WORKERS["lease_s"], 1.2 * WORKERS["cancel_s"])
# A cut ends after ``lasts_s``, or right after the next such event from then on.
HEALS = ("at a time", "write", "start", "return")
LEADERS = ("stays", "ends", "back at once", "paused")
HEAL_WAIT_S = 8.0  # longest wait for the event that ends a cut


@dataclass(frozen=True)
class Case:
    """One cut, the event that ends it, and the fault of the leader meanwhile."""

    cut: str
    lasts_s: float
    heals: str
    leader: str
    hold: bool
    seed: int


def all_cases(seed: int) -> list[Case]:
    """Return all cases of the table."""
    combinations = itertools.product(CUTS, DURATIONS_S, HEALS, LEADERS, (False, True))
    return [Case(*case, seed + n) for n, case in enumerate(combinations)]


def directions(world: CutWorld, cut: str) -> set[Direction]:
    """Return the cut's directions between hosts, with the present leader."""
    leader = world.leader()
    assert leader is not None
    name = leader.settings.member
    peers = [other for other in world.names if other != name]
    hosts = {"leader": [name], "follower": peers[:1], "peers": peers, "nodes": world.names}
    return {
        Direction(source, target)
        for way in CUTS[cut]
        for source in hosts.get(way.source, [way.source])
        for target in hosts.get(way.target, [way.target])
    }


JOBS = [
    submission("req-1", urgency="idle", task_count=24, vcpus=2.0, estimated_run_s=30.0),
    submission(
        "req-2", shape="gang", task_count=3, vcpus=6.0, estimated_run_s=50.0, single_zone=True
    ),
    submission("req-3", team="red", task_count=6, vcpus=4.0, estimated_run_s=40.0),
    submission("req-4", shape="gang", task_count=2, vcpus=6.0, estimated_run_s=200.0),
    submission("req-5", task_count=8, vcpus=2.0, estimated_run_s=15.0, zone="south"),
]
LATE_JOBS = [
    submission("req-7", task_count=6),
    submission("req-8", shape="gang", task_count=2, vcpus=6.0),
]


async def _disturb_leader(world: CutWorld, name: str, fault: str) -> None:
    if fault == "paused":
        world.paused.add(name)
        await asyncio.sleep(5.0)
        world.paused.discard(name)
    elif fault != "stays":
        await world.crash(name)
        await asyncio.sleep(0.3 if fault == "back at once" else 6.0)
        world.boot(name)


async def run_case(case: Case) -> CutWorld:
    """Run a workload with one case of a cut."""
    world = CutWorld(case.seed)
    await asyncio.sleep(2.0)
    for job in JOBS:
        assert await world.submit(job) in (200, 201)
    await asyncio.sleep(20.0)
    leader = world.leader()
    assert leader is not None
    ends = world.now() + case.lasts_s
    (world.holds if case.hold else world.drops).update(directions(world, case.cut))
    cancelling = asyncio.create_task(world.cancel("req-4"))
    await asyncio.sleep(1.0)
    await _disturb_leader(world, leader.settings.member, case.leader)
    await asyncio.sleep(max(0.0, ends - world.now()))
    before, latest = world.event_counts[case.heals], world.now() + HEAL_WAIT_S
    while (
        case.heals in HEALS[1:]
        and world.event_counts[case.heals] == before
        and world.now() < latest
    ):
        await asyncio.sleep(0.01)
    world.heal()
    world.faults_end_at = world.now()
    for job in LATE_JOBS:
        assert await world.submit(job) in (200, 201)
    await world.poll_until_terminal()
    await cancelling
    await asyncio.sleep(30.0)
    if world.on_machines():
        world.broken.append(f"tasks are left: {world.on_machines()}")
    return world


def outcome(case: Case) -> tuple[Case, list[str]]:
    """Run a case and return its violations."""
    try:
        return case, run(lambda: run_case(case)).violations()
    except AssertionError as error:
        return case, [f"not over: {error}"]


def main() -> None:
    """Run all cases of the table."""
    options = argparse.ArgumentParser(description=main.__doc__)
    options.add_argument("--processes", type=int, default=4)
    options.add_argument("--seed", type=int, default=1)
    chosen = options.parse_args()
    cases = all_cases(chosen.seed)
    counts: Counter[str] = Counter()
    with multiprocessing.Pool(chosen.processes) as pool:
        for case, broken in pool.imap_unordered(outcome, cases):
            counts["cases with something broken"] += bool(broken)
            counts["duplicate runs"] += sum(
                "twice" in one or "two attempts" in one for one in broken
            )
            if broken:
                print(case, broken[:3])
    print(f"{len(cases)} cases:", dict(counts))


if __name__ == "__main__":
    main()
