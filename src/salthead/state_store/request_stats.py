"""Classes of requests to the state service, and counts of them by class and result."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import StrEnum

from salthead import metrics
from salthead.event_log import event

log = logging.getLogger(__name__)

REFUSAL_LOG_INTERVAL_S = 10.0


class RequestClass(StrEnum):
    """What a request is for, by its name in logs and metrics."""

    LEASE = "lease"  # leases, elections and delegations
    RECOVERY = "recovery"  # records that a new leader loads
    LEADER = "leader"  # other reads of a leader
    USER = "user"  # reads for the answers to questions of users
    SUBMISSION = "submission"  # reads for submissions and cancellations
    WRITE = "write"
    BULK_WRITE = "bulk_write"
    WATCH = "watch"


class RequestResult(StrEnum):
    """How a request ended, by its name in logs and metrics."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    NOT_SENT = "not_sent"  # its turn would have come too late


class RequestStats:
    """Counts of one client's requests, and of those that wait for their turn."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.refused: Counter[RequestClass] = Counter()  # since the last log line
        self.logged_at = now()
        # By class: the requests that wait, by number, with the time since when.
        self.waiting: dict[RequestClass, dict[int, float]] = {c: {} for c in RequestClass}
        self.last_number = 0
        for request_class in RequestClass:
            self._expose(request_class)

    def _expose(self, request_class: RequestClass) -> None:
        """Let the gauges of a class show what waits when they are read."""
        waiting = self.waiting[request_class]
        metrics.STATE_REQUESTS_WAITING.labels(request_class).set_function(lambda: len(waiting))
        metrics.STATE_OLDEST_WAIT_SECONDS.labels(request_class).set_function(
            lambda: self._oldest_s(waiting)
        )

    def record(self, request_class: RequestClass, result: RequestResult) -> None:
        """Count a request that has ended."""
        metrics.STATE_REQUESTS.labels(request_class, result).inc()
        if result is RequestResult.REFUSED:
            self.refused[request_class] += 1
            self._log_refusals()

    def _log_refusals(self) -> None:
        now = self.now()
        if now - self.logged_at < REFUSAL_LOG_INTERVAL_S:
            return
        fields = {f"refused_{c}": count for c, count in self.refused.items()}
        event(
            log,
            "state_requests_refused",
            logging.WARNING,
            in_s=now - self.logged_at,
            **fields,
            waiting=self.waiting_count(),
            oldest_s=self.longest_wait_s(),
        )
        self.logged_at = now
        self.refused.clear()

    @contextmanager
    def while_waiting(self, request_class: RequestClass) -> Iterator[None]:
        """Count a request as waiting for its turn."""
        self.last_number += 1
        number = self.last_number
        waiting = self.waiting[request_class]
        waiting[number] = self.now()
        try:
            yield
        finally:
            del waiting[number]

    def _oldest_s(self, waiting: dict[int, float]) -> float:
        return self.now() - next(iter(waiting.values())) if waiting else 0.0

    def waiting_count(self) -> int:
        """Return how many requests wait for their turn."""
        return sum(map(len, self.waiting.values()))

    def longest_wait_s(self) -> float:
        """Return for how long the oldest request has waited for its turn."""
        return max(map(self._oldest_s, self.waiting.values()))
