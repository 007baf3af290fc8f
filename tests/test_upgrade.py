"""Compatibility with the version in production: records, pages and rolling upgrades.

``fixtures/production.json`` holds what the production version writes. Its code comes from the
repository's history (``production.py``), without which these tests fail and say so.
"""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

import msgspec
import pytest

import production
import test_days
import test_pipelines
from helpers import FLAVORS, spec
from salthead.protocol.messages import MachineTypes, shape
from salthead.state_store import records
from salthead.state_store.done_tasks import DoneTaskLayout
from salthead.state_store.pages import Pages
from standins import World, run

OLD = json.loads(production.FIXTURES.read_text())
DONE = set(OLD["done"])


def test_the_fixtures_are_of_the_version_in_production() -> None:
    assert production.fixtures() == OLD


def test_what_production_wrote_is_read() -> None:
    one = records.decode_job(OLD["job"])
    assert (one.job_id, one.task_count, one.depends_on, one.more) == ("req-000041", 900, None, 0)
    phase, ended = records.decode_outcome(OLD["over"])
    assert (phase, ended.team, records.ended_at(OLD["over"])) == ("done", "blue", None)
    assert shape(OLD["flavors"], MachineTypes).machine_types[0].name == "small"
    layout = DoneTaskLayout(OLD["value_kb"], 2.0)
    found = {
        n
        for page in OLD["parts"].values()
        for name, item in page.items()
        for n in layout.decode(name, item)[1]
    }
    assert found == DONE


@pytest.mark.parametrize("kept_kb", [1.0, 2.0, 4.0, 16.0])
def test_what_is_written_is_read_by_production(kept_kb: float) -> None:
    old = production.production()
    one = spec("req-000041", task_count=900, depends_on=["req-1"], deadline_s=90.0)
    (_, value), *_ = records.job_rows(one, kept_kb, 4)
    assert old.records.job_from(value).pieces == 900
    over = records.outcome_value(one, "aborted", 1234.5, kept_kb)
    assert old.records.over_from(over)[0] == "aborted" and "awaits" not in over["spec"]
    # Decode as a leader of the production version does: segment number times segment size, plus the
    # ranges.
    layout = DoneTaskLayout(OLD["value_kb"], kept_kb)
    size = old.records.part_size(OLD["value_kb"])
    found: list[int] = []
    for base in layout.item_starts(900):
        end = min(layout.item_end(base), 900)
        item = layout.encode(base, (n for n in range(base, end) if n in DONE))
        assert len(json.dumps(item)) <= kept_kb * 1024
        job_id, part = old.records.part_from(layout.item_name("req-000041", base))
        assert job_id == "req-000041"
        found += [part * size + n for n in old.records.from_ranges(item)]
    assert sorted(found) == sorted(DONE)
    names = layout.item_names("req-000041", 900)
    assert len(set(names)) == len(names)


@pytest.mark.parametrize("other_kb", [1.0, 4.0, 64.0])
def test_a_stretch_keeps_its_meaning_when_the_size_of_values_changes(other_kb: float) -> None:
    # Read with another segment size, an item would mark other tasks as done.
    written, read = DoneTaskLayout(16.0, 2.0), DoneTaskLayout(other_kb, other_kb)
    for base in written.item_starts(900):
        tasks = [n for n in range(base, min(written.item_end(base), 900)) if n in DONE]
        item = written.encode(base, tasks)
        assert read.decode(written.item_name("req-1", base), item) == ("req-1", tasks)
        assert read.has_own_size(item) == (read.segment_size == written.segment_size)


class Service:
    """Values of the state service, with a limit on their size."""

    def __init__(self, pages: dict[str, Any], kb: float) -> None:
        self.rows = dict(pages)
        self.kb = kb

    def write(self, pages: Pages, most: int) -> bool:
        """Write one transaction. Return False when there is nothing left to write."""
        batch = pages.batch(most, 56.0)
        for page, (_, content) in batch.items():
            assert len(json.dumps(content)) <= self.kb * 1024
            if content:
                self.rows[pages.key(page)] = content
            else:
                self.rows.pop(pages.key(page), None)
        pages.written(batch, 9)
        return bool(batch)

    def items(self) -> dict[str, list[Any]]:
        found: dict[str, list[Any]] = {}
        for page in self.rows.values():
            for name, item in page.items():
                found.setdefault(name, []).append(item)
        return found


