"""The listening sockets of a controller, with a bound on the connections that each may hold."""

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

SWEEP_S = 30.0
BACKLOG = 512  # where the platform names no number of sockets


class BoundedServer(HTTPServer):
    """A server that holds no more connections than its part of the process's sockets."""

    open: Connections

    def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Tornado's hook: a connection was accepted."""
        if self.open.opened(stream):
            super().handle_stream(stream, address)
        else:
            metrics.ERRORS.labels("connections").inc()
            stream.close()

    def on_close(self, server_conn: object) -> None:
        """Tornado's hook: a connection has ended."""
        super().on_close(server_conn)
        self.open.closed(server_conn.stream)  # type: ignore[attr-defined]


def listen(controller: Controller, router: Router, endpoint: str, most: int = 0) -> BoundedServer:
    """Serve a router's paths on an address, with at most so many connections; 0: no bound."""
    host, port = split_endpoint(endpoint)
    # A body and what follows it: all connections that the sockets allow, with their buffers full,
    # still fit into the memory that the platform gives for that many.
    server = BoundedServer(router, max_body_size=MAX_BODY, max_buffer_size=2 * MAX_BODY)
    # Tornado's own time-outs set and drop two timers for each request; one look at all connections
    # now and then does as well.
    server.conn_params.header_timeout = None
    server.open = Connections(
        most,
        FRESH_HEARTBEAT_INTERVALS * controller.limits.workers.heartbeat_interval_s,
        controller.now,
    )
    PeriodicCallback(server.open.sweep, SWEEP_S * 1000.0).start()
    router.connections = server.open
    # A fleet that comes back at once reports within a second: the queue of the socket has to hold
    # whoever may come at all, or the rest is refused and comes again later still.
    server.listen(port, host, backlog=most or BACKLOG)
    return server


def listen_on_all(controller: Controller) -> None:
    """Open both addresses that the settings name."""
    settings, sockets = controller.settings, controller.sockets
    listen(controller, ClientHandlers(controller).router(), settings.client_listen, sockets.clients)
    listen(controller, PeerHandlers(controller).router(), settings.cluster_listen, sockets.peers_in)
