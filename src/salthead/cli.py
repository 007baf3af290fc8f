"""The command line: the service itself, and the calls of users and operators to it."""

from __future__ import annotations

import json
import os
import sys
import time
import tomllib
from pathlib import Path
from typing import Any, NoReturn

import click

from salthead import __version__
from salthead.serve import CannotServe, run_controller
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
def serve(config: Path) -> None:
    """Run one controller until it is killed.

    The variable LOG_LEVEL is error, info or debug; logs go to standard error.
    """
    try:
        run_controller(config)
    except CannotServe as error:
        raise click.ClickException(str(error)) from None


# -- calls to a running service -----------------------------------------------------------


class Service:
    """The controllers that the user named, asked in turn until one decides."""

    def __init__(self, controllers: tuple[str, ...], timeout: float, as_json: bool) -> None:
        self.controllers = controllers
        self.timeout = timeout
        self.as_json = as_json

    def ask(self, method: str, path: str, body: Any = None) -> tuple[int, dict[str, Any]]:
        from tornado.httpclient import HTTPClient, HTTPClientError, HTTPRequest

        from salthead.protocol.messages import Malformed, decode_map, encode

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
                except (OSError, HTTPClientError, Malformed, ValueError) as error:
                    why = str(error)
                if time.monotonic() + pause > end:
                    fail(f"{controller}: {why}", UNREACHABLE)
                if turn % len(self.controllers) == 0:
                    time.sleep(pause)
        finally:
            client.close()

    def show(self, found: dict[str, Any], text: str) -> None:
        click.echo(json.dumps(found) if self.as_json else text)

    def show_job(self, found: dict[str, Any]) -> None:
        counts = "".join(f", {found[k]} {k}" for k in ("done", "running") if found.get(k))
        waits = f", waits for {', '.join(found['awaits'])}" if found.get("awaits") else ""
        self.show(found, f"{found['uid']}: {found['phase']}{counts}{waits}")

    def wait(self, uid: str) -> NoReturn:
        """Poll until the job is over; the exit code says how it ended."""
        last = None
        while True:
            status, found = self.ask("GET", f"/work/{uid}")
            if status == 404:
                fail(f"{uid}: no such job", UNKNOWN)
            if found["phase"] in ("done", "aborted"):
                self.show_job(found)
                sys.exit(0 if found["phase"] == "done" else ABORTED)
            if found != last and not self.as_json:
                self.show_job(found)
            last = found
            time.sleep(POLL_S)


def fail(message: str, code: int) -> NoReturn:
    click.echo(f"Error: {message}", err=True)
    sys.exit(code)


def check_controllers(_: Any, __: Any, value: tuple[str, ...]) -> tuple[str, ...]:
    for one in value:
        try:
            split_endpoint(one)
        except ValueError as error:
            raise click.BadParameter(str(error)) from None
    return value


def service_options(command: Any) -> Any:
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


FIELDS: list[tuple[str, Any, str]] = [
    ("uid", str, "Job id, req- and digits; made up if not given."),
    ("breed", str, "Class of jobs that it belongs to."),
    ("crew", str, "Team whose guarantee and limit apply."),
    ("shape", click.Choice(["array", "gang"]), "Independent tasks, or all at the same time."),
    ("urgency", click.Choice(["prod", "urgent", "normal", "idle"]), "Rank of urgency."),
    ("pieces", click.IntRange(1, 100_000), "Number of tasks."),
    ("vcpus", float, "CPUs of a task."),
    ("accelerators", float, "Accelerators of a task."),
    ("ram_gb", float, "Memory of a task, in GB."),
    ("kit", str, "Image that a machine needs for it."),
    ("image_gb", float, "Size of the image, in GB."),
    ("paddock", str, "The only allowed zone."),
    ("guess_s", float, "Estimated run time of a task, in seconds."),
    ("cairn_s", float, "Interval of checkpoints, in seconds; 0: none."),
    ("stow_s", float, "Time that a task needs to save, in seconds."),
    ("due_s", float, "When the job should be complete, in seconds from now."),
]
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


