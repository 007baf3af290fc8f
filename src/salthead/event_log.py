"""Structured log lines: the name of an event, then its fields as ``name=value``.

Fields are formatted only if the level is enabled. ``docs/events.md`` lists the events.
"""

from __future__ import annotations

import logging


def event(log: logging.Logger, name: str, level: int = logging.INFO, **fields: object) -> None:
    """Log an event with its fields, in the order of the arguments."""
    if log.isEnabledFor(level):
        # A list comprehension avoids resuming a generator for each field.
        log.log(
            level,
            "%s %s",
            name,
            " ".join([f"{key}={_format(fields[key])}" for key in fields]),
        )


def error_event(log: logging.Logger, name: str, error: BaseException, **fields: object) -> None:
    """Log an error as an event with its fields, followed by its traceback."""
    text = " ".join(f"{key}={_format(fields[key])}" for key in fields)
    log.log(logging.ERROR, "%s %s", name, text, exc_info=error)


def _format(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    return f'"{text}"' if not text or " " in text else text
