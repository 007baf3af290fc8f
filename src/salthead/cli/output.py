"""What the commands print: JSON for programs, or text and tables for people."""

from __future__ import annotations

import json
from typing import Any

import click

# Keys of the interface whose column headings differ.
HEADINGS = {
    "most": "limit",
    "unheard": "silent",
    "both_ways": "reachable",
    "workers_there": "heartbeats_there",
    "kind": "lifecycle",
}
# Values of the interface that are shown by another word, by key.
SHOWN_VALUES = {"kind": {"ordinary": "on-demand"}}

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
TEAM_COLUMNS = ("name", "cpus", "guaranteed", "most")
ZONE_COLUMNS = (
    "name",
    "state",
    "since_s",
    "machines",
    "unheard",
    "open",
    "reason",
    "held_back_by",
)
NETWORK_COLUMNS = ("name", "prefix", "machines", "unheard")
MACHINE_COLUMNS = ("name", "type", "zone", "kind", "phase", "cpus", "used", "note")
# Tables on links, which are there where the policy enables what they show.
LINK_SECTIONS = {
    "links": ("group", "machines", "both_ways", "since_s", "diagnosis"),
    "cuts": ("group", "since_s"),
    "controllers": ("name", "answered_s", "state_service_s", "workers_there"),
    "withheld": ("action", "lacking", "count", "since_s", "last_s"),
}

# Keys of the interface's rows of jobs and machines, and the terms that JSON has beside them.
FIELD_TERMS = {
    "uid": "job_id",
    "crew": "team",
    "breed": "class",
    "pieces": "tasks",
    "awaits": "depends_on",
    "build": "type",
}


class Output:
    """Prints answers as the user asked for them."""

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json

    def show(self, answer: dict[str, Any], text: str) -> None:
        """Print an answer, as JSON or as the text given for it."""
        click.echo(json.dumps(answer) if self.as_json else text)

    def show_job(self, status: dict[str, Any]) -> None:
        """Print the status of a job."""
        self.show(status, job_text(status))


def job_text(status: dict[str, Any]) -> str:
    """One line on a job: its phase, tasks that are done or running, and what it waits for."""
    counts = "".join(f", {status[key]} {key}" for key in ("done", "running") if status.get(key))
    awaited = status.get("awaits")
    waits = f", waits for {', '.join(awaited)}" if awaited else ""
    return f"{status['uid']}: {status['phase']}{counts}{waits}"


def _cell(row: dict[str, Any], column: str) -> str:
    value = row.get(column, "")
    return str(SHOWN_VALUES.get(column, {}).get(value, value))


def table(rows: list[dict[str, Any]], columns: tuple[str, ...]) -> list[str]:
    """Lines of a table with aligned columns, under their headings."""
    lines = [[HEADINGS.get(column, column) for column in columns]]
    lines += [[_cell(row, column) for column in columns] for row in rows]
    widths = [max(len(line[number]) for line in lines) for number in range(len(columns))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    ]


def section(title: str, rows: list[dict[str, Any]], columns: tuple[str, ...]) -> list[str]:
    """A table with a title, after an empty line."""
    return ["", f"{title}:", *table(rows, columns)]


def in_field_terms(overview: dict[str, Any]) -> dict[str, Any]:
    """The overview with its rows of jobs and machines named in the field's terms as well."""
    return overview | {
        name: [
            row | {term: row[key] for key, term in FIELD_TERMS.items() if key in row}
            for row in overview[name]
        ]
        for name in ("jobs", "machines")
    }


def overview_text(overview: dict[str, Any]) -> str:
    """The tables of an overview that has the field's terms."""
    state = "ready" if overview["ready"] else "failover in progress"
    lines = [f"leader {overview['leader']}, fencing token {overview['token']}, {state}"]
    lines += section("teams", overview["teams"], TEAM_COLUMNS)
    jobs = [_job_row(job) for job in overview["jobs"]]
    lines += section(f"jobs ({overview['jobs_total']})", jobs, JOB_COLUMNS)
    if zones := overview.get("zones"):
        lines += section("zones", zones, ZONE_COLUMNS)
    if networks := overview.get("networks"):
        lines += section("networks", networks, NETWORK_COLUMNS)
    for title, columns in LINK_SECTIONS.items():
        if rows := overview.get(title):
            lines += section(title, rows, columns)
    machines = overview["machines"]
    lines += section(f"machines ({overview['machines_total']})", machines, MACHINE_COLUMNS)
    return "\n".join(lines)


def _job_row(job: dict[str, Any]) -> dict[str, Any]:
    """A job with its dependencies as text.

    An earlier version that leads names neither what jobs depend on nor why they wait.
    """
    return job | {
        "depends_on": " ".join(job.get("depends_on") or []),
        "reason": job.get("reason", ""),
    }
