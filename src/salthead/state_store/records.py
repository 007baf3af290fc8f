"""Keys and values of the records in the state service.

- ``job/ID``: a job that is not in a terminal state.
- ``over/ID``: a job in a terminal state, with its outcome. A job moves from ``job`` to ``over`` in
  one transaction, so a reader that looks at ``job`` and then at ``over`` can't miss it.
- ``awaits/ID/N``: continuation of a job's list of dependencies.
- ``done/N``: pages of done tasks, as ranges by segment of a job.
- ``roster/N``: pages of the machine registry.
- ``flavors``, or ``flavors/N`` if one value does not hold them: the machine types.
- ``lead``: the leader's key.
- ``token``: the fencing token, which counts the terms, and what the last term knew.
- ``keep/MEMBER``: a controller's request to renew the leases of its zone for a leader that can't
  reach the zone.
- ``kept/MEMBER``: the leader's permission for that.

Several versions may read and write these at a time: fields are only added, as optional ones, and
existing fields keep their meaning (``docs/design.md`` has the table).
"""

from __future__ import annotations

import json
from collections.abc import Mapping
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
    """Return the key of a job that is not in a terminal state."""
    return JOBS + job_id


def outcome_key(job_id: str) -> str:
    """Return the key of a job's outcome."""
    return OUTCOMES + job_id


def job_value(spec: Submission) -> dict[str, Any]:
    """Return the record of a job."""
    value: dict[str, Any] = msgspec.to_builtins(spec)
    return value


def decode_job(value: Any) -> Submission:
    """Decode a job's record; raises MalformedMessageError if it is malformed."""
    return shape(value, Submission)


class RecordTooLargeError(SaltheadError):
    """A record exceeds the permitted size of a value."""


def fits(value: Any, max_kb: float) -> bool:
    """Return whether a value has the permitted size, with non-ASCII characters escaped."""
    return len(json.dumps(value)) <= max_kb * 1024


def dependencies_key(job_id: str, n: int) -> str:
    """Return the key of the ``n``-th continuation of a job's list of dependencies."""
    return f"{DEPENDENCIES}{job_id}/{n}"


def decode_dependencies(value: Any) -> list[str]:
    """Decode a continued list of dependencies; raises MalformedMessageError if malformed."""
    job_ids = value.get("awaits") if type(value) is dict else None
    if type(job_ids) is not list or not all(type(job_id) is str for job_id in job_ids):
        raise MalformedMessageError("continued list of awaited jobs")
    return job_ids


def with_continuations(spec: Submission, continuations: Mapping[str, Any]) -> Submission:
    """Return a job with its continued dependencies, from the continuation values by key.

    Raises MalformedMessageError if a value is malformed or missing.
    """
    depends_on = list(spec.depends_on or [])
    for n in range(spec.more):
        depends_on += decode_dependencies(continuations.get(dependencies_key(spec.job_id, n)))
    return msgspec.structs.replace(spec, depends_on=depends_on or None)


def job_rows(spec: Submission, max_kb: float, max_changes: int) -> list[tuple[str, dict[str, Any]]]:
    """Return the keys and values that hold a job, to be written in one transaction.

    A list of dependencies that one value does not hold is continued in further values. Raises
    RecordTooLargeError if the job does not fit into one transaction.
    """
    bare = msgspec.structs.replace(spec, depends_on=None, more=0)
    if not fits(outcome_value(bare, "aborted", 1e10, max_kb=0.0), max_kb):
        raise RecordTooLargeError("the names are too long to be kept")
    depends_on, max_bytes = spec.depends_on or [], int(max_kb * 1024)
    used_bytes = len(json.dumps(job_value(bare))) + len(', "awaits": [], "more": 999')
    lists: list[list[str]] = [[]]
    for job_id in depends_on:
        size = len(json.dumps(job_id)) + 2
        if used_bytes + size > max_bytes:
            lists.append([])
            used_bytes = len('{"awaits": []}')
        lists[-1].append(job_id)
        used_bytes += size
    if len(lists) > max_changes:
        raise RecordTooLargeError(
            f"awaits: {len(depends_on)} jobs need {len(lists)} values of {max_kb:g} KiB, "
            f"and a transaction has {max_changes}"
        )
    head = msgspec.structs.replace(spec, depends_on=lists[0] or None, more=len(lists) - 1)
    return [(job_key(spec.job_id), job_value(head))] + [
        (dependencies_key(spec.job_id, n), {"awaits": ids}) for n, ids in enumerate(lists[1:])
    ]


