"""The command line: the service itself, and the calls of users and operators to it."""

from __future__ import annotations

import json
import os
import sys
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NoReturn

import click

from salthead import __version__
from salthead.protocol.messages import MAX_TASKS
from salthead.serve import StartupError, run_controller
from salthead.settings import split_endpoint

# exit codes, besides click's own 2 for wrong usage
REFUSED, UNREACHABLE, UNKNOWN, ABORTED = 1, 3, 4, 5
POLL_S = 3.0


@click.group(context_settings={"help_option_names": ["-h", "--help"], "show_default": True})
@click.version_option(__version__)
def main() -> None:
    """salthead, a cluster scheduler."""


@main.command()
@click.option(
    "--config",
    required=True,
    type=click.Path(path_type=Path),
    help="The settings file (TOML) that the platform hands over.",
)
@click.option(
    "--policy",
    type=click.Path(path_type=Path),
    help="The operators' policy file (TOML); without it nothing is added.",
)
def serve(config: Path, policy: Path | None) -> None:
    """Run one controller until it is killed.

    The variable LOG_LEVEL is error, info or debug; logs go to standard error.
    """
    try:
        run_controller(config, policy)
    except StartupError as error:
        raise click.ClickException(str(error)) from None


# -- calls to a running service -----------------------------------------------------------


class Service:
    """The controllers that the user named, asked in turn until one decides."""

    def __init__(self, controllers: tuple[str, ...], timeout: float, as_json: bool) -> None:
        self.controllers = controllers
        self.timeout = timeout
        self.as_json = as_json

    def ask(self, method: str, path: str, body: Any = None) -> tuple[int, dict[str, Any]]:
        """Ask the controllers until one decides; its status and body."""
        from tornado.httpclient import HTTPClient, HTTPClientError, HTTPRequest

        from salthead.protocol.messages import MalformedMessageError, decode_map, encode

        end = time.monotonic() + self.timeout
        client = HTTPClient()
        turn = 0
        try:
            while True:
                controller = self.controllers[turn % len(self.controllers)]
                turn += 1
                pause = 1.0
                try:
                    answer = client.fetch(
                        HTTPRequest(
                            f"http://{controller}{path}",
                            method=method,
                            body=None if method == "GET" else encode(body or {}),
                            headers={"Content-Type": "application/cbor"},
                            follow_redirects=False,
                            connect_timeout=5.0,
                            request_timeout=5.0,
                        ),
                        raise_error=False,
                    )
                    if answer.code in (200, 201, 400, 404, 422):
                        return answer.code, decode_map(answer.body)
                    why = f"answers {answer.code}"
                    pause = max(1.0, float(answer.headers.get("Retry-After", 1)))
                except (OSError, HTTPClientError, MalformedMessageError, ValueError) as error:
                    why = str(error)
                if time.monotonic() + pause > end:
                    fail(f"{controller}: {why}", UNREACHABLE)
                if turn % len(self.controllers) == 0:
                    time.sleep(pause)
        finally:
            client.close()

    def show(self, found: dict[str, Any], text: str) -> None:
        """Print an answer as the user asked for it."""
        click.echo(json.dumps(found) if self.as_json else text)

    def show_job(self, found: dict[str, Any]) -> None:
        """Print how far a job is."""
        counts = "".join(f", {found[k]} {k}" for k in ("done", "running") if found.get(k))
        waits = f", waits for {', '.join(found['awaits'])}" if found.get("awaits") else ""
        self.show(found, f"{found['uid']}: {found['phase']}{counts}{waits}")

    def wait(self, job_id: str) -> NoReturn:
        """Poll until the job is over; the exit code says how it ended."""
        last = None
        while True:
            status, found = self.ask("GET", f"/work/{job_id}")
            if status == 404:
                fail(f"{job_id}: no such job", UNKNOWN)
            if found["phase"] in ("done", "aborted"):
                self.show_job(found)
                sys.exit(0 if found["phase"] == "done" else ABORTED)
            if found != last and not self.as_json:
                self.show_job(found)
            last = found
            time.sleep(POLL_S)


def fail(message: str, code: int) -> NoReturn:
    """End with one line on standard error."""
    click.echo(f"Error: {message}", err=True)
    sys.exit(code)


