"""The one gate from evidence to action: what has to be confirmed before a controller acts.

Pure: callers collect the facts that hold now, and ask which of those that an action requires are
lacking. A decision that is sent or written later is asked about again at that time.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum, IntFlag, auto
from types import MappingProxyType


class Precondition(IntFlag):
    """What may be confirmed at a moment, of the lead, the fleet, one worker or one job."""

    LEADER_LEASE = auto()  # the lease on the lead, or the promises of all peers, certainly last now
    TOKEN_CURRENT = auto()  # no worker and no write has shown a higher fencing token
    JOBS_KNOWN = auto()  # no cancellation that was confirmed to a user can be missing here
    # Each machine of the machine registry has reported here, or its lease is over
    FLEET_RECONCILED = auto()
    MACHINE_NOT_TERMINATED = auto()  # the cloud has not confirmed the machine's return
    INCARNATION_CURRENT = auto()  # the worker's incarnation is not one that must have ended
    RESPONSES_DELIVERED = auto()  # answers to the worker are not known to be lost
    MACHINE_REGISTERED = auto()  # the state service knows the machine
    TOKEN_ACCEPTED = auto()  # the worker has shown this term's token
    WORKER_LEASE_OVER = auto()  # the worker's lease must have ended, by this controller's clock
    TASK_NOWHERE = auto()  # no machine can be running the task
    OUTCOME_DURABLE = auto()  # the state service holds the outcome
    OUTCOMES_DETERMINATE = (
        auto()
    )  # no outcome that the job depends on was sent with its fate unknown
    REASON_HOLDS = auto()  # what a decision was made for has not changed since
    STATE_SERVICE = auto()  # the state service has just answered this controller
    VOTE_NOT_WITHHELD = auto()  # this controller has promised nobody not to stand
    PEER_HEARS_MORE_WORKERS = auto()  # clearly more workers report to a peer than are heard here


class Action(IntEnum):
    """What a controller does on the strength of such facts."""

    ACKNOWLEDGE_HEARTBEAT = auto()
    START = auto()
    STOP = auto()
    REAP_RESULT = auto()
    REPORT_STATUS = auto()
    CONFIRM_CANCELLATION = auto()
    DECLARE_LOST = auto()
    SCHEDULE = auto()
    PROVISION = auto()
    TERMINATE = auto()
    BECOME_LEADER = auto()
    RESIGN = auto()


REQUIRED: Mapping[Action, Precondition] = MappingProxyType(
    {
        Action.ACKNOWLEDGE_HEARTBEAT: (
            Precondition.LEADER_LEASE
            | Precondition.TOKEN_CURRENT
            | Precondition.JOBS_KNOWN
            | Precondition.MACHINE_NOT_TERMINATED
            | Precondition.INCARNATION_CURRENT
            | Precondition.RESPONSES_DELIVERED
        ),
        Action.START: Precondition.LEADER_LEASE
        | Precondition.MACHINE_REGISTERED
        | Precondition.TOKEN_ACCEPTED,
        Action.STOP: Precondition.LEADER_LEASE | Precondition.TOKEN_ACCEPTED,
        Action.REAP_RESULT: Precondition.OUTCOME_DURABLE,
        Action.REPORT_STATUS: Precondition.JOBS_KNOWN | Precondition.OUTCOMES_DETERMINATE,
        Action.CONFIRM_CANCELLATION: Precondition.OUTCOME_DURABLE,
        Action.DECLARE_LOST: Precondition.LEADER_LEASE | Precondition.WORKER_LEASE_OVER,
        Action.SCHEDULE: Precondition.LEADER_LEASE | Precondition.TASK_NOWHERE,
        Action.PROVISION: Precondition.LEADER_LEASE
        | Precondition.TOKEN_CURRENT
        | Precondition.FLEET_RECONCILED,
        Action.TERMINATE: Precondition.LEADER_LEASE
        | Precondition.TOKEN_CURRENT
        | Precondition.REASON_HOLDS,
        Action.BECOME_LEADER: Precondition.STATE_SERVICE | Precondition.VOTE_NOT_WITHHELD,
        Action.RESIGN: Precondition.PEER_HEARS_MORE_WORKERS,
    }
)

# Heartbeats and passes of placement ask hundreds of times a second: plain numbers, since operations
# on flags are functions written in Python.
_REQUIRED_BITS = {action: int(required) for action, required in REQUIRED.items()}


def missing_preconditions(action: Action, held: int) -> int:
    """The facts that the action requires and that do not hold, as bits; 0 permits it."""
    return _REQUIRED_BITS[action] & ~held


def permits(action: Action, held: int) -> bool:
    """Whether all facts that the action requires hold."""
    return not _REQUIRED_BITS[action] & ~held


# Labels of metrics and rows of the interface keep the names under which they were first published.
_PUBLISHED_ACTION_NAMES = {
    Action.ACKNOWLEDGE_HEARTBEAT: "answer_report",
    Action.REPORT_STATUS: "tell_status",
    Action.DECLARE_LOST: "judge_lost",
    Action.SCHEDULE: "place",
    Action.PROVISION: "hire",
    Action.TERMINATE: "return",
    Action.BECOME_LEADER: "take_lead",
}


_PUBLISHED_PRECONDITION_NAMES = {
    Precondition.LEADER_LEASE: "lead_lease",
    Precondition.FLEET_RECONCILED: "fleet_accounted",
    Precondition.MACHINE_NOT_TERMINATED: "machine_there",
    Precondition.INCARNATION_CURRENT: "session_open",
    Precondition.RESPONSES_DELIVERED: "answers_heard",
    Precondition.MACHINE_REGISTERED: "in_roster",
    Precondition.OUTCOMES_DETERMINATE: "nothing_in_doubt",
    Precondition.VOTE_NOT_WITHHELD: "no_promise",
    Precondition.PEER_HEARS_MORE_WORKERS: "peer_hears_more",
}


def action_name(action: Action) -> str:
    """The name of an action in metrics and in the interface."""
    return _PUBLISHED_ACTION_NAMES.get(action, action.name.lower())


def precondition_names(bits: int) -> list[str]:
    """The names of facts, for logs, metrics and operators."""
    return [
        _PUBLISHED_PRECONDITION_NAMES.get(fact, str(fact.name).lower())
        for fact in Precondition
        if fact & bits
    ]
