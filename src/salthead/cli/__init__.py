"""The command line: the service itself, and the calls of users and operators to it."""

from salthead.cli.commands import main

__all__ = ["main"]
