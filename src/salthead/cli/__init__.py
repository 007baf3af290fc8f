"""The command line, which runs the service and sends requests of users and operators to it."""

from salthead.cli.commands import main

__all__ = ["main"]
