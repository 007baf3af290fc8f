"""Exit codes of the commands, besides click's own 2 for wrong usage."""

from __future__ import annotations

import sys
from typing import NoReturn

import click

REFUSED = 1
UNREACHABLE = 3  # no controller was reached, or none decided
UNKNOWN_JOB = 4
ABORTED = 5  # the job that was waited for was cancelled


def fail(message: str, code: int) -> NoReturn:
    """End with one line on standard error."""
    click.echo(f"Error: {message}", err=True)
    sys.exit(code)
