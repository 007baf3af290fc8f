"""Requests that a user repeats, or sends about a job that has ended, at each controller."""

from __future__ import annotations

import asyncio
from typing import Any

from helpers import spec
from salthead.protocol.messages import JobStatus
from scenarios import follower_names, loaded_leader
from standins import World, run

JOB_ID = "req-1"
TASKS = 3


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
