"""The controller process: logging, settings, event loop and listening sockets.

The platform starts a controller through this module and not through the command line for users
and operators: the libraries of that one take as long to import as all that a controller needs.
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

# Collection thresholds of the garbage collector's three generations.
GC_THRESHOLDS = 10_000, 20, 20

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


class StartupError(SaltheadError):
    """A controller can't start; the message is one line."""


def set_up_logging() -> None:
    """Log to standard error at the level set by LOG_LEVEL; raise StartupError if it is unknown."""
    level = os.environ.get("LOG_LEVEL", "info").lower()
    if level not in LOG_LEVELS:
        raise StartupError(f"LOG_LEVEL: {level!r} is not one of {', '.join(LOG_LEVELS)}")
    logging.basicConfig(
        stream=sys.stderr,
        level=LOG_LEVELS[level],
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
    )
    logging.getLogger("asyncio").setLevel(logging.ERROR)


def run_controller(config: Path, policy_file: Path | None = None) -> None:
    """Run a controller until the process is killed; raise StartupError if it can't start."""
    set_up_logging()
    try:
        settings = load(config)
        policy = policies.load(policy_file) if policy_file else policies.NO_POLICY
    except ConfigFileError as error:
        raise StartupError(str(error)) from None
    import uvloop

    from salthead.controller.controller import Controller
    from salthead.controller.server import listen_on_all

    # Objects that exist now live as long as the process. The ledger adds many long-lived objects
    # without reference cycles, which collections at the default thresholds would scan in vain.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)

    async def run_until_killed() -> None:
        controller = Controller(settings, policy=policy)
        try:
            listen_on_all(controller)
        except OSError as error:
            raise StartupError(f"can't open the listening sockets: {error}") from None
        event(log, "controller_started", member=settings.member)
        await controller.run()

    # Tornado runs on any event loop, and uvloop saves an eighth of a leader's processor time.
    uvloop.run(run_until_killed())


def main(arguments: Sequence[str] | None = None) -> None:
    """Run ``run.py --config FILE``, the platform's entry point; like ``salthead serve``."""
    parser = argparse.ArgumentParser(
        prog="run.py", description="Run one salthead controller until it is killed."
    )
    parser.add_argument(
        "--config",
        required=True,
        type=Path,
        metavar="FILE",
        help="settings file (TOML) that the platform provides",
    )
    parser.add_argument(
        "--policy",
        type=Path,
        metavar="FILE",
        help="policy file (TOML) of the operators; optional behaviour is off if it is missing",
    )
    options = parser.parse_args(arguments)
    try:
        run_controller(options.config, options.policy)
    except StartupError as error:
        sys.exit(f"Error: {error}")
