"""Soak test: three real controllers on loopback, random faults, and black-box checks.

    python3 tests/soak.py --seeds 1-50 --workers 40 --processes 4 --seconds 30

runs each seed in a subprocess and prints one line for each. The exit code is 0 only if no invariant
was violated. For a seed with violations the controller logs, the faults and the outcome are kept.
``--plan`` prints the faults of the seeds and runs nothing.
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
SMALL_MACHINE_CPUS = 8.0
JOBS_PER_SECOND = 0.8
# Longer than a busy test machine needs: only a job that is never served is a fault.
SERVED_WITHIN_S = 240.0
LOGGED_FAULT = re.compile(r"invariant_broken|Traceback|ends by an error|background work failed")
TERMINATE_TIMEOUT_S = 10.0  # for an interrupted subprocess to end its controllers


@dataclass
class Outcome:
    """Violations and statistics of one seed."""

    seed: int
    broken: list[str] = field(default_factory=list)
    jobs: int = 0
    starts: int = 0
    faults: int = 0
    terms: int = 0

    def summary(self) -> str:
        """Return a summary of the outcome for the console."""
        counts = f"{self.jobs} jobs, {self.starts} starts, {self.faults} faults, {self.terms} terms"
        verdict = f"BROKEN {len(self.broken)}: {self.broken[0]}" if self.broken else "ok"
        return f"seed {self.seed}: {verdict} ({counts})"


def scale_to(workers: int) -> None:
    """Set fast heartbeats and leases for loopback, and team limits that the load exceeds."""
    LIMITS["workers"].update(FAST)
    red, blue = LIMITS["teams"]
    red.update(
        cpus=0.05 * workers * SMALL_MACHINE_CPUS,
        cpus_max=max(24.0, 0.15 * workers * SMALL_MACHINE_CPUS),
    )
    blue.update(
        cpus=0.2 * workers * SMALL_MACHINE_CPUS,
        cpus_max=max(64.0, 0.5 * workers * SMALL_MACHINE_CPUS),
    )


async def run_seed(seed: int, workers: int, seconds: float, folder: Path) -> Outcome:
    """Run one seed and return its outcome."""
    scale_to(workers)
    faults = soak_faults.plan(seed, seconds)
    setup = SoakSetup(3, ("north", "north", "south"), ROOT / "deploy/partial-cuts.toml", SoakWorld)
    setup.logs = folder
    world = setup.world
    world.rng.seed(seed)
    users = Users(world, random.Random(seed), workers)
    try:
        await setup.start_proxies()
        await world.listen(workers)
        with setup:
            world.run_later(0.0, users.submit_loop(JOBS_PER_SECOND))
            world.run_later(0.0, users.poll_loop())
            await soak_faults.inject_all(setup, faults)
            users.stopped = True
            world.broken += await wait_until_served(world)
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


async def wait_until_served(world: SoakWorld) -> list[str]:
    """Wait until all submitted jobs are accepted and terminal; return a violation for each left."""
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
    """Return the internal errors that the controllers logged."""
    return [
        f"{path.stem} logged: {line[:300]}"
        for path in sorted(folder.glob("n*.log"))
        for line in path.read_text(errors="replace").splitlines()
        if LOGGED_FAULT.search(line)
    ]


def run_in_this_process(seed: int, options: argparse.Namespace) -> int:
    """Run one seed in this process and write its outcome to its folder."""
    folder = Path(options.keep) / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    outcome = asyncio.run(run_seed(seed, options.workers, options.seconds, folder))
    (folder / "outcome.json").write_text(json.dumps(asdict(outcome), indent=1))
    return 1 if outcome.broken else 0


def run_in_subprocess(seed: int, options: argparse.Namespace) -> Outcome:
    """Run one seed in a subprocess and return its outcome."""
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
    outcome = Outcome(**json.loads((folder / "outcome.json").read_text()))
    if not outcome.broken:
        shutil.rmtree(folder)
    return outcome


def run_all_seeds(options: argparse.Namespace) -> int:
    """Run all seeds, ``--processes`` at a time, and return the exit code."""
    options.running = set()
    outcomes = []
    pool = ThreadPoolExecutor(options.processes)
    try:
        for outcome in pool.map(lambda seed: run_in_subprocess(seed, options), options.seeds):
            print(outcome.summary(), flush=True)
            outcomes.append(outcome)
    except KeyboardInterrupt:
        print("interrupted", file=sys.stderr)
        return 130
    finally:
        pool.shutdown(wait=False, cancel_futures=True)
        for process in list(options.running):
            process.terminate()
        for process in list(options.running):
            process.wait(TERMINATE_TIMEOUT_S)
    bad = [outcome for outcome in outcomes if outcome.broken]
    print(f"{len(outcomes)} seeds, {len(bad)} broke a rule", end="")
    print(f"; kept in {options.keep}" if bad else "")
    return 1 if bad else 0


def seeds_from(text: str) -> list[int]:
    """Parse seeds such as ``7``, ``1-50`` or ``1,4,9-12``."""
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    if not seeds:
        raise ValueError("no seeds")
    return seeds


def at_least(minimum: float) -> type[float]:
    """Return an argument parser for numbers that are not below ``minimum``."""

    def number(text: str) -> float:
        if not float(text) >= minimum:
            raise ValueError(text)
        return float(text)

    return number  # type: ignore[return-value]


class OneLineErrorParser(argparse.ArgumentParser):
    """Argument parser that reports an error in one line."""

    def error(self, message: str) -> None:  # type: ignore[override]
        """Print the error and exit with code 2."""
        self.exit(2, f"soak.py: {message}\n")


def main() -> int:
    """Run the command line and return the exit code."""
    parser = OneLineErrorParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
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
        return run_in_this_process(options.seeds[0], options)
    return run_all_seeds(options)


if __name__ == "__main__":
    os.environ.setdefault("LOG_LEVEL", "info")
    sys.exit(main())
