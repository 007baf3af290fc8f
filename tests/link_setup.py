"""Controllers on loopback whose links to the state service and to each other go through proxies."""

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


class Direct(RequestHandler):
    """A worker's own address."""

    def initialize(self, world: Any, worker: str) -> None:
        """Take the arguments of the route."""
        self.world, self.worker = world, worker

    async def post(self) -> None:
        """A direct command."""
        try:
            answer = await self.world.deliver_command(self.worker, cbor2.loads(self.request.body))
        except UnansweredError:
            self.set_status(503)
            return
        self.set_status(answer.status)
        self.finish(encode(answer.body))


def listen_for(world: Any, worker: str) -> tuple[HTTPServer, int]:
    """Open a worker's own address; its port."""
    routes = [(r"/do", Direct, {"world": world, "worker": worker})]
    served = Application(routes, log_function=lambda handler: None).listen(0, "127.0.0.1")
    return served, next(iter(served._sockets.values())).getsockname()[1]


def address_of(endpoint: str) -> tuple[str, int]:
    """Host and port."""
    host, _, port = endpoint.rpartition(":")
    return host, int(port)


class LinkSetup(LocalSetup):
    """Controllers with a proxy to the state service, and one to each peer."""

    async def make_proxies(self) -> None:
        """Open what stands between controllers, and before the state service."""
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
        """Where the state service is served for a controller."""
        return self.ports[0]

    def write_settings(self, path: Path, n: int) -> None:
        """The settings of controller ``n``: it reaches others through its proxies."""
        self.state[n].target = ("127.0.0.1", self.state_port(n))
        addresses = [
            own if other == n else (own[0], f"127.0.0.1:{self.peer_ports[n, other]}")
            for other, own in enumerate(self.addresses)
        ]
        cloud, state = f"127.0.0.1:{self.ports[-1]}", f"127.0.0.1:{self.state_ports[n]}"
        settings_file(path, n, addresses, cloud, state, self.areas)

    def worker_proxies(self) -> list[LinkProxy]:
        """Those between workers and controllers."""
        return []

    def proxies(self) -> list[LinkProxy]:
        """All of them."""
        return [*self.state, *self.peers.values(), *self.worker_proxies()]

    async def stop(self, listening: list[HTTPServer]) -> None:
        """Close all proxies and the workers' own servers, and end what still runs here."""
        for proxy in self.proxies():
            proxy.stop()
        for server in listening:
            server.stop()
        await end_other_tasks()
