"""The listening sockets of a controller, with a limit on the connections that each may hold."""

from __future__ import annotations

from tornado.httpserver import HTTPServer
from tornado.ioloop import PeriodicCallback
from tornado.iostream import IOStream

from salthead import metrics
from salthead.controller.controller import Controller
from salthead.controller.handlers import ClientHandlers, PeerHandlers
from salthead.protocol.messages import MAX_BODY
from salthead.scheduling.eligibility import FRESH_HEARTBEAT_INTERVALS
from salthead.settings import split_endpoint
from salthead.transport.connections import Connections
from salthead.transport.http import Router

ABANDONED_CHECK_INTERVAL_S = 30.0
DEFAULT_BACKLOG = 512  # where the platform names no number of sockets


class LimitedServer(HTTPServer):
    """A server that holds no more connections than its share of the process's sockets."""

    connections: Connections

    def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Tornado's hook: a connection was accepted."""
        if self.connections.admit(stream):
            super().handle_stream(stream, address)
        else:
            metrics.ERRORS.labels("connections").inc()
            stream.close()

    def on_close(self, server_conn: object) -> None:
        """Tornado's hook: a connection has ended."""
        super().on_close(server_conn)
        self.connections.forget(server_conn.stream)  # type: ignore[attr-defined]


def listen(
    controller: Controller, router: Router, endpoint: str, max_connections: int = 0
) -> LimitedServer:
    """Serve a router's paths on an address; ``max_connections`` 0: no limit."""
    host, port = split_endpoint(endpoint)
    # A body and what follows it: all connections that the sockets allow, with their buffers full,
    # still fit into the memory that the platform gives for that many.
    server = LimitedServer(router, max_body_size=MAX_BODY, max_buffer_size=2 * MAX_BODY)
    # Tornado's own time-outs set and drop two timers for each request; a check of all connections
    # every now and then does as well.
    server.conn_params.header_timeout = None
    server.connections = Connections(
        max_connections,
        FRESH_HEARTBEAT_INTERVALS * controller.limits.workers.heartbeat_interval_s,
        controller.context.now,
    )
    PeriodicCallback(
        server.connections.close_abandoned, ABANDONED_CHECK_INTERVAL_S * 1000.0
    ).start()
    router.connections = server.connections
    # A fleet that returns at once sends its heartbeats within a second: the socket's queue has to
    # hold all who may connect, or the rest is refused and connects again later still.
    server.listen(port, host, backlog=max_connections or DEFAULT_BACKLOG)
    return server


def listen_on_all(controller: Controller) -> None:
    """Open both addresses that the settings name."""
    settings, sockets = controller.settings, controller.sockets
    listen(controller, ClientHandlers(controller).router(), settings.client_listen, sockets.clients)
    listen(controller, PeerHandlers(controller).router(), settings.cluster_listen, sockets.peers_in)
