"""Messages as typed structures, and the checks that they pass at the door."""

from __future__ import annotations

import functools
import re
from typing import Annotated, Any, Literal, TypeVar

import cbor2
import msgspec

from salthead.protocol import names

T = TypeVar("T")
MAX_BODY = 64 * 1024
MAX_PIECES = 100_000
# an id in any other form was never accepted, so it needs no look-up
UID = re.compile(r"req-[0-9]{1,40}\Z")


class Malformed(Exception):
    """A message that can't be understood, with a short reason."""


# A record has to fit into one value of the state service.
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Submission(msgspec.Struct, omit_defaults=True):
    """POST /work, which is also the record that is kept of it."""

    uid: str
    breed: Name
    crew: Name
    shape: Literal["array", "gang"]
    urgency: Literal["prod", "urgent", "normal", "idle"]
    pieces: int
    vcpus: float
    ram_gb: float
    accelerators: float = 0.0
    kit: Name | None = None
    image_gb: float = 0.0
    builds: list[str] | None = None
    paddock: Name | None = None
    same_place: bool = False
    apart: bool = False
    borrowed: bool = False
    guess_s: float = 0.0
    cairn_s: float = 0.0
    stow_s: float = 0.0
    due_s: float | None = None
    # jobs that have to be done before any task of this one starts
    awaits: list[str] | None = None
    # ours: the time of day at which the record was written
    at: float = 0.0
    # ours: how many further values hold the rest of a long list of jobs that it awaits
    more: int = 0


# What a user has to give: all that the protocol's page does not let be null, which alone may be
# left out. Records and what nodes pass on leave out what has its usual value.
GIVEN = (
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


class Piece(msgspec.Struct):
    piece: str
    attempt: int = msgspec.field(name="try")
    phase: str
    cause: str | None = None
    saved: bool | None = False


class Report(msgspec.Struct):
    """POST /hello."""

    saltlick: str
    tenure: int
    tally: int
    baton: int = 0
    endpoint: str = ""
    build: str = ""
    paddock: str = ""
    borrowed: bool = False
    warning_s: float | None = None
    pieces: list[Piece] = []


class Flavor(msgspec.Struct):
    name: str
    vcpus: float
    ram_gb: float
    rate: float
    paddocks: list[str]
    accelerators: float = 0.0
    local_gb: float = 0.0
    pull_gb_per_s: float = 1.0
    spot_price: float | None = None
    boot_s: float = 0.0


class Flavors(msgspec.Struct):
    builds: list[Flavor]


class Host(msgspec.Struct):
    uid: str
    build: str
    paddock: str
    phase: str
    borrowed: bool = False
    endpoint: str | None = ""
    age_s: float = 0.0


class Hosts(msgspec.Struct):
    saltlicks: list[Host]
    truncated: bool = False


class Hired(msgspec.Struct):
    saltlicks: list[str]


def encode(message: Any) -> bytes:
    """A body: structures become maps with their wire names."""
    return cbor2.dumps(msgspec.to_builtins(message))


def encode_plain(message: dict[str, Any]) -> bytes:
    """A body that holds maps, lists and plain values only."""
    return cbor2.dumps(message)


def decode_map(body: bytes) -> dict[str, Any]:
    """A body that has to be a map with text keys."""
    try:
        found = cbor2.loads(body)
    except Exception as error:  # the decoder raises several unrelated types
        raise Malformed("not CBOR") from error
    if type(found) is not dict or not all(type(key) is str for key in found):
        raise Malformed("not a map with text keys")
    return found


def shape(found: Any, kind: type[T]) -> T:
    """The map as the structure; Malformed names the field."""
    try:
        return msgspec.convert(found, kind)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)) from None
    except (RecursionError, OverflowError) as error:
        raise Malformed("not a plain message") from error


def decode(body: bytes, kind: type[T]) -> T:
    return shape(decode_map(body), kind)


def finite(value: float, low: float, what: str) -> None:
    if not low <= value < 1e12:  # also refuses what is not a number
        raise Malformed(f"{what}: out of range")


def decode_submission(body: bytes, passed_on: bool = False) -> Submission:
    """POST /work in full, or Malformed (400) with a short reason.

    ``passed_on``: by another node, which has checked that no field is missing.
    """
    if len(body) > MAX_BODY:
        raise Malformed("body over 64 KiB")
    found = decode_map(body)
    if not passed_on:
        for name in GIVEN:
            if found.get(name) is None:
                raise Malformed(f"{name}: missing")
    job = shape(found, Submission)
    if not UID.match(job.uid):
        raise Malformed("uid: not of the form req-DIGITS")
    if not 1 <= job.pieces <= MAX_PIECES:
        raise Malformed("pieces: out of range")
    for what in ("vcpus", "accelerators", "ram_gb", "image_gb", "guess_s", "cairn_s", "stow_s"):
        finite(getattr(job, what), 0.0, what)
    if job.due_s is not None:
        finite(job.due_s, 0.0, "due_s")
    if job.vcpus <= 0 and job.accelerators <= 0 and job.ram_gb <= 0:
        raise Malformed("vcpus: a task must take something")
    if job.awaits is not None:
        job.awaits = list(dict.fromkeys(job.awaits)) or None
    job.at, job.more = 0.0, 0
    return job


def decode_report(body: bytes) -> Report:
    report = decode(body, Report)
    if not report.saltlick or report.tenure < 1 or report.tally < 0 or report.baton < 0:
        raise Malformed("saltlick, tenure, tally or baton: out of range")
    return report


@functools.lru_cache(maxsize=20_000)
def split_piece(text: str) -> tuple[str, int]:
    """``req-000412/3`` as its job and its number."""
    uid, _, number = text.rpartition("/")
    if not UID.match(uid) or not number.isascii() or not number.isdigit():
        raise Malformed(f"piece: {text[:60]!r}")
    return uid, int(number)


def status_body(
    uid: str,
    phase: str,
    done: int = 0,
    running: int = 0,
    awaits: list[str] | None = None,
) -> dict[str, Any]:
    found: dict[str, Any] = {"uid": uid, "phase": phase, "done": done, "running": running}
    if awaits:
        found["awaits"] = awaits
    return found


def start_order(piece: str, attempt: int) -> dict[str, Any]:
    return {"verb": names.START, "piece": piece, "try": attempt}


def stop_order(piece: str, attempt: int, leeway_s: float) -> dict[str, Any]:
    return {"verb": names.STOP, "piece": piece, "try": attempt, "leeway_s": leeway_s}


def reap_order(piece: str, attempt: int) -> dict[str, Any]:
    return {"verb": names.REAP, "piece": piece, "try": attempt}
