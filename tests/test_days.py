"""End-to-end runs on fake time, each with a fault, against stand-ins that check the invariants."""

import asyncio
from itertools import pairwise
from typing import Any

import pytest

from helpers import given, spec
from salthead.errors import UnavailableError
from salthead.protocol.messages import encode
from salthead.transport.client import Answer
from standins import World, run

JOBS = [
    spec("req-1", task_count=10, estimated_run_s=6.0),
    spec("req-2", task_count=3, shape="gang", vcpus=7.0, estimated_run_s=12.0, single_zone=True),
    spec("req-3", team="red", task_count=6, vcpus=6.0, estimated_run_s=8.0, spot=True),
    spec(
        "req-4",
        task_count=4,
        spread_zones=True,
        shape="gang",
        estimated_run_s=9.0,
        urgency="urgent",
    ),
    spec("req-5", team="red", task_count=5, vcpus=5.0, estimated_run_s=7.0, zone="south"),
    spec("req-6", task_count=8, estimated_run_s=30.0, urgency="idle", machine_types=["big"]),
]


async def quiet(world: World) -> None:
    await asyncio.sleep(1.0)


async def leader_crash(world: World) -> None:
    await asyncio.sleep(20.0)
    name = next(
        n
        for n, controller in world.controllers.items()
        if controller is not None and controller.leading()
    )
    await world.crash(name)
    await asyncio.sleep(3.0)
    world.boot(name)


async def quick_restart(world: World) -> None:
    """Restart the leader within a fraction of a second, four times."""
    for _ in range(4):
        await asyncio.sleep(9.0)
        for name, controller in list(world.controllers.items()):
            if controller is not None and controller.leading():
                await world.crash(name)
                await asyncio.sleep(0.1)
                world.boot(name)


async def all_crash(world: World) -> None:
    await asyncio.sleep(18.0)
    for name in world.names:
        await world.crash(name)
    await asyncio.sleep(5.0)
    for name in world.names:
        world.boot(name)


async def state_outage(world: World) -> None:
    await asyncio.sleep(15.0)
    world.state.down = True
    await asyncio.sleep(25.0)
    world.state.recover()


async def outage_and_crash(world: World) -> None:
    await asyncio.sleep(15.0)
    world.state.down = True
    await asyncio.sleep(8.0)
    await all_crash(world)
    await asyncio.sleep(4.0)
    world.state.recover()


async def refused_alone(world: World) -> None:
    """Cut only the leader off the state service: another controller has to lead."""
    await asyncio.sleep(15.0)
    leader = world.leader()
    assert leader is not None
    name = leader.settings.member
    world.cuts.add((name, "state"))
    await asyncio.sleep(25.0)
    other = world.leader()
    assert other is not None and other is not leader
    world.cuts.clear()


async def cut_from_workers(world: World) -> None:
    """Cut the leader off its workers: another one has to lead before their leases expire."""
    await asyncio.sleep(15.0)
    leader = world.leader()
    assert leader is not None
    world.cuts.add((leader.settings.member, "workers"))
    await asyncio.sleep(11.0)
    other = world.leader()
    assert other is not None and other is not leader
    await asyncio.sleep(20.0)
    world.cuts.clear()


async def hang(world: World) -> None:
    """Hang machines and resume them, some after their lease has expired."""
    await asyncio.sleep(14.0)
    workers = [w for w in world.cloud.hosts.values() if w.tasks][:3]
    for worker in workers:
        worker.hung = True
    await leader_crash(world)
    for worker in workers:
        await asyncio.sleep(4.0)
        worker.hung = False


async def one_way(world: World) -> None:
    """Drop answers and commands to machines whose heartbeats arrive; some of them recover."""
    await asyncio.sleep(8.0)
    workers = [w for w in world.cloud.hosts.values() if w.up or w.tasks][:3]
    for worker in workers:
        worker.deaf = True
    await asyncio.sleep(9.0)
    await leader_crash(world)
    workers[0].deaf = False
    await asyncio.sleep(25.0)
    for worker in workers:
        worker.deaf = False


async def late_copies(world: World) -> None:
    """Deliver duplicate heartbeats seconds to over a lease late.

    They overlap new incarnations, terminations of machines and changes of the leader.
    """
    world.copies = 0.5
    await asyncio.sleep(14.0)
    for worker in [w for w in world.cloud.hosts.values() if w.tasks][:2]:
        worker.hung = True
    await leader_crash(world)
    await asyncio.sleep(9.0)
    for worker in world.cloud.hosts.values():
        worker.hung = False
    await quick_restart(world)
    world.copies = 0.0