def check_controllers(_: Any, __: Any, value: tuple[str, ...]) -> tuple[str, ...]:
    """Refuse what is no address."""
    for one in value:
        try:
            split_endpoint(one)
        except ValueError as error:
            raise click.BadParameter(str(error)) from None
    return value


def service_options(command: Any) -> Any:
    """Add the options that every call to a service has."""

    def wrapped(controllers: tuple[str, ...], timeout: float, as_json: bool, **rest: Any) -> Any:
        return command(Service(controllers, timeout, as_json), **rest)

    wrapped.__doc__ = command.__doc__
    wrapped.__name__ = command.__name__
    wrapped.__click_params__ = getattr(command, "__click_params__", [])  # type: ignore[attr-defined]
    for option in (
        click.option("--json", "as_json", is_flag=True, help="Print JSON, for programs."),
        click.option(
            "--timeout",
            type=click.FloatRange(min=0),
            default=60.0,
            envvar="SALTHEAD_TIMEOUT",
            show_envvar=True,
            help="Seconds to go on asking while no controller decides.",
        ),
        click.option(
            "--controller",
            "controllers",
            multiple=True,
            required=True,
            envvar="SALTHEAD_CONTROLLERS",
            show_envvar=True,
            metavar="HOST:PORT",
            callback=check_controllers,
            help="Client address of a controller; may be given several times.",
        ),
    ):
        wrapped = option(wrapped)
    return wrapped


