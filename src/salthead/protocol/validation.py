"""Validation of messages from users and workers.

Errors name fields by their wire names.
"""

from __future__ import annotations

from salthead.protocol.messages import (
    JOB_ID,
    MAX_BODY_BYTES,
    Heartbeat,
    MalformedMessageError,
    Submission,
    decode,
    decode_map,
    shape,
)

MAX_TASKS = 100_000
MAX_AMOUNT = 1e12

# Wire names of the fields that a user must set: all that the protocol does not allow to be null.
# Records and forwarded submissions leave out fields that have their default value.
REQUIRED_FIELDS = (
    "uid",
    "breed",
    "crew",
    "shape",
    "urgency",
    "pieces",
    "vcpus",
    "accelerators",
    "ram_gb",
    "kit",
    "image_gb",
    "same_place",
    "apart",
    "borrowed",
    "guess_s",
    "cairn_s",
    "stow_s",
)

# Amounts of a submission that must be at least 0 and below ``MAX_AMOUNT``: attribute and wire name.
AMOUNTS = (
    ("vcpus", "vcpus"),
    ("accelerators", "accelerators"),
    ("ram_gb", "ram_gb"),
    ("image_gb", "image_gb"),
    ("estimated_run_s", "guess_s"),
    ("checkpoint_interval_s", "cairn_s"),
    ("checkpoint_save_s", "stow_s"),
)


def _check_amount(value: float, wire_name: str) -> None:
    if not 0.0 <= value < MAX_AMOUNT:  # also rejects NaN
        raise MalformedMessageError(f"{wire_name}: out of range")


def decode_submission(body: bytes, forwarded: bool = False) -> Submission:
    """Decode and check a submission; raises MalformedMessageError with a short reason.

    ``forwarded``: another controller sent it and has checked that no required field is missing.
    """
    if len(body) > MAX_BODY_BYTES:
        raise MalformedMessageError("body over 64 KiB")
    fields = decode_map(body)
    if not forwarded:
        for name in REQUIRED_FIELDS:
            if fields.get(name) is None:
                raise MalformedMessageError(f"{name}: missing")
    job = shape(fields, Submission)
    _check_ranges(job)
    if job.depends_on is not None:
        job.depends_on = list(dict.fromkeys(job.depends_on)) or None
    job.at, job.more = 0.0, 0
    return job


def submitted_job_id(body: bytes) -> str | None:
    """Return the job id in a submission that may be malformed otherwise, or None."""
    if len(body) > MAX_BODY_BYTES:
        return None
    try:
        job_id = decode_map(body).get("uid")
    except MalformedMessageError:
        return None
    return job_id if type(job_id) is str and JOB_ID.match(job_id) else None


def _check_ranges(job: Submission) -> None:
    """Check the values that types do not restrict; MalformedMessageError names the field."""
    if not JOB_ID.match(job.job_id):
        raise MalformedMessageError("uid: not of the form req-DIGITS")
    if not 1 <= job.task_count <= MAX_TASKS:
        raise MalformedMessageError("pieces: out of range")
    for attribute, wire_name in AMOUNTS:
        _check_amount(getattr(job, attribute), wire_name)
    if job.deadline_s is not None:
        _check_amount(job.deadline_s, "due_s")
    if job.vcpus <= 0 and job.accelerators <= 0 and job.ram_gb <= 0:
        raise MalformedMessageError("vcpus: a task must take something")


def decode_heartbeat(body: bytes) -> Heartbeat:
    """Decode and check a worker's heartbeat; raises MalformedMessageError if it is malformed."""
    heartbeat = decode(body, Heartbeat)
    if (
        not heartbeat.worker
        or heartbeat.incarnation < 1
        or heartbeat.sequence < 0
        or heartbeat.fencing_token < 0
    ):
        raise MalformedMessageError("saltlick, tenure, tally or baton: out of range")
    return heartbeat
