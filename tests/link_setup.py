"""Controllers on loopback with proxies on their links to the state service and to each other."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import cbor2
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from link_proxy import LinkProxy
from local_setup import LocalSetup, end_other_tasks, settings_file
from salthead.protocol.messages import encode
from salthead.transport.client import UnansweredError


class CommandHandler(RequestHandler):
    """HTTP handler of a worker's address for direct commands."""

    def initialize(self, world: Any, worker: str) -> None:
        """Store the arguments of the route."""
        self.world, self.worker = world, worker

    async def post(self) -> None:
        """Deliver a direct command to the worker."""
        try:
            answer = await self.world.deliver_command(self.worker, cbor2.loads(self.request.body))
        except UnansweredError:
            self.set_status(503)
            return
        self.set_status(answer.status)
        self.finish(encode(answer.body))


def listen_for(world: Any, worker: str) -> tuple[HTTPServer, int]:
    """Start a worker's server for direct commands; return the server and its port."""
    routes = [(r"/do", CommandHandler, {"world": world, "worker": worker})]
    server = Application(routes, log_function=lambda handler: None).listen(0, "127.0.0.1")
    return server, next(iter(server._sockets.values())).getsockname()[1]


def address_of(endpoint: str) -> tuple[str, int]:
    """Return the host and the port of an endpoint."""
    host, _, port = endpoint.rpartition(":")
    return host, int(port)


class LinkSetup(LocalSetup):
    """Controllers that each have a proxy to the state service and one to each peer."""

    async def start_proxies(self) -> None:
        """Start the proxies to the state service and between controllers."""
        self.state = [LinkProxy("127.0.0.1", 0) for _ in self.addresses]
        self.state_ports = [await proxy.start() for proxy in self.state]
        self.peers = {
            (controller, other): LinkProxy(*address_of(cluster))
            for controller in range(len(self.addresses))
            for other, (_, cluster) in enumerate(self.addresses)
            if controller != other
        }
        self.peer_ports = {link: await proxy.start() for link, proxy in self.peers.items()}

    def state_port(self, controller: int) -> int:
        """Return the port of the state service for a controller."""
        return self.ports[0]

    def write_settings(self, path: Path, n: int) -> None:
        """Write the settings of controller ``n`` with the addresses of its proxies."""
        self.state[n].target = ("127.0.0.1", self.state_port(n))
        addresses = [
            own if other == n else (own[0], f"127.0.0.1:{self.peer_ports[n, other]}")
            for other, own in enumerate(self.addresses)
        ]
        cloud, state = f"127.0.0.1:{self.ports[-1]}", f"127.0.0.1:{self.state_ports[n]}"
        settings_file(path, n, addresses, cloud, state, self.areas)

    def worker_proxies(self) -> list[LinkProxy]:
        """Return the proxies between workers and controllers."""
        return []

    def proxies(self) -> list[LinkProxy]:
        """Return all proxies."""
        return [*self.state, *self.peers.values(), *self.worker_proxies()]

    async def stop(self, listening: list[HTTPServer]) -> None:
        """Stop all proxies and worker servers, and cancel the remaining tasks."""
        for proxy in self.proxies():
            proxy.stop()
        for server in listening:
            server.stop()
        await end_other_tasks()
