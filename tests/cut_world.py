"""A stand-in world in which each direction of each link can be cut, and cases of such cuts.

    python3 tests/cut_world.py [--processes N] [--seed N]

plays all cases of the table and prints their counts; CI plays a seeded part (``test_cuts.py``).
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
MACHINES = 6  # in each zone


class Direction(NamedTuple):
    """Messages that go one way: from a controller, a zone's workers or a service, to another of
    these."""

    source: str
    target: str


class CutWorld(ZoneWorld):
    """Two zones, three controllers, of which one is in the south; any direction can be cut."""

    def __init__(self, seed: int, policy: Policy = CUTS_ON, most: int = MACHINES, **more: Any):
        super().__init__(seed=seed, areas={"n2": "south"}, policy=policy, **more)
        self.answers = AnswerHistory(LIMITS["workers"]["cancel_s"])
        self.watch_zones(most)
        self.drops: set[Direction] = set()
        self.holds: set[Direction] = set()  # delivered at the end, though the sender has given up
        self.healed = asyncio.Event()
        self.seen: Counter[str] = Counter()  # writes, starts and returns that were carried out

    def _end_of_link(self, host: str) -> str:
        """Workers are cut by their zones, all others by themselves."""
        worker = self.cloud.hosts.get(host)
        return host if worker is None else worker.zone

    def heal(self) -> None:
        """All directions work again; what was held arrives."""
        self.drops, self.holds = set(), set()
        self.healed.set()
        self.healed = asyncio.Event()

    async def _pass(self, source: str, target: str) -> None:
        """Let a message go its way: now, at the end of the cut, or never."""
        way = Direction(self._end_of_link(source), self._end_of_link(target))
        if way in self.drops:
            await asyncio.sleep(1e6)
        while way in self.holds:
            await self.healed.wait()

    async def _deliver(self, call: Call, late_s: float) -> Answer:
        await self._pass(call.source, call.target)
        answer = await super()._deliver(call, late_s)
        if call.path == "/txn" and answer.status == 200:
            self.seen["write"] += 1
            self._note_outcomes()
        self.seen["return"] += call.path == "/hosts/return"
        await self._pass(call.target, call.source)
        return answer

    def _note_outcomes(self) -> None:
        for change in self.state.log[-LIMITS["state"]["txn_ops"] :]:
            key = change.get("set", "")
            if key.startswith("over/"):
                self.answers.recorded(self.now(), key[5:], change["value"]["phase"])

    async def deliver_heartbeat(
        self, worker: Worker, controller: int, message: bytes
    ) -> tuple[int, dict[str, Any]]:
        """A heartbeat, in the direction from the worker's zone; and its answer back."""
        name = self.names[controller]
        way = Direction(worker.zone, name)
        if way in self.holds:
            self.in_background(self._deliver_when_healed(worker, name, message))
        if way in self.drops | self.holds:
            await asyncio.sleep(60.0)
        answer = await super().deliver_heartbeat(worker, controller, message)
        await self._pass(name, worker.name)
        return answer

    async def _deliver_when_healed(self, worker: Worker, name: str, message: bytes) -> None:
        await self._pass(worker.name, name)
        await self.deliver_held_heartbeat(worker, name, message)

    def check_phase(self, job_id: str, phase: str, began: float) -> None:
        """What any controller tells any user; the history of answers has it too."""
        super().check_phase(job_id, phase, began)
        self.answers.told(began, self.now(), job_id, phase)

    def snapshot(self) -> None:
        """Show both checkers what is on machines now."""
        super().snapshot()
        self.answers.present(self.now(), {task_id for _, task_id in self.on_machines()})

    def before_start(self, worker: Worker, task_id: str) -> None:
        """A worker is about to start a task."""
        self.seen["start"] += 1
        super().before_start(worker, task_id)

    def found(self) -> list[str]:
        """All that any checker calls broken."""
        return self.broken + self.history.broken + self.answers.broken


# What is cut, by roles at that time; ``peers`` are all other controllers, ``controllers`` all.
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
# Around withheld votes and the leader's lease, a worker's lease, and the time to cancel.
DURATIONS_S = (2.5, 0.6 * WORKERS["lease_s"], 1.7 * WORKERS["lease_s"], 1.2 * WORKERS["cancel_s"])
HEALS = ("at a time", "write", "start", "return")  # or when one of these was just carried out
LEADERS = ("stays", "ends", "back at once", "paused")
HEAL_WAIT_S = 8.0  # for the event by which a cut ends


@dataclass(frozen=True)
class Case:
    """One cut, how it ends, and what happens to the leader meanwhile."""

    cut: str
    lasts_s: float
    heals: str
    leader: str
    hold: bool
    seed: int


def all_cases(seed: int) -> list[Case]:
    """The whole table."""
    found = itertools.product(CUTS, DURATIONS_S, HEALS, LEADERS, (False, True))
    return [Case(*case, seed + n) for n, case in enumerate(found)]


def directions(world: CutWorld, cut: str) -> set[Direction]:
    """The cut's directions between hosts, by who leads now."""
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
LATE = [
    submission("req-7", task_count=6),
    submission("req-8", shape="gang", task_count=2, vcpus=6.0),
]


async def _trouble_leader(world: CutWorld, name: str, what: str) -> None:
    if what == "paused":
        world.paused.add(name)
        await asyncio.sleep(5.0)
        world.paused.discard(name)
    elif what != "stays":
        await world.crash(name)
        await asyncio.sleep(0.3 if what == "back at once" else 6.0)
        world.boot(name)


async def play(case: Case) -> CutWorld:
    """A day with one case."""
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
    await _trouble_leader(world, leader.settings.member, case.leader)
    await asyncio.sleep(max(0.0, ends - world.now()))
    before, most = world.seen[case.heals], world.now() + HEAL_WAIT_S
    while case.heals in HEALS[1:] and world.seen[case.heals] == before and world.now() < most:
        await asyncio.sleep(0.01)
    world.heal()
    world.trouble_until = world.now()
    for job in LATE:
        assert await world.submit(job) in (200, 201)
    await world.poll_until_terminal()
    await cancelling
    await asyncio.sleep(30.0)
    if world.on_machines():
        world.broken.append(f"tasks are left: {world.on_machines()}")
    return world


def outcome(case: Case) -> tuple[Case, list[str]]:
    """What the checkers, or the day itself, found wrong."""
    try:
        return case, run(lambda: play(case)).found()
    except AssertionError as error:
        return case, [f"not over: {error}"]


def main() -> None:
    """Play the whole table."""
    options = argparse.ArgumentParser(description=main.__doc__)
    options.add_argument("--processes", type=int, default=4)
    options.add_argument("--seed", type=int, default=1)
    chosen = options.parse_args()
    cases = all_cases(chosen.seed)
    found: Counter[str] = Counter()
    with multiprocessing.Pool(chosen.processes) as pool:
        for case, broken in pool.imap_unordered(outcome, cases):
            found["cases with something broken"] += bool(broken)
            found["duplicate runs"] += sum(
                "twice" in one or "two attempts" in one for one in broken
            )
            if broken:
                print(case, broken[:3])
    print(f"{len(cases)} cases:", dict(found))


if __name__ == "__main__":
    main()
