"""A long run on fake time with small caches: the tables of a controller stay bounded."""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from typing import Any

import pytest

from helpers import spec
from salthead.cluster import ended_jobs, machine_registry
from salthead.cluster.dependency_graph import DependencyGraph
from salthead.controller import job_cache
from salthead.leases import redirects
from standins import World, run

PERIODS = 3
PERIOD_S = 400.0
JOB_EVERY_S = 20.0
CACHE_SIZE = (
    12  # entries; the caches of final states are limited to this so that they fill within the run
)
TABLES = (dict, OrderedDict, list, set, deque)


def table_sizes(controller: Any) -> dict[str, int]:
    """Return the size of each table of a controller, its term and the parts of the term."""
    parts = {
        "controller": controller,
        "zone lease": controller.zone_lease_delegate.lease,
        "redirects": controller.zone_lease_delegate.lease.redirects,
        "connectivity": controller.connectivity,
        "context": controller.context,
        "job cache": controller.job_cache,
        "leader view": controller.leader_view,
        "store": controller.state_store,
    }
    if controller.term is not None:
        term = controller.term
        parts |= {
            "term": term,
            "ledger": term.ledger,
            "machines": term.ledger.machine_registry,
            "jobs": term.ledger.job_table,
            "ended jobs": term.ledger.job_table.ended_jobs,
            "allocations": term.ledger.allocations,
            "dependencies": term.ledger.dependencies,
            "orphan tasks": term.ledger.orphans,
            "pipelines": term.ledger.dependency_graph,
            "estimates": term.ledger.estimates,
            "outcomes": term.outcomes,
            "job records": term.job_records,
            "autoscaler": term.autoscaler,
            "views": term.views,
            "fleet metrics": term.fleet_metrics,
            "background": term.background,
            "done pages": term.done_tasks.pages,
            "machine registry": term.machine_registry.pages,
            "done tasks": term.done_tasks,
            "save loop": term.save_loop,
            "registry": term.machine_registry,
            "scheduling": term.scheduling_loop,
            "machine types": term.machine_type_records,
            "withheld": term.ledger.blocked_actions,
        }
    return {
        f"{part}.{name}": len(value)
        for part, owner in parts.items()
        for name, value in vars(owner).items()
        if isinstance(value, TABLES)
    }


async def submit_for(world: World, seconds: float, first: int) -> int:
    """Submit small jobs, some dependent and some cancelled, and return the last number."""
    until, number = world.now() + seconds, first
    while world.now() < until:
        number += 1
        after = [f"req-{number - 1}"] if number % 5 == 0 else None
        await world.submit(
            spec(f"req-{number}", task_count=3, estimated_run_s=6.0, depends_on=after)
        )
        if number % 7 == 0:
            await world.cancel(f"req-{number}")
        await asyncio.sleep(JOB_EVERY_S)
    return number


def test_jobs_leave_no_more_behind_than_the_caches_hold(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(job_cache, "MAX_REMEMBERED_OUTCOMES", CACHE_SIZE)
    monkeypatch.setattr(DependencyGraph, "MAX_REMEMBERED_DONE", CACHE_SIZE)
    monkeypatch.setattr(ended_jobs, "MIN_REMEMBERED_JOBS", CACHE_SIZE)
    monkeypatch.setattr(machine_registry, "MIN_REMEMBERED_MACHINES", CACHE_SIZE)
    monkeypatch.setattr(redirects, "MIN_REMEMBERED_REDIRECTS", CACHE_SIZE)

    async def scenario() -> tuple[World, list[dict[str, int]]]:
        world = World(seed=3)
        number, found = 0, []
        for _ in range(PERIODS):
            number = await submit_for(world, PERIOD_S, number)
            await world.poll_until_terminal()
            found.append(
                {
                    f"{name} {table}": size
                    for name, controller in world.controllers.items()
                    for table, size in table_sizes(controller).items()
                }
            )
        return world, found

    world, periods = run(scenario)
    assert world.broken == [] and len(world.terminal_phases) >= PERIODS * 15
    for table, size in periods[-1].items():
        assert size <= CACHE_SIZE or size <= periods[0].get(table, 0), (
            table,
            [h.get(table) for h in periods],
        )
