"""Leaders that follow one another without loading the records, and a cancellation before them.

``docs/incidents/unloaded-leaders-in-a-row.md`` describes the incident.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from enum import Enum, auto
from itertools import chain, repeat
from typing import Any

import pytest

from helpers import LIMITS, spec
from salthead.controller.controller import Controller
from scenarios import (
    boot_later,
    follower_names,
    loaded_leader,
    put_leader_in_the_north,
    spawn,
    wait_until_running,
)
from standins import World, run
from standins.network import NEVER_S, Call
from standins.worker import Worker

TASKS = 6
LOADED_PREFIXES = (
    "job/",
    "done/",
    "roster/",
    "awaits/",
    "keep/",
    "kept/",
    "flavors",
    "flavors/",
    "zone/",
)
RESTART_S = 8.0
ELECTION_CHECK_S = 0.01
MAX_ELECTION_S = 60.0
WITHOUT_LEADER_S = 14.4  # a delegation of 4 s and a lease of 12 s, less an election
ASK_INTERVAL_S = 0.5
WRITE_CHECK_S = 0.0005  # shorter than the way back of an answer
# Heartbeat interval, worker lease and time limit of cancellations of the users' deployments.
TIMINGS = [(1.0, 11.0, 36.0), (2.5, 15.25, 40.25), (3.0, 21.0, 46.0)]


class End(Enum):
    """How a term ends."""

    CRASH = auto()
    RESIGNATION = auto()
    LEASE = auto()  # the state service refuses the leader alone until its lease has ended


class Confirmation(Enum):
    """Who first tells the user that the job is cancelled."""

    LEADER = auto()
    FOLLOWER = auto()
    UNLOADED_TERM = auto()  # the leader ends before it has told anyone


class Unreachable(Enum):
    """How machines miss the stop of their tasks."""

    CUT = auto()
    DEAF = auto()
    HUNG = auto()


class Reach(Enum):
    """What machines hear of a term that loads the records."""

    NORMAL = auto()
    NONE = auto()
    FIRST_ANSWER = auto()


@dataclass(frozen=True)
class Terms:
    """A sequence of terms after the one that cancels a job."""

    ends: tuple[End, ...]
    term_s: float  # for which each of them lasts
    loads: tuple[bool, ...] = ()  # whether each of them loads the records; those left out don't
    confirmation: Confirmation = Confirmation.LEADER
    unreachable: Unreachable = Unreachable.CUT
    unreachable_s: float = 1.0  # after the leader that cancelled the job has ended
    # Prefixes of records that can be listed in a term that doesn't load them.
    readable: tuple[str, ...] = ()
    # Whether machines are out of reach in terms that load the records, or hear one answer of each.
    reach_when_loaded: Reach = Reach.NORMAL

    @classmethod
    def generate(cls, seed: int) -> Terms:
        """Return a random sequence."""
        rng = random.Random(seed)
        count = rng.randint(1, 4)
        return cls(
            ends=tuple(rng.choices(list(End), k=count)),
            loads=tuple(rng.choices([False, True], weights=[2, 1], k=count)),
            term_s=rng.uniform(4.0, 16.0),
            confirmation=rng.choice(list(Confirmation)),
            unreachable=rng.choice(list(Unreachable)),
            unreachable_s=rng.uniform(0.0, 10.0),
            readable=rng.choice([(), ("job/", "done/", "roster/", "awaits/")]),
            reach_when_loaded=rng.choice(list(Reach)),
        )


def set_unreachable(world: World, how: Unreachable, value: bool) -> None:
    """Make all machines unreachable, or reachable again."""
    for worker in world.cloud.hosts.values():
        setattr(worker, how.name.lower(), value)


def refuse_lists(world: World, readable: tuple[str, ...]) -> None:
    """Leave all lists of records unanswered, except those of some prefixes."""

    def unanswered(call: Call) -> float | None:
        is_list = call.target == "state" and call.path == "/keys"
        return 0.0 if is_list and call.query["prefix"] not in readable else None

    world.late_unanswered_s = unanswered


def deliver_first_answers_only(world: World) -> None:
    """Lose direct commands, and all answers to a worker but the first one of each term."""
    inner, answered = world.deliver_heartbeat, set()

    async def deliver(worker: Worker, controller: int, message: bytes) -> tuple[int, Any]:
        status, body = await inner(worker, controller, message)
        if status == 200:
            if (worker.name, body["baton"]) in answered:
                await asyncio.sleep(NEVER_S)
            answered.add((worker.name, body["baton"]))
        return status, body

    async def lose(name: str, body: Any) -> Any:
        await asyncio.sleep(NEVER_S)

    world.deliver_heartbeat = deliver  # type: ignore[method-assign]
    world.deliver_command = lose  # type: ignore[method-assign]


async def next_leader(world: World) -> Controller:
    """Wait until a controller leads."""
    for _ in range(int(MAX_ELECTION_S / ELECTION_CHECK_S)):
        if (leader := world.leader()) is not None:
            return leader
        await asyncio.sleep(ELECTION_CHECK_S)
    raise AssertionError("no leader")


async def end_term(world: World, leader: Controller, how: End) -> None:
    """End the leader's term."""
    name = leader.settings.member
    if how is End.CRASH:
        await world.crash(name)
        spawn(world, boot_later(world, name, RESTART_S))
    elif how is End.RESIGNATION:
        assert leader.term is not None
        leader.election.leader_stickiness.withhold_vote(world.now())
        leader.term.clock.invalidate()
    else:
        world.refused.add(name)
    while leader.leading() is not None:
        await asyncio.sleep(ELECTION_CHECK_S)
    world.refused.discard(name)


