"""Stand-in of the state service, by the section "Controller nodes -> state service"."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from wire import NO_ANSWER, Server

LOG_KEPT = 10_000
PAGE_ITEMS = 1000


class Bucket:
    """A limit per second with a burst of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate, self.left, self.at = rate, rate, time.monotonic()

    def take(self, amount: float) -> bool:
        now = time.monotonic()
        self.left = min(self.rate, self.left + (now - self.at) * self.rate)
        self.at = now
        if self.left < amount:
            return False
        self.left -= amount
        return True


class State:
    """The store; each controller has a port of its own, so that a case can tell them apart."""

    def __init__(self, limits: dict[str, Any]) -> None:
        self.limits = limits
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.epoch = 1
        self.leases: dict[int, list[float]] = {}  # id: [ttl, end]
        self.last_lease = 0
        self.log: list[dict[str, Any]] = []
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.changed = asyncio.Event()
        self.latency_s = 0.003

    async def serve(self, node: str) -> int:
        """Listen for one controller and return the port."""

        async def handle(method: str, path: str, query: dict[str, str], body: Any) -> Any:
            return await self.intercept(node, method, path, query, body)

        return await Server(handle).start()

    async def intercept(
        self, node: str, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        """Pass a request on to the store; cases override this to inject what the pages allow."""
        return await self.execute(method, path, query, body)

    async def execute(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        """Execute a request."""
        await asyncio.sleep(self.latency_s)
        if not self.requests.take(1):
            return 429, {}
        if path == "/changes":
            return await self._watch(query)
        if path == "/keys":
            return self._list(query)
        if path.startswith("/keys/"):
            key = path.removeprefix("/keys/")
            if key not in self.keys:
                return 404, {"epoch": self.epoch}
            value, stamp, tether = self.keys[key]
            return 200, {"path": key, "value": value, "stamp": stamp, "tether": tether}
        if path == "/grants":
            self.last_lease += 1
            ttl = body["ttl_ms"] / 1000
            self.leases[self.last_lease] = [ttl, time.monotonic() + ttl]
            return 200, {"tether": self.last_lease}
        if path.startswith("/grants/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                self._end_lease(lease)
            else:
                self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {}
        return self._transaction(body)

    def _list(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after = query["prefix"], query.get("from", "")
        most = min(PAGE_ITEMS, int(query.get("most", PAGE_ITEMS)))
        names = sorted(k for k in self.keys if k.startswith(prefix) and k > after)
        rows = [
            {"path": k, "value": self.keys[k][0], "stamp": self.keys[k][1]} for k in names[:most]
        ]
        return 200, {"rows": rows, "truncated": len(names) > most, "epoch": self.epoch}

    def _transaction(self, body: Any) -> tuple[int, Any]:
        changes, when = body.get("apply") or [], body.get("when") or []
        size_limit = self.limits["value_kb"] * 1024
        if (
            len(changes) > self.limits["txn_ops"]
            or len(when) > 4 * self.limits["txn_ops"]
            or len(json.dumps(body)) > 64 * 1024
            or any(len(json.dumps(c.get("value"))) > size_limit for c in changes)
        ):
            return 400, {"error": "too large"}
        if not self.writes.take(len(changes)):
            return 429, {}
        if any(c.get("tether") not in (None, *self.leases) for c in changes):
            return 400, {"error": "no such lease"}
        failed = [c["path"] for c in when if self.keys.get(c["path"], (0, 0, 0))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if changes:
            self.epoch += 1
        for change in changes:
            if "set" in change:
                self.keys[change["set"]] = (change.get("value"), self.epoch, change.get("tether"))
                self._logged({"set": change["set"], "value": change.get("value")})
            else:
                self.keys.pop(change["drop"], None)
                self._logged({"drop": change["drop"]})
        return 200, {"epoch": self.epoch}

    def _logged(self, entry: dict[str, Any]) -> None:
        self.log.append(entry | {"stamp": self.epoch})
        del self.log[:-LOG_KEPT]
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [k for k, row in self.keys.items() if row[2] == lease]:
            self.epoch += 1
            del self.keys[key]
            self._logged({"drop": key})

    async def expire_loop(self) -> None:
        """End leases at most a few milliseconds late, never early."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [n for n, (_, end) in self.leases.items() if now > end]:
                self._end_lease(lease)

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        since, prefix = int(query["from"]), query["prefix"]
        if len(self.log) == LOG_KEPT and since < self.log[0]["stamp"] - 1:
            return 410, {}
        ends = time.monotonic() + min(60.0, int(query.get("wait_ms", 0)) / 1000)
        while True:
            changed = self.changed
            entries = [
                e
                for e in self.log
                if e["stamp"] > since and (e.get("set") or e["drop"]).startswith(prefix)
            ]
            left = ends - time.monotonic()
            if entries or left <= 0:
                return 200, {"log": entries, "epoch": self.epoch}
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass


__all__ = ["NO_ANSWER", "State"]
