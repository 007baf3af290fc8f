"""Connections within the platform's number of sockets, at the bound and after it."""

from __future__ import annotations

import socket

import cbor2
import pytest
from tornado.testing import AsyncTestCase, gen_test

from helpers import settings
from salthead.protocol.messages import encode
from salthead.service import Node, Sockets
from salthead.transport.connections import Connections
from salthead.transport.server import client_app, listen


class Stream:
    def __init__(self, name: str, log: list[str]) -> None:
        self.name, self.log = name, log

    def close(self) -> None:
        self.log.append(self.name)


@pytest.mark.parametrize(
    ("steps", "ended"),
    [
        # at the bound whoever came last goes, while all others are in use
        ([("open", "a", 0), ("open", "b", 1), ("open", "c", 2)], ["c"]),
        # one that was silent for longer than anybody who lives goes instead
        ([("open", "a", 0), ("open", "b", 9), ("open", "c", 9)], ["a"]),
        ([("open", "a", 0), ("open", "b", 1), ("use", "a", 8), ("open", "c", 9)], ["b"]),
        # what was closed makes room
        ([("open", "a", 0), ("open", "b", 1), ("close", "a", 2), ("open", "c", 2)], []),
        # a worker has one connection, its newest
        ([("open", "a", 0), ("m1 1 5", "a", 0), ("open", "b", 1), ("m1 1 6", "b", 1)], ["a"]),
        ([("open", "a", 0), ("m1 1 9", "a", 0), ("open", "b", 1), ("m1 2 0", "b", 1)], ["a"]),
        # a copy that comes late elsewhere ends nothing, nor does a repeat on the same one
        ([("open", "a", 0), ("m1 1 6", "a", 0), ("open", "b", 1), ("m1 1 5", "b", 1)], []),
        ([("open", "a", 0), ("m1 1 6", "a", 0), ("open", "b", 1), ("m1 1 6", "b", 1)], []),
        ([("open", "a", 0), ("m1 1 6", "a", 0), ("m1 1 6", "a", 1), ("m1 1 7", "a", 1)], []),
        # two workers behind one balancer's address are two
        ([("open", "a", 0), ("m1 1 6", "a", 0), ("open", "b", 1), ("m2 1 7", "b", 1)], []),
    ],
)
def test_who_goes(steps: list[tuple[str, str, int]], ended: list[str]) -> None:
    log: list[str] = []
    now = [0.0]
    found = Connections(2, 6.0, lambda: now[0])
    streams = {name: Stream(name, log) for name in "abc"}
    for what, name, at in steps:
        now[0] = float(at)
        stream = streams[name]
        if what == "open":
            if not found.opened(stream):
                stream.close()
        elif what == "use":
            found.used(stream)
        elif what == "close":
            found.closed(stream)
        else:
            worker, tenure, tally = what.split()
            found.reported(worker, (int(tenure), int(tally)), stream)
    assert log == ended
    assert len(found.used_at) <= 2 and set(found.worker_on) <= set(found.used_at)


@pytest.mark.parametrize("most", [600, 1500, 1686, 2069])
def test_what_a_node_opens_itself_is_kept_free(most: int) -> None:
    sockets = Sockets(most, 2)
    own = 16 + Sockets.CLOUD + 2 * Sockets.PEER + sockets.workers
    assert sockets.clients + sockets.peers_in + own < most
    assert 0 < sockets.joins < sockets.workers, "stops never wait behind silent machines"
    assert Sockets(0, 2).clients == 0, "no number named, no bound"


class ServerTest(AsyncTestCase):
    """Seen at 926 machines: 1,344 connections on one controller, many of them half open."""

    @gen_test
    async def test_at_the_bound_a_server_recovers_by_itself(self) -> None:
        node = Node(settings())
        server = listen(node, client_app(node), "127.0.0.1:0", most=20)
        ends: list[float] = [0.0]
        server.open.now = lambda: ends[0]
        port = next(iter(server._sockets.values())).getsockname()[1]

        async def knock() -> socket.socket:
            one = socket.create_connection(("127.0.0.1", port))
            one.setblocking(False)
            loop = self.io_loop.asyncio_loop  # type: ignore[attr-defined]
            body = encode({"saltlick": "m1", "tenure": 1, "tally": 1, "baton": 0, "pieces": [],
                           "build": "small", "paddock": "north", "borrowed": False})
            await loop.sock_sendall(one, (
                b"POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body)
            ) + body)
            return one

        async def answer(one: socket.socket) -> bytes:
            loop = self.io_loop.asyncio_loop  # type: ignore[attr-defined]
            try:
                return bytes(await loop.sock_recv(one, 4096))
            except ConnectionError:
                return b""

        silent = [socket.create_connection(("127.0.0.1", port)) for _ in range(20)]
        first = await knock()
        assert await answer(first) == b"", "all are young: the newcomer is refused at once"
        assert len(server.open.used_at) == 20
        ends[0] = 60.0
        second = await knock()
        found = await answer(second)
        assert found.startswith(b"HTTP/1.1 503") and cbor2.loads(
            found.partition(b"\r\n\r\n")[2]) == {"error": "no leader"}
        assert len(server.open.used_at) == 20
        for one in (*silent, first, second):
            one.close()
        server.stop()