def outcome_value(
    spec: Submission,
    phase: str,
    at: float = 0.0,
    max_kb: float = 0.0,
) -> dict[str, Any]:
    """Return the record of an outcome, without the dependencies, which are no longer needed.

    ``at`` is the wall-clock time of the end. If the record exceeds ``max_kb``, since the job was
    accepted under a larger limit, fields that are never read again are left out.
    """
    bare = msgspec.structs.replace(spec, depends_on=None, more=0)
    value: dict[str, Any] = {"phase": phase, "spec": job_value(bare)}
    if at:
        value["at"] = at
    if max_kb and not fits(value, max_kb):
        reduced = msgspec.structs.replace(
            bare, job_class=spec.job_class[:20], image=None, machine_types=None, zone=None
        )
        value["spec"] = job_value(reduced)
    return value


def decode_outcome(value: Any) -> tuple[str, Submission]:
    """Decode an outcome into phase and job; raises MalformedMessageError if it is malformed."""
    if type(value) is not dict or value.get("phase") not in ("done", "aborted"):
        raise MalformedMessageError("record of an ended job")
    return value["phase"], decode_job(value.get("spec"))


def ended_at(value: Any) -> float | None:
    """Return the wall-clock time at which a job ended; None in records of earlier versions."""
    at = value.get("at") if type(value) is dict else None
    return float(at) if isinstance(at, int | float) else None


def machine_type_rows(machine_types: list[Any], max_kb: float) -> list[tuple[str, dict[str, Any]]]:
    """Return the keys and values that hold the machine types, split if one value is too small.

    ``flavors``, the only key that earlier versions read, holds all types or is not written: a
    controller that knew only some of the types would never run jobs that need the others.
    """
    single_value = {"builds": machine_types}
    if fits(single_value, max_kb):
        return [(MACHINE_TYPES, single_value)]
    lists: list[list[Any]] = [[]]
    for machine_type in machine_types:
        if lists[-1] and not fits({"builds": [*lists[-1], machine_type], "of": 9999}, max_kb):
            lists.append([])
        lists[-1].append(machine_type)
    if not all(fits({"builds": part, "of": 9999}, max_kb) for part in lists):
        raise RecordTooLargeError("a machine type is too long to be kept")
    return [
        (f"{MACHINE_TYPE_PARTS}{n:04d}", {"builds": part, "of": len(lists)})
        for n, part in enumerate(lists)
    ]


def join_machine_types(rows: dict[str, Any]) -> dict[str, Any] | None:
    """Join machine types that are split over several values; None if a value is missing.

    Raises MalformedMessageError if a value holds no list.
    """
    values = [rows[key] for key in sorted(rows)]
    if not values or any(type(v) is not dict or v.get("of") != len(values) for v in values):
        return None
    lists = [value.get("builds") or [] for value in values]
    if not all(type(part) is list for part in lists):
        raise MalformedMessageError("continued machine types")
    return {"builds": [machine_type for part in lists for machine_type in part]}


class FencingTokenRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The value of the fencing token's key.

    Earlier versions write the token alone, which leaves the facts at their defaults.
    """

    fencing_token: int = msgspec.field(name="n")
    # Each lease in force was last renewed with the knowledge of all cancellations before that.
    informed: bool = False
    # Another controller may have renewed leases since, under a delegation of this term.
    delegated: bool = False


def decode_fencing_token(value: Any) -> FencingTokenRecord:
    """Decode the record of the last fencing token. Raises MalformedMessageError."""
    return shape(value, FencingTokenRecord)


class LeaderRecord(msgspec.Struct, frozen=True):
    """The value of the leader's key."""

    member: str | None = None
    run_id: str | None = msgspec.field(name="run", default=None)  # of the leading process
    fencing_token: int = msgspec.field(name="token", default=0)
    nonce: str | None = None  # of the campaign that won


def decode_leader(value: Any) -> LeaderRecord:
    """Decode the leader's record. Raises MalformedMessageError."""
    return shape(value, LeaderRecord)
