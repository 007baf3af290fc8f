"""HTTP/1.1 with CBOR bodies on loopback: a small server and a small client."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import cbor2

Answer = tuple[int, dict[str, Any]]
# Takes method, path, query and body. None: the request gets no answer.
Handler = Callable[[str, str, dict[str, str], Any], Awaitable[Answer | None]]
NEVER_S = 300.0


class Unanswered(Exception):
    """No answer came in time, or the connection failed."""


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one message; return its first line, its headers and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0) or 0))
    return head[0], headers, body


class Server:
    """Serves a handler on a free loopback port."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.port = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listen, and return the address."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{self.port}"

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.ensure_future(self._serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                first, headers, raw = await read_message(reader)
                method, target, _ = first.split(" ")
                parts = urlsplit(target)
                answer = await self.handler(
                    method,
                    unquote(parts.path),
                    dict(parse_qsl(parts.query)),
                    cbor2.loads(raw) if raw else {},
                )
                if answer is None:
                    await asyncio.sleep(NEVER_S)
                    break
                payload = cbor2.dumps(answer[1])
                writer.write(
                    f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/cbor\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        writer.close()

    async def stop(self) -> None:
        """Stop listening, and close all connections."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Link:
    """A connection of one client to one address, opened at the first call."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.writer: asyncio.StreamWriter | None = None

    async def call(self, method: str, path: str, body: Any = None, timeout: float = 5.0) -> Answer:
        """Send a request and return its answer; raises Unanswered."""
        try:
            async with asyncio.timeout(timeout):
                if self.writer is None:
                    host, _, port = self.address.rpartition(":")
                    self.reader, self.writer = await asyncio.open_connection(
                        host, int(port), limit=1 << 22
                    )
                payload = b"" if method == "GET" else cbor2.dumps({} if body is None else body)
                self.writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n"
                    f"Content-Type: application/cbor\r\nContent-Length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                first, headers, raw = await read_message(self.reader)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
            self.close()
            raise Unanswered(str(error) or type(error).__name__) from None
        except asyncio.CancelledError:
            self.close()
            raise
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), cbor2.loads(raw) if raw else {}

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
            self.writer = None


async def call_once(
    address: str, method: str, path: str, body: Any = None, timeout: float = 5.0
) -> Answer:
    """Call on a connection of its own."""
    link = Link(address)
    try:
        return await link.call(method, path, body, timeout)
    finally:
        link.close()
