"""Output of the commands: JSON for programs, or text and tables for people."""

from __future__ import annotations

import json
from typing import Any

import click

# Column headings that differ from the keys of the rows.
COLUMN_HEADINGS = {
    "most": "limit",
    "unheard": "silent",
    "both_ways": "reachable",
    "workers_there": "heartbeats_there",
    "kind": "lifecycle",
}
# Labels of values in tables that differ from the values, by key.
VALUE_LABELS = {"kind": {"ordinary": "on-demand"}}

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
# Tables on network links, each present only if the policy enables what it shows.
LINK_SECTIONS = {
    "links": ("group", "machines", "both_ways", "since_s", "diagnosis"),
    "cuts": ("group", "since_s"),
    "controllers": ("name", "answered_s", "state_service_s", "workers_there"),
    "withheld": ("action", "lacking", "count", "since_s", "last_s"),
}

# Keys of job and machine rows on the wire, and the aliases added to the output.
KEY_ALIASES = {
    "uid": "job_id",
    "crew": "team",
    "breed": "class",
    "pieces": "tasks",
    "awaits": "depends_on",
    "build": "type",
}


class Output:
    """Prints answers in the format that the user chose."""

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json

    def show(self, answer: dict[str, Any], text: str) -> None:
        """Print an answer as JSON, or as the given text."""
        click.echo(json.dumps(answer) if self.as_json else text)

    def show_job(self, status: dict[str, Any]) -> None:
        """Print the status of a job."""
        self.show(status, job_text(status))


def job_text(status: dict[str, Any]) -> str:
    """Return one line with a job's phase, task counts, and the jobs that it waits for."""
    progress = "".join(f", {status[key]} {key}" for key in ("done", "running") if status.get(key))
    awaited = status.get("awaits")
    waits = f", waits for {', '.join(awaited)}" if awaited else ""
    return f"{status['uid']}: {status['phase']}{progress}{waits}"


def _cell(row: dict[str, Any], column: str) -> str:
    value = row.get(column, "")
    return str(VALUE_LABELS.get(column, {}).get(value, value))


def table(rows: list[dict[str, Any]], columns: tuple[str, ...]) -> list[str]:
    """Return the lines of a table with headings and aligned columns."""
    lines = [[COLUMN_HEADINGS.get(column, column) for column in columns]]
    lines += [[_cell(row, column) for column in columns] for row in rows]
    widths = [max(len(line[number]) for line in lines) for number in range(len(columns))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    ]


def section(title: str, rows: list[dict[str, Any]], columns: tuple[str, ...]) -> list[str]:
    """Return the lines of a titled table, preceded by an empty line."""
    return ["", f"{title}:", *table(rows, columns)]


def add_key_aliases(overview: dict[str, Any]) -> dict[str, Any]:
    """Return the overview with the keys of KEY_ALIASES added to its job and machine rows."""
    return overview | {
        name: [
            row | {alias: row[key] for key, alias in KEY_ALIASES.items() if key in row}
            for row in overview[name]
        ]
        for name in ("jobs", "machines")
    }


def overview_text(overview: dict[str, Any]) -> str:
    """Return the tables of an overview to which the key aliases were added."""
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
    """Return a job's row with its dependencies as text.

    A leader of an earlier version sends neither dependencies nor reasons.
    """
    return job | {
        "depends_on": " ".join(job.get("depends_on") or []),
        "reason": job.get("reason", ""),
    }
