"""Heartbeats that a leader handles before it has loaded the records of earlier terms."""

from __future__ import annotations

import logging

from salthead import metrics
from salthead.event_log import event

log = logging.getLogger(__name__)


class UnloadedHeartbeats:
    """Events and counts of one term's answers to heartbeats before it has loaded the records."""

    def __init__(self, fencing_token: int) -> None:
        self.fencing_token = fencing_token
        self.logged: set[bool] = set()

    def record(self, worker: str, answered: bool, until: float, now: float) -> None:
        """Count a heartbeat, and log the first one that is answered and the first one that is not.

        ``until``: when this leader stops answering heartbeats unless it has loaded the records.
        """
        metrics.UNLOADED_HEARTBEATS.labels("acknowledged" if answered else "refused").inc()
        if answered not in self.logged:
            self.logged.add(answered)
            event(
                log,
                "unloaded_heartbeat",
                fencing_token=self.fencing_token,
                worker=worker,
                acknowledged=answered,
                at=now,
                until=until,
            )
