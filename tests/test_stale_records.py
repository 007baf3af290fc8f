"""A record that was read before its job ended does not bring the job back.

``docs/incidents/cancelled-job-added-again.md`` describes the incident.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from helpers import job, ready, spec
from salthead.cluster import ended_jobs
from salthead.transport.client import Answer
from scenarios import follower_names, loaded_leader
from standins import World, run
from standins.network import Call

Matches = Callable[[Call], bool]

SETTLE_S = 10.0
CHECK_S = 0.01
MANY_DEPENDENCIES = 400  # more than one value of the state service holds
ANSWER_LATE_S = (0.0, 1.0)  # less than the shortest time-out of a read
PIPELINES, PIPELINE_INTERVAL_S = 20, 0.8
MAX_PATIENCE_S = 1.5  # from the acceptance of a pipeline to its cancellation
RUN_S = (1.0, 60.0)


class HeldAnswers(World):
    """A world in which answers are held back after their requests were executed."""

    def __init__(self, **more: Any) -> None:
        super().__init__(**more)
        self.holds: list[Matches] = []
        self.held: list[Call] = []

    def hold(self, matches: Matches) -> Matches:
        """Hold back the answers to matching calls; return what releases them."""
        self.holds.append(matches)
        return matches

    def release(self, matches: Matches) -> None:
        """Deliver the held answers to matching calls, and hold back no more of them."""
        self.holds.remove(matches)

    async def _deliver(self, call: Call, late_s: float) -> Answer:
        answer = await super()._deliver(call, late_s)
        if any(matches(call) for matches in self.holds):
            self.held.append(call)
            while any(matches(call) for matches in self.holds):
                await asyncio.sleep(CHECK_S)
        return answer

    async def until_held(self, matches: Matches) -> None:
        """Wait until the answer to a matching call is held back."""
        async with asyncio.timeout(SETTLE_S):
            while not any(matches(call) for call in self.held):
                await asyncio.sleep(CHECK_S)


def job_watch(call: Call) -> bool:
    """Return whether a call watches the records of jobs."""
    return call.path == "/changes" and call.query["prefix"] == "job/"


def job_list(call: Call) -> bool:
    """Return whether a call lists the records of jobs."""
    return call.path == "/keys" and call.query["prefix"] == "job/"


def job_write(call: Call) -> bool:
    """Return whether a call writes the record of the first job."""
    return call.path == "/txn" and call.body["apply"][0].get("set") == "job/req-1"


def read_by(member: str, key: str) -> Matches:
    """Return whether a call of a controller reads a key."""
    return lambda call: call.source == member and call.path == f"/keys/{key}"


class First:
    """Matches the first call that another condition matches, and no later one."""

    def __init__(self, matches: Matches) -> None:
        self.matches = matches
        self.call: Call | None = None

    def __call__(self, call: Call) -> bool:
        if self.call is None and self.matches(call):
            self.call = call
        return call is self.call


class Scene:
    """A leader and a follower, and a job that is cancelled while an answer about it is held."""

    def __init__(self, world: HeldAnswers, leader: str, follower: str) -> None:
        self.world, self.leader, self.follower = world, leader, follower

    @classmethod
    async def begin(cls) -> Scene:
        world = HeldAnswers(seed=3)
        leader = await loaded_leader(world)
        return cls(world, leader.settings.member, follower_names(world, leader)[0])

    def jobs(self) -> dict[str, Any]:
        """Return the jobs in the leader's ledger."""
        controller = self.world.controllers[self.leader]
        assert controller is not None and controller.term is not None
        return controller.term.ledger.jobs

    async def until_known(self, job_id: str = "req-1") -> None:
        async with asyncio.timeout(SETTLE_S):
            while job_id not in self.jobs():
                await asyncio.sleep(CHECK_S)

    async def submit(self, name: str, job_id: str, **changes: Any) -> None:
        self.world.specs[job_id] = spec(job_id, **changes)
        self.world.accepted[job_id] = self.world.now()
        assert await self.world.ask(name, job_id, "submit") == "queued"

    async def cancel(self) -> None:
        """Cancel the first job, and wait until the leader has forgotten it."""
        assert await self.world.ask(self.follower, "req-1", "cancel") == "aborted"
        async with asyncio.timeout(SETTLE_S):
            while "req-1" in self.jobs():
                await asyncio.sleep(CHECK_S)

    async def check_gone(self) -> None:
        """Check that the cancelled job is neither known to the leader nor on a machine again."""
        ends_at = self.world.now() + SETTLE_S
        while self.world.now() < ends_at:
            assert "req-1" not in self.jobs(), "the leader has added a cancelled job"
            assert not any(task.startswith("req-1/") for _, task in self.world.on_machines())
            await asyncio.sleep(0.1)
        assert self.world.broken == []


async def dependency_read_late(key: str) -> None:
    """Cancel a job while the leader's look-up of it, as an unknown dependency, is on its way."""
    scene = await Scene.begin()
    world, watch, read = scene.world, job_watch, read_by(scene.leader, key)
    world.hold(watch)
    await scene.submit(scene.follower, "req-1")
    await scene.submit(scene.leader, "req-2", depends_on=["req-1"])
    world.hold(read)
    await world.until_held(read)
    world.release(watch)
    await scene.until_known()
    await scene.cancel()
    world.release(read)
    await scene.check_gone()
    assert await world.ask(scene.leader, "req-2") == "aborted"


