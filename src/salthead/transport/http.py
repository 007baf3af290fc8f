"""HTTP request routing on tornado's connections, without ``tornado.web``.

A ``tornado.web`` request handler costs several times as much as most answers, and importing the
module takes a tenth of a controller's start-up time. A controller with a small share of a core can
afford neither.
"""

from __future__ import annotations

import asyncio
import functools
import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote

import msgspec
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from salthead import metrics
from salthead.event_log import error_event
from salthead.protocol.messages import encode
from salthead.transport.connections import Connections

log = logging.getLogger(__name__)

CBOR = "application/cbor"
RETRY_AFTER_S = "1"
RETRY_STATUSES = frozenset({HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE})
REASONS = {int(status): status.phrase for status in HTTPStatus}


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request, as passed to its handler."""

    parameter: str  # the variable segment of the path, such as a job's id
    body: bytes
    remote_ip: str
    stream: IOStream | None
    connections: Connections | None


@dataclass(frozen=True, slots=True)
class Reply:
    """A handler's answer. A struct or a dict is sent as CBOR, bytes are sent unchanged."""

    status: int
    body: msgspec.Struct | dict[str, Any] | bytes
    content_type: str = CBOR


Handler = Callable[[Request], Reply | Awaitable[Reply]]


@dataclass(frozen=True, slots=True)
class Route:
    """The method and handler of a path, and the label of its answers in metrics."""

    method: str
    label: str
    handler: Handler


@dataclass(frozen=True, slots=True)
class PrefixRoutes:
    """Routes with a variable segment: ``/prefix/VALUE`` and ``/prefix/VALUE/SUFFIX``."""

    prefix: str
    by_suffix: Mapping[str, Route]

    def find(self, path: str) -> tuple[Route | None, str]:
        """Return the route of a path below the prefix, and the value of its variable segment."""
        value, _, suffix = path.removeprefix(self.prefix + "/").partition("/")
        if not value or not path.startswith(self.prefix + "/"):
            return None, ""
        return self.by_suffix.get(suffix), unquote(value)


class Router(HTTPServerConnectionDelegate):
    """Dispatches the requests on a server's connections to their handlers."""

    def __init__(
        self,
        clock: Callable[[], float],
        routes: Mapping[str, Route],
        prefix_routes: PrefixRoutes | None = None,
    ) -> None:
        self.clock = clock
        self.routes = routes
        self.prefix_routes = prefix_routes
        self.connections: Connections | None = None  # set by ``listen``
        self.in_progress: set[asyncio.Task[None]] = set()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate for a new request (Tornado hook)."""
        stream = getattr(server_conn, "stream", None)
        return _RequestDelegate(self, request_conn, stream)

    def on_close(self, server_conn: object) -> None:
        """Do nothing: the router keeps no state for a connection (Tornado hook)."""

    def find(self, path: str) -> tuple[Route | None, str]:
        """Return the route of a path without a query, and the value of its variable segment."""
        route = self.routes.get(path)
        if route is not None or self.prefix_routes is None:
            return route, ""
        return self.prefix_routes.find(path)


def _response_head(reply: Reply, length: int) -> tuple[ResponseStartLine, HTTPHeaders]:
    headers = HTTPHeaders({"Content-Type": reply.content_type})
    headers["Content-Length"] = str(length)
    if reply.status in RETRY_STATUSES:
        headers["Retry-After"] = RETRY_AFTER_S
    return ResponseStartLine("", reply.status, REASONS.get(reply.status, "Unknown")), headers


@functools.lru_cache(maxsize=64)
def _response_head_template(status: int, content_type: str, close_connection: bool) -> str:
    start_line, headers = _response_head(Reply(status, b"", content_type), 0)
    headers["Content-Length"] = "%d"
    if close_connection:
        headers["Connection"] = "close"
    lines = [f"HTTP/1.1 {start_line.code} {start_line.reason}"]
    lines += [f"{name}: {value}" for name, value in headers.get_all()]
    return "\r\n".join(lines) + "\r\n\r\n"


def _encode_response_head(reply: Reply, length: int, close_connection: bool) -> bytes:
    return (
        _response_head_template(reply.status, reply.content_type, close_connection) % length
    ).encode("latin1")


def _close(stream: IOStream, _write_future: object) -> None:
    stream.close()


class _RequestDelegate(HTTPMessageDelegate):
    """Collects one request, calls its handler, and writes the reply."""

    def __init__(self, router: Router, connection: HTTPConnection, stream: IOStream | None) -> None:
        self.router = router
        self.connection = connection
        self.stream = stream
        self.started_at = router.clock()
        self.chunks: list[bytes] = []
        self.method = ""
        self.path = ""
        self.persistent = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, RequestStartLine)
        self.method = start_line.method
        self.path = start_line.path.partition("?")[0]
        self.persistent = start_line.version == "HTTP/1.1" and "Connection" not in headers
        if self.router.connections is not None and self.stream is not None:
            self.router.connections.request_received(self.stream)
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self.chunks.append(chunk)
        return None

    def on_connection_close(self) -> None:
        self.chunks.clear()

    def finish(self) -> None:
        """Handle the complete request; answer at once if its handler is not asynchronous."""
        route, parameter = self.router.find(self.path)
        if route is None:
            self._write("other", Reply(404, {"error": "no such path"}))
            return
        if route.method != self.method:
            self._write(route.label, Reply(405, {"error": "bad request"}))
            return
        context = getattr(self.connection, "context", None)
        request = Request(
            parameter=parameter,
            body=b"".join(self.chunks),
            remote_ip=str(getattr(context, "remote_ip", "")),
            stream=self.stream,
            connections=self.router.connections,
        )
        try:
            reply = route.handler(request)
        except Exception as error:
            reply = self._internal_error(route, error)
        if isinstance(reply, Reply):
            self._write(route.label, reply)
            return
        task = asyncio.ensure_future(self._write_when_ready(route, reply))
        self.router.in_progress.add(task)
        task.add_done_callback(self.router.in_progress.discard)

    async def _write_when_ready(self, route: Route, pending: Awaitable[Reply]) -> None:
        try:
            reply = await pending
        except Exception as error:
            reply = self._internal_error(route, error)
        self._write(route.label, reply)

    @staticmethod
    def _internal_error(route: Route, error: Exception) -> Reply:
        error_event(log, "request_failed", error, path=route.label)
        return Reply(500, {"error": "internal"})

    def _write(self, label: str, reply: Reply) -> None:
        payload = reply.body if isinstance(reply.body, bytes) else encode(reply.body)
        if self.persistent:
            # ``write`` takes an encoded head as it is. ``write_headers`` would check every header
            # of each reply, though only the length varies. These checks would take a seventh of the
            # time that a heartbeat takes.
            connections = self.router.connections
            close_connection = connections is not None and connections.crowded()
            sent = self.connection.write(
                _encode_response_head(reply, len(payload), close_connection) + payload
            )
            if close_connection and self.stream is not None:
                # Closed from this side, since the client may be slow to close it.
                sent.add_done_callback(functools.partial(_close, self.stream))
        else:
            self.connection.write_headers(*_response_head(reply, len(payload)), payload)
        self.connection.finish()
        metrics.count_answer(label, reply.status, self.router.clock() - self.started_at)
