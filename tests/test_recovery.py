"""A new leader loads the records, whatever users ask meanwhile."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from builders.submissions import submission_fields
from helpers import LIMITS, spec
from questions_world import RPS, WRITE_RPS, change_leader
from salthead.controller.controller import Controller
from salthead.protocol.messages import Submission, encode
from salthead.state_store.client import StateStore
from salthead.state_store.messages import RequestRefusedError
from salthead.state_store.pacing import (
    LEASE_AND_WATCH_SHARE,
    MIN_READ_SHARE,
    UserReads,
    UserTurns,
    read_rates,
)
from salthead.state_store.request_stats import RequestClass, RequestStats
from salthead.transport.client import Answer
from salthead.transport.limits import TokenBucket, WaitQueue
from scenarios import follower_names, loaded_leader
from standins import World, run

JOBS = 400
MAX_LOAD_S = 2.0  # the users' aim
MAX_SUBMISSION_S = 1.0  # the users' aim


@pytest.mark.parametrize("times_as_often", [1, 8])
def test_recovery_does_not_wait_behind_questions(
    monkeypatch: pytest.MonkeyPatch, times_as_often: int
) -> None:
    for name, seconds in (("report_s", 1.0), ("lease_s", 11.0), ("cancel_s", 36.0)):
        monkeypatch.setitem(LIMITS["workers"], name, seconds)
    world = run(lambda: change_leader(JOBS, times_as_often, watched_s=16.0))
    assert world.recovery.load_s <= MAX_LOAD_S
    assert world.recovery.refused_leadership == 0
    assert world.recovery.lost_leases == 0
    assert world.recovery.answers["unanswered"] == 0
    assert max(world.recovery.sent.values()) <= 2 * RPS, "the rate, and one second's burst"
    assert world.broken == []


@pytest.mark.parametrize("controller_count", [1, 2, 3, 5, 9])
@pytest.mark.parametrize(
    ("rps", "write_rps"), [(60.0, 20.0), (120.0, 20.0), (150.0, 25.0), (250.0, 70.0), (20.0, 19.0)]
)
def test_the_reads_of_all_controllers_stay_within_the_rate(
    rps: float, write_rps: float, controller_count: int
) -> None:
    rates = read_rates(rps, write_rps, controller_count)
    reads = controller_count * rates.user + rates.leader
    left = rps * (1.0 - LEASE_AND_WATCH_SHARE) - write_rps
    assert reads <= max(left, rps * MIN_READ_SHARE) + 1e-9
    bursts = controller_count * rates.user_burst + rates.leader_burst
    assert bursts <= rps * (1.0 - LEASE_AND_WATCH_SHARE) + 1e-9, "a burst is worth one second"


class CountedReads:
    """A read that counts how often each key is read."""

    def __init__(self) -> None:
        self.keys: list[str] = []

    async def __call__(self, key: str, *_: Any) -> Any:
        self.keys.append(key)
        await asyncio.sleep(0.01)


def user_reads(rate: float, max_wait_s: float) -> tuple[UserReads, CountedReads, WaitQueue]:
    loop = asyncio.get_running_loop()
    counted = CountedReads()
    bucket = TokenBucket(rate, 1.0, loop.time)
    queue = WaitQueue(bucket)
    turns = UserTurns(queue, RequestStats(loop.time), dict.fromkeys(RequestClass, max_wait_s))
    return UserReads(turns, counted), counted, queue


def test_reads_are_served_in_order_and_one_for_several_questions() -> None:
    async def scenario() -> list[str]:
        reads, counted, queue = user_reads(rate=10.0, max_wait_s=1.0)
        keys = ["a", "b", "c", "b", "d", "c"]
        await asyncio.gather(*(reads.get(key, RequestClass.USER) for key in keys))
        assert not reads.queued and not queue.waiting
        return counted.keys

    assert run(scenario) == ["a", "b", "c", "d"]


def test_a_question_beyond_the_bound_is_refused_at_once() -> None:
    async def scenario() -> None:
        reads, _, _ = user_reads(rate=10.0, max_wait_s=0.5)
        began_at = asyncio.get_running_loop().time()
        questions = [
            asyncio.create_task(reads.get(f"key-{n}", RequestClass.USER)) for n in range(20)
        ]
        results = await asyncio.gather(*questions, return_exceptions=True)
        assert sum(isinstance(result, RequestRefusedError) for result in results) == 14
        assert asyncio.get_running_loop().time() - began_at <= 0.6

    run(scenario)


def test_a_question_leaves_the_queue_when_whoever_asked_has_given_up() -> None:
    async def scenario() -> list[str]:
        reads, counted, queue = user_reads(rate=1.0, max_wait_s=5.0)
        await reads.get("first", RequestClass.USER)
        given_up = asyncio.create_task(reads.get("given up", RequestClass.USER))
        kept = asyncio.create_task(reads.get("kept", RequestClass.USER))
        await asyncio.sleep(0.1)
        given_up.cancel()
        await kept
        assert not queue.waiting
        return counted.keys

    assert run(scenario) == ["first", "kept"]


def test_questions_given_up_at_any_time_leave_the_others_served() -> None:
    async def scenario() -> None:
        reads, _, queue = user_reads(rate=20.0, max_wait_s=0.5)
        errors: list[Any] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, found: errors.append(found))
        for n in range(200):
            question = asyncio.create_task(reads.get(f"key-{n % 7}", RequestClass.USER))
            question.add_done_callback(lambda done: done.cancelled() or done.exception())
            asyncio.get_running_loop().call_later(0.011 * (n % 50), question.cancel)
            await asyncio.sleep(0.013)
        await asyncio.sleep(1.0)
        assert not queue.waiting and not reads.queued and not errors
        await reads.get("last", RequestClass.USER)

    run(scenario)


class SlowReads:
    """A client of a service that answers no read of a job within a minute."""

    def __init__(self, slots: int) -> None:
        self.slots = asyncio.Semaphore(slots)

    async def call(self, method: str, path: str, *_: Any, **__: Any) -> Answer:
        async with self.slots:
            if path.startswith("/keys/job/"):
                await asyncio.sleep(60.0)
            return Answer(404, {})


def test_reads_for_users_occupy_no_connection_of_a_leader() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        dial: Any = lambda endpoint, slots: SlowReads(slots)  # noqa: E731
        store = StateStore("state:1", 250.0, 70.0, loop.time, dial)
        users = [
            asyncio.create_task(store.get(f"job/req-{n}", RequestClass.USER)) for n in range(30)
        ]
        await asyncio.sleep(0.1)
        async with asyncio.timeout(1.0):
            for request_class in (RequestClass.LEADER, RequestClass.LEASE):
                assert await store.get("over/req-1", request_class) is None
        assert not any(user.done() for user in users)

    run(scenario)


def test_a_long_outage_during_the_load_delays_later_reads_for_seconds_only() -> None:
    now = [0.0]
    bucket = TokenBucket(rate=1.0, burst=1.0, now=lambda: now[0])
    for _ in range(300):
        now[0] += 0.2
        bucket.take()
    assert bucket.delay_s() <= 2.0


def test_a_turn_whose_caller_has_left_is_skipped() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        queue = WaitQueue(TokenBucket(10.0, 2.0, loop.time))
        assert queue.try_acquire() and queue.try_acquire()
        left, kept = (asyncio.create_task(queue.acquire(1.0)) for _ in range(2))
        await asyncio.sleep(0.05)
        next(iter(queue.waiting)).cancel()
        loop.clock += 0.2  # type: ignore[attr-defined]
        queue._serve()
        await asyncio.wait([left, kept])
        assert left.cancelled() and kept.exception() is None

    run(scenario)


def test_a_submission_is_not_refused_while_it_can_wait_longer_than_a_question() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        queue = WaitQueue(TokenBucket(10.0, 1.0, loop.time))
        turns = UserTurns(queue, RequestStats(loop.time))
        reads = UserReads(turns, CountedReads())
        questions = [
            asyncio.create_task(reads.get(f"question-{n}", RequestClass.USER)) for n in range(30)
        ]
        lookups = [
            asyncio.create_task(reads.get(f"lookup-{n}", RequestClass.SUBMISSION))
            for n in range(15)
        ]
        results = await asyncio.gather(*questions, *lookups, return_exceptions=True)
        refused = [isinstance(result, RequestRefusedError) for result in results]
        assert sum(refused[:30]) == 19, "one at once, and ten within a second"
        assert not any(refused[30:])

    run(scenario)


def test_submissions_that_depend_on_others_are_answered_within_a_second() -> None:
    async def scenario() -> list[tuple[int, float]]:
        world = World(seed=2, rps=RPS, write_rps=WRITE_RPS)
        leader = await loaded_leader(world)
        accepting, asked = (world.controllers[name] for name in follower_names(world, leader))
        assert accepting is not None and asked is not None
        for n in range(6):
            chained = spec(f"req-{n}", depends_on=[f"req-{n - 1}"] if n else None)
            await submit_to(world, accepting, chained)
        began_at = world.now()

        async def submit(n: int) -> tuple[int, float]:
            status = await submit_to(world, asked, spec(f"req-1{n}", depends_on=["req-5"]))
            return status, world.now() - began_at

        return await asyncio.gather(*(submit(n) for n in range(4)))

    answers = run(scenario)
    assert [status for status, _ in answers] == [201] * 4
    assert max(took_s for _, took_s in answers) <= MAX_SUBMISSION_S


async def submit_to(world: World, controller: Controller, job: Submission) -> int:
    """Submit a job to one controller and return the status of its answer."""
    world.specs[job.job_id] = job
    try:
        status, _ = await world.version_of(controller).submit(
            controller, encode(submission_fields(job))
        )
    except world.version_of(controller).undecided_errors:
        return 503
    return int(status)
