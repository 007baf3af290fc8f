"""Measure the loss and recovery of a zone on simulated time, with the zone policy off and on.

    python3 tools/measure_zones.py [SEEDS]

Runs against simulated workers and services: 20 machines in two zones, with all tasks in the zone
that is lost and capacity for half of them elsewhere. Prints the means over the seeds per policy.
"""

from __future__ import annotations

import asyncio
import logging
import statistics
import sys
from dataclasses import dataclass
from functools import partial
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests"), str(ROOT / "tools"), str(ROOT)]

from builders.submissions import submission  # noqa: E402
from salthead.policy import NO_POLICY, Policy  # noqa: E402
from standins import run  # noqa: E402
from test_zone_days import POLICY, ZoneDay, array, gang  # noqa: E402

WARM_START_S = 0.5
COLD_START_S = 9.0  # on a machine that has come back without its images
OUTAGE_S, RECOVERY_S = 45.0, 60.0


@dataclass(frozen=True)
class Measurement:
    """Start times in seconds after the loss, and counts of starts and lost tasks."""

    guaranteed_s: float
    gang_s: float
    arrays_s: float
    cold_starts: int
    lost_tasks: int


async def run_scenario(seed: int, policy: Policy) -> Measurement:
    """Lose the zone that all tasks run in, and bring it back without cached images."""
    world = ZoneDay(seed, policy=policy)
    world.fetch_s = lambda worker: COLD_START_S if worker.zone == "south" and back else WARM_START_S
    back = False
    world.max_machines_in_zone["north"] = 0
    await asyncio.sleep(2.0)
    small = {"machine_types": ["small"]}
    for job in (
        array("req-1", urgency="normal", task_count=40, vcpus=1.0, **small),
        gang("req-2", task_count=3, vcpus=7.0, estimated_run_s=150.0),
        submission("req-3", team="red", vcpus=4.0, estimated_run_s=150.0, **small),
    ):
        await world.submit(job)
        await asyncio.sleep(8.0)
    await asyncio.sleep(10.0)
    lost_at, lost_tasks = world.now(), len(world.on_machines())
    await world.lose("south", dead=True)
    world.max_machines_in_zone["north"] = 5
    await asyncio.sleep(OUTAGE_S)
    back = True
    back_at = world.now()
    world.bring_back("south")
    await asyncio.sleep(RECOVERY_S)
    assert world.broken == [] and world.history.broken == []
    return summarize(world.history.placements, lost_at, back_at, lost_tasks)


def summarize(
    placements: list[tuple[float, str, str]], lost_at: float, back_at: float, lost_tasks: int
) -> Measurement:
    """Summarize the placements of a scenario."""

    def seconds_until_started(job_id: str, count: int) -> float:
        starts = [
            at - lost_at for at, placed, _ in placements if placed == job_id and at >= lost_at
        ]
        return starts[count - 1] if len(starts) >= count else OUTAGE_S + RECOVERY_S

    return Measurement(
        guaranteed_s=seconds_until_started("req-3", 2),
        gang_s=seconds_until_started("req-2", 3),
        arrays_s=seconds_until_started("req-1", 20),
        cold_starts=sum(at >= back_at and zone == "south" for at, _, zone in placements),
        lost_tasks=lost_tasks,
    )


def main() -> None:
    """Print a table with one row per policy."""
    logging.disable(logging.CRITICAL)
    seeds = range(1, 1 + (int(sys.argv[1]) if len(sys.argv) > 1 else 5))
    print("policy  guaranteed  whole gang  half of the array  cold starts  tasks lost")
    for name, policy in (("off", NO_POLICY), ("on", POLICY)):
        rows = [run(partial(run_scenario, seed, policy)) for seed in seeds]
        means = [
            statistics.fmean(getattr(row, column) for row in rows)
            for column in Measurement.__dataclass_fields__
        ]
        widths = ("10.1f", "10.1f", "17.1f", "11.1f", "10.1f")
        cells = [f"{mean:{width}}" for mean, width in zip(means, widths, strict=True)]
        print(f"{name:6}  " + "  ".join(cells))


if __name__ == "__main__":
    main()
