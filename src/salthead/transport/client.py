"""HTTP calls to one address. Each address and rank of work has slots of its own.

Tornado's shared client has ten slots for everything, so that one peer that hangs would stall
every call of the process. A separate client for each purpose keeps leases apart from bulk work.
"""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

import cbor2
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from salthead.protocol.messages import Malformed, decode_map, encode


class Unanswered(Exception):
    """No usable answer: the request may have been executed, or may be later."""


class Answer:
    __slots__ = ("status", "body")

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        self.status = status
        self.body = body


class Caller:
    """Calls to one address through a fixed number of slots."""

    def __init__(self, endpoint: str, slots: int) -> None:
        self.endpoint = endpoint
        self.http = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=slots, max_body_size=64 * 1024 * 1024,
            max_buffer_size=64 * 1024 * 1024,
        )

    async def call(
        self, method: str, path: str, body: Any = None, timeout: float = 2.0,
        query: dict[str, Any] | None = None, endpoint: str = "",
    ) -> Answer:
        if query:
            path += "?" + "&".join(f"{k}={quote(str(v), safe='/')}" for k, v in query.items())
        request = HTTPRequest(
            f"http://{endpoint or self.endpoint}{path}",
            method=method,
            body=None if method in ("GET", "DELETE") else encode({} if body is None else body),
            headers={"Content-Type": "application/cbor"},
            connect_timeout=timeout,
            request_timeout=timeout,
            follow_redirects=False,
        )
        try:
            response = await self.http.fetch(request, raise_error=False)
        except (HTTPClientError, OSError, ValueError) as error:
            raise Unanswered(f"{method} {path}: {error}") from None
        if response.code == 599 or response.code < 100:
            raise Unanswered(f"{method} {path}: {response.error}")
        try:
            found = decode_map(response.body) if response.body else {}
        except (Malformed, cbor2.CBORDecodeError) as error:
            if response.code == 200:
                raise Unanswered(f"{method} {path}: {error}") from None
            found = {}
        return Answer(response.code, found)

    def close(self) -> None:
        self.http.close()
