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
from salthead.cli.output import Output, in_field_terms, overview_text
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


def wait_for_job(client: ServiceClient, output: Output, job_id: str) -> NoReturn:
    """Poll until the job has ended; the exit code says how."""
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
    """An id for a job without one: random, so that two users do not choose the same."""
    return f"req-{int.from_bytes(os.urandom(7), 'big'):0{JOB_ID_DIGITS}d}"


@main.command()
@service_options
@job_options
@click.option(
    "--file",
    "path",
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="Job file, TOML or .json, with the fields; flags go before it.",
)
@click.option("--wait", is_flag=True, help="Wait until the job has ended.")
def submit(
    client: ServiceClient,
    output: Output,
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
    # The same id is used for every try, so that the request is idempotent.
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
    """Cancel a job; its tasks are stopped."""
    path = f"{wire_names.JOBS_PATH}/{job_id}/{wire_names.CANCEL_SUFFIX}"
    code, job_status = client.ask("POST", path)
    if code != 200:
        fail(f"{job_id}: no such job", UNKNOWN_JOB)
    output.show_job(job_status)


@main.command()
@service_options
def overview(client: ServiceClient, output: Output) -> None:
    """Show the queue and the fleet, as the leader sees them."""
    code, answer = client.ask("GET", wire_names.OVERVIEW_PATH)
    if code != 200:
        fail(f"no overview: {answer.get('error', code)}", UNREACHABLE)
    answer = in_field_terms(answer)
    output.show(answer, overview_text(answer))
