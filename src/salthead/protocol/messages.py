"""Messages as typed structures, and their encoding.

Fields have the code's names, which are mapped to the wire's here.
"""

from __future__ import annotations

import functools
import re
from typing import Annotated, Any, Literal, TypeVar

import cbor2
import msgspec

from salthead.errors import SaltheadError
from salthead.protocol import wire_names

T = TypeVar("T")
MAX_BODY = 64 * 1024  # bytes
# A job with an id in any other form was never accepted, so it needs no look-up.
JOB_ID = re.compile(r"req-[0-9]{1,40}\Z")


class MalformedMessageError(SaltheadError):
    """A message that can't be understood, with a short reason."""


# A record has to fit into one value of the state service.
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Submission(msgspec.Struct, omit_defaults=True):
    """POST /work, which is also the record that is kept of it."""

    job_id: str = msgspec.field(name="uid")
    job_class: Name = msgspec.field(name="breed")
    team: Name = msgspec.field(name="crew")
    shape: Literal["array", "gang"]
    urgency: Literal["prod", "urgent", "normal", "idle"]
    task_count: int = msgspec.field(name="pieces")
    vcpus: float
    ram_gb: float
    accelerators: float = 0.0
    image: Name | None = msgspec.field(name="kit", default=None)
    image_gb: float = 0.0
    machine_types: list[str] | None = msgspec.field(name="builds", default=None)
    zone: Name | None = msgspec.field(name="paddock", default=None)
    single_zone: bool = msgspec.field(name="same_place", default=False)
    spread_zones: bool = msgspec.field(name="apart", default=False)
    spot: bool = msgspec.field(name="borrowed", default=False)
    estimated_run_s: float = msgspec.field(name="guess_s", default=0.0)
    checkpoint_interval_s: float = msgspec.field(name="cairn_s", default=0.0)
    checkpoint_save_s: float = msgspec.field(name="stow_s", default=0.0)
    deadline_s: float | None = msgspec.field(name="due_s", default=None)
    # Jobs that have to be done before any task of this one starts.
    depends_on: list[str] | None = msgspec.field(name="awaits", default=None)
    # Set by controllers: the time of day at which the record was written.
    at: float = 0.0
    # Set by controllers: how many further values hold the rest of a long list of dependencies.
    more: int = 0


class TaskStatus(msgspec.Struct):
    """One task on a machine, as its worker reports it."""

    task_id: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="try")
    phase: str
    cause: str | None = None
    saved: bool | None = False


class Heartbeat(msgspec.Struct):
    """POST /hello."""

    worker: str = msgspec.field(name="saltlick")
    incarnation: int = msgspec.field(name="tenure")
    sequence: int = msgspec.field(name="tally")
    fencing_token: int = msgspec.field(name="baton", default=0)
    endpoint: str = ""
    machine_type: str = msgspec.field(name="build", default="")
    zone: str = msgspec.field(name="paddock", default="")
    spot: bool = msgspec.field(name="borrowed", default=False)
    warning_s: float | None = None
    tasks: list[TaskStatus] = msgspec.field(name="pieces", default_factory=list)


class MachineType(msgspec.Struct):
    """A type of machine that the cloud rents."""

    name: str
    vcpus: float
    ram_gb: float
    rate: float
    zones: list[str] = msgspec.field(name="paddocks")
    accelerators: float = 0.0
    local_gb: float = 0.0
    pull_gb_per_s: float = 1.0
    spot_price: float | None = None
    boot_s: float = 0.0


class MachineTypes(msgspec.Struct):
    """GET /flavors."""

    machine_types: list[MachineType] = msgspec.field(name="builds")


class ListedMachine(msgspec.Struct):
    """One machine in the cloud's list."""

    name: str = msgspec.field(name="uid")
    machine_type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="paddock")
    phase: str
    spot: bool = msgspec.field(name="borrowed", default=False)
    endpoint: str | None = ""
    age_s: float = 0.0


class MachineList(msgspec.Struct):
    """GET /hosts."""

    machines: list[ListedMachine] = msgspec.field(name="saltlicks")
    truncated: bool = False


