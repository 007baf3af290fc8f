"""Exit codes of the commands; click itself uses 2 for usage errors."""

from __future__ import annotations

import sys
from typing import NoReturn

import click

REFUSED = 1
UNREACHABLE = 3  # no controller gave a final answer before the timeout
UNKNOWN_JOB = 4
ABORTED = 5  # the job was cancelled while the command waited for it


def fail(message: str, code: int) -> NoReturn:
    """Exit with ``code`` after one line on standard error."""
    click.echo(f"Error: {message}", err=True)
    sys.exit(code)
