"""Preconditions of a controller's actions.

The functions are pure: callers collect the preconditions that hold now, and ask which of those that
an action requires are missing. A decision that is sent or written later is checked again then.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum, IntFlag, auto
from types import MappingProxyType


class Precondition(IntFlag):
    """Conditions of the leader, the fleet, a worker or a job that actions require."""

    # The leader's lease, or the withheld votes of all peers, are certainly in force now.
    LEADER_LEASE = auto()
    # No worker and no write has presented a higher fencing token.
    TOKEN_CURRENT = auto()
    # Every cancellation that was confirmed to a user is loaded.
    JOBS_KNOWN = auto()
    # Each registered machine has sent a heartbeat to this leader, or its lease has expired.
    FLEET_RECONCILED = auto()
    # The cloud has not confirmed the machine's termination.
    MACHINE_NOT_TERMINATED = auto()
    # The worker's incarnation is not one that has certainly ended.
    INCARNATION_CURRENT = auto()
    # Responses to the worker are not known to be lost.
    RESPONSES_DELIVERED = auto()
    # The machine is in the machine registry of the state service.
    MACHINE_REGISTERED = auto()
    # The worker has accepted this term's fencing token.
    TOKEN_ACCEPTED = auto()
    # The worker's lease has certainly expired, by this controller's clock.
    WORKER_LEASE_EXPIRED = auto()
    # No machine can be running the task.
    TASK_NOWHERE = auto()
    # The outcome is written to the state service.
    OUTCOME_DURABLE = auto()
    # The result is known of every write of an outcome on which the job's status depends.
    OUTCOMES_DETERMINATE = auto()
    # The reason for a decision still holds.
    REASON_HOLDS = auto()
    # The state service has answered this controller recently.
    STATE_SERVICE = auto()
    # This controller has not promised a peer to refrain from standing for election.
    VOTE_NOT_WITHHELD = auto()
    # Clearly more workers send heartbeats to a peer than to this controller.
    PEER_HEARS_MORE_WORKERS = auto()


class Action(IntEnum):
    """Actions of a controller that have preconditions."""

    ACKNOWLEDGE_HEARTBEAT = auto()
    START = auto()
    STOP = auto()
    REAP_RESULT = auto()
    ANSWER_JOB_STATUS = auto()
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
        Action.ANSWER_JOB_STATUS: Precondition.JOBS_KNOWN | Precondition.OUTCOMES_DETERMINATE,
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

# Plain integers, because heartbeats and scheduling passes check these hundreds of times a second
# and the operators of IntFlag are implemented in Python.
_REQUIRED_BITS = {action: int(required) for action, required in REQUIRED.items()}


def missing_preconditions(action: Action, held: int) -> int:
    """Return the required preconditions that do not hold, as bits; 0 permits the action."""
    return _REQUIRED_BITS[action] & ~held


def permits(action: Action, held: int) -> bool:
    """Return whether all preconditions of the action hold."""
    return not _REQUIRED_BITS[action] & ~held


# Published names of the actions whose identifiers have changed: metrics and the operators'
# interface keep them.
_PUBLISHED_ACTION_NAMES = {
    Action.ACKNOWLEDGE_HEARTBEAT: "answer_report",
    Action.ANSWER_JOB_STATUS: "tell_status",
    Action.DECLARE_LOST: "judge_lost",
    Action.SCHEDULE: "place",
    Action.PROVISION: "hire",
    Action.TERMINATE: "return",
    Action.BECOME_LEADER: "take_lead",
}

# Published names of the preconditions whose identifiers have changed.
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
    """Return the published name of an action, for metrics and the operators' interface."""
    return _PUBLISHED_ACTION_NAMES.get(action, action.name.lower())


def precondition_names(bits: int) -> list[str]:
    """Return the published names of preconditions, for logs, metrics and operators."""
    return [
        _PUBLISHED_PRECONDITION_NAMES.get(precondition, str(precondition.name).lower())
        for precondition in Precondition
        if precondition & bits
    ]