async def cut_off(world: World) -> None:
    """Cut the leader, and later a follower, off the state service and its peers.

    Their links to the workers stay up.
    """
    for lead in (True, False):
        await asyncio.sleep(12.0)
        controller = next(
            n for n in world.controllers.values() if n is not None and bool(n.leading()) == lead
        )
        name = controller.settings.member
        others = [other for other in world.names if other != name]
        world.cuts |= {(name, "state"), *((name, o) for o in others), *((o, name) for o in others)}
        await asyncio.sleep(22.0)
        assert controller.leading() is None and not controller.ready()
        with pytest.raises(UnavailableError):
            controller.heartbeats.redirect("somebody")  # it names no leader
        assert world.leader() is not None
        world.cuts.clear()
        await asyncio.sleep(6.0)
        assert controller.ready()


async def back_at_once(world: World) -> None:
    """Restart processes at once while a leader is elected and votes are withheld for it."""
    await asyncio.sleep(15.0)
    for _ in range(3):
        leader = world.leader()
        if leader is not None:
            await world.crash(leader.settings.member)
        for name in world.names * 2:
            await asyncio.sleep(world.rng.uniform(0.0, 0.4))
            await world.crash(name)
            await asyncio.sleep(world.rng.uniform(0.0, 0.2))
            world.boot(name)
        await asyncio.sleep(5.0)
    world.state.down = True
    await asyncio.sleep(6.0)
    for name in world.names:
        await world.crash(name)
        await asyncio.sleep(0.1)
        world.boot(name)
        await asyncio.sleep(2.0)
    world.state.recover()


async def lost_and_late(world: World) -> None:
    """Lose answers, and execute transactions, provisioning and direct commands late."""
    world.lost_answer_share = 0.1
    world.extra_latency_s = lambda source, path: (
        world.rng.choice((0.0, 0.0, 0.0, 8.0)) if path in ("/txn", "/hosts", "/do") else 0.0
    )
    await quick_restart(world)
    world.lost_answer_share = 0.0
    world.extra_latency_s = lambda source, path: 0.0


async def cloud_outage(world: World) -> None:
    """Restart controllers while the cloud is down: they load machine types from the store."""
    await asyncio.sleep(6.0)
    world.cloud.down = True
    for name in world.names:
        await world.crash(name)
        world.boot(name)
    await asyncio.sleep(4.0)
    assert all(
        controller is not None and controller.machine_types
        for controller in world.controllers.values()
    )
    await asyncio.sleep(26.0)
    world.cloud.down = False


async def frozen(world: World) -> None:
    """Pause the leader for longer than its lease while its clocks run on, twice."""
    for pause in (14.0, 30.0):
        await asyncio.sleep(12.0)
        leader = world.leader()
        assert leader is not None
        name = leader.settings.member
        world.paused.add(name)
        await asyncio.sleep(pause)
        assert leader.leading() is None, "its lease has expired, whatever its own state"
        world.paused.clear()
        await asyncio.sleep(0.0)
        assert leader.leading() is None
        await asyncio.sleep(4.0)
        assert world.leader() is not None


async def many_cut(world: World) -> None:
    """Cut off half of the machines, restart the leader, and reconnect them all at once."""
    await asyncio.sleep(16.0)
    for back in (9.0, 22.0):
        gone = list(world.cloud.hosts.values())[::2]
        for worker in gone:
            worker.cut = True
        await asyncio.sleep(2.0)
        leader = world.leader()
        assert leader is not None
        await world.crash(leader.settings.member)
        await asyncio.sleep(0.2)
        world.boot(leader.settings.member)
        await asyncio.sleep(back)
        for worker in gone:
            worker.cut = False
        await asyncio.sleep(10.0)


async def zones_apart(world: World) -> None:
    """Partition the zones repeatedly, while leaders and zone lease delegates change."""
    world.areas["n1"] = "south"
    await world.crash("n1")
    world.boot("n1")
    for _ in range(3):
        await asyncio.sleep(7.0)
        world.zones_partitioned = True
        await asyncio.sleep(world.rng.uniform(8.0, 26.0))
        leader = world.leader()
        if leader is not None:
            await world.crash(leader.settings.member)
            await asyncio.sleep(world.rng.uniform(0.1, 3.0))
            world.boot(leader.settings.member)
        await asyncio.sleep(world.rng.uniform(0.0, 9.0))
        world.zones_partitioned = False


