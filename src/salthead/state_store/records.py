"""Records in the state service: their keys and their values.

``job/ID`` holds a job that is not over, ``over/ID`` one that is, with its outcome; a job moves from
one to the other in one transaction, so a reader who looks at ``job`` and then at ``over`` misses it
in neither. ``done/N`` are pages of done tasks: by segment of a job, as ranges. ``machine
registry/N`` are pages of machines. ``keep/MEMBER`` is a controller's wish to keep its zone's leases
for a leader that can't reach the zone, ``kept/MEMBER`` the leader's permission. ``lead`` is the
leader's key, ``token`` counts its terms. ``awaits/ID/N`` continue a long list of jobs that a job
awaits. ``flavors`` are the machine types, or ``flavors/N`` if one value does not hold them.

Several versions may read and write these at a time: fields are only added, as optional ones, and
what is there keeps its meaning (``docs/design.md`` has the table).
"""

from __future__ import annotations

import json
from typing import Any

import msgspec

from salthead.errors import SaltheadError
from salthead.protocol.messages import MalformedMessageError, Submission, shape

LEADER = "lead"
FENCING_TOKEN = "token"
MACHINE_TYPES = "flavors"
MACHINE_TYPE_PARTS = "flavors/"
DEPENDENCIES = "awaits/"
DELEGATION_REQUESTS = "keep/"
DELEGATIONS = "kept/"
JOBS = "job/"
OUTCOMES = "over/"
DONE_TASKS = "done/"
MACHINE_REGISTRY = "roster/"


def job_key(job_id: str) -> str:
    """The key of a job that is not over."""
    return JOBS + job_id


def outcome_key(job_id: str) -> str:
    """The key of a job's outcome."""
    return OUTCOMES + job_id


def job_value(spec: Submission) -> dict[str, Any]:
    """A job's record."""
    found: dict[str, Any] = msgspec.to_builtins(spec)
    return found


def job_from(value: Any) -> Submission:
    """The job of a record; MalformedMessageError if it is none."""
    return shape(value, Submission)


class RecordTooLargeError(SaltheadError):
    """A record that no value of the permitted size holds."""


def fits(value: Any, max_kb: float) -> bool:
    """Whether the state service takes a value, however it writes other than plain letters."""
    return len(json.dumps(value)) <= max_kb * 1024


def dependencies_key(job_id: str, n: int) -> str:
    """The key of a continued list of jobs that a job depends on."""
    return f"{DEPENDENCIES}{job_id}/{n}"


def dependencies_from(value: Any) -> list[str]:
    """Such a list; MalformedMessageError if it is none."""
    found = value.get("awaits") if type(value) is dict else None
    if type(found) is not list or not all(type(job_id) is str for job_id in found):
        raise MalformedMessageError("continued list of awaited jobs")
    return found


def job_rows(spec: Submission, max_kb: float, max_changes: int) -> list[tuple[str, dict[str, Any]]]:
    """The values that hold a job, for one transaction; RecordTooLargeError if that can't be.

    A job that awaits more others than one value holds is continued in further ones.
    """
    bare = msgspec.structs.replace(spec, depends_on=None, more=0)
    if not fits(outcome_value(bare, "aborted", 1e10, max_kb=0.0), max_kb):
        raise RecordTooLargeError("the names are too long to be kept")
    depends_on, max_bytes = spec.depends_on or [], int(max_kb * 1024)
    used = len(json.dumps(job_value(bare))) + len(', "awaits": [], "more": 999')
    lists: list[list[str]] = [[]]
    for job_id in depends_on:
        size = len(json.dumps(job_id)) + 2
        if used + size > max_bytes:
            lists.append([])
            used = len('{"awaits": []}')
        lists[-1].append(job_id)
        used += size
    if len(lists) > max_changes:
        raise RecordTooLargeError(
            f"awaits: {len(depends_on)} jobs need {len(lists)} values of {max_kb:g} KiB, "
            f"and a transaction has {max_changes}"
        )
    head = msgspec.structs.replace(spec, depends_on=lists[0] or None, more=len(lists) - 1)
    return [(job_key(spec.job_id), job_value(head))] + [
        (dependencies_key(spec.job_id, n), {"awaits": one}) for n, one in enumerate(lists[1:])
    ]


def outcome_value(
    spec: Submission,
    phase: str,
    at: float = 0.0,
    max_kb: float = 0.0,
) -> dict[str, Any]:
    """An outcome, with the time of day of its end. What the job awaited is of no use any more.

    A job that was accepted while values were larger loses what nobody reads again.
    """
    bare = msgspec.structs.replace(spec, depends_on=None, more=0)
    value: dict[str, Any] = {"phase": phase, "spec": job_value(bare)}
    if at:
        value["at"] = at
    if max_kb and not fits(value, max_kb):
        small = msgspec.structs.replace(
            bare, job_class=spec.job_class[:20], image=None, machine_types=None, zone=None
        )
        value["spec"] = job_value(small)
    return value


def outcome_from(value: Any) -> tuple[str, Submission]:
    """Phase and job of an outcome; MalformedMessageError if it is none."""
    if type(value) is not dict or value.get("phase") not in ("done", "aborted"):
        raise MalformedMessageError("record of an ended job")
    return value["phase"], job_from(value.get("spec"))


def ended_at(value: Any) -> float | None:
    """The time of day at which a job ended; earlier versions did not note it."""
    found = value.get("at") if type(value) is dict else None
    return float(found) if isinstance(found, int | float) else None


def machine_type_rows(machine_types: list[Any], max_kb: float) -> list[tuple[str, dict[str, Any]]]:
    """Machine types in as many values as they need.

    The key that earlier versions read holds all or nothing: to a controller that knew only a part
    of the types, jobs for the others could never run.
    """
    whole = {"builds": machine_types}
    if fits(whole, max_kb):
        return [(MACHINE_TYPES, whole)]
    lists: list[list[Any]] = [[]]
    for machine_type in machine_types:
        if lists[-1] and not fits({"builds": [*lists[-1], machine_type], "of": 9999}, max_kb):
            lists.append([])
        lists[-1].append(machine_type)
    if not all(fits({"builds": one, "of": 9999}, max_kb) for one in lists):
        raise RecordTooLargeError("a machine type is too long to be kept")
    return [
        (f"{MACHINE_TYPE_PARTS}{n:04d}", {"builds": one, "of": len(lists)})
        for n, one in enumerate(lists)
    ]


def machine_types_from(rows: dict[str, Any]) -> dict[str, Any] | None:
    """The types as continued in several values; None while one of them is missing.

    MalformedMessageError if one of them holds no list.
    """
    values = [rows[key] for key in sorted(rows)]
    if not values or any(type(v) is not dict or v.get("of") != len(values) for v in values):
        return None
    lists = [value.get("builds") or [] for value in values]
    if not all(type(one) is list for one in lists):
        raise MalformedMessageError("continued machine types")
    return {"builds": [machine_type for one in lists for machine_type in one]}