@pytest.mark.parametrize("most", [1, 2, 4])
def test_a_page_larger_than_permitted_is_split_and_loses_nothing_on_the_way(most: int) -> None:
    # Such a page can be read but not written again: a changed item would be refused for ever.
    service = Service(OLD["roster"], 2.0)
    pages = Pages(records.MACHINE_REGISTRY, 2.0)
    for key, page in OLD["roster"].items():
        pages.load(key, page, 5)
    assert not pages.dirty, "unchanged pages are not rewritten"
    before = service.items()
    pages.drop("host-000007")
    pages.set("host-000999", ["small", "south", False, "10.9.9.9:9"])
    writes = 0
    while service.write(pages, most):
        writes += 1
        assert before.keys() - {"host-000007"} <= service.items().keys(), "no item is ever missing"
    after = service.items()
    assert after.keys() == before.keys() - {"host-000007"} | {"host-000999"}
    assert all(len(found) == 1 for found in after.values()), "no item is on two pages at the end"
    assert writes * most < 60


@pytest.mark.parametrize("seed", range(6))
def test_pages_survive_writers_of_both_versions_that_end_anywhere(seed: int) -> None:
    # Each writer loads what the last one left, changes a few items and stops after a few
    # transactions.
    rng = random.Random(seed)
    old = production.production()
    rows: dict[str, Any] = dict(OLD["roster"])
    expected = {name: item for page in rows.values() for name, item in page.items()}
    dropped: set[str] = set()
    for turn in range(12):
        kind, kb = (old.pages, 16.0) if turn % 2 else (Pages, 2.0)
        service = Service(rows, kb)
        pages = kind(records.MACHINE_REGISTRY, kb)
        for revision, (key, page) in enumerate(sorted(rows.items())):
            pages.load(key, page, revision + 1)
        pages_by_item = pages.where if kind is old.pages else pages.page_of
        assert expected.keys() <= pages_by_item.keys(), turn
        fresh = {
            f"host-{turn:03d}{n:03d}": ["small", "south", False, "10.9.9.9:9"] for n in range(20)
        }
        for name in rng.sample(sorted(expected), 10):
            pages.drop(name)
            dropped.add(name)
            del expected[name]
        for name, item in fresh.items():
            pages.set(name, item)
        most = rng.choice((1, 4))
        for _ in range(rng.randrange(1, 40)):
            if not service.write(pages, most):
                expected |= fresh  # all of it was written
                break
        rows = service.rows
        # A machine counts as registered once its page is written, and these writers get no answer.
        # Dropped machines may reappear, and are then found to be gone.
        assert expected.keys() <= service.items().keys(), turn


def test_machine_types_that_no_value_holds_are_kept_in_several() -> None:
    types = msgspec.to_builtins(
        [msgspec.structs.replace(FLAVORS[0], name=f"type-{n:03d}") for n in range(40)]
    )
    assert [key for key, _ in records.machine_type_rows(types[:3], 2.0)] == ["flavors"]
    rows = dict(records.machine_type_rows(types, 2.0))
    assert len(rows) > 2 and "flavors" not in rows, (
        "a partial list would refuse jobs that need the other types"
    )
    assert all(len(json.dumps(value)) <= 2048 for value in rows.values())
    assert records.join_machine_types(rows) == {"builds": types}
    for key in rows:
        assert records.join_machine_types({k: v for k, v in rows.items() if k != key}) is None
    with pytest.raises(records.RecordTooLargeError):
        records.machine_type_rows([types[0] | {"paddocks": ["z" * 3000]}], 2.0)


