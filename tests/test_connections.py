"""Connections within the platform's limit on sockets, at the limit and beyond it."""

from __future__ import annotations

import asyncio
import re
import socket

import cbor2
import pytest
from tornado.testing import AsyncTestCase, gen_test

from helpers import settings
from salthead.controller.controller import Controller
from salthead.controller.handlers import ClientHandlers
from salthead.controller.server import listen
from salthead.controller.socket_budget import SocketBudget
from salthead.protocol.messages import encode
from salthead.transport.client import HttpClient, UnansweredError
from salthead.transport.connections import Connections


class Stream:
    def __init__(self, name: str, log: list[str]) -> None:
        self.name, self.log = name, log

    def close(self) -> None:
        self.log.append(self.name)


@pytest.mark.parametrize(
    ("steps", "ended"),
    [
        # At the limit the newest connection is closed while all others are in use.
        ([("open", "a", 0), ("open", "b", 1), ("open", "c", 2)], ["c"]),
        # A connection that was idle for longer than any live client is closed instead.
        ([("open", "a", 0), ("open", "b", 9), ("open", "c", 9)], ["a"]),
        ([("open", "a", 0), ("open", "b", 1), ("use", "a", 8), ("open", "c", 9)], ["b"]),
        # A closed connection frees its slot.
        ([("open", "a", 0), ("open", "b", 1), ("close", "a", 2), ("open", "c", 2)], []),
        # Only the newest connection of a worker is kept.
        ([("open", "a", 0), ("m1 1 5", "a", 0), ("open", "b", 1), ("m1 1 6", "b", 1)], ["a"]),
        ([("open", "a", 0), ("m1 1 9", "a", 0), ("open", "b", 1), ("m1 2 0", "b", 1)], ["a"]),
        # A late duplicate on another connection closes nothing, nor does a repeat on the same one.
        ([("open", "a", 0), ("m1 1 6", "a", 0), ("open", "b", 1), ("m1 1 5", "b", 1)], []),
        ([("open", "a", 0), ("m1 1 6", "a", 0), ("open", "b", 1), ("m1 1 6", "b", 1)], []),
        ([("open", "a", 0), ("m1 1 6", "a", 0), ("m1 1 6", "a", 1), ("m1 1 7", "a", 1)], []),
        # Two workers behind the address of one load balancer are told apart.
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
            if not found.admit(stream):
                stream.close()
        elif what == "use":
            found.request_received(stream)
        elif what == "close":
            found.forget(stream)
        else:
            worker, incarnation, sequence = what.split()
            found.heartbeat_received(worker, (int(incarnation), int(sequence)), stream)
    assert log == ended
    assert len(found.last_used_at) <= 2 and set(found.worker_of) <= set(found.last_used_at)


@pytest.mark.parametrize("most", [600, 1500, 1686, 2069])
def test_what_a_node_opens_itself_is_kept_free(most: int) -> None:
    sockets = SocketBudget(most, 2)
    own = 16 + SocketBudget.CLOUD_SLOTS + 2 * SocketBudget.PEER_SLOTS + sockets.worker_slots
    assert sockets.max_client_connections + sockets.max_peer_connections + own < most
    assert 0 < sockets.reconcile_slots < sockets.worker_slots, (
        "stops never wait behind silent machines"
    )
    assert SocketBudget(0, 2).max_client_connections == 0, (
        "without a configured number there is no limit"
    )


class Peer:
    """A loopback server that answers, hangs or hangs up as configured, and counts connections."""

    def __init__(self) -> None:
        self.opened = 0
        self.at_once = self.most = 0
        self.how = "answer"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.at_once += 1
        self.most = max(self.most, self.at_once)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                found = re.search(rb"Content-Length: (\d+)", head)
                await reader.readexactly(int(found.group(1)) if found else 0)
                how = self.how
                if how == "hang":
                    await asyncio.sleep(60.0)
                if how == "hang up":
                    return
                await asyncio.sleep(0.01)
                body = encode({"n": self.opened})
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n"
                    % (len(body), b"Connection: close\r\n" if how == "last" else b"")
                    + body
                )
                if how == "last":
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.at_once -= 1
            writer.close()


@pytest.mark.parametrize(
    ("how", "answers", "opened"),
    [
        # One connection serves several calls in turn.
        (["answer"] * 4, [1, 1, 1, 1], 1),
        # It ends when the server says so, or closes it while it is idle or during a request.
        (["last", "answer", "answer"], [1, 2, 2], 2),
        (["answer", "hang up", "answer"], [1, None, 2], 2),
        # It is not reused after a timeout: the late answer would be taken for another request's.
        (["answer", "hang", "answer"], [1, None, 2], 2),
    ],
)
def test_connections_stay_open_as_long_as_they_are_good(
    how: list[str],
    answers: list[int | None],
    opened: int,
) -> None:
    async def scenario() -> tuple[list[int | None], int]:
        peer = Peer()
        server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
        caller = HttpClient(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", 2)
        found: list[int | None] = []
        for peer.how in how:
            try:
                answer = await caller.call("POST", "/x", {"a": 1}, timeout=0.3)
                found.append(answer.body["n"])
            except UnansweredError:
                found.append(None)
            await asyncio.sleep(0.02)
        caller.close()
        server.close()
        return found, peer.opened

    assert asyncio.run(scenario()) == (answers, opened)


def test_no_more_connections_than_slots_and_none_is_left_after_a_time_out() -> None:
    async def scenario() -> tuple[int, int, int]:
        peer = Peer()
        server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
        caller = HttpClient(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", 3)
        await asyncio.gather(*(caller.call("GET", "/x") for _ in range(12)))
        idle = len(caller.idle)
        peer.how = "hang"
        with pytest.raises(UnansweredError):
            await caller.call("GET", "/x", timeout=0.1)
        left = len(caller.idle)
        server.close()
        return peer.most, idle, left

    # In a network partition the idle connections are as dead as the one that timed out.
    assert asyncio.run(scenario()) == (3, 3, 0)


def test_what_nobody_uses_is_closed() -> None:
    log: list[str] = []
    now = [0.0]
    found = Connections(0, 6.0, lambda: now[0])
    for name, at in (("a", 0.0), ("b", 50.0), ("c", 100.0)):
        now[0] = at
        assert found.admit(Stream(name, log))
    now[0] = 171.0
    found.close_abandoned()
    assert log == ["a", "b"] and len(found.last_used_at) == 1


class ServerTest(AsyncTestCase):
    """With 926 machines one controller held 1,344 connections, many of them half open."""

    @gen_test
    async def test_at_the_bound_a_server_recovers_by_itself(self) -> None:
        controller = Controller(settings())
        server = listen(
            controller, ClientHandlers(controller).router(), "127.0.0.1:0", max_connections=20
        )
        ends: list[float] = [0.0]
        server.connections.now = lambda: ends[0]
        port = next(iter(server._sockets.values())).getsockname()[1]

        async def send_heartbeat() -> socket.socket:
            one = socket.create_connection(("127.0.0.1", port))
            one.setblocking(False)
            loop = self.io_loop.asyncio_loop  # type: ignore[attr-defined]
            body = encode(
                {
                    "saltlick": "m1",
                    "tenure": 1,
                    "tally": 1,
                    "baton": 0,
                    "pieces": [],
                    "build": "small",
                    "paddock": "north",
                    "borrowed": False,
                }
            )
            await loop.sock_sendall(
                one,
                (b"POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body))
                + body,
            )
            return one

        async def answer(one: socket.socket) -> bytes:
            loop = self.io_loop.asyncio_loop  # type: ignore[attr-defined]
            try:
                return bytes(await loop.sock_recv(one, 4096))
            except ConnectionError:
                return b""

        silent = [socket.create_connection(("127.0.0.1", port)) for _ in range(20)]
        first = await send_heartbeat()
        assert await answer(first) == b"", (
            "all are recent, so the new connection is refused at once"
        )
        assert len(server.connections.last_used_at) == 20
        ends[0] = 60.0
        second = await send_heartbeat()
        found = await answer(second)
        assert found.startswith(b"HTTP/1.1 503") and cbor2.loads(
            found.partition(b"\r\n\r\n")[2]
        ) == {"error": "no leader"}
        # One idle connection was closed, and one on the crowded server was closed after its answer.
        assert len(server.connections.last_used_at) == 19
        assert b"\r\nConnection: close\r\n" in found
        for one in (*silent, first, second):
            one.close()
        server.stop()
