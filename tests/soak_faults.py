"""Faults for a soak test: a seeded schedule, and how each fault is injected and undone."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass

from link_proxy import Direction, LinkProxy, Mode
from soak_world import ZONES, SoakSetup, SoakWorld
from standins import Worker

# Near the periods of withheld votes, of the leader's lease and of the workers' leases.
DURATIONS_S = (0.3, 1.0, 2.5, 5.0, 8.0)
GAP_S = (0.2, 3.5)  # between the starts of two faults, so that two or three overlap
FIRST_AT_S = 5.0  # lets machines and tasks start first


@dataclass(frozen=True)
class Fault:
    """One fault with its start, its duration, and a seed for its random choices."""

    at_s: float
    kind: str
    lasts_s: float
    seed: int

    def __str__(self) -> str:
        return f"{self.at_s:.2f} s {self.kind} for {self.lasts_s} s (seed {self.seed})"


def plan(seed: int, seconds: float) -> list[Fault]:
    """Return the schedule of faults of a seed."""
    rng = random.Random(seed)
    faults = []
    at_s = FIRST_AT_S
    while at_s < seconds:
        lasts_s, choice = rng.choice(DURATIONS_S), rng.randrange(1_000_000)
        faults.append(Fault(round(at_s, 2), rng.choice(sorted(KINDS)), lasts_s, choice))
        at_s += rng.uniform(*GAP_S)
    return faults


async def inject_all(local: SoakSetup, faults: list[Fault]) -> None:
    """Inject all faults at their times, and return after the last has been undone."""
    began = asyncio.get_running_loop().time()

    async def inject(fault: Fault) -> None:
        await asyncio.sleep(max(0.0, began + fault.at_s - asyncio.get_running_loop().time()))
        async with KINDS[fault.kind](local, random.Random(fault.seed), fault.lasts_s):
            await asyncio.sleep(fault.lasts_s)

    await asyncio.gather(*(inject(fault) for fault in faults))


Undo = AsyncIterator[None]
FaultKind = Callable[[SoakSetup, random.Random, float], AbstractAsyncContextManager[None]]


def _leader_first(local: SoakSetup, rng: random.Random) -> list[int]:
    """Return the indexes of the controllers: the leader, then the others in random order."""
    others = list(range(len(local.addresses)))
    rng.shuffle(others)
    leader = local.leader()
    return others if leader is None else [leader, *(n for n in others if n != leader)]


async def _restart(local: SoakSetup, controller: int, after_s: float) -> None:
    if controller in local.processes:
        local.kill(controller)
        await asyncio.sleep(after_s)
        local.start(controller)


@asynccontextmanager
async def leader_back_at_once(local: SoakSetup, rng: random.Random, lasts_s: float) -> Undo:
    """Kill the leader and restart it within half a second."""
    await _restart(local, _leader_first(local, rng)[0], rng.uniform(0.0, 0.5))
    yield


@asynccontextmanager
async def leader_back_without_types(local: SoakSetup, rng: random.Random, lasts_s: float) -> Undo:
    """Restart the leader with slow machine types, held direct commands and some hung machines.

    This simulates thousands of machines, of which few have been called when the types arrive.
    """
    world = local.world
    world.machine_types_delay_s = rng.uniform(0.3, 2.0)
    world.commands = dict.fromkeys(ZONES, Mode.HOLD)
    hung = _some_workers(world, rng, 0.35)
    for worker in hung:
        worker.hung = True
    await _restart(local, _leader_first(local, rng)[0], rng.uniform(0.0, 0.3))
    yield
    for worker in hung:
        worker.hung = False
    world.commands = dict.fromkeys(ZONES, Mode.PASS)
    world.machine_types_delay_s = 0.0


@asynccontextmanager
async def leader_gone(local: SoakSetup, rng: random.Random, lasts_s: float) -> Undo:
    """Kill the leader and restart it after the duration."""
    await _restart(local, _leader_first(local, rng)[0], lasts_s)
    yield


@asynccontextmanager
async def leaders_in_series(local: SoakSetup, rng: random.Random, lasts_s: float) -> Undo:
    """Kill and restart the current leader four times."""
    for _ in range(4):
        await _restart(local, _leader_first(local, rng)[0], rng.uniform(0.0, 0.3))
        await asyncio.sleep(rng.uniform(0.3, 2.0))
    yield


@asynccontextmanager
async def all_end(local: SoakSetup, rng: random.Random, lasts_s: float) -> Undo:
    """Kill all controllers and restart them one by one."""
    await asyncio.gather(
        *(_restart(local, n, lasts_s + rng.uniform(0.0, 1.0)) for n in _leader_first(local, rng))
    )
    yield


@asynccontextmanager
async def paused(local: SoakSetup, rng: random.Random, lasts_s: float) -> Undo:
    """Suspend a controller, mostly the leader, while its clocks run on."""
    controller = _leader_first(local, rng)[0 if rng.random() < 0.7 else 1]
    if controller in local.processes:
        local.pause(controller)
    yield
    if controller in local.processes:
        local.resume(controller)


@asynccontextmanager
async def state_down(local: SoakSetup, rng: random.Random, lasts_s: float) -> Undo:
    """Take the state service down; leases get their full TTL afterwards."""
    local.world.state.down = True
    yield
    local.world.state.recover()


@asynccontextmanager
async def state_refuses_one(local: SoakSetup, rng: random.Random, lasts_s: float) -> Undo:
    """Let the state service refuse one controller, mostly the leader."""
    controller = _leader_first(local, rng)[0 if rng.random() < 0.7 else 1]
    local.world.refused_controllers.add(controller)
    yield
    local.world.refused_controllers.discard(controller)


@asynccontextmanager
async def cloud_down(local: SoakSetup, rng: random.Random, lasts_s: float) -> Undo:
    """Take the cloud API down."""
    local.world.cloud.down = True
    yield
    local.world.cloud.down = False


@asynccontextmanager
async def late_writes(local: SoakSetup, rng: random.Random, lasts_s: float) -> Undo:
    """Execute some transactions and lease requests without an answer, either late or at once."""
    local.world.late_writes, local.world.writes_at_once = 0.3, rng.random() < 0.5
    yield
    local.world.late_writes = 0.0


@asynccontextmanager
async def late_copies(local: SoakSetup, rng: random.Random, lasts_s: float) -> Undo:
    """Deliver late copies of some heartbeats to all controllers."""
    local.world.copies = 0.3
    yield
    local.world.copies = 0.0


@asynccontextmanager
async def link_cut(local: SoakSetup, rng: random.Random, lasts_s: float) -> Undo:
    """Drop, hold or delay messages in one or both directions of one kind of link."""
    controller, other = _leader_first(local, rng)[:2]
    zone = rng.choice(ZONES)
    proxies: list[LinkProxy] = rng.choice(
        [
            [local.state[controller]],
            [local.peers[controller, other]],
            [proxy for link, proxy in local.peers.items() if controller in link],
            [local.world.heartbeats[zone, controller]],
            [local.world.heartbeats[zone, n] for n in range(len(local.addresses))],
            [local.world.heartbeats[zone, controller] for zone in ZONES],
        ]
    )
    both, delayed = rng.random() < 0.3, rng.random() < 0.2
    mode, to_target = rng.choice((Mode.DROP, Mode.HOLD)), rng.random() < 0.5
    ways: list[Direction] = [
        way
        for proxy in proxies
        for way, chosen in ((proxy.to_target, to_target), (proxy.from_target, not to_target))
        if both or chosen
    ]
    for way in ways:
        if delayed:
            way.delay_s = 0.5
        else:
            way.set(mode)
    yield
    for way in ways:
        way.delay_s = 0.0
        way.set(Mode.PASS)


@asynccontextmanager
async def commands_cut(local: SoakSetup, rng: random.Random, lasts_s: float) -> Undo:
    """Drop or hold the direct commands to a zone."""
    zone = rng.choice(ZONES)
    local.world.commands[zone] = rng.choice((Mode.DROP, Mode.HOLD))
    yield
    local.world.commands[zone] = Mode.PASS


@asynccontextmanager
async def machines_die(local: SoakSetup, rng: random.Random, lasts_s: float) -> Undo:
    """Remove a few machines with their tasks."""
    for worker in _some_workers(local.world, rng, 0.15):
        if local.world.cloud.hosts.pop(worker.name, None) is not None:
            worker.terminate()
    yield


def _some_workers(world: SoakWorld, rng: random.Random, share: float) -> list[Worker]:
    workers = sorted(world.cloud.hosts.values(), key=lambda worker: worker.name)
    return rng.sample(workers, max(1, int(share * len(workers)))) if workers else []


def _flag_workers(flag: str) -> FaultKind:
    @asynccontextmanager
    async def some_machines(local: SoakSetup, rng: random.Random, lasts_s: float) -> Undo:
        chosen = _some_workers(local.world, rng, rng.choice((0.1, 0.35)))
        for worker in chosen:
            setattr(worker, flag, True)
        yield
        for worker in chosen:
            setattr(worker, flag, False)

    return some_machines


KINDS: dict[str, FaultKind] = {
    kind.__name__: kind
    for kind in (
        leader_back_at_once,
        leader_back_without_types,
        leader_gone,
        leaders_in_series,
        all_end,
        paused,
        state_down,
        state_refuses_one,
        cloud_down,
        late_writes,
        late_copies,
        link_cut,
        commands_cut,
        machines_die,
    )
} | {f"machines_{flag}": _flag_workers(flag) for flag in ("hung", "deaf", "mute")}
