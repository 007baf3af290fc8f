"""Loss and recovery of a zone with workers and a controller, on fake time.

The running tasks are recorded from the workers twenty times a second and before each start.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

import production
from helpers import LIMITS, spec
from salthead import metrics
from salthead.policy import NO_POLICY, Policy
from salthead.protocol.messages import Submission
from salthead.zones.state import ZonePhase
from standins import run
from test_zones import zone_policy
from zone_world import ZoneWorld

POLICY = Policy(zone_recovery=zone_policy())


class ZoneDay(ZoneWorld):
    """A world with three controllers, one of them in the south."""

    def __init__(self, seed: int, policy: Policy = POLICY, most: int = 10, **more: Any) -> None:
        super().__init__(seed=seed, areas={"n2": "south"}, policy=policy, **more)
        self.watch_zones(most)
        self.phases: list[tuple[float, str]] = []  # of the south, as leaders saw it

    def snapshot(self) -> None:
        """Record the running tasks and each change of the leader's zone phase of the south."""
        super().snapshot()
        phase = self.south()
        if phase and (not self.phases or self.phases[-1][1] != phase):
            self.phases.append((self.now(), phase))

    def recovery(self) -> Any:
        leader = self.leader()
        loop = getattr(leader.term, "zone_loop", None) if leader is not None else None
        return loop.recovery if loop is not None else None

    def south(self) -> str:
        """Return the leader's zone phase of the south, or an empty string without a leader."""
        found = self.recovery()
        return "" if found is None else str(found.states[1].phase)

    async def lose(self, zone: str, dead: bool) -> None:
        """Kill or cut off the machines of a zone, and crash its controller."""
        self.lose_machines(zone, dead)
        if zone == "south":
            await self.crash("n2")

    def bring_back(self, zone: str, most: int = 10) -> None:
        """Bring the machines of a zone back and make new ones available, with its controller."""
        self.return_machines(zone, most)
        if zone == "south" and self.controllers["n2"] is None:
            self.boot("n2")

    async def until(self, phase: ZonePhase, most_s: float = 120.0) -> None:
        """Wait until the south is in a phase; SUSPECTED is also met by LOST."""
        end = self.now() + most_s
        wanted = {phase, ZonePhase.LOST} if phase is ZonePhase.SUSPECTED else {phase}
        while self.now() < end:
            if self.south() in wanted:
                return
            await asyncio.sleep(0.1)
        raise AssertionError(f"the south was never {phase}: {self.phases}")


def array(job_id: str, **changes: Any) -> Submission:
    return spec(
        job_id, **({"task_count": 24, "estimated_run_s": 40.0, "urgency": "idle"} | changes)
    )


def gang(job_id: str, **changes: Any) -> Submission:
    usual = {
        "task_count": 3,
        "shape": "gang",
        "vcpus": 6.0,
        "estimated_run_s": 60.0,
        "single_zone": True,
        "machine_types": ["small"],
    }
    return spec(job_id, **(usual | changes))


JOBS = [
    array("req-1", zone="south", task_count=12),
    gang("req-2", zone=None),
    spec("req-3", team="red", task_count=4, vcpus=2.0, estimated_run_s=70.0),
    array("req-4", machine_types=["small"]),
    gang("req-5", task_count=4, vcpus=5.0, single_zone=False, spread_zones=True),
    gang("req-6", task_count=2),
]


async def dead(world: ZoneDay) -> None:
    await world.lose("south", dead=True)
    await asyncio.sleep(40.0)
    world.bring_back("south")


async def cut(world: ZoneDay) -> None:
    await world.lose("south", dead=False)
    await world.until(ZonePhase.LOST)
    await asyncio.sleep(6.0)
    world.bring_back("south")


async def flapping(world: ZoneDay) -> None:
    """Return the zone and lose it again, twice within minutes."""
    for pause in (6.0, 14.0):
        await world.lose("south", dead=False)
        await asyncio.sleep(16.0)
        world.bring_back("south")
        await asyncio.sleep(pause)
    await world.lose("south", dead=False)
    await asyncio.sleep(20.0)
    world.bring_back("south")


async def gone_again_in_each_step(world: ZoneDay) -> None:
    for step in (0, 1):
        await world.lose("south", dead=False)
        await world.until(ZonePhase.LOST)
        world.bring_back("south")
        await world.until(ZonePhase.RECOVERING)
        while world.south() == ZonePhase.RECOVERING and world.recovery().admission.step(1) < step:
            await asyncio.sleep(0.2)
    await world.lose("south", dead=False)
    await asyncio.sleep(18.0)
    world.bring_back("south")


