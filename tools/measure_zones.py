"""What a zone's loss and return cost on fake time, with the policy off and on.

    python3 tools/measure_zones.py [SEEDS]

Stand-ins only: 20 machines in two zones, all work in the one that is lost, room for half of it
elsewhere. Prints, for each policy, means over the seeds.
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

COLD_S = 9.0  # a start on a machine that has come back without its images
LOST_S, WATCHED_S = 45.0, 60.0


@dataclass(frozen=True)
class Measured:
    """Seconds after the loss, and starts after the return."""

    guaranteed_s: float
    gang_s: float
    arrays_s: float
    cold_starts: int
    lost_tasks: int


async def scene(seed: int, policy: Policy) -> Measured:
    """Lose the zone that everything runs in, and bring it back cold."""
    world = ZoneDay(seed, policy=policy)
    world.fetch_s = lambda worker: COLD_S if worker.zone == "south" and back else 0.5
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
    await asyncio.sleep(LOST_S)
    back = True
    back_at = world.now()
    world.bring_back("south")
    await asyncio.sleep(WATCHED_S)
    assert world.broken == [] and world.history.broken == []
    return measured(world.history.placements, lost_at, back_at, lost_tasks)


def measured(
    placements: list[tuple[float, str, str]], lost_at: float, back_at: float, lost_tasks: int
) -> Measured:
    """What the placements of a scene came to."""

    def after(job_id: str, count: int) -> float:
        starts = [at - lost_at for at, other, _ in placements if other == job_id and at >= lost_at]
        return starts[count - 1] if len(starts) >= count else LOST_S + WATCHED_S

    return Measured(
        guaranteed_s=after("req-3", 2),
        gang_s=after("req-2", 3),
        arrays_s=after("req-1", 20),
        cold_starts=sum(at >= back_at and zone == "south" for at, _, zone in placements),
        lost_tasks=lost_tasks,
    )


def main() -> None:
    """Print the table."""
    logging.disable(logging.CRITICAL)
    seeds = range(1, 1 + (int(sys.argv[1]) if len(sys.argv) > 1 else 5))
    print("policy  guaranteed  whole gang  half of the array  cold starts  tasks lost")
    for name, policy in (("off", NO_POLICY), ("on", POLICY)):
        rows = [run(partial(scene, seed, policy)) for seed in seeds]
        means = [
            statistics.fmean(getattr(row, column) for row in rows)
            for column in Measured.__dataclass_fields__
        ]
        widths = ("10.1f", "10.1f", "17.1f", "11.1f", "10.1f")
        cells = [f"{mean:{width}}" for mean, width in zip(means, widths, strict=True)]
        print(f"{name:6}  " + "  ".join(cells))


if __name__ == "__main__":
    main()
