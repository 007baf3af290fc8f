"""HTTP client with a connection pool for each address and purpose.

With a single pool, one peer that hangs would stall every call of the process. A pool for each
purpose keeps lease renewals apart from bulk work. Connections are reused, since opening one costs
more than a call itself, on both sides.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Any
from urllib.parse import quote

import cbor2
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from salthead.errors import SaltheadError
from salthead.protocol.messages import MalformedMessageError, decode_map, encode

# The state service does not limit the size of its lists.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# The server may be about to close a connection that has been idle for longer.
MAX_IDLE_S = 15.0


class UnansweredError(SaltheadError):
    """A request without a usable answer: it may have been executed, or may be later."""


class Answer:
    """The HTTP status and the decoded body of an answer."""

    __slots__ = ("status", "body")

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        self.status = status
        self.body = body


class _ResponseCollector(HTTPMessageDelegate):
    """Collects the status and the body of one response."""

    def __init__(self) -> None:
        self.status = 0
        self.chunks: list[bytes] = []
        self.complete = False
        self.keep_alive = False  # whether the server keeps the connection open

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        self.status = start_line.code
        self.keep_alive = headers.get("Connection", "").lower() != "close"

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.complete = True


class HttpClient:
    """An HTTP client for one address, with at most ``slots`` concurrent calls.

    Each call in progress has a connection of its own. With an empty ``endpoint``, each call names
    its address, and connections are not reused, since there are many addresses.
    """

    PARAMS = HTTP1ConnectionParameters(max_body_size=MAX_RESPONSE_BYTES)

    def __init__(self, endpoint: str, slots: int) -> None:
        self.endpoint = endpoint
        self.slots = asyncio.Semaphore(slots)
        self.idle: list[tuple[IOStream, float]] = []

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout: float = 2.0,
        query: dict[str, Any] | None = None,
        endpoint: str = "",
    ) -> Answer:
        """Send a request and return its answer.

        ``timeout`` in seconds includes the wait for a slot. Raises UnansweredError if no usable
        answer came in that time.
        """
        if query:
            path += "?" + "&".join(f"{k}={quote(str(v), safe='/')}" for k, v in query.items())
        payload = b"" if method in ("GET", "DELETE") else encode({} if body is None else body)
        try:
            async with asyncio.timeout(timeout), self.slots:
                response = await self._exchange(endpoint or self.endpoint, method, path, payload)
        except (OSError, ValueError) as error:  # OSError includes time-outs and closed streams
            raise UnansweredError(f"{method} {path}: {error or 'timeout'}") from None
        if not response.complete or response.status < 200:
            raise UnansweredError(f"{method} {path}: connection closed")
        content = b"".join(response.chunks)
        try:
            answer = decode_map(content) if content else {}
        except (MalformedMessageError, cbor2.CBORDecodeError) as error:
            if response.status == 200:
                raise UnansweredError(f"{method} {path}: {error}") from None
            answer = {}
        return Answer(response.status, answer)

    async def _exchange(
        self,
        endpoint: str,
        method: str,
        path: str,
        payload: bytes,
    ) -> _ResponseCollector:
        stream = await self._acquire_stream(endpoint)
        response = _ResponseCollector()
        try:
            headers = HTTPHeaders({"Host": endpoint, "Content-Type": "application/cbor"})
            if method == "POST":
                headers["Content-Length"] = str(len(payload))
            connection = HTTP1Connection(stream, True, self.PARAMS)
            connection.write_headers(RequestStartLine(method, path, ""), headers, payload or None)
            connection.finish()
            await connection.read_response(response)
        finally:
            if response.complete and response.keep_alive and self.endpoint and not stream.closed():
                self._add_idle(stream)
            else:
                stream.close()
                if not response.complete:
                    # In a network cut the idle connections are as dead as this one, and each would
                    # cost a time-out once the cut has ended.
                    self.close()
        return response

    async def _acquire_stream(self, endpoint: str) -> IOStream:
        now = asyncio.get_running_loop().time()
        while self.idle:
            stream, since = self.idle.pop()
            stream.set_close_callback(None)
            if now - since < MAX_IDLE_S and not stream.closed():
                return stream
            stream.close()
        host, _, port = endpoint.rpartition(":")
        stream = IOStream(
            socket.socket(socket.AF_INET, socket.SOCK_STREAM), max_buffer_size=MAX_RESPONSE_BYTES
        )
        try:
            await stream.connect((host, int(port)))
        except BaseException:
            stream.close()
            raise
        return stream

    def _add_idle(self, stream: IOStream) -> None:
        self.idle.append((stream, asyncio.get_running_loop().time()))
        # Removed as soon as the server closes it, so that no call is sent on a closed connection.
        stream.set_close_callback(lambda: self._remove_idle(stream))

    def _remove_idle(self, stream: IOStream) -> None:
        self.idle = [(other, since) for other, since in self.idle if other is not stream]

    def close(self) -> None:
        """Close all idle connections."""
        idle, self.idle = self.idle, []
        for stream, _ in idle:
            stream.set_close_callback(None)
            stream.close()
