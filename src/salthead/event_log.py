"""Log lines that tools can read: the name of an event, then its fields as ``name=value``.

Fields are formatted only where the level is enabled. ``docs/events.md`` lists the events.
"""

from __future__ import annotations

import logging


def event(log: logging.Logger, name: str, level: int = logging.INFO, **fields: object) -> None:
    """Log one event with its fields, in the order in which they are given."""
    if log.isEnabledFor(level):
        # A list, since a generator would be resumed for each field.
        log.log(level, "%s %s", name, " ".join([f"{key}={_text(fields[key])}" for key in fields]))


def error_event(log: logging.Logger, name: str, error: BaseException, **fields: object) -> None:
    """Log an error as an event with its fields, followed by its traceback."""
    text = " ".join(f"{key}={_text(fields[key])}" for key in fields)
    log.log(logging.ERROR, "%s %s", name, text, exc_info=error)


def _text(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    return f'"{text}"' if not text or " " in text else text
