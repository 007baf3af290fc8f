"""What a term leaves for the next one: whether it was informed, and had delegated leases."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from helpers import LIMITS, spec
from salthead.controller.controller import Controller
from salthead.leases.leader_lease import certainly_expired_at
from scenarios import loaded_leader, put_leader_in_the_north, wait_until_running
from standins import World, run
from standins.network import Call

LEASE_S = LIMITS["workers"]["lease_s"]
MARGIN_S = 1.0


def puts(body: Any) -> list[Any]:
    """Return the changes of a transaction that set a key to a map."""
    return [change for change in body["apply"] if isinstance(change.get("value"), dict)]


async def leader_in_the_north(world: World) -> Controller:
    """Wait for a leader, and make another controller the one in the south if it is there."""
    leader = await loaded_leader(world)
    put_leader_in_the_north(world, leader)
    return leader


def term_record(world: World) -> dict[str, Any]:
    record: dict[str, Any] = world.state.keys["token"][0]
    return record


def lose_first_answers(world: World, count: int) -> None:
    """Execute the first writes of a term's record late and unanswered."""
    left = [count]

    def late_s(call: Call) -> float | None:
        is_record = call.path == "/txn" and any(
            change.get("set") == "token" and len(change["value"]) > 1
            for change in call.body["apply"]
        )
        if not is_record or not left[0]:
            return None
        left[0] -= 1
        return 2.0

    world.late_unanswered_s = late_s


@pytest.mark.parametrize("lost_answers", [0, 1, 3])
def test_a_term_is_informed_one_lease_after_it_has_loaded_the_records(lost_answers: int) -> None:
    async def scenario() -> None:
        world = World(seed=1)
        leader = await loaded_leader(world)
        assert leader.term is not None
        lose_first_answers(world, lost_answers)
        informed_at = certainly_expired_at(leader.term.ledger.leases.counted_from, LEASE_S)
        await asyncio.sleep(informed_at - world.now() - MARGIN_S)
        assert "informed" not in term_record(world)
        await asyncio.sleep(2.0 * MARGIN_S + 4.0 * lost_answers)
        token = leader.term.fencing_token
        assert term_record(world) == {"n": token, "informed": True}
        await world.crash(leader.settings.member)
        await loaded_leader(world)
        assert term_record(world) == {"n": token + 1}, "the next term starts without"

    run(scenario)


def test_a_delegation_is_granted_only_after_the_record_says_so() -> None:
    async def scenario() -> list[Any]:
        world = World(areas={"n2": "south"})
        await leader_in_the_north(world)
        await world.submit(spec("req-1", task_count=4, zone="south", estimated_run_s=90.0))
        await wait_until_running(world, "req-1", 4)
        records_at_grant: list[Any] = []
        inner = world.state.transaction

        def transaction(body: Any) -> Any:
            if any(str(change.get("set", "")).startswith("kept/") for change in body["apply"]):
                records_at_grant.append(term_record(world).get("delegated"))
            return inner(body)

        world.state.transaction = transaction  # type: ignore[method-assign]
        world.zones_partitioned = True
        await asyncio.sleep(20.0)
        assert world.broken == []
        return records_at_grant

    granted = run(scenario)
    assert granted and all(granted)


def test_no_delegation_is_granted_for_a_zone_with_a_task_cancelled_meanwhile() -> None:
    async def scenario() -> tuple[bool, World]:
        world = World(areas={"n2": "south"})
        leader = await leader_in_the_north(world)
        await world.submit(spec("req-1", task_count=4, zone="south", estimated_run_s=90.0))
        await wait_until_running(world, "req-1", 4)
        inner, granted = world.state.handle, False

        async def handle(method: str, path: str, query: Any, body: Any) -> Any:
            nonlocal granted
            if path == "/txn" and any("delegated" in change["value"] for change in puts(body)):
                await asyncio.sleep(1.0)
            granted |= path == "/txn" and any("kept/" in change["set"] for change in puts(body))
            return await inner(method, path, query, body)

        world.state.handle = handle  # type: ignore[method-assign]
        world.zones_partitioned = True
        while not any(key.startswith("keep/") for key in world.state.keys):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        assert await world.ask(leader.settings.member, "req-1", "cancel") == "aborted"
        await asyncio.sleep(5.0)
        return granted, world

    granted, world = run(scenario)
    assert not granted and world.broken == []
