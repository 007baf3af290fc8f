"""Malformed rows and records of the state service are logged, and the read is retried."""

from __future__ import annotations

import asyncio
from typing import Any

import cbor2
import pytest

from salthead import metrics
from salthead.state_store.client import StateStore
from salthead.state_store.messages import RETRYABLE_ERRORS
from salthead.state_store.request_stats import RequestClass
from salthead.transport.client import Answer
from standins import World, run


class Scripted:
    """A state service that answers every call with the same body."""

    def __init__(self, body: dict[str, Any]) -> None:
        self.body = body

    def dial(self, endpoint: str, slots: int) -> Any:
        return self

    async def call(self, *_: Any, **__: Any) -> Answer:
        return Answer(200, self.body)


def error_count(kind: str) -> float:
    """Return the number of errors of a kind that were logged."""
    return float(metrics.ERRORS.labels(kind)._value.get())


@pytest.mark.parametrize(
    "rows", [5, [5], [None], ["x"], [[]], [{}], [{"path": "job/req-1"}], [{"stamp": 3}], [{"a": 1}]]
)
def test_malformed_rows_are_an_error_that_is_retried(rows: Any) -> None:
    service = Scripted({"rows": rows, "epoch": 3})

    async def read() -> None:
        store = StateStore("state:1", 100.0, 100.0, lambda: 1.0, service.dial)
        with pytest.raises(RETRYABLE_ERRORS):
            await store.list_prefix("job/", RequestClass.USER)

    asyncio.run(read())


def test_a_malformed_change_log_is_an_error_that_is_retried() -> None:
    service = Scripted({"log": 5, "epoch": 3})

    async def read() -> None:
        store = StateStore("state:1", 100.0, 100.0, lambda: 1.0, service.dial)
        with pytest.raises(RETRYABLE_ERRORS):
            await store.watch("job/", 1, 0.1)

    asyncio.run(read())


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("roster/000000", {"m1": ["small", "north", False]}),
        ("roster/000000", {"m1": ["small", "north", False, "", 1]}),
        ("roster/000000", {"m1": 5}),
        ("roster/000000", {"m1": [["small"], "north", False, ""]}),
        ("roster/000000", {"m1": ["small", "north", False, cbor2.CBORTag(99, 1)]}),
        ("done/000000", {"req-1/x": [16, [0, 3]]}),
        ("done/000000", {"req-1": [16, [0, 3]]}),
        ("done/000000", {"req-1/0": [16, cbor2.CBORTag(99, 1)]}),
    ],
)
def test_a_leader_logs_a_malformed_record_and_loads_again(key: str, value: Any) -> None:
    async def scenario() -> tuple[float, float, bool]:
        world = World(seed=1, controllers=1)
        world.state.keys[key] = (value, 1, None)
        before = error_count("load")
        while (leader := world.leader()) is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(3.0)
        assert leader.term is not None and not leader.term.ledger.loaded
        term, found = leader.term, error_count("load") - before
        del world.state.keys[key]
        await asyncio.sleep(3.0)
        return found, error_count("load") - before, leader.term is term and term.ledger.loaded

    first, last, loaded = run(scenario)
    assert 3 <= first <= last <= first + 2 and loaded, (
        "the same term goes on once the record is repaired"
    )


@pytest.mark.parametrize("entry", [5, None, "a set"])
def test_a_malformed_entry_of_the_change_log_is_logged_and_jobs_are_followed_on(entry: Any) -> None:
    async def scenario() -> tuple[float, bool]:
        world = World(seed=1, controllers=1)
        while (leader := world.leader()) is None or not leader.term.ledger.loaded:
            await asyncio.sleep(0.05)
        term, watch, left = leader.term, leader.state_store.watch, [1]
        before = error_count("job watch")

        async def malformed_once(prefix: str, since: int, wait_s: float) -> Any:
            if prefix == "job/" and left:
                left.pop()
                return [entry], since
            return await watch(prefix, since, wait_s)

        leader.state_store.watch = malformed_once
        await asyncio.sleep(25.0)  # open watches have to time out first
        return error_count("job watch") - before, leader.term is term

    assert run(scenario) == (1.0, True)
