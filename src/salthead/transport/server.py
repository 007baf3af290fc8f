"""The two HTTP servers of a node: one for users and workers, one for the other nodes."""

from __future__ import annotations

import logging
from collections.abc import Awaitable
from http.client import responses
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.ioloop import PeriodicCallback
from tornado.iostream import IOStream
from tornado.web import Application, RequestHandler

from salthead import metrics
from salthead.bookkeeping.store import Conflict, NoLease, Refused
from salthead.coordination.placement import FRESH_PERIODS
from salthead.protocol import names
from salthead.protocol.messages import (
    MAX_BODY,
    UID,
    Malformed,
    decode_map,
    decode_report,
    decode_submission,
    encode,
    encode_plain,
)
from salthead.service import Later, Node, Rejected
from salthead.settings import split_endpoint
from salthead.term import Term
from salthead.transport.client import Unanswered
from salthead.transport.connections import Connections

log = logging.getLogger("salthead.server")

SWEEP_S = 30.0
BACKLOG = 512  # where the platform names no number of sockets
CANT_NOW = (Later, Refused, Unanswered, NoLease, Conflict)


class Base(RequestHandler):
    SUPPORTED_METHODS = ("GET", "POST")
    label = "other"

    def initialize(self, node: Node) -> None:
        self.node = node

    def set_default_headers(self) -> None:
        self.set_header("Content-Type", "application/cbor")

    def compute_etag(self) -> None:
        return None

    def reply(self, status: int, body: dict[str, Any]) -> None:
        self.set_status(status)
        if status in (429, 503):
            self.set_header("Retry-After", "1")
        self.finish(encode(body))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        self.reply(status_code, {"error": "bad request" if status_code < 500 else "internal"})

    def on_finish(self) -> None:
        metrics.answered(self.label, self.get_status(), self.request.request_time())

    async def user_call(self, uid: str, call: Any) -> None:
        """Answer a request on a job that exists, is unknown, or can't be told now."""
        if not UID.match(uid):
            self.reply(404, {"error": "no such job"})
            return
        try:
            found = await call(uid)
        except CANT_NOW as error:
            self.reply(503, {"error": str(error)[:200]})
            return
        self.reply(*((404, {"error": "no such job"}) if found is None else (200, found)))


class Up(Base):
    label = "up"

    def get(self) -> None:
        if self.node.up():
            self.reply(200, {"up": True})
        else:
            self.reply(503, {"error": "machine types not known, or cut off"})


class Work(Base):
    label = "submit"
    passed_on = False

    async def post(self) -> None:
        try:
            status, body = await self.node.submit(
                decode_submission(self.request.body, self.passed_on), self.passed_on
            )
        except Malformed as error:
            log.info("submission refused: %s", error)
            status, body = 400, {"error": str(error)[:200]}
        except Rejected as error:
            status, body = 422, {"error": str(error)[:200]}
        except CANT_NOW as error:
            status, body = 503, {"error": str(error)[:200]}
        self.reply(status, body)


class PeerSubmit(Work):
    """A submission that another node can't write."""

    label = "peer submit"
    passed_on = True


class Poll(Base):
    label = "poll"

    async def get(self, uid: str) -> None:
        await self.user_call(uid, self.node.poll)


class Cancel(Base):
    label = "cancel"

    async def post(self, uid: str) -> None:
        await self.user_call(uid, self.node.cancel)


class Hello(HTTPMessageDelegate):
    """POST /hello, straight on tornado's connection.

    Reports are most of what a leader is asked. An application's handler for each costs twice
    what the report itself does, and a fleet of several hundred machines would use it all up.
    """

    TYPES = {"Content-Type": "application/cbor"}

    def __init__(
        self,
        node: Node,
        connection: HTTPConnection,
        who: str,
        server: BoundServer | None,
        stream: IOStream | None,
    ) -> None:
        self.node, self.connection, self.who = node, connection, who
        self.server, self.stream = server, stream
        self.began = node.now()
        self.chunks: list[bytes] = []

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        node = self.node
        try:
            report = decode_report(b"".join(self.chunks))
            if self.server is not None and self.stream is not None:
                self.server.open.reported(
                    report.saltlick, (report.tenure, report.tally), self.stream
                )
            status, body = node.on_report(report, self.who)
        except Malformed as error:
            node.note("report", error)
            status, body = 400, {"error": str(error)[:200]}
        except Exception:
            log.exception("report")
            status, body = 500, {"error": "internal"}
        payload = encode_plain(body)
        headers = HTTPHeaders(self.TYPES)
        headers["Content-Length"] = str(len(payload))
        if status == 503:
            headers["Retry-After"] = "1"
        self.connection.write_headers(
            ResponseStartLine("", status, responses.get(status, "Unknown")), headers, payload
        )
        self.connection.finish()
        metrics.answered("report", status, node.now() - self.began)

    def on_connection_close(self) -> None:
        self.chunks.clear()


class Door(HTTPServerConnectionDelegate):
    """Reports to their short way, everything else to the application."""

    def __init__(self, node: Node, app: Application) -> None:
        self.node, self.app = node, app
        self.server: BoundServer | None = None

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        stream = getattr(server_conn, "stream", None)
        return AtDoor(self, server_conn, request_conn, stream)

    def on_close(self, server_conn: object) -> None:
        self.app.on_close(server_conn)