async def confirm(world: World, leader: Controller, how: Confirmation) -> None:
    """Cancel the job, and tell the user of it or not, then crash the leader."""
    name = leader.settings.member
    if how is Confirmation.UNLOADED_TERM:
        spawn(world, world.ask(name, "req-1", "cancel"))
        while "over/req-1" not in world.state.keys:
            await asyncio.sleep(WRITE_CHECK_S)
    else:
        asked = name if how is Confirmation.LEADER else follower_names(world, leader)[0]
        assert await world.ask(asked, "req-1", "cancel") == "aborted"
    await world.crash(name)
    spawn(world, boot_later(world, name, RESTART_S))


async def ask_periodically(world: World) -> None:
    """Let users repeat the cancellation at all controllers."""
    while True:
        await asyncio.sleep(ASK_INTERVAL_S)
        for name in world.names:
            await world.ask(name, "req-1", "cancel")


async def play_term(world: World, terms: Terms, end: End, loads: bool) -> None:
    """Let the next leader lead for its time, and end its term."""
    out_of_reach = loads and terms.reach_when_loaded is Reach.NONE
    set_unreachable(world, terms.unreachable, out_of_reach)
    refuse_lists(world, LOADED_PREFIXES if loads else terms.readable)
    leader = await next_leader(world)
    await asyncio.sleep(terms.term_s)
    if leader.leading() is not None:
        await end_term(world, leader, end)
    set_unreachable(world, terms.unreachable, False)


async def play(terms: Terms) -> World:
    """Cancel a job, and let leaders follow one another."""
    world = World(seed=3)
    await world.submit(spec("req-1", task_count=TASKS, estimated_run_s=300.0))
    await wait_until_running(world, "req-1", TASKS)
    leader = await loaded_leader(world)
    leader.term.worker_calls.send_stops = lambda: None  # type: ignore[union-attr,method-assign]
    set_unreachable(world, terms.unreachable, True)
    await confirm(world, leader, terms.confirmation)
    users = asyncio.create_task(ask_periodically(world))
    restore = world.deliver_heartbeat, world.deliver_command
    if terms.reach_when_loaded is Reach.FIRST_ANSWER:
        deliver_first_answers_only(world)
    refuse_lists(world, terms.readable)
    await asyncio.sleep(terms.unreachable_s)
    set_unreachable(world, terms.unreachable, False)
    for end, loads in zip(terms.ends, chain(terms.loads, repeat(False)), strict=False):
        await play_term(world, terms, end, loads)
    await asyncio.sleep(LIMITS["workers"]["cancel_s"])
    world.late_unanswered_s = lambda call: None
    world.deliver_heartbeat, world.deliver_command = restore  # type: ignore[method-assign]
    users.cancel()
    await world.poll_until_terminal()
    return world