class ProvisionedMachines(msgspec.Struct):
    """The answer to POST /hosts."""

    machines: list[str] = msgspec.field(name="saltlicks")


class JobStatus(msgspec.Struct):
    """What a user is told of a job. Answers that confirm a change name its phase alone."""

    job_id: str = msgspec.field(name="uid")
    phase: str
    done: int | msgspec.UnsetType = msgspec.UNSET  # tasks
    running: int | msgspec.UnsetType = msgspec.UNSET  # tasks
    depends_on: list[str] | msgspec.UnsetType = msgspec.field(name="awaits", default=msgspec.UNSET)

    @classmethod
    def with_progress(
        cls,
        job_id: str,
        phase: str,
        done: int = 0,
        running: int = 0,
        depends_on: list[str] | None = None,
    ) -> JobStatus:
        """A status that counts tasks, and names unfinished dependencies if there are any."""
        return cls(job_id, phase, done, running, depends_on or msgspec.UNSET)

    @property
    def is_terminal(self) -> bool:
        """Whether the phase never changes any more."""
        return self.phase in (wire_names.DONE, wire_names.ABORTED)


class StartCommand(msgspec.Struct, frozen=True, tag_field="verb", tag=wire_names.START):
    """Start a task."""

    task_id: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="try")


class StopCommand(msgspec.Struct, frozen=True, tag_field="verb", tag=wire_names.STOP):
    """Stop a task, with the seconds that it has to save a checkpoint."""

    task_id: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="try")
    grace_s: float = msgspec.field(name="leeway_s")


class ReapCommand(msgspec.Struct, frozen=True, tag_field="verb", tag=wire_names.REAP):
    """Remove an exited task from heartbeats."""

    task_id: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="try")


Command = StartCommand | StopCommand | ReapCommand


class HeartbeatAnswer(msgspec.Struct, frozen=True):
    """The answer to a heartbeat: it renews the worker's lease and carries commands."""

    fencing_token: int = msgspec.field(name="baton")
    commands: list[Command] = msgspec.field(name="orders", default_factory=list)


class LeaderRedirect(msgspec.Struct, frozen=True):
    """421: the controller that leads, by its member name."""

    leader: str = msgspec.field(name="herder")


class ErrorAnswer(msgspec.Struct, frozen=True):
    """Why a request was not done."""

    error: str


class ReadyAnswer(msgspec.Struct, frozen=True):
    """GET /up: this controller takes requests."""

    up: bool


class CommandRequest(msgspec.Struct, frozen=True):
    """POST /do: commands of a leader to a worker, for one incarnation of it."""

    fencing_token: int = msgspec.field(name="baton")
    incarnation: int = msgspec.field(name="tenure")
    commands: list[Command] = msgspec.field(name="orders", default_factory=list)


def encode(message: Any) -> bytes:
    """A body: structures become maps with their wire names."""
    return cbor2.dumps(msgspec.to_builtins(message))


def decode_map(body: bytes) -> dict[str, Any]:
    """The map with text keys that a body holds; MalformedMessageError if it is none."""
    try:
        fields = cbor2.loads(body)
    except Exception as error:  # the decoder raises several unrelated types
        raise MalformedMessageError("not CBOR") from error
    if type(fields) is not dict or not all(type(key) is str for key in fields):
        raise MalformedMessageError("not a map with text keys")
    return fields


def shape(value: Any, kind: type[T]) -> T:
    """A decoded value as a structure; MalformedMessageError names the field that does not fit."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(str(error)) from None
    except (RecursionError, OverflowError) as error:
        raise MalformedMessageError("not a plain message") from error


def decode(body: bytes, kind: type[T]) -> T:
    """A body as a structure; MalformedMessageError if it is none."""
    return shape(decode_map(body), kind)


@functools.lru_cache(maxsize=20_000)
def split_task_id(text: str) -> tuple[str, int]:
    """A task's id, such as ``req-000412/3``, as the id of its job and its index in that."""
    job_id, _, number = text.rpartition("/")
    if not JOB_ID.match(job_id) or not number.isascii() or not number.isdigit():
        raise MalformedMessageError(f"piece: {text[:60]!r}")
    return job_id, int(number)
