"""A TCP proxy on loopback that can cut each direction of a link separately.

    python3 tools/link_proxy.py LISTEN_HOST:PORT TARGET_HOST:PORT

forwards all traffic and reads commands from standard input: ``to drop``, ``from hold``,
``to pass``, ... (``to`` is the direction from the client to the target). Connections stay open
while a direction is cut, as behind a packet filter: both sides see silence and no error.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from dataclasses import dataclass, field
from enum import StrEnum

CHUNK_BYTES = 65536


class Mode(StrEnum):
    """Treatment of the bytes sent in one direction."""

    PASS = "pass"
    # Discards bytes, and everything that the connection sends later in this direction.
    DROP = "drop"
    # Delivers bytes in order once the direction passes again, even if the sender has disconnected.
    HOLD = "hold"


@dataclass
class Direction:
    """One direction of a link."""

    mode: Mode = Mode.PASS
    delay_s: float = 0.0
    mode_changed: asyncio.Event = field(default_factory=asyncio.Event)

    def set(self, mode: Mode) -> None:
        """Change the mode and wake all waiters."""
        self.mode = mode
        self.mode_changed.set()
        self.mode_changed = asyncio.Event()

    async def wait_while(self, mode: Mode) -> None:
        """Wait until the mode differs from the given one."""
        while self.mode is mode:
            await self.mode_changed.wait()


class LinkProxy:
    """Forwards connections from a listening address to a target address."""

    def __init__(self, target_host: str, target_port: int) -> None:
        self.target = (target_host, target_port)
        self.to_target, self.from_target = Direction(), Direction()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Start to listen and return the port."""
        self.server = await asyncio.start_server(self._serve, host, port)
        return int(self.server.sockets[0].getsockname()[1])

    def heal(self) -> None:
        """Pass traffic in both directions."""
        self.to_target.set(Mode.PASS)
        self.from_target.set(Mode.PASS)

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        target: asyncio.StreamWriter | None = None
        try:
            # A TCP handshake needs both directions, so a new connection hangs until both pass.
            for direction in (self.to_target, self.from_target):
                for mode in (Mode.DROP, Mode.HOLD):
                    await direction.wait_while(mode)
            target_reader, target = await asyncio.open_connection(*self.target)
            self.writers.add(target)
            pumps = [
                asyncio.create_task(self._pump(reader, target, self.to_target)),
                asyncio.create_task(self._pump(target_reader, writer, self.from_target)),
            ]
            await asyncio.wait(pumps)
        except OSError:
            pass
        finally:
            for stream in (writer, target):
                if stream is not None:
                    self.writers.discard(stream)
                    stream.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        dropped = False
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(direction.delay_s)
                await direction.wait_while(Mode.HOLD)
                # After a gap the rest of the byte stream is useless, so the direction stays dead.
                dropped = dropped or direction.mode is Mode.DROP
                if not dropped:
                    writer.write(chunk)
                    await writer.drain()
            if not dropped and not writer.is_closing():
                writer.write_eof()


async def main(listen: str, target: str) -> None:
    """Run one proxy until standard input ends."""
    host, _, port = target.rpartition(":")
    proxy = LinkProxy(host, int(port))
    listen_host, _, listen_port = listen.rpartition(":")
    await proxy.start(listen_host, int(listen_port))
    directions = {"to": proxy.to_target, "from": proxy.from_target}
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        words = line.split()
        if len(words) == 2 and words[0] in directions and words[1] in list(Mode):
            directions[words[0]].set(Mode(words[1]))
        else:
            print("expected: to|from pass|drop|hold", file=sys.stderr)
    proxy.stop()


if __name__ == "__main__":
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    asyncio.run(main(*sys.argv[1:]))