async def play_delegation() -> World:
    """Cancel a job in a zone with delegated leases, and let no leader follow for most of a lease.

    The next leader begins just before the leases of the zone's workers end, and never loads.
    """
    world = World(seed=3, areas={"n2": "south"})
    leader = await loaded_leader(world)
    put_leader_in_the_north(world, leader)
    await world.submit(spec("req-1", task_count=TASKS, zone="south", estimated_run_s=300.0))
    await wait_until_running(world, "req-1", TASKS)
    await asyncio.sleep(2.0 * LIMITS["workers"]["lease_s"])
    world.zones_partitioned = True
    while not any(key.startswith("kept/") for key in world.state.keys):
        await asyncio.sleep(ELECTION_CHECK_S)
    await asyncio.sleep(2.0)  # all workers of the zone have turned to the delegate
    name = leader.settings.member
    assert await world.ask(name, "req-1", "cancel") == "aborted"
    await world.crash(name)
    world.state.down = True
    refuse_lists(world, ())
    await asyncio.sleep(WITHOUT_LEADER_S)
    assert world.on_machines(), "no lease of the zone is left to renew"
    world.zones_partitioned = False
    world.state.recover()
    world.boot(name)
    await asyncio.sleep(LIMITS["workers"]["cancel_s"])
    world.late_unanswered_s = lambda call: None
    await world.poll_until_terminal()
    return world


def set_timings(monkeypatch: pytest.MonkeyPatch, timings: tuple[float, float, float]) -> None:
    """Use a deployment's timings in the settings and the stand-ins."""
    for name, seconds in zip(("report_s", "lease_s", "cancel_s"), timings, strict=True):
        monkeypatch.setitem(LIMITS["workers"], name, seconds)


CRASHES = (End.CRASH,) * 4
RESIGNATIONS = (End.RESIGNATION,) * 4
LEASES = (End.LEASE,) * 4


@pytest.mark.parametrize("timings", TIMINGS, ids=lambda timings: f"lease{timings[1]:g}")
@pytest.mark.parametrize("confirmation", Confirmation)
@pytest.mark.parametrize(
    "ends",
    [CRASHES[:2], RESIGNATIONS[:3], LEASES[:3], CRASHES, RESIGNATIONS, (End.RESIGNATION, *CRASHES)],
    ids=lambda ends: "-".join(end.name.lower() for end in ends),
)
def test_unloaded_leaders_in_a_row_keep_no_cancelled_task_alive(
    monkeypatch: pytest.MonkeyPatch,
    ends: tuple[End, ...],
    confirmation: Confirmation,
    timings: tuple[float, float, float],
) -> None:
    set_timings(monkeypatch, timings)
    terms = Terms(ends, term_s=8.0, confirmation=confirmation)
    assert run(lambda: play(terms)).broken == []


@pytest.mark.parametrize("timings", TIMINGS, ids=lambda timings: f"lease{timings[1]:g}")
@pytest.mark.parametrize("term_s", [3.0, 6.0])
def test_loaded_leaders_heard_once_each_keep_no_cancelled_task_alive(
    monkeypatch: pytest.MonkeyPatch, term_s: float, timings: tuple[float, float, float]
) -> None:
    set_timings(monkeypatch, timings)
    terms = Terms(CRASHES, term_s, (True,) * 4, reach_when_loaded=Reach.FIRST_ANSWER)
    assert run(lambda: play(terms)).broken == []


@pytest.mark.parametrize("timings", TIMINGS, ids=lambda timings: f"lease{timings[1]:g}")
def test_a_term_without_records_after_a_loaded_one_out_of_reach_keeps_no_cancelled_task_alive(
    monkeypatch: pytest.MonkeyPatch, timings: tuple[float, float, float]
) -> None:
    set_timings(monkeypatch, timings)
    ends = (End.RESIGNATION, End.RESIGNATION, End.CRASH, End.CRASH)
    loads = (False, True, False, False)
    terms = Terms(ends, 8.0, loads, reach_when_loaded=Reach.NONE)
    assert run(lambda: play(terms)).broken == []


def test_renewals_under_a_delegation_and_without_records_keep_no_cancelled_task_alive(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setitem(LIMITS["workers"], "report_s", 0.6)
    assert run(play_delegation).broken == []


@pytest.mark.parametrize("seed", range(30))
def test_a_generated_sequence_of_terms_keeps_no_cancelled_task_alive(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    set_timings(monkeypatch, TIMINGS[seed % len(TIMINGS)])
    assert run(lambda: play(Terms.generate(seed))).broken == []
