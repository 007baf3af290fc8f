"""The two HTTP servers of a node: one for users and workers, one for the other nodes."""

from __future__ import annotations

import logging
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from salthead import metrics
from salthead.bookkeeping.store import Conflict, NoLease, Refused
from salthead.protocol import names
from salthead.protocol.messages import (
    MAX_BODY,
    UID,
    Malformed,
    decode_map,
    decode_report,
    decode_submission,
    encode,
)
from salthead.service import Later, Node, Rejected
from salthead.settings import split_endpoint
from salthead.term import Term
from salthead.transport.client import Unanswered

log = logging.getLogger("salthead.server")

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
        metrics.ANSWERS.labels(self.label, str(self.get_status())).inc()
        metrics.LATENCY.labels(self.label).observe(self.request.request_time())

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
        if self.node.flavors:
            self.reply(200, {"up": True})
        else:
            self.reply(503, {"error": "machine types not known yet"})


class Work(Base):
    label = "submit"

    async def post(self) -> None:
        try:
            status, body = await self.node.submit(decode_submission(self.request.body))
        except Malformed as error:
            log.info("submission refused: %s", error)
            status, body = 400, {"error": str(error)[:200]}
        except Rejected as error:
            status, body = 422, {"error": str(error)[:200]}
        except CANT_NOW as error:
            status, body = 503, {"error": str(error)[:200]}
        self.reply(status, body)


class Poll(Base):
    label = "poll"

    async def get(self, uid: str) -> None:
        await self.user_call(uid, self.node.poll)


class Cancel(Base):
    label = "cancel"

    async def post(self, uid: str) -> None:
        await self.user_call(uid, self.node.cancel)


class Hello(Base):
    label = "report"

    def post(self) -> None:
        if self.node.leading() is None:
            # Nothing in the report matters to a node that can't act on it.
            status, body = self.node.redirect(self.request.remote_ip or "")
        else:
            try:
                status, body = self.node.on_report(decode_report(self.request.body))
            except Malformed as error:
                self.node.note("report", error)
                status, body = 400, {"error": str(error)[:200]}
        self.reply(status, body)


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
            self.reply(200, term.overview())


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
        self.reply(200, {"knocks": self.node.knocked()})


class NoSuchPath(Base):
    def prepare(self) -> None:
        self.reply(404, {"error": "no such path"})


def quiet(handler: RequestHandler) -> None:
    """No access log: the metrics count what is answered."""


def _application(node: Node, routes: list[tuple[str, type[Base]]]) -> Application:
    return Application(
        [(path, handler, {"node": node}) for path, handler in routes],
        default_handler_class=NoSuchPath, default_handler_args={"node": node},
        log_function=quiet)


def client_app(node: Node) -> Application:
    return _application(node, [
        (names.HELLO, Hello),
        (names.UP, Up),
        (names.WORK, Work),
        (names.WORK + r"/([^/]+)/cancel", Cancel),
        (names.WORK + r"/([^/]+)", Poll),
        (names.OVERVIEW, Overview),
        ("/metrics", Metrics),
    ])


def cluster_app(node: Node) -> Application:
    return _application(node, [
        (names.PEER_POLL, PeerPoll),
        (names.PEER_CANCEL, PeerCancel),
        (names.PEER_PROMISE, PeerPromise),
        (names.PEER_KNOCKS, PeerKnocks),
        (names.PEER_OVERVIEW, PeerOverview),
    ])


def listen(app: Application, endpoint: str) -> HTTPServer:
    host, port = split_endpoint(endpoint)
    server = HTTPServer(app, max_body_size=MAX_BODY, max_buffer_size=4 * MAX_BODY,
                        idle_connection_timeout=120.0, body_timeout=10.0)
    server.listen(port, host)
    return server
