"""The commands of ``salthead``."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path
from typing import Any, NoReturn

import click

from salthead import __version__
from salthead.cli.client import ServiceClient
from salthead.cli.exit_codes import ABORTED, REFUSED, UNKNOWN_JOB, UNREACHABLE, fail
from salthead.cli.job_options import DEFAULTS, job_from_options, job_options, read_job
from salthead.cli.output import Output, add_key_aliases, overview_text
from salthead.cli.service_options import service_options
from salthead.protocol import wire_names
from salthead.serve import StartupError, run_controller

POLL_INTERVAL_S = 3.0
JOB_ID_DIGITS = 17


@click.group(context_settings={"help_option_names": ["-h", "--help"], "show_default": True})
@click.version_option(__version__)
def main() -> None:
    """salthead, a cluster scheduler."""


@main.command()
@click.option(
    "--config",
    required=True,
    type=click.Path(path_type=Path),
    help="Settings file (TOML) that the platform provides.",
)
@click.option(
    "--policy",
    type=click.Path(path_type=Path),
    help="Policy file (TOML) of the operators; optional behaviour is off if it is missing.",
)
def serve(config: Path, policy: Path | None) -> None:
    """Run one controller until it is killed.

    Logs go to standard error; the environment variable LOG_LEVEL is error, info or debug.
    """
    try:
        run_controller(config, policy)
    except StartupError as error:
        raise click.ClickException(str(error)) from None


def wait_for_job(client: ServiceClient, output: Output, job_id: str) -> NoReturn:
    """Poll until the job has ended, then exit with 0 if it is done and ABORTED if not."""
    last = None
    while True:
        code, job_status = client.ask("GET", f"{wire_names.JOBS_PATH}/{job_id}")
        if code == 404:
            fail(f"{job_id}: no such job", UNKNOWN_JOB)
        if job_status["phase"] in (wire_names.DONE, wire_names.ABORTED):
            output.show_job(job_status)
            sys.exit(0 if job_status["phase"] == wire_names.DONE else ABORTED)
        if job_status != last and not output.as_json:
            output.show_job(job_status)
        last = job_status
        time.sleep(POLL_INTERVAL_S)


def random_job_id() -> str:
    """Return a random job id, so that ids of different users do not collide."""
    return f"req-{int.from_bytes(os.urandom(7), 'big'):0{JOB_ID_DIGITS}d}"


@main.command()
@service_options
@job_options
@click.option(
    "--file",
    "path",
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="Job file with fields, TOML or .json; flags take precedence over it.",
)
@click.option("--wait", is_flag=True, help="Wait until the job has ended.")
def submit(
    client: ServiceClient,
    output: Output,
    path: Path | None,
    wait: bool,
    **option_values: Any,
) -> None:
    """Submit a job.

    A job may depend on jobs that were accepted before. It starts once all of them are done, and is
    cancelled if any of them is.
    """
    job: dict[str, Any] = dict(DEFAULTS)
    job |= read_job(path) if path else {}
    job |= job_from_options(option_values)
    # All retries send the same id, so that the request is idempotent.
    job.setdefault("uid", random_job_id())
    code, answer = client.ask("POST", wire_names.JOBS_PATH, job)
    if code not in (200, 201):
        fail(f"{job['uid']} refused: {answer.get('error', code)}", REFUSED)
    output.show_job(answer)
    if wait:
        wait_for_job(client, output, job["uid"])


@main.command()
@service_options
@click.argument("job_id", metavar="ID")
@click.option("--wait", is_flag=True, help="Wait until the job has ended.")
def status(client: ServiceClient, output: Output, job_id: str, wait: bool) -> None:
    """Show the status of a job."""
    if wait:
        wait_for_job(client, output, job_id)
    code, job_status = client.ask("GET", f"{wire_names.JOBS_PATH}/{job_id}")
    if code != 200:
        fail(f"{job_id}: no such job", UNKNOWN_JOB)
    output.show_job(job_status)


@main.command()
@service_options
@click.argument("job_id", metavar="ID")
def cancel(client: ServiceClient, output: Output, job_id: str) -> None:
    """Cancel a job and stop its tasks."""
    path = f"{wire_names.JOBS_PATH}/{job_id}/{wire_names.CANCEL_SUFFIX}"
    code, job_status = client.ask("POST", path)
    if code != 200:
        fail(f"{job_id}: no such job", UNKNOWN_JOB)
    output.show_job(job_status)


@main.command()
@service_options
def overview(client: ServiceClient, output: Output) -> None:
    """Show the leader's view of the queue and the fleet."""
    code, answer = client.ask("GET", wire_names.OVERVIEW_PATH)
    if code != 200:
        fail(f"overview not available: {answer.get('error', code)}", UNREACHABLE)
    answer = add_key_aliases(answer)
    output.show(answer, overview_text(answer))
