"""The command line: the service itself, and the users' calls to it."""

from __future__ import annotations

import asyncio
import logging
import os
import sys
from pathlib import Path

import click

from salthead import __version__
from salthead.settings import SettingsError, load

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def set_up_logging() -> None:
    level = os.environ.get("LOG_LEVEL", "info").lower()
    if level not in LEVELS:
        raise click.ClickException(f"LOG_LEVEL: {level!r} is none of {', '.join(LEVELS)}")
    logging.basicConfig(
        stream=sys.stderr, level=LEVELS[level],
        format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    logging.getLogger("asyncio").setLevel(logging.ERROR)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def main() -> None:
    """salthead, a cluster scheduler."""


@main.command()
@click.option("--config", required=True, type=click.Path(path_type=Path),
              help="The settings file (TOML) that the platform hands over.")
def serve(config: Path) -> None:
    """Run one controller until it is killed."""
    set_up_logging()
    try:
        settings = load(config)
    except SettingsError as error:
        raise click.ClickException(str(error)) from None
    # Only a controller needs these, and they take a while to import.
    from salthead.service import Node
    from salthead.transport.server import client_app, cluster_app, listen

    async def work() -> None:
        node = Node(settings)
        try:
            listen(client_app(node), settings.client_listen)
            listen(cluster_app(node), settings.cluster_listen)
        except OSError as error:
            raise click.ClickException(f"can't listen: {error}") from None
        logging.getLogger("salthead").info("%s started", settings.member)
        await node.run()

    asyncio.run(work())


if __name__ == "__main__":
    main()