def field_options(command: Any) -> Any:
    for name, kind, text in reversed(FIELDS):
        default = f"  [default: {DEFAULTS[name]}]" if name in DEFAULTS else ""
        command = click.option("--" + name.replace("_", "-"), name, type=kind, help=text + default)(
            command
        )
    return command


def read_job(path: Path) -> dict[str, Any]:
    try:
        raw = path.read_text()
        found = json.loads(raw) if path.suffix == ".json" else tomllib.loads(raw)
    except (OSError, UnicodeDecodeError, ValueError) as error:
        raise click.ClickException(f"{path}: {error}") from None
    if type(found) is not dict:
        raise click.ClickException(f"{path}: not a table of fields")
    return found


@main.command()
@service_options
@field_options
@click.option("--build", "builds", multiple=True, help="Allowed machine type; may be repeated.")
@click.option(
    "--awaits",
    multiple=True,
    metavar="UID",
    help="Job that has to be done before this one starts; may be repeated.",
)
@click.option("--same-place", is_flag=True, help="All tasks in one zone.")
@click.option("--apart", is_flag=True, help="At most half of the tasks in one zone.")
@click.option("--borrowed", is_flag=True, help="Spot machines may be used.")
@click.option(
    "--file",
    "path",
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="Job file, TOML or .json, with the fields; flags go before it.",
)
@click.option("--wait", is_flag=True, help="Wait until the job is over.")
def submit(
    service: Service,
    builds: tuple[str, ...],
    awaits: tuple[str, ...],
    path: Path | None,
    wait: bool,
    **given: Any,
) -> None:
    """Submit a job.

    A job may await others that were accepted before: it starts once all of them are done, and is
    cancelled with any of them.
    """
    job: dict[str, Any] = dict(DEFAULTS)
    job |= read_job(path) if path else {}
    job |= {name: value for name, value in given.items() if value not in (None, False)}
    if builds:
        job["builds"] = list(builds)
    if awaits:
        job["awaits"] = list(awaits)
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
@click.argument("uid")
@click.option("--wait", is_flag=True, help="Wait until the job is over.")
def status(service: Service, uid: str, wait: bool) -> None:
    """Show how far a job is."""
    if wait:
        service.wait(uid)
    code, found = service.ask("GET", f"/work/{uid}")
    if code != 200:
        fail(f"{uid}: no such job", UNKNOWN)
    service.show_job(found)


@main.command()
@service_options
@click.argument("uid")
def cancel(service: Service, uid: str) -> None:
    """Cancel a job; its tasks are stopped."""
    code, found = service.ask("POST", f"/work/{uid}/cancel")
    if code != 200:
        fail(f"{uid}: no such job", UNKNOWN)
    service.show_job(found)


def table(rows: list[dict[str, Any]], columns: tuple[str, ...]) -> list[str]:
    cells = [list(columns)] + [[str(row.get(c, "")) for c in columns] for row in rows]
    widths = [max(len(line[n]) for line in cells) for n in range(len(columns))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in cells
    ]


@main.command()
@service_options
def overview(service: Service) -> None:
    """Show the queue and the fleet, as the leader sees them."""
    code, found = service.ask("GET", "/overview")
    if code != 200:
        fail(f"no overview: {found.get('error', code)}", UNREACHABLE)
    lines = [
        f"leader {found['leader']}, token {found['token']}, "
        f"{'ready' if found['ready'] else 'taking over'}",
        "",
        "teams:",
    ]
    lines += table(found["teams"], ("name", "cpus", "guaranteed", "most"))
    lines += ["", f"jobs ({found['jobs_total']}):"]
    # An earlier version that leads does not name what jobs await.
    rows = [job | {"awaits": " ".join(job.get("awaits") or [])} for job in found["jobs"]]
    lines += table(
        rows,
        (
            "uid",
            "crew",
            "breed",
            "urgency",
            "phase",
            "waiting",
            "running",
            "done",
            "pieces",
            "awaits",
        ),
    )
    lines += ["", f"machines ({found['machines_total']}):"]
    lines += table(
        found["machines"], ("name", "build", "zone", "kind", "phase", "cpus", "used", "note")
    )
    service.show(found, "\n".join(lines))


if __name__ == "__main__":
    main()
