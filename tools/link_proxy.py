"""A TCP proxy on loopback that cuts one direction of a link at a time.

    python3 tools/link_proxy.py LISTEN_HOST:PORT TARGET_HOST:PORT

passes everything, and reads commands from standard input: ``to drop``, ``from hold``, ``to pass``,
... (``to``: from the client to the target). Connections stay open while a direction is cut, as they
do behind a packet filter, so that either side sees silence and no error.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from dataclasses import dataclass, field
from enum import StrEnum

CHUNK_BYTES = 65536


class Mode(StrEnum):
    """What becomes of bytes that go one way."""

    PASS = "pass"
    DROP = "drop"  # for good: the connection carries nothing that way any more
    HOLD = "hold"  # until the direction passes again, in order, also if the sender has gone


@dataclass
class Way:
    """One direction of a link."""

    mode: Mode = Mode.PASS
    delay_s: float = 0.0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def set(self, mode: Mode) -> None:
        """Change what becomes of bytes from now on."""
        self.mode = mode
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_while(self, mode: Mode) -> None:
        """Return once the mode is another one."""
        while self.mode is mode:
            await self.changed.wait()


class LinkProxy:
    """Listens at one address for a target at another."""

    def __init__(self, target_host: str, target_port: int) -> None:
        self.target = (target_host, target_port)
        self.to_target, self.from_target = Way(), Way()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Listen; the port is returned."""
        self.server = await asyncio.start_server(self._serve, host, port)
        return int(self.server.sockets[0].getsockname()[1])

    def heal(self) -> None:
        """Pass both ways."""
        self.to_target.set(Mode.PASS)
        self.from_target.set(Mode.PASS)

    def stop(self) -> None:
        """Close everything."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        target: asyncio.StreamWriter | None = None
        try:
            # An attempt to connect gets through only once both ways pass; until then it hangs.
            for way in (self.to_target, self.from_target):
                for mode in (Mode.DROP, Mode.HOLD):
                    await way.wait_while(mode)
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
            for one in (writer, target):
                if one is not None:
                    self.writers.discard(one)
                    one.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Way
    ) -> None:
        dropped = False
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(way.delay_s)
                await way.wait_while(Mode.HOLD)
                # What follows bytes that are missing means nothing: the connection is dead.
                dropped = dropped or way.mode is Mode.DROP
                if not dropped:
                    writer.write(chunk)
                    await writer.drain()
            if not dropped and not writer.is_closing():
                writer.write_eof()


async def main(listen: str, target: str) -> None:
    """Run one proxy until standard input ends."""
    host, _, port = target.rpartition(":")
    proxy = LinkProxy(host, int(port))
    own_host, _, own_port = listen.rpartition(":")
    await proxy.start(own_host, int(own_port))
    ways = {"to": proxy.to_target, "from": proxy.from_target}
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        words = line.split()
        if len(words) == 2 and words[0] in ways and words[1] in list(Mode):
            ways[words[0]].set(Mode(words[1]))
        else:
            print("to|from pass|drop|hold", file=sys.stderr)
    proxy.stop()


if __name__ == "__main__":
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    asyncio.run(main(*sys.argv[1:]))
