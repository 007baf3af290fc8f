"""The options of all commands that send requests to a running service."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Any

import click

from salthead.cli.client import ServiceClient
from salthead.cli.output import Output
from salthead.settings import split_endpoint

Command = Callable[..., Any]


def check_controllers(
    _context: click.Context, _parameter: click.Parameter, value: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the addresses; raise BadParameter if one is not HOST:PORT."""
    for endpoint in value:
        try:
            split_endpoint(endpoint)
        except ValueError as error:
            raise click.BadParameter(str(error)) from None
    return value


CONTROLLER_OPTION = click.option(
    "--controller",
    "controllers",
    multiple=True,
    required=True,
    envvar="SALTHEAD_CONTROLLERS",
    show_envvar=True,
    metavar="HOST:PORT",
    callback=check_controllers,
    help="Client address of a controller; may be repeated.",
)
TIMEOUT_OPTION = click.option(
    "--timeout",
    type=click.FloatRange(min=0),
    default=60.0,
    envvar="SALTHEAD_TIMEOUT",
    show_envvar=True,
    help="Seconds to retry while no controller gives a final answer.",
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print JSON, for programs.")


def service_options(command: Command) -> Command:
    """Add the options to a command, which receives a client and an output in their place."""

    @functools.wraps(command)
    def wrapped(controllers: tuple[str, ...], timeout: float, as_json: bool, **rest: Any) -> Any:
        return command(ServiceClient(controllers, timeout), Output(as_json), **rest)

    return CONTROLLER_OPTION(TIMEOUT_OPTION(JSON_OPTION(wrapped)))
