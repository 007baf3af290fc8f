"""The options by which ``salthead submit`` describes a job, and the job files that it reads."""

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

OLD_PREFIX = "old_"  # before the names of the values that old flags give


@dataclass(frozen=True)
class JobOption:
    """An option of ``submit``: the protocol's field that it sets, and its names."""

    field: str
    flag: str
    old_flag: str | None  # what it was called in earlier versions: still taken, no longer shown
    type: Any
    help: str
    repeated: bool = False
    switch: bool = False


JOB_OPTIONS = [
    JobOption("uid", "--id", "--uid", str, "Job id, req- and digits; made up if not given."),
    JobOption("breed", "--class", "--breed", str, "Class of jobs that it belongs to."),
    JobOption("crew", "--team", "--crew", str, "Team whose guarantee and limit apply."),
    JobOption(
        "shape",
        "--shape",
        None,
        click.Choice(["array", "gang"]),
        "Independent tasks (job array), or all at the same time (gang).",
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
    JobOption("kit", "--image", "--kit", str, "Image that a machine needs for it."),
    JobOption("image_gb", "--image-gb", None, float, "Size of the image, in GB."),
    JobOption("paddock", "--zone", "--paddock", str, "The only allowed zone."),
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
        "Interval of checkpoints, in seconds; 0: none.",
    ),
    JobOption(
        "stow_s",
        "--checkpoint-save-s",
        "--stow-s",
        float,
        "Time that a task needs to save a checkpoint, in seconds.",
    ),
    JobOption(
        "due_s",
        "--deadline-s",
        "--due-s",
        float,
        "When the job should be complete, in seconds from now.",
    ),
    JobOption(
        "awaits",
        "--depends-on",
        "--awaits",
        str,
        "Job that has to be done before this one starts; may be repeated.",
        repeated=True,
    ),
    JobOption(
        "same_place", "--single-zone", "--same-place", bool, "All tasks in one zone.", switch=True
    ),
    JobOption(
        "apart",
        "--spread-zones",
        "--apart",
        bool,
        "At most half of the tasks in one zone.",
        switch=True,
    ),
    JobOption("borrowed", "--spot", "--borrowed", bool, "Spot machines may be used.", switch=True),
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
    """Give a command all options of a job, those of earlier versions hidden."""
    for option in reversed(JOB_OPTIONS):
        settings = _click_settings(option)
        command = click.option(option.flag, option.field, **settings)(command)
        if option.old_flag is not None:
            hidden = settings | {"hidden": True}
            command = click.option(option.old_flag, OLD_PREFIX + option.field, **hidden)(command)
    return command


def _click_settings(option: JobOption) -> dict[str, Any]:
    default = DEFAULTS.get(option.field)
    if option.switch:
        return {"help": option.help, "is_flag": True}
    shown = "" if default is None else f"  [default: {default}]"
    return {"help": option.help + shown, "type": option.type, "multiple": option.repeated}


def job_from_options(given: dict[str, Any]) -> dict[str, Any]:
    """The protocol's fields that options of either name set."""
    job: dict[str, Any] = {}
    for name, value in given.items():
        if value is None or value is False or value == ():
            continue
        job[name.removeprefix(OLD_PREFIX)] = list(value) if isinstance(value, tuple) else value
    return job


def read_job(path: Path) -> dict[str, Any]:
    """The fields of a job file; one that the protocol does not know is refused."""
    try:
        text = path.read_text()
        job = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except (OSError, UnicodeDecodeError, ValueError) as error:
        raise click.ClickException(f"{path}: {error}") from None
    if type(job) is not dict:
        raise click.ClickException(f"{path}: not a table of fields")
    unknown = sorted(job.keys() - JOB_FIELDS)
    if unknown:
        raise click.ClickException(f"{path}: unknown field {unknown[0]!r}")
    return job
