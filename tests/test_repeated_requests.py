"""Requests that a user repeats, or sends about a job that has ended, at each controller."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from helpers import given, spec
from salthead.controller.handlers import ClientHandlers
from salthead.protocol.messages import JobStatus
from salthead.state_store import records
from salthead.transport.http import Reply
from scenarios import follower_names, loaded_leader
from standins import World, run
from wire_examples import request

JOB_ID = "req-1"
TASKS = 3


async def reply_of(answer: Any) -> Reply:
    """Return a handler's reply."""
    return answer if isinstance(answer, Reply) else await answer


async def cancelled_as_it_ends() -> tuple[Any, list[JobStatus]]:
    """Cancel a job at a follower while its outcome is written; return what all controllers say."""
    world = World(seed=2)
    leader = await loaded_leader(world)
    await world.submit(spec(JOB_ID, task_count=TASKS, estimated_run_s=1.0))
    assert leader.term is not None
    job = leader.term.ledger.jobs[JOB_ID]
    world.extra_latency_s = lambda source, path: 0.3 if path == "/txn" else 0.0
    while not job.complete:
        await asyncio.sleep(0.01)
    names = [*follower_names(world, leader), leader.settings.member]
    controllers = [world.controllers[name] for name in names]
    answer = await controllers[0].job_status.cancel(JOB_ID)
    return answer, [await one.job_status.poll(JOB_ID) for one in controllers for _ in range(2)]


def test_a_cancellation_that_comes_too_late_leaves_the_counts_as_they_are() -> None:
    answer, found = run(cancelled_as_it_ends)
    assert answer.phase == "done"
    assert [(status.phase, status.done) for status in found] == [("done", TASKS)] * len(found)


async def repeat_without_a_field(ended: bool, known: bool) -> list[int]:
    """Repeat a submission that an earlier version accepted; return all controllers' statuses."""
    world = World(seed=2)
    await loaded_leader(world)
    accepted = spec(JOB_ID, task_count=TASKS)
    fields = given(accepted)
    del fields["kit"]
    if known:
        key = records.outcome_key(JOB_ID) if ended else records.job_key(JOB_ID)
        value = records.outcome_value(accepted, "done") if ended else records.job_value(accepted)
        world.state.epoch += 1
        world.state.keys[key] = (value, world.state.epoch, None)
    statuses = []
    for name in world.names:
        clients = ClientHandlers(world.controllers[name])
        statuses.append((await reply_of(clients.submit(request(fields)))).status)
    world.state.down = True
    other = ClientHandlers(world.controllers[world.names[0]])
    unknown = await reply_of(other.submit(request(fields | {"uid": "req-2"})))
    assert unknown.status == 503, "whether it was accepted is not known"
    assert (await reply_of(other.submit(request({"uid": "nonsense"})))).status == 400
    return statuses


@pytest.mark.parametrize("ended", [True, False], ids=["ended", "active"])
def test_a_repeat_of_an_accepted_job_that_lacks_a_field_is_not_refused(ended: bool) -> None:
    assert run(lambda: repeat_without_a_field(ended, known=True)) == [200] * 3


def test_a_new_job_that_lacks_a_field_is_refused() -> None:
    assert run(lambda: repeat_without_a_field(ended=False, known=False)) == [400] * 3