async def long_record_read_late() -> None:
    """Cancel a job with many dependencies while the leader's loop reads all of its record."""
    scene = await Scene.begin()
    world = scene.world
    needed = [f"req-{100000 + n}" for n in range(MANY_DEPENDENCIES)]
    for job_id in needed:
        world.specs[job_id] = spec(job_id)
        world.done |= {f"{job_id}/0", f"{job_id}/1"}
        for controller in world.controllers.values():
            assert controller is not None
            controller.remember_outcome(job_id, "done", 2, 1.0)
    read = world.hold(First(read_by(scene.leader, "job/req-1")))
    await scene.submit(scene.follower, "req-1", depends_on=needed)
    assert "awaits/req-1/0" in world.state.keys
    await world.until_held(read)
    await scene.cancel()
    world.release(read)
    await scene.check_gone()


async def watch_late() -> None:
    """Cancel a job that the leader has accepted itself before its watch tells of the job."""
    scene = await Scene.begin()
    scene.world.hold(job_watch)
    await scene.submit(scene.leader, "req-1")
    await scene.world.until_held(job_watch)
    await scene.cancel()
    scene.world.release(job_watch)
    await scene.check_gone()


async def list_late() -> None:
    """Cancel a job while the leader lists the jobs, since its watch was too far behind."""
    scene = await Scene.begin()
    world, watch_log = scene.world, scene.world.state.watch

    async def compacted(query: dict[str, str]) -> Answer:
        return Answer(410, {}) if query["prefix"] == "job/" else await watch_log(query)

    world.state.watch = compacted  # type: ignore[method-assign]
    await scene.submit(scene.leader, "req-1")
    world.hold(job_list)
    world.held.clear()
    await world.until_held(job_list)
    await scene.cancel()
    world.release(job_list)
    await scene.check_gone()


async def write_late() -> None:
    """Cancel a job that the leader knows by its watch before its own write is answered."""
    scene = await Scene.begin()
    world = scene.world
    world.hold(job_write)
    submitting = asyncio.create_task(scene.submit(scene.leader, "req-1"))
    await scene.until_known()
    await scene.cancel()
    world.release(job_write)
    await asyncio.gather(submitting, return_exceptions=True)
    await scene.check_gone()


class TestCancelledWhileItsRecordIsRead:
    def test_the_record_of_an_unknown_dependency(self) -> None:
        run(lambda: dependency_read_late("job/req-1"))

    def test_the_outcome_of_an_unknown_dependency(self) -> None:
        run(lambda: dependency_read_late("over/req-1"))

    @pytest.mark.parametrize(
        "scenario",
        [long_record_read_late, watch_late, list_late, write_late],
        ids=lambda scenario: scenario.__name__,
    )
    def test_other_late_records(self, scenario: Any) -> None:
        run(scenario)


class LateAnswers(World):
    """A world in which the answers of the state service are late at random."""

    async def _deliver(self, call: Call, late_s: float) -> Answer:
        answer = await super()._deliver(call, late_s)
        if call.target == "state" and call.method == "GET":
            await asyncio.sleep(self.rng.uniform(*ANSWER_LATE_S))
        return answer


async def pipeline(world: LateAnswers, number: int) -> None:
    """Submit a job and one that needs it, ask at all controllers, and cancel one or none."""
    first, second = (f"req-{2 * number + n}" for n in (1, 2))
    await world.submit(spec(first, task_count=1, estimated_run_s=world.rng.choice(RUN_S)))
    await world.submit(spec(second, task_count=1, depends_on=[first], estimated_run_s=1.0))
    await asyncio.sleep(world.rng.uniform(0.0, MAX_PATIENCE_S))
    to_cancel = world.rng.choice([first, first, second, ""])
    if to_cancel:
        asked = world.rng.sample(world.names, world.rng.randint(1, len(world.names)))
        await asyncio.gather(*(world.ask(name, to_cancel, "cancel") for name in asked))
        await world.cancel(to_cancel)
    await asyncio.gather(*(world.ask(name, job) for name in world.names for job in (first, second)))


async def late_answers(seed: int) -> LateAnswers:
    """Play pipelines while answers are late, and let all jobs end."""
    world = LateAnswers(seed=seed)
    await loaded_leader(world)
    users = []
    for number in range(PIPELINES):
        users.append(asyncio.create_task(pipeline(world, number)))
        await asyncio.sleep(world.rng.uniform(0.0, 2.0 * PIPELINE_INTERVAL_S))
    await asyncio.gather(*users)
    world.faults_end_at = world.now()
    await world.poll_until_terminal()
    await asyncio.sleep(SETTLE_S)
    return world


@pytest.mark.parametrize("seed", range(10))
def test_pipelines_are_cancelled_while_answers_are_late(seed: int) -> None:
    world = run(lambda: late_answers(seed))
    assert world.broken == []
    assert world.on_machines() == []


class TestEndedJobs:
    @pytest.mark.parametrize("phase", ["done", "aborted"])
    def test_a_job_that_ended_is_not_added_again(self, phase: str) -> None:
        ledger = ready()
        ledger.end_job(job(ledger), phase, 1.0)
        assert ledger.add_job(spec(), 2.0, accepted_this_term=True) is None
        assert not ledger.jobs and not ledger.ready_jobs and not ledger.dependency_graph.nodes

    def test_none_that_ended_during_a_read_is_forgotten_before_its_end(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(ended_jobs, "MIN_REMEMBERED_JOBS", 3)
        ledger = ready()
        ended = ledger.job_table.ended_jobs

        def end(first: int, last: int) -> None:
            for number in range(first, last):
                ledger.end_job(job(ledger, job_id=f"req-{number}"), "aborted", 1.0)

        end(0, 5)
        assert "req-1" not in ended and len(ended) == 3
        with ended.kept_during_read():
            end(5, 10)
            with ended.kept_during_read():
                end(10, 20)
            assert all(f"req-{number}" in ended for number in range(5, 20))
            assert len(ended) == 15, "those that ended before the read can't be in its answer"
        assert len(ended) == 3 and "req-17" in ended
