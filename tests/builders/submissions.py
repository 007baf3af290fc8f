"""Builders of submissions, as objects and as request bodies."""

from __future__ import annotations

from typing import Any

import msgspec

from salthead.protocol.messages import Submission


def submission(job_id: str = "req-1", **changes: Any) -> Submission:
    """Return the submission of a small array; ``changes`` override attributes."""
    fields: dict[str, Any] = {
        "job_id": job_id,
        "job_class": "b",
        "team": "blue",
        "shape": "array",
        "urgency": "normal",
        "task_count": 2,
        "vcpus": 2.0,
        "ram_gb": 4.0,
        "estimated_run_s": 20.0,
        "at": 1000.0,
    }
    return msgspec.convert(msgspec.to_builtins(Submission(**(fields | changes))), Submission)


def submission_fields(job: Any) -> dict[str, Any]:
    """Return the request body of a submission, with all fields that ``job`` may omit filled in."""
    submitted = job if not isinstance(job, dict) else msgspec.convert(job, Submission)
    fields = {
        field.encode_name: getattr(submitted, field.name)
        for field in msgspec.structs.fields(Submission)
    }
    return fields | {"kit": fields["kit"] or "img-0"}