@pytest.mark.parametrize(
    "fault",
    [
        quiet,
        leader_crash,
        quick_restart,
        all_crash,
        state_outage,
        outage_and_crash,
        refused_alone,
        cut_from_workers,
        hang,
        lost_and_late,
        cloud_outage,
        one_way,
        late_copies,
        cut_off,
        back_at_once,
        frozen,
        many_cut,
        zones_apart,
    ],
    ids=lambda fault: fault.__name__,
)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_day_keeps_the_rules_and_ends(fault, seed: int) -> None:
    async def scenario() -> World:
        world = World(seed=seed)
        fault_task = asyncio.create_task(fault(world))
        for job in JOBS:
            assert await world.submit(job) in (200, 201)
            await asyncio.sleep(1.0)
        assert await world.submit(JOBS[0]) == 200, "a repeat is answered as known"
        await asyncio.sleep(12.0)
        assert await world.cancel("req-6") in ("aborted", "done")
        await fault_task
        world.faults_end_at = world.now()
        await world.poll_until_terminal()
        assert await world.poll("req-999") is None
        assert await world.submit(JOBS[5]) == 200
        await asyncio.sleep(60.0)
        assert not world.on_machines()
        return world

    world = run(scenario)
    assert world.broken == []
    assert world.starts >= 28


@pytest.mark.parametrize("ticks", range(6))
def test_a_term_ends_whenever_it_is_told_to(ticks: int) -> None:
    # A loop that was cancelled in the moment in which its event was set swallowed the cancellation
    # and went on.
    async def scenario() -> bool:
        world = World(seed=5, controllers=1)
        await asyncio.sleep(5.0)
        leader = world.leader()
        assert leader is not None and leader.term is not None
        loop = asyncio.create_task(leader.term.scheduling_loop.loop())
        await asyncio.sleep(1.15)  # it waits for its event
        for _ in range(40):
            leader.term.scheduling_loop.pass_requested.set()
            for _ in range(ticks):
                await asyncio.sleep(0)
            loop.cancel()
            await asyncio.sleep(1.0)
            if not loop.done():
                return False
            loop = asyncio.create_task(leader.term.scheduling_loop.loop())
            await asyncio.sleep(0.05 + 0.01 * _)
        return True

    assert run(scenario)


def test_a_node_that_lost_the_lead_can_lead_again() -> None:
    # If a loop of an ended term swallows its cancellation, its controller never campaigns again,
    # and after three such terms no controller does.
    async def scenario() -> list[str]:
        world = World(seed=5)
        for n in range(12):
            await world.submit(spec(f"req-{n}", task_count=8, estimated_run_s=5.0))
        led = []
        for _ in range(9):
            await asyncio.sleep(8.0)
            leader = world.leader()
            assert leader is not None, led
            led.append(leader.settings.member)
            world.cuts = {(led[-1], "state")}
        return led

    led = run(scenario)
    assert len(set(led)) >= 2 and all(one != other for one, other in pairwise(led))


def test_tasks_survive_an_outage_of_the_state_service_longer_than_their_lease() -> None:
    async def scenario() -> World:
        world = World()
        await world.submit(spec("req-1", task_count=2, estimated_run_s=60.0))
        await asyncio.sleep(15.0)
        assert len(world.on_machines()) == 2
        world.state.down = True
        await asyncio.sleep(40.0)  # the workers' lease is 12 s
        assert len(world.on_machines()) == 2 and world.starts == 2
        world.state.recover()
        await world.poll_until_terminal()
        return world

    world = run(scenario)
    assert world.broken == [] and world.starts == 2


def test_the_largest_begin_within_four_minutes_of_a_lasting_overload() -> None:
    # Jobs that are ordered last because of their size must start within a bounded time: an array as
    # large as the fleet and a gang of whole machines, in a steady stream of small jobs.
    async def scenario() -> World:
        world = World(seed=3, max_machines=3)
        await world.submit(
            spec("req-1", task_count=60, vcpus=4.0, estimated_run_s=20.0, deadline_s=40.0)
        )
        await world.submit(
            spec("req-2", task_count=3, shape="gang", vcpus=8.0, estimated_run_s=30.0)
        )
        for n in range(130):
            await world.submit(
                spec(f"req-{n + 10}", task_count=6, estimated_run_s=10.0, deadline_s=60.0)
            )
            await asyncio.sleep(2.0)
        return world

    world = run(scenario)
    assert world.broken == []
    born = 1000.0
    assert (
        world.first_start_at["req-1"] - born < 240.0
        and world.first_start_at["req-2"] - born < 240.0
    )