@dataclass(frozen=True)
class JobOption:
    """An option of ``submit``: the protocol's field that it sets, and its names."""

    field: str
    flag: str
    old_flag: str | None  # what it was called in earlier versions: still taken, no longer shown
    kind: Any
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
        "Independent tasks, or all at the same time.",
    ),
    JobOption(
        "urgency",
        "--urgency",
        None,
        click.Choice(["prod", "urgent", "normal", "idle"]),
        "Rank of urgency.",
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
        "Time that a task needs to save, in seconds.",
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
JOB_COLUMNS = (
    "job_id",
    "team",
    "class",
    "urgency",
    "phase",
    "waiting",
    "running",
    "done",
    "tasks",
    "depends_on",
    "reason",
)
# What rows of the overview call things on the wire, and what operators read. JSON has both.
FIELD_TERMS = {
    "uid": "job_id",
    "crew": "team",
    "breed": "class",
    "pieces": "tasks",
    "awaits": "depends_on",
    "build": "type",
}
# Tables of the overview on links, with their columns.
LINK_SECTIONS = {
    "links": ("group", "machines", "both_ways", "since_s", "diagnosis"),
    "cuts": ("group", "since_s"),
    "controllers": ("name", "answered_s", "state_service_s", "workers_there"),
    "withheld": ("action", "lacking", "count", "since_s", "last_s"),
}
OLD = "old_"  # before the names of the values that old flags give
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


def job_options(command: Any) -> Any:
    """Give a command all options of a job, those of earlier versions hidden."""
    for option in reversed(JOB_OPTIONS):
        default = DEFAULTS.get(option.field)
        shown = default is not None and not option.switch
        settings: dict[str, Any] = {
            "help": option.help + (f"  [default: {default}]" if shown else "")
        }
        if option.switch:
            settings["is_flag"] = True
        else:
            settings |= {"type": option.kind, "multiple": option.repeated}
        command = click.option(option.flag, option.field, **settings)(command)
        if option.old_flag is not None:
            hidden = settings | {"hidden": True}
            command = click.option(option.old_flag, OLD + option.field, **hidden)(command)
    return command


def job_from_options(given: dict[str, Any]) -> dict[str, Any]:
    """The protocol's fields that options of either name set."""
    found: dict[str, Any] = {}
    for name, value in given.items():
        if value is None or value is False or value == ():
            continue
        found[name.removeprefix(OLD)] = list(value) if isinstance(value, tuple) else value
    return found


def read_job(path: Path) -> dict[str, Any]:
    """The fields of a job file; one that the protocol does not know is refused."""
    try:
        raw = path.read_text()
        found = json.loads(raw) if path.suffix == ".json" else tomllib.loads(raw)
    except (OSError, UnicodeDecodeError, ValueError) as error:
        raise click.ClickException(f"{path}: {error}") from None
    if type(found) is not dict:
        raise click.ClickException(f"{path}: not a table of fields")
    unknown = sorted(found.keys() - JOB_FIELDS)
    if unknown:
        raise click.ClickException(f"{path}: unknown field {unknown[0]!r}")
    return found


@main.command()
@service_options
@job_options
@click.option(
    "--file",
    "path",
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="Job file, TOML or .json, with the fields; flags go before it.",
)
@click.option("--wait", is_flag=True, help="Wait until the job is over.")
def submit(
    service: Service,
    path: Path | None,
    wait: bool,
    **given: Any,
) -> None:
    """Submit a job.

    A job may depend on others that were accepted before: it starts once all of them are done, and
    is cancelled with any of them.
    """
    job: dict[str, Any] = dict(DEFAULTS)
    job |= read_job(path) if path else {}
    job |= job_from_options(given)
    # Random, so that two users do not meet; the same id is used for every try.
    job.setdefault("uid", f"req-{int.from_bytes(os.urandom(7), 'big'):017d}")
    status, found = service.ask("POST", "/work", job)
    if status not in (200, 201):
        fail(f"{job['uid']} refused: {found.get('error', status)}", REFUSED)
    service.show_job(found)
    if wait:
        service.wait(job["uid"])


@main.command()
@service_options
@click.argument("job_id", metavar="ID")
@click.option("--wait", is_flag=True, help="Wait until the job is over.")
def status(service: Service, job_id: str, wait: bool) -> None:
    """Show how far a job is."""
    if wait:
        service.wait(job_id)
    code, found = service.ask("GET", f"/work/{job_id}")
    if code != 200:
        fail(f"{job_id}: no such job", UNKNOWN)
    service.show_job(found)


@main.command()
@service_options
@click.argument("job_id", metavar="ID")
def cancel(service: Service, job_id: str) -> None:
    """Cancel a job; its tasks are stopped."""
    code, found = service.ask("POST", f"/work/{job_id}/cancel")
    if code != 200:
        fail(f"{job_id}: no such job", UNKNOWN)
    service.show_job(found)


def table(rows: list[dict[str, Any]], columns: tuple[str, ...]) -> list[str]:
    """Lines of a table with aligned columns."""
    cells = [list(columns)] + [[str(row.get(c, "")) for c in columns] for row in rows]
    widths = [max(len(line[n]) for line in cells) for n in range(len(columns))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in cells
    ]


def in_field_terms(found: dict[str, Any]) -> dict[str, Any]:
    """The overview with its rows of jobs and machines named in the field's terms as well."""
    return found | {
        section: [
            row | {term: row[word] for word, term in FIELD_TERMS.items() if word in row}
            for row in found[section]
        ]
        for section in ("jobs", "machines")
    }


def link_lines(found: dict[str, Any]) -> list[str]:
    """What is confirmed of links, and what is withheld; nothing where the policy is off."""
    lines: list[str] = []
    for section, columns in LINK_SECTIONS.items():
        if rows := found.get(section):
            lines += ["", f"{section}:", *table(rows, columns)]
    return lines


@main.command()
@service_options
def overview(service: Service) -> None:
    """Show the queue and the fleet, as the leader sees them."""
    code, found = service.ask("GET", "/overview")
    if code != 200:
        fail(f"no overview: {found.get('error', code)}", UNREACHABLE)
    found = in_field_terms(found)
    lines = [
        f"leader {found['leader']}, token {found['token']}, "
        f"{'ready' if found['ready'] else 'taking over'}",
        "",
        "teams:",
    ]
    lines += table(found["teams"], ("name", "cpus", "guaranteed", "most"))
    lines += ["", f"jobs ({found['jobs_total']}):"]
    # An earlier version that leads names neither what jobs depend on nor why they wait.
    rows = [
        job | {"depends_on": " ".join(job.get("depends_on") or []), "reason": job.get("reason", "")}
        for job in found["jobs"]
    ]
    lines += table(rows, JOB_COLUMNS)
    if zones := found.get("zones"):
        lines += ["", "zones:"]
        columns = ("name", "state", "since_s", "machines", "unheard", "open", "reason")
        lines += table(zones, (*columns, "held_back_by"))
    if networks := found.get("networks"):
        lines += ["", "networks:"]
        lines += table(networks, ("name", "prefix", "machines", "unheard"))
    lines += link_lines(found)
    lines += ["", f"machines ({found['machines_total']}):"]
    lines += table(
        found["machines"], ("name", "type", "zone", "kind", "phase", "cpus", "used", "note")
    )
    service.show(found, "\n".join(lines))
