"""Reasons for which a task is released from its machine."""

from __future__ import annotations

from enum import StrEnum


class ReleaseReason(StrEnum):
    """Proof that a task is not on its machine any more."""

    EXITED = "exited"
    NOT_SHOWN = "not_shown"  # an earlier heartbeat listed it and a newer one does not
    NEVER_STARTED = "never_started"  # not in a heartbeat newer than every answer with its start
    NEVER_SENT = "never_told"  # no answer carried its start
    LEASE_EXPIRED = "lease_over"
    NEW_INCARNATION = "new_session"
    TERMINATED = "returned"  # the cloud confirmed that the machine is gone