async def leader_changes(world: ZoneDay) -> None:
    """Crash a leader in each phase once the phase is durable; the next leader continues it."""
    await world.lose("south", dead=False)
    for phase in (ZonePhase.SUSPECTED, ZonePhase.LOST, ZonePhase.RECOVERING):
        if phase is ZonePhase.RECOVERING:
            world.bring_back("south")
        await world.until(phase)
        await asyncio.sleep(2.0)
        leader = world.leader()
        assert leader is not None
        await world.crash(leader.settings.member)
        await asyncio.sleep(1.0)
        world.boot(leader.settings.member)
        await asyncio.sleep(2.0)


async def leader_ends_at_once(world: ZoneDay) -> None:
    """Crash the leader when it detects a change of phase, before the change is durable."""
    await world.lose("south", dead=False)
    await world.until(ZonePhase.LOST)
    leader = world.leader()
    assert leader is not None
    await world.crash(leader.settings.member)
    world.bring_back("south")
    world.boot(leader.settings.member)
    await asyncio.sleep(20.0)


async def state_outage(world: ZoneDay) -> None:
    await world.lose("south", dead=False)
    await world.until(ZonePhase.LOST)
    world.state.down = True
    await asyncio.sleep(8.0)
    world.bring_back("south")
    await asyncio.sleep(8.0)
    world.state.recover()


async def one_way(world: ZoneDay) -> None:
    """Drop answers to the zone's heartbeats, then its heartbeats but not the commands to it."""
    for name in ("deaf", "mute"):
        for worker in world.in_zone("south"):
            setattr(worker, name, True)
        await asyncio.sleep(20.0)
        for worker in world.in_zone("south"):
            setattr(worker, name, False)
        await asyncio.sleep(15.0)


async def cancelled_in_each_phase(world: ZoneDay) -> None:
    await world.lose("south", dead=False)
    for phase, job_id in (
        (ZonePhase.SUSPECTED, "req-2"),
        (ZonePhase.LOST, "req-5"),
        (ZonePhase.RECOVERING, "req-4"),
    ):
        if phase is ZonePhase.RECOVERING:
            world.bring_back("south")
        await world.until(phase)
        await world.cancel(job_id)


async def two_zones_in_turn(world: ZoneDay) -> None:
    await cut(world)
    await asyncio.sleep(5.0)
    await world.lose("north", dead=True)
    await asyncio.sleep(25.0)
    world.bring_back("north")


async def cold(world: ZoneDay) -> None:
    """Make all machines of the returning zone slow to start tasks."""
    world.fetch_s = lambda worker: 9.0 if worker.zone == "south" else 0.5
    await cut(world)


Fault = Callable[[ZoneDay], Awaitable[None]]
FAULTS: list[Fault] = [
    dead,
    cut,
    flapping,
    gone_again_in_each_step,
    leader_changes,
    leader_ends_at_once,
    state_outage,
    one_way,
    cancelled_in_each_phase,
    two_zones_in_turn,
    cold,
]


async def run_with_fault(world: ZoneDay, fault: Fault) -> ZoneDay:
    await asyncio.sleep(2.0)
    for one in JOBS:
        assert await world.submit(one) in (200, 201)
    await asyncio.sleep(22.0)
    assert any(zone == "south" for _, _, zone in world.history.placements)
    await fault(world)
    world.faults_end_at = world.now()
    late = [array("req-7", task_count=8), gang("req-8", task_count=2)]
    for one in late:
        assert await world.submit(one) in (200, 201)
    await world.poll_until_terminal()
    await asyncio.sleep(30.0)
    assert not world.on_machines()
    return world


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("seed", [1, 2])
def test_a_zone_is_lost_and_returns(fault: Fault, seed: int) -> None:
    async def scenario() -> ZoneDay:
        return await run_with_fault(ZoneDay(seed), fault)

    world = run(scenario)
    assert world.broken == [] and world.history.broken == []
    assert len(world.history.placements) >= 40


@pytest.mark.parametrize("seed", [1, 2])
def test_a_mix_with_the_version_in_production(seed: int) -> None:
    """A leader of the production version loses the state of zones, and nothing else."""

    async def mixed() -> ZoneDay:
        world = ZoneDay(seed, version=production.production())
        world.version = production.THIS
        for name in ("n0", "n1"):
            await world.crash(name)
            world.boot(name)
        return await run_with_fault(world, rolled)

    async def rolled(world: ZoneDay) -> None:
        await world.lose("south", dead=False)
        for version in (production.production(), production.THIS):
            await asyncio.sleep(8.0)
            leader = world.leader()
            assert leader is not None
            world.version = version
            await world.crash(leader.settings.member)
            world.boot(leader.settings.member)
        await asyncio.sleep(8.0)
        world.bring_back("south")

    world = run(mixed)
    assert world.broken == [] and world.history.broken == []


