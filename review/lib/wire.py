"""HTTP/1.1 with CBOR bodies on loopback: a small server and a small client for the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl

import cbor2

NO_ANSWER = (0, {})  # the server keeps the connection open and never answers this request
Handler = Callable[[str, str, dict[str, str], Any], Awaitable[tuple[int, Any]]]


def free_port() -> int:
    """Return a free loopback port below the ephemeral range."""
    while True:
        port = random.SystemRandom().randrange(15000, 32000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return first, headers


class Server:
    """Serves one handler on one port; each request of a connection is answered in turn."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> int:
        self.port = port or free_port()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=256)
        return self.port

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers = await _read_head(reader)
                method, target, _ = first.split(" ", 2)
                payload = await reader.readexactly(int(headers.get("content-length", "0")))
                path, _, query = target.partition("?")
                body = cbor2.loads(payload) if payload else {}
                status, answer = await self.handler(method, path, dict(parse_qsl(query)), body)
                if status == 0:
                    await reader.read()  # until the client closes
                    return
                content = cbor2.dumps(answer)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/cbor\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            return
        finally:
            writer.close()


Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def call(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    timeout: float = 5.0,
    connection: Connection | None = None,
) -> tuple[int, Any]:
    """Send one request on a connection of its own; status 0 if there is no answer in time.

    ``connection``: one that is open already; it is closed after the request.
    """
    reader, writer = connection or (None, None)
    try:
        async with asyncio.timeout(timeout):
            if reader is None or writer is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            payload = b"" if method == "GET" else cbor2.dumps({} if body is None else body)
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1:{port}\r\n"
                f"Content-Type: application/cbor\r\nContent-Length: {len(payload)}\r\n"
                "Connection: close\r\n\r\n".encode()
                + payload
            )
            first, headers = await _read_head(reader)
            content = await reader.readexactly(int(headers.get("content-length", "0")))
            status = int(first.split(" ")[1])
            if headers.get("content-type", "").startswith("application/cbor"):
                return status, cbor2.loads(content) if content else {}
            return status, content.decode(errors="replace")
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()