class AtDoor(HTTPMessageDelegate):
    """A request of which only the connection is known yet."""

    def __init__(
        self,
        door: Door,
        server_conn: object,
        connection: HTTPConnection,
        stream: IOStream | None,
    ) -> None:
        self.door, self.server_conn, self.connection = door, server_conn, connection
        self.stream = stream
        self.inner: HTTPMessageDelegate | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        server = self.door.server
        if server is not None and self.stream is not None:
            server.open.used(self.stream)
        if isinstance(start_line, RequestStartLine) and (
            start_line.path == names.HELLO and start_line.method == "POST"
        ):
            context = getattr(self.connection, "context", None)
            self.inner = Hello(
                self.door.node,
                self.connection,
                str(getattr(context, "remote_ip", "")),
                server,
                self.stream,
            )
            return None
        self.inner = self.door.app.start_request(self.server_conn, self.connection)
        return self.inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self.inner.data_received(chunk) if self.inner is not None else None

    def finish(self) -> None:
        if self.inner is not None:
            self.inner.finish()

    def on_connection_close(self) -> None:
        if self.inner is not None:
            self.inner.on_connection_close()


class Metrics(Base):
    label = "metrics"

    def get(self) -> None:
        from prometheus_client import generate_latest

        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(generate_latest(metrics.REGISTRY))


class Overview(Base):
    label = "overview"

    async def get(self) -> None:
        try:
            self.reply(200, await self.node.overview())
        except CANT_NOW as error:
            self.reply(503, {"error": str(error)[:200]})


class PeerOverview(Base):
    label = "peer overview"

    def post(self) -> None:
        term = self.node.leading()
        if term is None:
            self.reply(503, {"error": "not the leader"})
        else:
            self.reply(200, term.views.overview())


class PeerJob(Base):
    """What another node passes on to the leader."""

    def act(self, term: Term) -> Any:
        raise NotImplementedError

    async def post(self) -> None:
        try:
            uid = str(decode_map(self.request.body).get("uid"))
        except Malformed as error:
            self.reply(400, {"error": str(error)})
            return
        term = self.node.leading()
        if term is None:
            self.reply(503, {"error": "not the leader"})
            return
        await self.user_call(uid, self.act(term))


class PeerPoll(PeerJob):
    label = "peer poll"

    def act(self, term: Term) -> Any:
        return lambda uid: self.node.poll_here(term, uid)


class PeerCancel(PeerJob):
    label = "peer cancel"

    def act(self, term: Term) -> Any:
        return term.cancel


class PeerPromise(Base):
    label = "peer promise"

    async def post(self) -> None:
        try:
            member = str(decode_map(self.request.body).get("member"))
        except Malformed as error:
            self.reply(400, {"error": str(error)})
            return
        given = await self.node.promise(member)
        self.reply(200 if given else 409, {"promise": given})


class PeerKnocks(Base):
    label = "peer knocks"

    def post(self) -> None:
        self.reply(200, self.node.knocks_body())


class NoSuchPath(Base):
    def prepare(self) -> None:
        self.reply(404, {"error": "no such path"})


def quiet(handler: RequestHandler) -> None:
    """No access log: the metrics count what is answered."""


def _application(node: Node, routes: list[tuple[str, type[Base]]]) -> Application:
    return Application(
        [(path, handler, {"node": node}) for path, handler in routes],
        default_handler_class=NoSuchPath,
        default_handler_args={"node": node},
        log_function=quiet,
    )


def client_app(node: Node) -> Door:
    return Door(
        node,
        _application(
            node,
            [
                (names.UP, Up),
                (names.WORK, Work),
                (names.WORK + r"/([^/]+)/cancel", Cancel),
                (names.WORK + r"/([^/]+)", Poll),
                (names.OVERVIEW, Overview),
                ("/metrics", Metrics),
            ],
        ),
    )


def cluster_app(node: Node) -> Application:
    return _application(
        node,
        [
            (names.PEER_SUBMIT, PeerSubmit),
            (names.PEER_POLL, PeerPoll),
            (names.PEER_CANCEL, PeerCancel),
            (names.PEER_PROMISE, PeerPromise),
            (names.PEER_KNOCKS, PeerKnocks),
            (names.PEER_OVERVIEW, PeerOverview),
        ],
    )


class BoundServer(HTTPServer):
    """A server that holds no more connections than its part of the process's sockets."""

    open: Connections

    def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        if self.open.opened(stream):
            super().handle_stream(stream, address)
        else:
            metrics.TROUBLE.labels("connections").inc()
            stream.close()

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        self.open.closed(server_conn.stream)  # type: ignore[attr-defined]


def listen(
    node: Node,
    app: HTTPServerConnectionDelegate,
    endpoint: str,
    most: int = 0,
) -> BoundServer:
    host, port = split_endpoint(endpoint)
    # A body and what follows it: all connections that the sockets allow, with their buffers full,
    # still fit into the memory that the platform gives for that many.
    server = BoundServer(app, max_body_size=MAX_BODY, max_buffer_size=2 * MAX_BODY)
    # Tornado's own time-outs set and drop two timers for each request; one look at all connections
    # now and then does as well.
    server.conn_params.header_timeout = None
    server.open = Connections(most, FRESH_PERIODS * node.limits.workers.report_s, node.now)
    PeriodicCallback(server.open.sweep, SWEEP_S * 1000.0).start()
    if isinstance(app, Door):
        app.server = server
    # A fleet that comes back at once knocks within a second: the queue of the socket has to hold
    # whoever may come at all, or the rest is refused and comes again later still.
    server.listen(port, host, backlog=most or BACKLOG)
    return server