def test_a_gang_larger_than_what_is_left_waits_for_the_zone() -> None:
    async def scenario() -> tuple[ZoneDay, bool]:
        world = ZoneDay(3, most=6)
        await asyncio.sleep(2.0)
        large = gang("req-1", task_count=8, vcpus=6.0, single_zone=False)
        assert await world.submit(large) == 201
        await asyncio.sleep(20.0)
        await world.lose("south", dead=True)
        await asyncio.sleep(60.0)
        waits = not world.on_machines()
        world.bring_back("south", most=6)
        await world.poll_until_terminal()
        return world, waits

    world, waits = run(scenario)
    assert waits and world.broken == [] and world.history.broken == []


@pytest.mark.parametrize("policy", [NO_POLICY, POLICY], ids=["off", "on"])
def test_guarantees_come_first_then_gangs_then_arrays(policy: Policy) -> None:
    """After a loss, with little capacity elsewhere and the array as the oldest job."""
    jobs = [
        array("req-1", urgency="normal", task_count=40, vcpus=1.0, machine_types=["small"]),
        gang("req-2", task_count=3, vcpus=7.0),
        spec("req-3", team="red", vcpus=4.0, estimated_run_s=90.0, machine_types=["small"]),
    ]

    async def scenario() -> dict[str, list[float]]:
        world = ZoneDay(1, policy=policy)
        world.max_machines_in_zone["north"] = 0
        await asyncio.sleep(2.0)
        for one in jobs:
            await world.submit(one)
            await asyncio.sleep(8.0)
        await asyncio.sleep(10.0)
        assert {task_id.rpartition("/")[0] for _, task_id in world.on_machines()} == {
            one.job_id for one in jobs
        }
        lost_at = world.now()
        await world.lose("south", dead=True)
        world.max_machines_in_zone["north"] = 5
        await asyncio.sleep(45.0)
        assert world.broken == [] and world.history.broken == []
        return {
            one.job_id: [
                at
                for at, job_id, _ in world.history.placements
                if at >= lost_at and job_id == one.job_id
            ]
            for one in jobs
        }

    times = run(scenario)
    guaranteed, whole_gang, some_array = times["req-3"], times["req-2"], times["req-1"]
    assert len(guaranteed) == 2 and max(guaranteed) <= min(some_array) + 0.1
    if policy is POLICY:
        assert len(whole_gang) == 3 and max(guaranteed) <= min(whole_gang) + 0.1
        assert max(whole_gang) - min(whole_gang) <= 2.0 * LIMITS["workers"]["report_s"]
        # Capacity that the gang does not need goes to the array at once.
        assert len(some_array) == 8 + 3
    else:
        assert not whole_gang, "the array takes each machine as it comes up"


@pytest.mark.parametrize("policy", [NO_POLICY, POLICY], ids=["off", "on"])
def test_a_return_is_gradual_only_where_the_policy_says_so(policy: Policy) -> None:
    """Count the starts in a zone in the first seconds after its return."""

    async def scenario() -> int:
        world = ZoneDay(2, policy=policy, most=4)
        await asyncio.sleep(2.0)
        await world.submit(
            array("req-1", task_count=200, vcpus=2.0, estimated_run_s=30.0, machine_types=["small"])
        )
        await asyncio.sleep(25.0)
        await world.lose("south", dead=False)
        await asyncio.sleep(20.0)
        world.bring_back("south")
        back = world.now()
        await asyncio.sleep(12.0)
        assert world.broken == [] and world.history.broken == []
        return sum(zone == "south" for at, _, zone in world.history.placements if at >= back)

    started = run(scenario)
    assert (0 < started <= 8) if policy is POLICY else (started >= 12)


def test_metrics_of_zones_end_with_the_term() -> None:
    async def scenario() -> tuple[bytes, bytes]:
        world = ZoneDay(1, controllers=1)
        await asyncio.sleep(12.0)
        leads = metrics.exposition()
        await world.crash("n0")
        return leads, metrics.exposition()

    leads, ended = run(scenario)
    assert b'salthead_zone{state="available",zone="south"} 1.0' in leads
    assert b"salthead_zone{" not in ended
