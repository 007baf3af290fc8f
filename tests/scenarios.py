"""Steps that several tests of a simulated world share."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from salthead.controller.controller import Controller
from standins import World


async def loaded_leader(world: World) -> Controller:
    """Wait until a leader has loaded the records, and return it."""
    while (
        (leader := world.leader()) is None or leader.term is None or (not leader.term.ledger.loaded)
    ):
        await asyncio.sleep(0.05)
    return leader


def follower_names(world: World, leader: Controller) -> list[str]:
    """Return the names of the controllers that do not lead."""
    return [name for name in world.names if name != leader.settings.member]


def put_leader_in_the_north(world: World, leader: Controller) -> None:
    """Make another controller the one in the south, if the leader is there."""
    if world.area(leader.settings.member) == "north":
        return
    other = follower_names(world, leader)[0]
    world.areas = {other: "south"}
    leader.settings.area = "north"
    controller = world.controllers[other]
    assert controller is not None
    controller.settings.area = "south"


async def wait_until_running(world: World, job_id: str, many: int = 1) -> None:
    """Wait until that many tasks of a job are on machines."""
    while sum(task_id.startswith(job_id + "/") for _, task_id in world.on_machines()) < many:
        await asyncio.sleep(0.1)


def spawn(world: World, work: Coroutine[Any, Any, Any]) -> None:
    """Run a coroutine in the background; the world keeps a reference to its task."""
    task = asyncio.create_task(work)
    world.pending.add(task)
    task.add_done_callback(world.pending.discard)


async def boot_later(world: World, name: str, after_s: float) -> None:
    """Start a controller after a while."""
    await asyncio.sleep(after_s)
    world.boot(name)
