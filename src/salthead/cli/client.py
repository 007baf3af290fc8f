"""Client of a running service, with retries and failover between controllers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, NamedTuple

from salthead.cli.exit_codes import UNREACHABLE, fail
from salthead.errors import SaltheadError
from salthead.protocol.messages import MalformedMessageError, decode_map, encode

if TYPE_CHECKING:
    from tornado.httpclient import HTTPClient, HTTPResponse

# HTTP statuses of a final answer; requests with any other status are retried.
FINAL_STATUSES = (200, 201, 400, 404, 422)
REQUEST_TIMEOUT_S = 5.0
MIN_RETRY_S = 1.0


class RetryableError(SaltheadError):
    """A controller gave no final answer; ``retry_after_s`` is the delay before the next round."""

    def __init__(self, reason: str, retry_after_s: float = MIN_RETRY_S) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class ServiceAnswer(NamedTuple):
    """HTTP status and decoded body of a final answer."""

    status: int
    body: dict[str, Any]


class ServiceClient:
    """Sends requests to the given controllers in turn until one gives a final answer."""

    def __init__(self, controllers: tuple[str, ...], timeout: float) -> None:
        self.controllers = controllers
        self.timeout = timeout

    def ask(self, method: str, path: str, body: dict[str, Any] | None = None) -> ServiceAnswer:
        """Return the first final answer; exit with UNREACHABLE at the timeout."""
        # Imported here so that help texts and usage errors do not wait for it.
        from tornado.httpclient import HTTPClient

        deadline = time.monotonic() + self.timeout
        client = HTTPClient()
        attempts = 0
        try:
            while True:
                controller = self.controllers[attempts % len(self.controllers)]
                attempts += 1
                try:
                    return _send_request(client, f"http://{controller}{path}", method, body)
                except RetryableError as error:
                    if time.monotonic() + error.retry_after_s > deadline:
                        fail(f"{controller}: {error}", UNREACHABLE)
                    if attempts % len(self.controllers) == 0:
                        time.sleep(error.retry_after_s)
        finally:
            client.close()


def _send_request(
    client: HTTPClient, url: str, method: str, body: dict[str, Any] | None
) -> ServiceAnswer:
    """Send a request to one controller; raise RetryableError without a final answer."""
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
        return _parse_response(client.fetch(request, raise_error=False))
    except (OSError, HTTPClientError, MalformedMessageError, ValueError) as error:
        raise RetryableError(str(error)) from None


def _parse_response(response: HTTPResponse) -> ServiceAnswer:
    if response.code in FINAL_STATUSES:
        return ServiceAnswer(response.code, decode_map(response.body))
    retry_after_s = max(MIN_RETRY_S, float(response.headers.get("Retry-After", MIN_RETRY_S)))
    raise RetryableError(f"HTTP status {response.code}", retry_after_s)
