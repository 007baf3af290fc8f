"""Typed messages between users, workers, controllers and the cloud, and their encoding.

Fields whose name on the wire differs declare it with ``msgspec.field(name=...)``.
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
MAX_BODY_BYTES = 64 * 1024
# No job with an id of another form is ever accepted, so such an id needs no lookup.
JOB_ID = re.compile(r"req-[0-9]{1,40}\Z")


class MalformedMessageError(SaltheadError):
    """A message is malformed; the text is a short reason."""


# The length is limited so that a job's record fits into one value of the state service.
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Submission(msgspec.Struct, omit_defaults=True):
    """The body of POST /work, which is also the stored record of a job."""

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
    # Jobs that must be done before any task of this one starts.
    depends_on: list[str] | None = msgspec.field(name="awaits", default=None)
    # Set by controllers: the wall-clock time at which the record was written.
    at: float = 0.0
    # Set by controllers: the number of continuation values, which hold the dependencies that do not
    # fit into the job record.
    more: int = 0


class TaskStatus(msgspec.Struct):
    """The status of a task in a heartbeat."""

    task_id: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="try")
    phase: str
    cause: str | None = None
    saved: bool | None = False


class Heartbeat(msgspec.Struct):
    """The body of POST /hello: a worker's heartbeat."""

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
    """A machine type that the cloud offers."""

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
    """The answer to GET /flavors."""

    machine_types: list[MachineType] = msgspec.field(name="builds")


class ListedMachine(msgspec.Struct):
    """A machine in the cloud's list."""

    name: str = msgspec.field(name="uid")
    machine_type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="paddock")
    phase: str
    spot: bool = msgspec.field(name="borrowed", default=False)
    endpoint: str | None = ""
    age_s: float = 0.0


class MachineList(msgspec.Struct):
    """The answer to GET /hosts."""

    machines: list[ListedMachine] = msgspec.field(name="saltlicks")
    truncated: bool = False


class ProvisionedMachines(msgspec.Struct):
    """The answer to POST /hosts."""

    machines: list[str] = msgspec.field(name="saltlicks")


class JobStatus(msgspec.Struct):
    """The status of a job for its user; answers that confirm a change hold only the phase."""

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
        """Return a status with numbers of tasks, and unfinished dependencies if there are any."""
        return cls(job_id, phase, done, running, depends_on or msgspec.UNSET)

    @property
    def is_terminal(self) -> bool:
        """Return whether the phase is final."""
        return self.phase in (wire_names.DONE, wire_names.ABORTED)


class StartCommand(msgspec.Struct, frozen=True, tag_field="verb", tag=wire_names.START):
    """A command to start a task."""

    task_id: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="try")


class StopCommand(msgspec.Struct, frozen=True, tag_field="verb", tag=wire_names.STOP):
    """A command to stop a task, with a grace period in seconds to save a checkpoint."""

    task_id: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="try")
    grace_s: float = msgspec.field(name="leeway_s")


class ReapCommand(msgspec.Struct, frozen=True, tag_field="verb", tag=wire_names.REAP):
    """A command to remove an exited task from heartbeats."""

    task_id: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="try")


Command = StartCommand | StopCommand | ReapCommand


class HeartbeatAnswer(msgspec.Struct, frozen=True):
    """The answer to a heartbeat; it renews the worker's lease and carries commands."""

    fencing_token: int = msgspec.field(name="baton")
    commands: list[Command] = msgspec.field(name="orders", default_factory=list)


class LeaderRedirect(msgspec.Struct, frozen=True):
    """The body of a 421 answer: the member name of the leader."""

    leader: str = msgspec.field(name="herder")


class ErrorAnswer(msgspec.Struct, frozen=True):
    """The reason why a request was not executed."""

    error: str


class ReadyAnswer(msgspec.Struct, frozen=True):
    """The answer to GET /up: whether this controller accepts requests."""

    up: bool


class CommandRequest(msgspec.Struct, frozen=True):
    """The body of POST /do: commands of a leader to one incarnation of a worker.

    It may be executed late, or once more after it was answered: only stops do no harm then.
    """

    fencing_token: int = msgspec.field(name="baton")
    incarnation: int = msgspec.field(name="tenure")
    commands: list[StopCommand] = msgspec.field(name="orders", default_factory=list)


def encode(message: Any) -> bytes:
    """Encode a message as CBOR; structures become maps with their wire names."""
    return cbor2.dumps(msgspec.to_builtins(message))


def decode_map(body: bytes) -> dict[str, Any]:
    """Decode a body as a map with text keys; raises MalformedMessageError if it is none."""
    try:
        fields = cbor2.loads(body)
    except Exception as error:  # the decoder raises several unrelated types
        raise MalformedMessageError("not CBOR") from error
    if type(fields) is not dict or not all(type(key) is str for key in fields):
        raise MalformedMessageError("not a map with text keys")
    return fields


def shape(value: Any, kind: type[T]) -> T:
    """Convert a decoded value to a type; MalformedMessageError names a field that does not fit."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(str(error)) from None
    except (RecursionError, OverflowError) as error:
        raise MalformedMessageError("not a plain message") from error


def decode(body: bytes, kind: type[T]) -> T:
    """Decode a body as a structure; raises MalformedMessageError if it does not fit."""
    return shape(decode_map(body), kind)


@functools.lru_cache(maxsize=20_000)
def split_task_id(text: str) -> tuple[str, int]:
    """Split a task's id, such as ``req-000412/3``, into the job's id and the task's index.

    Raises MalformedMessageError if the id has another form.
    """
    job_id, _, index = text.rpartition("/")
    if not JOB_ID.match(job_id) or not index.isascii() or not index.isdigit():
        raise MalformedMessageError(f"piece: {text[:60]!r}")
    return job_id, int(index)
