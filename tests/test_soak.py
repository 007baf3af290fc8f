"""The soak: its command line, what it calls broken, and a short seeded run."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace

import pytest

import soak
import soak_faults
from helpers import LIMITS, spec
from local_setup import end_other_tasks
from soak_world import SoakWorld

SOAK = Path(soak.__file__)


def command(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, str(SOAK), *words], capture_output=True, text=True, timeout=600
    )


@pytest.mark.parametrize(
    "words",
    [("--seeds", "x"), ("--seeds", ""), ("--workers", "2"), ("--seconds", "1"), ("--what",)],
    ids=" ".join,
)
def test_a_bad_argument_gets_one_line(words: tuple[str, ...]) -> None:
    found = command(*words)
    assert found.returncode == 2 and found.stdout == ""
    assert found.stderr.startswith("soak.py: ") and found.stderr.count("\n") == 1


def test_a_seed_names_its_faults() -> None:
    one, again, other = (soak_faults.plan(seed, 40.0) for seed in (3, 3, 4))
    assert one == again != other
    assert {fault.kind for seed in range(40) for fault in soak_faults.plan(seed, 40.0)} == set(
        soak_faults.KINDS
    )
    assert command("--plan", "--seeds", "3").stdout.startswith(f"seed 3: {one[0]}\n")


def test_a_short_run_breaks_no_rule(tmp_path: Path) -> None:
    found = command(
        *("--seeds", "1001-1002", "--processes", "2", "--workers", "16", "--seconds", "15"),
        *("--keep", str(tmp_path)),
    )
    assert found.returncode == 0, found.stdout + found.stderr


def start(world: SoakWorld, task_id: str, zone: str = "north", spot: bool = False) -> None:
    """Start a task on a new worker, which goes on to show it."""
    worker = SimpleNamespace(
        name=f"host-{world.next_number()}", zone=zone, spot=spot, machine_type="small", up=True
    )
    world.before_start(worker, task_id)  # type: ignore[arg-type]
    worker.tasks = {(task_id, 1): {"phase": "running"}}
    world.cloud.hosts[worker.name] = worker  # type: ignore[assignment]


def tell(world: SoakWorld, phase: str, job_id: str = "req-1") -> None:
    world.check_phase(job_id, phase, world.now())


def twice(world: SoakWorld) -> None:
    start(world, "req-1/0")
    start(world, "req-1/0")


def after_it_was_done(world: SoakWorld) -> None:
    world.state.keys["over/req-1"] = ({"phase": "done", "spec": {}}, 1, None)
    start(world, "req-1/0")


def above_the_limit(world: SoakWorld) -> None:
    for n in range(4):  # of 8 CPUs each, where red may use 24
        start(world, f"req-2/{n}")


def in_another_zone(world: SoakWorld) -> None:
    start(world, "req-3/0", zone="south")


def after_it_was_cancelled(world: SoakWorld) -> None:
    world.cancel_requested.add("req-1")
    tell(world, "aborted")
    world.cancelled["req-1"] -= 5.0
    start(world, "req-1/0")


def there_long_after(world: SoakWorld) -> None:
    start(world, "req-1/0")
    world.cancel_requested.add("req-1")
    tell(world, "aborted")
    world.cancelled["req-1"] -= LIMITS["workers"]["cancel_s"] + 1.0


def an_older_answer(world: SoakWorld) -> None:
    world.done |= {"req-1/0", "req-1/1"}
    tell(world, "done")
    world.terminal_phases["req-1"] = ("done", world.now() - 1.0)
    tell(world, "running")


def done_too_early(world: SoakWorld) -> None:
    tell(world, "done")


def cancelled_by_nobody(world: SoakWorld) -> None:
    tell(world, "aborted")


def invented(world: SoakWorld) -> None:
    tell(world, "queued", "req-99")


FAULTS: list[tuple[Callable[[SoakWorld], None], str]] = [
    (twice, "ran_twice"),
    (after_it_was_done, "ran_twice"),
    (above_the_limit, "quota"),
    (in_another_zone, "wrong_place"),
    (after_it_was_cancelled, "ran_cancelled"),
    (there_long_after, "ran_cancelled"),
    (an_older_answer, "went_back"),
    (done_too_early, "not_done"),
    (cancelled_by_nobody, "went_back"),
    (invented, "invented"),
]


@pytest.mark.parametrize(("fault", "rule"), FAULTS, ids=lambda one: getattr(one, "__name__", ""))
def test_each_broken_rule_is_seen_from_outside(
    fault: Callable[[SoakWorld], None], rule: str
) -> None:
    async def day() -> list[str]:
        world = SoakWorld([])
        world.watch_zones(8)
        world.specs |= {
            "req-1": spec("req-1"),
            "req-2": spec("req-2", team="red", task_count=4, vcpus=8.0),
            "req-3": spec("req-3", zone="north"),
        }
        world.spec = lambda job_id: world.specs.get(job_id)  # type: ignore[method-assign]
        fault(world)
        await asyncio.sleep(0.6)  # what is on machines is looked at four times a second
        world.cloud.hosts.clear()
        await end_other_tasks()
        return world.broken

    assert [one.split()[0] for one in asyncio.run(day())] == [rule]
