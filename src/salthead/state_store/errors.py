"""Errors of requests to the state service."""

from __future__ import annotations

from salthead.errors import SaltheadError
from salthead.protocol.messages import MalformedMessageError
from salthead.transport.client import UnansweredError


class RequestRefusedError(SaltheadError):
    """The state service answered the request but did not execute it."""

    def __init__(self, status: int, operation: str) -> None:
        super().__init__(f"{status} {operation}")
        self.status = status


class ConflictError(SaltheadError):
    """A compare-and-swap condition of a transaction did not hold."""

    def __init__(self, failed_keys: list[str]) -> None:
        super().__init__(f"conditions failed: {failed_keys}")
        self.failed = failed_keys


class LeaseExpiredError(SaltheadError):
    """The lease has expired or was revoked."""


class CompactedError(SaltheadError):
    """The change log no longer holds the epoch that a watch asked for."""


# Errors that background loops log before they retry.
RETRYABLE_ERRORS = (
    RequestRefusedError,
    UnansweredError,
    MalformedMessageError,
    LeaseExpiredError,
    CompactedError,
)
