"""Listening sockets of a controller, each with a limit on its connections."""

from __future__ import annotations

from tornado.httpserver import HTTPServer
from tornado.ioloop import PeriodicCallback
from tornado.iostream import IOStream

from salthead import metrics
from salthead.controller.controller import Controller
from salthead.controller.handlers import ClientHandlers, PeerHandlers
from salthead.protocol.messages import MAX_BODY_BYTES
from salthead.scheduling.eligibility import FRESH_HEARTBEAT_INTERVALS
from salthead.settings import split_endpoint
from salthead.transport.connections import Connections
from salthead.transport.http import Router

ABANDONED_CHECK_INTERVAL_S = 30.0
DEFAULT_BACKLOG = 512  # where the platform sets no limit on sockets


class LimitedServer(HTTPServer):
    """An HTTP server that limits its connections to its share of the process's sockets."""

    connections: Connections

    def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Handle a new connection, or close it at the limit (Tornado hook)."""
        if self.connections.admit(stream):
            super().handle_stream(stream, address)
        else:
            metrics.ERRORS.labels("connections").inc()
            stream.close()

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has ended (Tornado hook)."""
        super().on_close(server_conn)
        self.connections.forget(server_conn.stream)  # type: ignore[attr-defined]


def listen(
    controller: Controller, router: Router, endpoint: str, max_connections: int = 0
) -> LimitedServer:
    """Serve a router on an address; ``max_connections`` 0 means no limit."""
    host, port = split_endpoint(endpoint)
    # The buffer holds a body and what follows it. With all buffers full, as many connections as the
    # platform allows still fit into the memory that it gives.
    server = LimitedServer(router, max_body_size=MAX_BODY_BYTES, max_buffer_size=2 * MAX_BODY_BYTES)
    # Tornado's own time-outs would start and cancel two timers per request. Instead, a periodic
    # check closes the connections that were abandoned.
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
    # A fleet that reconnects at once sends its heartbeats within a second. The backlog has to hold
    # all connections allowed: those beyond it are refused and have to connect again.
    server.listen(port, host, backlog=max_connections or DEFAULT_BACKLOG)
    return server


def listen_on_all(controller: Controller) -> None:
    """Serve both addresses in the settings, for clients and for peers."""
    settings, sockets = controller.settings, controller.sockets
    listen(
        controller,
        ClientHandlers(controller).router(),
        settings.client_listen,
        sockets.max_client_connections,
    )
    listen(
        controller,
        PeerHandlers(controller).router(),
        settings.cluster_listen,
        sockets.max_peer_connections,
    )