def test_tasks_survive_a_cut_between_zones_longer_than_their_lease() -> None:
    # In each partition between the zones, half of the machines lost all their tasks, though a
    # controller on their side could answer their heartbeats.
    async def scenario(cancel: bool) -> tuple[World, int]:
        world = World(areas={"n2": "south"})
        while (leader := world.leader()) is None:
            await asyncio.sleep(0.1)
        if leader.settings.member == "n2":
            world.areas = {"n0": "south"}
            leader.settings.area = "north"
            assert world.controllers["n0"] is not None
            world.controllers["n0"].settings.area = "south"
        for n, zone in enumerate(("north", "south")):
            await world.submit(
                spec(  # one to a machine
                    f"req-{n}",
                    task_count=3,
                    vcpus=5.0,
                    estimated_run_s=70.0,
                    zone=zone,
                    machine_types=["small"],
                )
            )
        await asyncio.sleep(16.0)
        assert len(world.on_machines()) == 6
        world.zones_partitioned = True
        if cancel:
            await asyncio.sleep(10.0)
            assert await world.cancel("req-1") == "aborted"
        await asyncio.sleep(38.0)
        left = len(world.on_machines())
        world.zones_partitioned = False
        await world.poll_until_terminal()
        return world, left

    world, left = run(lambda: scenario(False))
    # The first worker to arrive is redirected to the leader once, which takes too long for a lease
    # of six heartbeat intervals.
    assert world.broken == [] and left >= 5 and world.starts <= 7
    # Tasks cancelled meanwhile are stopped in time, because their leases are no longer renewed.
    world, left = run(lambda: scenario(True))
    assert world.broken == [] and left <= 3


def test_a_node_that_the_state_service_refuses_alone_passes_submissions_on() -> None:
    # While the state service refused only one controller, a third of the submissions within 45 s
    # were late.
    async def scenario() -> World:
        world = World()
        await asyncio.sleep(5.0)
        controller = next(
            n for n in world.controllers.values() if n is not None and not n.leading()
        )
        world.cuts.add((controller.settings.member, "state"))
        await asyncio.sleep(6.0)
        assert not controller.ready(), "the load balancer sends users to the others"
        world.specs["req-1"] = spec("req-1")
        began = world.now()
        status, _ = await world.version_of(controller).submit(
            controller, encode(given(spec("req-1")))
        )
        assert status == 201 and world.now() - began < 4.0
        world.last_phases["req-1"] = "queued"
        world.cuts.clear()
        await asyncio.sleep(3.0)
        assert controller.ready()
        world.state.down = True
        await asyncio.sleep(8.0)
        assert controller.ready(), "in an outage for all controllers it serves what it can"
        world.state.recover()
        await world.poll_until_terminal()
        return world

    assert run(scenario).broken == []


def test_every_page_is_written_on_condition_of_its_stamp() -> None:
    # A transaction that timed out and is applied late must not replace a page by an older one.
    async def scenario() -> tuple[World, list[str]]:
        world = World()
        bare: list[str] = []
        inner = world.state.transaction

        def transaction(body: dict[str, Any]) -> Answer:
            named = {condition["path"] for condition in body["when"]}
            bare.extend(
                key
                for change in body["apply"]
                if (key := change.get("set") or change["drop"]).startswith(("roster/", "done/"))
                and key not in named
            )
            return inner(body)

        world.state.transaction = transaction  # type: ignore[method-assign]
        for n in range(3):
            await world.submit(spec(f"req-{n}", task_count=8, estimated_run_s=9.0))
        await world.poll_until_terminal()
        return world, bare

    world, bare = run(scenario)
    assert world.broken == [] and bare == []
    assert any(change.get("set", "").startswith("roster/") for change in world.state.log)


def test_a_new_leader_counts_no_lease_from_before_what_the_last_may_have_allowed() -> None:
    async def scenario() -> tuple[float, float]:
        world = World()
        await asyncio.sleep(5.0)
        leader = world.leader()
        assert leader is not None
        world.state.keys["keep/n9"] = ({"token": 1, "nonce": "x", "area": "north"}, 1, None)
        await world.crash(leader.settings.member)
        while (leader := world.leader()) is None or not leader.term.ledger.loaded:
            await asyncio.sleep(0.05)
        return leader.term.ledger.leases.counted_from - world.now(), leader.term.clock.ttl

    ahead, ttl = run(scenario)
    assert ttl - 0.1 < ahead < ttl + 0.2
