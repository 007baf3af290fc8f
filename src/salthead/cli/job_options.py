"""The options of ``salthead submit`` that describe a job, and the job files that it reads."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

from salthead.protocol.validation import MAX_TASKS

Command = Callable[..., Any]

DEPRECATED_PARAMETER_PREFIX = "old_"  # of the parameter names of deprecated flags


@dataclass(frozen=True)
class JobOption:
    """An option of ``submit``: its flags, and the protocol field that it sets."""

    field: str
    flag: str
    old_flag: str | None  # deprecated name, still accepted but hidden from the help
    type: Any
    help: str
    repeated: bool = False
    switch: bool = False


JOB_OPTIONS = [
    JobOption("uid", "--id", "--uid", str, "Job id of the form req-DIGITS; random by default."),
    JobOption("breed", "--class", "--breed", str, "Job class."),
    JobOption("crew", "--team", "--crew", str, "Team whose guaranteed capacity and quota apply."),
    JobOption(
        "shape",
        "--shape",
        None,
        click.Choice(["array", "gang"]),
        "Independent tasks (array), or tasks that run at the same time (gang).",
    ),
    JobOption(
        "urgency",
        "--urgency",
        None,
        click.Choice(["prod", "urgent", "normal", "idle"]),
        "Priority of the job.",
    ),
    JobOption("pieces", "--tasks", "--pieces", click.IntRange(1, MAX_TASKS), "Number of tasks."),
    JobOption("vcpus", "--vcpus", None, float, "CPUs of a task."),
    JobOption("accelerators", "--accelerators", None, float, "Accelerators of a task."),
    JobOption("ram_gb", "--ram-gb", None, float, "Memory of a task, in GB."),
    JobOption("kit", "--image", "--kit", str, "Image that a machine needs to run a task."),
    JobOption("image_gb", "--image-gb", None, float, "Size of the image, in GB."),
    JobOption("paddock", "--zone", "--paddock", str, "Zone that all tasks must run in."),
    JobOption(
        "builds",
        "--machine-type",
        "--build",
        str,
        "Allowed machine type; may be repeated.",
        repeated=True,
    ),
    JobOption(
        "guess_s", "--estimate-s", "--guess-s", float, "Estimated run time of a task, in seconds."
    ),
    JobOption(
        "cairn_s",
        "--checkpoint-interval-s",
        "--cairn-s",
        float,
        "Checkpoint interval, in seconds; 0 disables checkpoints.",
    ),
    JobOption(
        "stow_s",
        "--checkpoint-save-s",
        "--stow-s",
        float,
        "Time to save a checkpoint, in seconds.",
    ),
    JobOption(
        "due_s",
        "--deadline-s",
        "--due-s",
        float,
        "Deadline for completion, in seconds from now.",
    ),
    JobOption(
        "awaits",
        "--depends-on",
        "--awaits",
        str,
        "Job that must be done before this one starts; may be repeated.",
        repeated=True,
    ),
    JobOption(
        "same_place",
        "--single-zone",
        "--same-place",
        bool,
        "All tasks in one zone.",
        switch=True,
    ),
    JobOption(
        "apart",
        "--spread-zones",
        "--apart",
        bool,
        "At most half of the tasks in one zone.",
        switch=True,
    ),
    JobOption("borrowed", "--spot", "--borrowed", bool, "Allow spot machines.", switch=True),
]
JOB_FIELDS = frozenset(option.field for option in JOB_OPTIONS)
DEFAULTS = {
    "shape": "array",
    "urgency": "normal",
    "pieces": 1,
    "vcpus": 1.0,
    "accelerators": 0.0,
    "ram_gb": 1.0,
    "image_gb": 0.0,
    "guess_s": 0.0,
    "cairn_s": 0.0,
    "stow_s": 0.0,
    "same_place": False,
    "apart": False,
    "borrowed": False,
}


def job_options(command: Command) -> Command:
    """Add all job options to a command; deprecated flags are hidden."""
    for option in reversed(JOB_OPTIONS):
        settings = _click_settings(option)
        command = click.option(option.flag, option.field, **settings)(command)
        if option.old_flag is not None:
            hidden = settings | {"hidden": True}
            command = click.option(
                option.old_flag, DEPRECATED_PARAMETER_PREFIX + option.field, **hidden
            )(command)
    return command


def _click_settings(option: JobOption) -> dict[str, Any]:
    default = DEFAULTS.get(option.field)
    if option.switch:
        return {"help": option.help, "is_flag": True}
    shown = "" if default is None else f"  [default: {default}]"
    return {"help": option.help + shown, "type": option.type, "multiple": option.repeated}


def job_from_options(option_values: dict[str, Any]) -> dict[str, Any]:
    """Return the protocol fields set by current and deprecated options."""
    job: dict[str, Any] = {}
    for name, value in option_values.items():
        if value is None or value is False or value == ():
            continue
        job[name.removeprefix(DEPRECATED_PARAMETER_PREFIX)] = (
            list(value) if isinstance(value, tuple) else value
        )
    return job


def read_job(path: Path) -> dict[str, Any]:
    """Return the fields of a job file; raise ClickException for invalid files or fields."""
    try:
        text = path.read_text()
        job = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except (OSError, UnicodeDecodeError, ValueError) as error:
        raise click.ClickException(f"{path}: {error}") from None
    if type(job) is not dict:
        raise click.ClickException(f"{path}: expected a table of fields")
    unknown = sorted(job.keys() - JOB_FIELDS)
    if unknown:
        raise click.ClickException(f"{path}: unknown field {unknown[0]!r}")
    return job
