"""One controller as a process: its logging, its settings, its servers.

The platform starts it by this module, without the command line of users and operators, whose
libraries take as long to import as all that a controller needs.
"""

from __future__ import annotations

import argparse
import gc
import logging
import os
import sys
from collections.abc import Sequence
from pathlib import Path

from salthead import policy as policies
from salthead.errors import SaltheadError
from salthead.event_log import event
from salthead.settings import load
from salthead.toml_file import ConfigFileError

log = logging.getLogger(__name__)

# Thresholds of the garbage collector's three generations.
GC_THRESHOLDS = 10_000, 20, 20

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


class StartupError(SaltheadError):
    """A controller can't start; says why in one line."""


def set_up_logging() -> None:
    """Log to standard error at the level that LOG_LEVEL names."""
    level = os.environ.get("LOG_LEVEL", "info").lower()
    if level not in LEVELS:
        raise StartupError(f"LOG_LEVEL: {level!r} is none of {', '.join(LEVELS)}")
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS[level],
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
    )
    logging.getLogger("asyncio").setLevel(logging.ERROR)


def run_controller(config: Path, policy_file: Path | None = None) -> None:
    """Run a controller until the process is killed; StartupError if it can't start."""
    set_up_logging()
    try:
        settings = load(config)
        policy = policies.load(policy_file) if policy_file else policies.NO_POLICY
    except ConfigFileError as error:
        raise StartupError(str(error)) from None
    import uvloop

    from salthead.controller.controller import Controller
    from salthead.controller.server import listen_on_all

    # Objects that exist now live as long as the process; and a ledger holds many that live long,
    # none of them in cycles, so that collecting as often as usual walks over them for nothing.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)

    async def run_until_killed() -> None:
        controller = Controller(settings, policy=policy)
        try:
            listen_on_all(controller)
        except OSError as error:
            raise StartupError(f"can't listen: {error}") from None
        event(log, "controller_started", member=settings.member)
        await controller.run()

    # Tornado runs on any event loop; this one saves an eighth of a leader's processor time.
    uvloop.run(run_until_killed())


def main(arguments: Sequence[str] | None = None) -> None:
    """``run.py --config FILE``, as the platform calls it; ``salthead serve`` does the same."""
    parser = argparse.ArgumentParser(
        prog="run.py", description="Run one salthead controller until it is killed."
    )
    parser.add_argument(
        "--config",
        required=True,
        type=Path,
        metavar="FILE",
        help="the settings file (TOML) that the platform hands over",
    )
    parser.add_argument(
        "--policy",
        type=Path,
        metavar="FILE",
        help="the operators' policy file (TOML); without it, or without the file, nothing is added",
    )
    options = parser.parse_args(arguments)
    try:
        run_controller(options.config, options.policy)
    except StartupError as error:
        sys.exit(f"Error: {error}")
