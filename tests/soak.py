"""A soak: three real controllers over loopback, random faults, and rules checked from outside.

    python3 tests/soak.py --seeds 1-50 --workers 40 --processes 4 --seconds 30

plays each seed in a process of its own and prints a line for each. The exit code is 0 only if no
rule was broken. Of a seed that broke one, what the controllers logged, its faults and its history
are kept. ``--plan`` prints the faults of the seeds and plays nothing.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
if __name__ == "__main__":
    sys.path[:0] = [str(ROOT / "target" / "deps"), *(str(ROOT / p) for p in ("src", "tests"))]
    sys.path.append(str(ROOT / "tools"))

import soak_faults  # noqa: E402
from builders.platform import LIMITS  # noqa: E402
from soak_world import SoakSetup, SoakWorld, Users  # noqa: E402

FAST = {"report_s": 0.6, "lease_s": 6.0, "gang_wait_s": 15.0, "gang_peer_s": 2.0, "cancel_s": 20.0}
CPUS = 8.0  # of a small machine
JOBS_A_SECOND = 0.8
# Longer than a busy machine needs: that a job is never served is the fault, not when.
SERVED_WITHIN_S = 240.0
LOGGED_FAULT = re.compile(r"invariant_broken|Traceback|ends by an error|background work failed")
LEFT_RUNNING_S = 10.0  # for a seed's process to end its controllers when it is interrupted


@dataclass
class Outcome:
    """What a seed came to."""

    seed: int
    broken: list[str] = field(default_factory=list)
    jobs: int = 0
    starts: int = 0
    faults: int = 0
    terms: int = 0

    def line(self) -> str:
        """For people."""
        counts = f"{self.jobs} jobs, {self.starts} starts, {self.faults} faults, {self.terms} terms"
        verdict = f"BROKEN {len(self.broken)}: {self.broken[0]}" if self.broken else "ok"
        return f"seed {self.seed}: {verdict} ({counts})"


def scale_to(workers: int) -> None:
    """Heartbeats and leases as fast as loopback allows, and limits that the work exceeds."""
    LIMITS["workers"].update(FAST)
    red, blue = LIMITS["teams"]
    red.update(cpus=0.05 * workers * CPUS, cpus_max=max(24.0, 0.15 * workers * CPUS))
    blue.update(cpus=0.2 * workers * CPUS, cpus_max=max(64.0, 0.5 * workers * CPUS))


async def play(seed: int, workers: int, seconds: float, folder: Path) -> Outcome:
    """One seed from beginning to end."""
    scale_to(workers)
    faults = soak_faults.plan(seed, seconds)
    setup = SoakSetup(3, ("north", "north", "south"), ROOT / "deploy/partial-cuts.toml", SoakWorld)
    setup.logs = folder
    world = setup.world
    world.rng.seed(seed)
    users = Users(world, random.Random(seed), workers)
    try:
        await setup.make_proxies()
        await world.listen(workers)
        with setup:
            world.later(0.0, users.submit_loop(JOBS_A_SECOND))
            world.later(0.0, users.ask_loop())
            await soak_faults.play(setup, faults)
            users.ending = True
            world.broken += await serve_all(world)
            world.broken += [
                f"controller n{n} ended by itself with {process.returncode}"
                for n, process in setup.processes.items()
                if process.poll() is not None
            ]
            terms = int(world.state.keys["token"][0]["n"])
    finally:
        await setup.stop(world.listening)
    broken = [*world.broken, *world.history.broken, *logged_faults(folder)]
    return Outcome(seed, broken, len(world.specs), world.starts, len(faults), terms)


async def serve_all(world: SoakWorld) -> list[str]:
    """After the last fault each job that was accepted ends; those that did not."""
    end = world.now() + SERVED_WITHIN_S
    while world.now() < end:
        left = [
            job_id
            for job_id in world.specs
            if job_id not in world.terminal_phases or job_id not in world.accepted
        ]
        if not left:
            return []
        await asyncio.sleep(0.5)
    return [f"forgotten {job_id}: not over long after the last fault" for job_id in left]


def logged_faults(folder: Path) -> list[str]:
    """What the controllers themselves call a fault of their own."""
    return [
        f"{path.stem} logged: {line[:300]}"
        for path in sorted(folder.glob("n*.log"))
        for line in path.read_text(errors="replace").splitlines()
        if LOGGED_FAULT.search(line)
    ]


def play_here(seed: int, options: argparse.Namespace) -> int:
    """Play one seed in this process, and leave its outcome in its folder."""
    folder = Path(options.keep) / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    found = asyncio.run(play(seed, options.workers, options.seconds, folder))
    (folder / "outcome.json").write_text(json.dumps(asdict(found), indent=1))
    return 1 if found.broken else 0


def play_apart(seed: int, options: argparse.Namespace) -> Outcome:
    """Play one seed in a process of its own."""
    folder = Path(options.keep) / f"seed-{seed}"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    words = [sys.executable, str(Path(__file__).resolve()), "--one", "--seeds", str(seed)]
    for name in ("workers", "seconds", "keep"):
        words += [f"--{name}", str(getattr(options, name))]
    with (folder / "soak.log").open("wb") as log:
        process = subprocess.Popen(words, stdout=log, stderr=log)
        options.running.add(process)
        process.wait()
        options.running.discard(process)
    plan = "\n".join(str(fault) for fault in soak_faults.plan(seed, options.seconds))
    (folder / "faults.txt").write_text(plan + "\n")
    if not (folder / "outcome.json").exists():
        return Outcome(seed, [f"no outcome: see {folder / 'soak.log'}"])
    found = Outcome(**json.loads((folder / "outcome.json").read_text()))
    if not found.broken:
        shutil.rmtree(folder)
    return found


def play_all(options: argparse.Namespace) -> int:
    """All seeds, some at a time; the exit code."""
    options.running = set()
    outcomes = []
    pool = ThreadPoolExecutor(options.processes)
    try:
        for found in pool.map(lambda seed: play_apart(seed, options), options.seeds):
            print(found.line(), flush=True)
            outcomes.append(found)
    except KeyboardInterrupt:
        print("interrupted", file=sys.stderr)
        return 130
    finally:
        pool.shutdown(wait=False, cancel_futures=True)
        for process in list(options.running):
            process.terminate()
        for process in list(options.running):
            process.wait(LEFT_RUNNING_S)
    bad = [found for found in outcomes if found.broken]
    print(f"{len(outcomes)} seeds, {len(bad)} broke a rule", end="")
    print(f"; kept in {options.keep}" if bad else "")
    return 1 if bad else 0


def seeds_from(text: str) -> list[int]:
    """``7``, ``1-50`` or ``1,4,9-12``."""
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    if not found:
        raise ValueError("no seeds")
    return found


def at_least(least: float) -> type[float]:
    """A number that is no smaller."""

    def number(text: str) -> float:
        if not float(text) >= least:
            raise ValueError(text)
        return float(text)

    return number  # type: ignore[return-value]


class OneLine(argparse.ArgumentParser):
    """Says what is wrong in one line."""

    def error(self, message: str) -> None:  # type: ignore[override]
        """Exit code 2."""
        self.exit(2, f"soak.py: {message}\n")


def main() -> int:
    """The command line."""
    parser = OneLine(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=seeds_from, default=seeds_from("1-4"), help="as 1-50")
    parser.add_argument("--workers", type=int, default=16, choices=range(8, 601), metavar="N")
    parser.add_argument("--processes", type=int, default=2, choices=range(1, 17), metavar="P")
    parser.add_argument("--seconds", type=at_least(6.0), default=30.0, help="of faults, from 6")
    parser.add_argument("--keep", default="", help="folder for what broke; else a new one")
    parser.add_argument("--plan", action="store_true", help="print the faults and play nothing")
    parser.add_argument("--one", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    options.keep = options.keep or tempfile.mkdtemp(prefix="soak-")
    if options.plan:
        for seed in options.seeds:
            for fault in soak_faults.plan(seed, options.seconds):
                print(f"seed {seed}: {fault}")
        return 0
    if options.one:
        return play_here(options.seeds[0], options)
    return play_all(options)


if __name__ == "__main__":
    os.environ.setdefault("LOG_LEVEL", "info")
    sys.exit(main())