def test_records_with_the_longest_names_fit_or_are_refused() -> None:
    long = "ä" * 200
    with pytest.raises(records.RecordTooLargeError):
        records.job_rows(spec("req-1", job_class=long, image=long), 2.0, 4)
    assert records.job_rows(spec("req-1", job_class="b" * 200, image="k" * 200), 2.0, 4)
    # A job accepted while larger values were permitted: its outcome must still be stored.
    over = records.outcome_value(spec("req-1", job_class=long, image=long), "done", 5.0, 2.0)
    assert records.fits(over, 2.0) and records.decode_outcome(over)[1].team == "blue"
    job_ids = [f"req-{n:06d}" for n in range(4000)]
    with pytest.raises(records.RecordTooLargeError, match="4000 jobs need"):
        records.job_rows(spec("req-1", depends_on=job_ids), 2.0, 4)
    rows = records.job_rows(spec("req-1", depends_on=job_ids[:500]), 2.0, 4)
    assert 2 <= len(rows) <= 4 and all(records.fits(value, 2.0) for _, value in rows)


# -- rolling upgrades ---------------------------------------------------------------------


async def upgrade(world: World, name: str, down_s: float = 1.0) -> None:
    await world.crash(name)
    await asyncio.sleep(down_s)
    world.version = production.THIS
    world.boot(name)


async def upgrade_in_order(world: World) -> None:
    for name in world.names:
        await asyncio.sleep(7.0)
        await upgrade(world, name)


async def upgrade_in_reverse_with_crashes(world: World) -> None:
    """Upgrade in reverse order with crashes; crashed processes keep their version."""
    old = world.version
    for name in reversed(world.names):
        await asyncio.sleep(5.0)
        for _ in range(2):
            leader = world.leader()
            if leader is not None:
                dead = leader.settings.member
                version = world.versions[dead]
                await world.crash(dead)
                await asyncio.sleep(0.3)
                world.version = version
                world.boot(dead)
            await asyncio.sleep(4.0)
        world.version = old
        await upgrade(world, name, 0.2)


async def crash_all_during_upgrade(world: World) -> None:
    await asyncio.sleep(9.0)
    await upgrade(world, "n1")
    await asyncio.sleep(6.0)
    versions = dict(world.versions)
    for name in world.names:
        await world.crash(name)
    await asyncio.sleep(4.0)
    for name in world.names:
        world.version = versions[name]
        world.boot(name)
    await asyncio.sleep(8.0)
    for name in ("n0", "n2"):
        await upgrade(world, name)
        await asyncio.sleep(5.0)


async def state_outage_during_upgrade(world: World) -> None:
    upgrade_plan = asyncio.create_task(upgrade_in_order(world))
    await test_days.state_outage(world)
    await upgrade_plan


async def partition_during_upgrade(world: World) -> None:
    """Partition the zones during the upgrade, with an old or a new controller on each side."""
    world.areas["n1"] = "south"
    await asyncio.sleep(4.0)
    await upgrade(world, "n1")
    await asyncio.sleep(6.0)
    world.zones_partitioned = True
    await asyncio.sleep(9.0)
    await upgrade(world, "n0")
    await asyncio.sleep(9.0)
    world.zones_partitioned = False
    await upgrade(world, "n2")


async def late_writes_of_old_version(world: World) -> None:
    """Deliver transactions, heartbeats and commands of the old version after its end."""
    world.copies = 0.3
    world.extra_latency_s = lambda source, path: (
        world.rng.choice((0.0, 0.0, 0.0, 9.0)) if path in ("/txn", "/do") else 0.0
    )
    await upgrade_in_order(world)
    await asyncio.sleep(6.0)
    world.extra_latency_s = lambda source, path: 0.0
    world.copies = 0.0


UPGRADES = [
    upgrade_in_order,
    upgrade_in_reverse_with_crashes,
    crash_all_during_upgrade,
    state_outage_during_upgrade,
    partition_during_upgrade,
    late_writes_of_old_version,
]


