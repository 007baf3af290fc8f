"""Calls to a running service, with retries at one controller after the other."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, NamedTuple

from salthead.cli.exit_codes import UNREACHABLE, fail
from salthead.errors import SaltheadError
from salthead.protocol.messages import MalformedMessageError, decode_map, encode

if TYPE_CHECKING:
    from tornado.httpclient import HTTPClient, HTTPResponse

# Statuses by which a controller decides: all others are asked again.
DECIDED = (200, 201, 400, 404, 422)
REQUEST_TIMEOUT_S = 5.0
MIN_RETRY_S = 1.0


class UndecidedError(SaltheadError):
    """A controller was not reached or did not decide; says when to ask the next round."""

    def __init__(self, reason: str, retry_after_s: float = MIN_RETRY_S) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class ServiceAnswer(NamedTuple):
    """Status and body of a controller's decision."""

    status: int
    body: dict[str, Any]


class ServiceClient:
    """The controllers that the user named, asked in turn until one decides."""

    def __init__(self, controllers: tuple[str, ...], timeout: float) -> None:
        self.controllers = controllers
        self.timeout = timeout

    def ask(self, method: str, path: str, body: dict[str, Any] | None = None) -> ServiceAnswer:
        """What the first controller that decides answers; ends the process if none does in time."""
        # Here, so that help and wrong usage do not wait for its import.
        from tornado.httpclient import HTTPClient

        end = time.monotonic() + self.timeout
        client = HTTPClient()
        attempts = 0
        try:
            while True:
                controller = self.controllers[attempts % len(self.controllers)]
                attempts += 1
                try:
                    return _ask_controller(client, f"http://{controller}{path}", method, body)
                except UndecidedError as error:
                    if time.monotonic() + error.retry_after_s > end:
                        fail(f"{controller}: {error}", UNREACHABLE)
                    if attempts % len(self.controllers) == 0:
                        time.sleep(error.retry_after_s)
        finally:
            client.close()


def _ask_controller(
    client: HTTPClient, url: str, method: str, body: dict[str, Any] | None
) -> ServiceAnswer:
    """One request to one controller; UndecidedError if it does not decide."""
    from tornado.httpclient import HTTPClientError, HTTPRequest

    request = HTTPRequest(
        url,
        method=method,
        body=None if method == "GET" else encode(body or {}),
        headers={"Content-Type": "application/cbor"},
        follow_redirects=False,
        connect_timeout=REQUEST_TIMEOUT_S,
        request_timeout=REQUEST_TIMEOUT_S,
    )
    try:
        return _decision_in(client.fetch(request, raise_error=False))
    except (OSError, HTTPClientError, MalformedMessageError, ValueError) as error:
        raise UndecidedError(str(error)) from None


def _decision_in(answer: HTTPResponse) -> ServiceAnswer:
    if answer.code in DECIDED:
        return ServiceAnswer(answer.code, decode_map(answer.body))
    retry_after_s = max(MIN_RETRY_S, float(answer.headers.get("Retry-After", MIN_RETRY_S)))
    raise UndecidedError(f"answers {answer.code}", retry_after_s)
