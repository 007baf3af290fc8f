"""Loss and recovery of a zone of loopback workers with a controller in it.

The controllers are separate processes that speak HTTP. The workers, the cloud and the state service
are stand-ins in this process. All processes are killed at the end.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from helpers import LIMITS, given, spec
from local_setup import LocalSetup, LocalWorld, end_other_tasks
from salthead.protocol.messages import Submission
from salthead.transport.client import Answer, UnansweredError
from test_zones import ENTRIES
from zone_world import ZoneWorld

# Intervals of the stand-in workers; a lease is as many heartbeat intervals as elsewhere.
FAST = {"report_s": 0.6, "lease_s": 4.0, "gang_wait_s": 15.0, "gang_peer_s": 2.0, "cancel_s": 20.0}
POLICY = ENTRIES | {"return_after_s": 1.0, "step_s": 1.5, "probe_after_s": 3.0}
MACHINES = 4  # in each zone
TIMEOUT_S = 60.0

JOBS = [
    spec("req-1", urgency="idle", task_count=60, vcpus=1.0, estimated_run_s=6.0),
    spec("req-2", shape="gang", task_count=3, vcpus=6.0, estimated_run_s=12.0, single_zone=True),
    spec("req-3", team="red", task_count=2, vcpus=4.0, estimated_run_s=15.0),
    spec("req-4", shape="gang", task_count=2, vcpus=6.0, estimated_run_s=9.0, single_zone=True),
]


class LocalZones(ZoneWorld, LocalWorld):
    """The stand-ins of a local set-up, with zones that can be lost."""

    def __init__(self, addresses: list[str]) -> None:
        LocalWorld.__init__(self, addresses)
        self.boot_s = 0.5
        self.watch_zones(MACHINES)

    async def request(self, method: str, path: str, body: Any = None) -> Answer:
        """Send a request to the controllers in turn until one answers 200 or 201."""
        end = self.now() + TIMEOUT_S
        while self.now() < end:
            for caller in self.callers:
                try:
                    answer = await caller.call(method, path, body, timeout=3.0)
                except UnansweredError:
                    continue
                if answer.status in (200, 201):
                    return answer
            await asyncio.sleep(0.3)
        raise AssertionError(f"{method} {path}: no controller answered 200 or 201")

    async def until_zone(self, *states: str) -> None:
        """Wait until the overview shows the south in one of the states."""
        end = self.now() + TIMEOUT_S
        while self.now() < end:
            zones = (await self.request("GET", "/overview")).body["zones"]
            if any(zone["name"] == "south" and zone["state"] in states for zone in zones):
                return
            await asyncio.sleep(0.2)
        raise AssertionError(f"the south was never {states}: {zones}")

    async def until_done(self, jobs: list[Submission]) -> None:
        """Wait until all jobs are reported as done."""
        end = self.now() + TIMEOUT_S
        left = {one.job_id for one in jobs}
        while left and self.now() < end:
            for job_id in sorted(left):
                if (await self.request("GET", f"/work/{job_id}")).body["phase"] == "done":
                    left.discard(job_id)
            await asyncio.sleep(0.3)
        assert not left


def test_a_zone_is_killed_and_brought_back(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    for name, value in FAST.items():
        monkeypatch.setitem(LIMITS["workers"], name, value)
    policy = tmp_path / "policy.toml"
    entries = [f"{k} = {str(v).lower()}" for k, v in POLICY.items()]
    policy.write_text("\n".join(["[zone_recovery]", *entries]) + "\n")

    async def scenario() -> tuple[LocalZones, float]:
        areas = ("north", "north", "south")
        with LocalSetup(3, areas, policy, LocalZones) as local:
            world = local.world
            assert isinstance(world, LocalZones)
            world.max_machines_in_zone["north"] = 2
            for one in JOBS:
                await world.request("POST", "/work", given(one))
            while not {"req-2", "req-3"} <= world.first_start_at.keys():
                await asyncio.sleep(0.1)
            lost_at = world.now()
            world.lose_machines("south", dead=True)
            local.kill(2)
            world.max_machines_in_zone["north"] = MACHINES
            await world.until_zone("lost")
            await asyncio.sleep(2.0)
            world.return_machines("south", MACHINES)
            local.start(2)
            # A lost zone is probed with new machines only while work needs the zone.
            late = spec("req-5", task_count=60, vcpus=1.0, estimated_run_s=4.0, zone="south")
            await world.request("POST", "/work", given(late))
            await world.until_zone("recovering", "available")
            await world.until_done([*JOBS, late])
            await world.until_zone("available")
            processes = list(local.processes.values())
            assert all(process.poll() is None for process in processes), "no controller has ended"
            return world, lost_at

    async def scenario_with_cleanup() -> tuple[LocalZones, float]:
        try:
            return await scenario()
        finally:
            await end_other_tasks()

    world, lost_at = asyncio.run(scenario_with_cleanup())
    order = [row for row in world.history.placements if row[0] >= lost_at]
    assert world.broken == [] and world.history.broken == []
    assert {zone for _, _, zone in order} == {"north", "south"}
    assert len(world.history.placements) >= sum(one.task_count for one in JOBS)
