"""The one gate from evidence to action: what has to be confirmed before a controller acts.

Pure: callers collect the facts that hold now, and ask which of those that an action requires are
lacking. A decision that is sent or written later is asked about again at that time.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum, IntFlag, auto
from types import MappingProxyType


class Fact(IntFlag):
    """What may be confirmed at a moment, of the lead, the fleet, one worker or one job."""

    LEAD_LEASE = auto()  # the lease on the lead, or the promises of all peers, certainly last now
    TOKEN_CURRENT = auto()  # no worker and no write has shown a higher fencing token
    JOBS_KNOWN = auto()  # no cancellation that was confirmed to a user can be missing here
    FLEET_ACCOUNTED = auto()  # each machine of the roster has reported here, or its lease is over
    MACHINE_THERE = auto()  # the cloud has not confirmed the machine's return
    INCARNATION_CURRENT = auto()  # the worker's incarnation is not one that must have ended
    ANSWERS_HEARD = auto()  # answers to the worker are not known to be lost
    MACHINE_REGISTERED = auto()  # the state service knows the machine
    TOKEN_ACCEPTED = auto()  # the worker has shown this term's token
    WORKER_LEASE_OVER = auto()  # the worker's lease must have ended, by this controller's clock
    TASK_NOWHERE = auto()  # no machine can be running the task
    OUTCOME_DURABLE = auto()  # the state service holds the outcome
    NOTHING_IN_DOUBT = auto()  # no outcome that the job depends on was sent with its fate unknown
    REASON_HOLDS = auto()  # what a decision was made for has not changed since
    STATE_SERVICE = auto()  # the state service has just answered this controller
    NO_PROMISE = auto()  # this controller has promised nobody not to stand
    PEER_HEARS_MORE = auto()  # clearly more workers report to a peer than are heard here


class Action(IntEnum):
    """What a controller does on the strength of such facts."""

    ACKNOWLEDGE_HEARTBEAT = auto()
    START = auto()
    STOP = auto()
    REAP_RESULT = auto()
    TELL_STATUS = auto()
    CONFIRM_CANCELLATION = auto()
    JUDGE_LOST = auto()
    PLACE = auto()
    HIRE = auto()
    RETURN = auto()
    TAKE_LEAD = auto()
    RESIGN = auto()


REQUIRED: Mapping[Action, Fact] = MappingProxyType(
    {
        Action.ACKNOWLEDGE_HEARTBEAT: (
            Fact.LEAD_LEASE
            | Fact.TOKEN_CURRENT
            | Fact.JOBS_KNOWN
            | Fact.MACHINE_THERE
            | Fact.INCARNATION_CURRENT
            | Fact.ANSWERS_HEARD
        ),
        Action.START: Fact.LEAD_LEASE | Fact.MACHINE_REGISTERED | Fact.TOKEN_ACCEPTED,
        Action.STOP: Fact.LEAD_LEASE | Fact.TOKEN_ACCEPTED,
        Action.REAP_RESULT: Fact.OUTCOME_DURABLE,
        Action.TELL_STATUS: Fact.JOBS_KNOWN | Fact.NOTHING_IN_DOUBT,
        Action.CONFIRM_CANCELLATION: Fact.OUTCOME_DURABLE,
        Action.JUDGE_LOST: Fact.LEAD_LEASE | Fact.WORKER_LEASE_OVER,
        Action.PLACE: Fact.LEAD_LEASE | Fact.TASK_NOWHERE,
        Action.HIRE: Fact.LEAD_LEASE | Fact.TOKEN_CURRENT | Fact.FLEET_ACCOUNTED,
        Action.RETURN: Fact.LEAD_LEASE | Fact.TOKEN_CURRENT | Fact.REASON_HOLDS,
        Action.TAKE_LEAD: Fact.STATE_SERVICE | Fact.NO_PROMISE,
        Action.RESIGN: Fact.PEER_HEARS_MORE,
    }
)

# Reports and passes of placement ask hundreds of times a second: plain numbers, since operations
# on flags are functions written in Python.
_REQUIRED_BITS = {action: int(required) for action, required in REQUIRED.items()}


def lacking(action: Action, held: int) -> int:
    """The facts that the action requires and that do not hold, as bits; 0 permits it."""
    return _REQUIRED_BITS[action] & ~held


def permits(action: Action, held: int) -> bool:
    """Whether all facts that the action requires hold."""
    return not _REQUIRED_BITS[action] & ~held


# Labels of metrics and rows of the interface keep the names under which they were first published.
_PUBLISHED_ACTION_NAMES = {Action.ACKNOWLEDGE_HEARTBEAT: "answer_report"}


_PUBLISHED_FACT_NAMES = {
    Fact.INCARNATION_CURRENT: "session_open",
    Fact.MACHINE_REGISTERED: "in_roster",
}


def action_name(action: Action) -> str:
    """The name of an action in metrics and in the interface."""
    return _PUBLISHED_ACTION_NAMES.get(action, action.name.lower())


def fact_names(bits: int) -> list[str]:
    """The names of facts, for logs, metrics and operators."""
    return [_PUBLISHED_FACT_NAMES.get(fact, str(fact.name).lower()) for fact in Fact if fact & bits]