@pytest.mark.parametrize("upgrade_plan", UPGRADES, ids=lambda upgrade_plan: upgrade_plan.__name__)
@pytest.mark.parametrize("seed", [1, 2])
def test_both_versions_serve_side_by_side(upgrade_plan: Any, seed: int) -> None:
    async def scenario() -> World:
        world = World(seed=seed, version=production.production(), next=test_pipelines.NEXT)
        upgrading = asyncio.create_task(upgrade_plan(world))
        for n, one in enumerate(test_days.JOBS):
            assert await world.submit(one) in (200, 201)
            await world.submit(
                spec(f"req-{n + 20}", task_count=30, vcpus=0.5, ram_gb=1.0, estimated_run_s=6.0)
            )
            await asyncio.sleep(2.0)
        assert await world.cancel("req-6") in ("aborted", "done")
        while not upgrading.done():
            await asyncio.sleep(2.0)
            for job_id in list(world.last_phases):
                await world.poll(job_id)
        await upgrading
        assert {version.package for version in world.versions.values()} == {"salthead"}
        # New features are used only after the upgrade, and the lower limits apply without notice.
        world.state.limits |= test_pipelines.NEXT
        for one in test_pipelines.STAGES:
            await world.submit(
                msgspec.structs.replace(
                    one,
                    job_id=one.job_id + "00",
                    depends_on=[job_id + "00" for job_id in one.depends_on or []] or None,
                )
            )
        await asyncio.sleep(3.0)
        await world.cancel("req-500")
        world.faults_end_at = world.now()
        await world.poll_until_terminal()
        await asyncio.sleep(40.0)
        assert not world.on_machines()
        return world

    world = run(scenario)
    assert world.broken == [] and world.state.refused == []
    assert world.last_phases["req-400"] == "done" and world.last_phases["req-800"] == "aborted"


def test_no_write_is_larger_than_what_will_be_permitted() -> None:
    # Every kind of key is checked from the first write on: the service refuses and counts values
    # that are too large.
    async def scenario() -> World:
        world = World(
            seed=2, areas={"n1": "south"}, max_machines=60, value_kb=16.0, next=test_pipelines.NEXT
        )
        world.state.limits |= test_pipelines.NEXT
        machine_types = {
            f"type-{n}": msgspec.structs.replace(FLAVORS[0], name=f"type-{n}") for n in range(30)
        }
        for key, page in OLD["roster"].items():  # terminated machines, on pages of the old size
            gone = {name.replace("host-", "host-9"): item for name, item in page.items()}
            world.state.keys[key] = (gone, 1, None)
        world.state.keys["done/000000"] = (OLD["parts"]["done/000000"], 1, None)
        world.state.keys["job/req-000041"] = (
            OLD["job"] | {"pieces": 900, "guess_s": 1.0, "vcpus": 0.1, "ram_gb": 0.1},
            1,
            None,
        )
        world.specs["req-000041"] = records.decode_job(world.state.keys["job/req-000041"][0])
        world.last_phases["req-000041"] = "queued"
        world.done |= {f"req-000041/{n}" for n in DONE}
        await asyncio.sleep(3.0)
        leader = world.leader()
        assert leader is not None and leader.term is not None
        leader.machine_types |= machine_types
        job = leader.term.ledger.jobs["req-000041"]
        assert {n for n in range(900) if job.done[n]} == DONE
        for n in range(12):
            await world.submit(spec(f"req-{n}", task_count=40, estimated_run_s=9.0, vcpus=4.0))
        await world.submit(spec("req-77", depends_on=[f"req-{n}" for n in range(12)] * 1))
        world.zones_partitioned = True
        await asyncio.sleep(14.0)
        world.zones_partitioned = False
        await world.cancel("req-3")
        await world.poll_until_terminal(900.0)
        return world

    world = run(scenario)
    assert world.broken == [] and world.state.refused == []
    written = {(c.get("set") or c["drop"]).split("/")[0] for c in world.state.log}
    assert {"job", "over", "done", "roster", "lead", "token", "flavors", "keep"} <= written
    assert world.last_phases["req-77"] == "aborted" and world.last_phases["req-000041"] == "done"
