"""Validation of incoming messages, and the names in its errors."""

from typing import Any

import cbor2
import msgspec
import pytest

from salthead.protocol.messages import (
    MAX_BODY_BYTES,
    Heartbeat,
    ListedMachine,
    MachineList,
    MachineType,
    MachineTypes,
    MalformedMessageError,
    ProvisionedMachines,
    Submission,
    TaskStatus,
    split_task_id,
)
from salthead.protocol.validation import REQUIRED_FIELDS, decode_heartbeat, decode_submission

GOOD: dict[str, Any] = {
    "uid": "req-000412",
    "breed": "train",
    "crew": "vision",
    "shape": "gang",
    "urgency": "urgent",
    "pieces": 16,
    "vcpus": 8.0,
    "accelerators": 1.0,
    "ram_gb": 64.0,
    "kit": "img-07",
    "image_gb": 6.2,
    "builds": ["g8"],
    "paddock": None,
    "same_place": True,
    "apart": False,
    "borrowed": True,
    "guess_s": 240.0,
    "cairn_s": 30.0,
    "stow_s": 4.0,
    "due_s": 900.0,
}


def test_a_good_submission_passes_with_unknown_fields_and_nulls_left_out() -> None:
    body = {k: v for k, v in GOOD.items() if v is not None} | {"colour": "red", "at": 5.0}
    job = decode_submission(cbor2.dumps(body))
    assert (job.job_id, job.task_count, job.machine_types, job.zone) == (
        "req-000412",
        16,
        ["g8"],
        None,
    )
    assert job.at == 0.0, "the controller sets the time of submission"


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"uid": "job-1"}, "uid"),
        ({"uid": "req-"}, "uid"),
        ({"uid": "req-1/2"}, "uid"),
        ({"uid": 7}, "uid"),
        ({"uid": None}, "uid"),
        ({"shape": "ring"}, "shape"),
        ({"urgency": "now"}, "urgency"),
        ({"pieces": 0}, "pieces"),
        ({"pieces": 100_001}, "pieces"),
        ({"pieces": 2.5}, "pieces"),
        ({"vcpus": -1.0}, "vcpus"),
        ({"vcpus": float("nan")}, "vcpus"),
        ({"ram_gb": float("inf")}, "ram_gb"),
        ({"vcpus": "8"}, "vcpus"),
        ({"builds": "g8"}, "builds"),
        ({"borrowed": "yes"}, "borrowed"),
        ({"due_s": -3.0}, "due_s"),
        ({"crew": ""}, "crew"),
        ({"vcpus": 0.0, "accelerators": 0.0, "ram_gb": 0.0}, "vcpus"),
        ({"breed": "b" * 300}, "breed"),
        ({"awaits": "req-1"}, "awaits"),
        ({"awaits": [1]}, "awaits"),
        ({"awaits": {"req-1": 1}}, "awaits"),
    ],
)
def test_a_bad_field_is_named(change: dict[str, Any], named: str) -> None:
    with pytest.raises(MalformedMessageError, match=named):
        decode_submission(cbor2.dumps(GOOD | change))


@pytest.mark.parametrize("name", GOOD)
def test_only_what_may_be_null_may_be_missing(name: str) -> None:
    # A submission that lost its zone rule or its image on the way must not be accepted as if the
    # field had been set to none.
    bodies = [{k: v for k, v in GOOD.items() if k != name}, GOOD | {name: None}]
    for body in bodies:
        if name in ("builds", "paddock", "due_s"):
            assert decode_submission(cbor2.dumps(body)).job_id == GOOD["uid"]
            continue
        assert name in REQUIRED_FIELDS
        with pytest.raises(MalformedMessageError, match=name):
            decode_submission(cbor2.dumps(body))
        if name not in ("uid", "breed", "crew", "shape", "urgency", "pieces", "vcpus", "ram_gb"):
            # Records and forwarded submissions omit fields with their default value.
            passed = {k: v for k, v in GOOD.items() if k != name}
            assert decode_submission(cbor2.dumps(passed), forwarded=True).job_id == GOOD["uid"]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff\xff",
        cbor2.dumps([1]),
        cbor2.dumps({1: 2}),
        cbor2.dumps("x"),
        cbor2.dumps(GOOD | {"kit": "k" * MAX_BODY_BYTES}),
    ],
)
def test_what_is_not_a_small_map_is_malformed(body: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        decode_submission(body)


@pytest.mark.parametrize(
    "body",
    [
        {},
        {"saltlick": "h", "tenure": 0, "tally": 1},
        {"saltlick": "h", "tenure": 1, "tally": "x"},
        {"saltlick": "h", "tenure": 1, "tally": 1, "pieces": [{"piece": "req-1/0"}]},
    ],
)
def test_bad_reports(body: dict[str, Any]) -> None:
    with pytest.raises(MalformedMessageError):
        decode_heartbeat(cbor2.dumps(body))


@pytest.mark.parametrize("text", ["req-1", "req-1/", "req-1/x", "x/1", "req-1/-1", "req-1/²"])
def test_bad_pieces(text: str) -> None:
    with pytest.raises(MalformedMessageError):
        split_task_id(text)


def test_piece_names() -> None:
    assert split_task_id("req-000412/3") == ("req-000412", 3)


WIRE_NAMES: dict[type[msgspec.Struct], str] = {
    Submission: "uid breed crew shape urgency pieces vcpus ram_gb accelerators kit image_gb builds "
    "paddock same_place apart borrowed guess_s cairn_s stow_s due_s awaits at more",
    TaskStatus: "piece try phase cause saved",
    Heartbeat: "saltlick tenure tally baton endpoint build paddock borrowed warning_s pieces",
    MachineType: "name vcpus ram_gb rate paddocks accelerators local_gb pull_gb_per_s spot_price "
    "boot_s",
    MachineTypes: "builds",
    ListedMachine: "uid build paddock phase borrowed endpoint age_s",
    MachineList: "saltlicks truncated",
    ProvisionedMachines: "saltlicks",
}


@pytest.mark.parametrize("kind", WIRE_NAMES, ids=lambda kind: kind.__name__)
def test_wire_names_and_their_order_stay(kind: type[msgspec.Struct]) -> None:
    # The names are the protocol's; the order is that of the records of the production version.
    fields = [field.encode_name for field in msgspec.structs.fields(kind)]
    assert fields == WIRE_NAMES[kind].split()
