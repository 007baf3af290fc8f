"""The preconditions of actions: what has to be confirmed before a controller acts.

Pure: callers collect the preconditions that hold now, and ask which of those that an action
requires are missing. A decision that is sent or written later is checked again at that time.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum, IntFlag, auto
from types import MappingProxyType


class Precondition(IntFlag):
    """What may be confirmed at a moment, of the lead, the fleet, one worker or one job."""

    # The lease on the lead, or the promises of all peers, certainly last now.
    LEADER_LEASE = auto()
    # No worker and no write has shown a higher fencing token.
    TOKEN_CURRENT = auto()
    # No cancellation that was confirmed to a user can be missing here.
    JOBS_KNOWN = auto()
    # Each machine of the machine registry has reported here, or its lease is over.
    FLEET_RECONCILED = auto()
    # The cloud has not confirmed the machine's termination.
    MACHINE_NOT_TERMINATED = auto()
    # The worker's incarnation is not one that must have ended.
    INCARNATION_CURRENT = auto()
    # Responses to the worker are not known to be lost.
    RESPONSES_DELIVERED = auto()
    # The state service knows the machine.
    MACHINE_REGISTERED = auto()
    # The worker has shown this term's token.
    TOKEN_ACCEPTED = auto()
    # The worker's lease must have ended, by this controller's clock.
    WORKER_LEASE_EXPIRED = auto()
    # No machine can be running the task.
    TASK_NOWHERE = auto()
    # The state service holds the outcome.
    OUTCOME_DURABLE = auto()
    # Of no outcome that the job depends on is it unknown whether it was written.
    OUTCOMES_DETERMINATE = auto()
    # The reason for a decision still holds.
    REASON_HOLDS = auto()
    # The state service has just answered this controller.
    STATE_SERVICE = auto()
    # This controller has promised nobody not to stand for election.
    VOTE_NOT_WITHHELD = auto()
    # Clearly more workers report to a peer than are heard here.
    PEER_HEARS_MORE_WORKERS = auto()


class Action(IntEnum):
    """What a controller does once its preconditions hold."""

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
        Action.DECLARE_LOST: Precondition.LEADER_LEASE | Precondition.WORKER_LEASE_EXPIRED,
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

# Plain integers, since heartbeats and scheduling passes ask hundreds of times a second, and the
# operators of flags are functions written in Python.
_REQUIRED_BITS = {action: int(required) for action, required in REQUIRED.items()}


def missing_preconditions(action: Action, held: int) -> int:
    """The preconditions that the action requires and that do not hold, as bits; 0 permits it."""
    return _REQUIRED_BITS[action] & ~held


def permits(action: Action, held: int) -> bool:
    """Whether all preconditions of the action hold."""
    return not _REQUIRED_BITS[action] & ~held


# Metrics and the interface keep the names under which actions were first published.
_PUBLISHED_ACTION_NAMES = {
    Action.ACKNOWLEDGE_HEARTBEAT: "answer_report",
    Action.REPORT_STATUS: "tell_status",
    Action.DECLARE_LOST: "judge_lost",
    Action.SCHEDULE: "place",
    Action.PROVISION: "hire",
    Action.TERMINATE: "return",
    Action.BECOME_LEADER: "take_lead",
}

# And those of preconditions.
_PUBLISHED_PRECONDITION_NAMES = {
    Precondition.LEADER_LEASE: "lead_lease",
    Precondition.FLEET_RECONCILED: "fleet_accounted",
    Precondition.WORKER_LEASE_EXPIRED: "worker_lease_over",
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
    """The names of preconditions, for logs, metrics and operators."""
    return [
        _PUBLISHED_PRECONDITION_NAMES.get(precondition, str(precondition.name).lower())
        for precondition in Precondition
        if precondition & bits
    ]
