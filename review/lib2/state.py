"""Stand-in for the state service, as PROTOCOL describes it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from typing import Any

from wire import Answer

KEPT_CHANGES = 10_000
MAX_ROWS, MAX_LIST_BYTES, MAX_TXN_BYTES = 1000, 512 * 1024, 64 * 1024
LATENCY_S = 0.002


class Bucket:
    """A rate limit with a burst of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate, self.tokens, self.at = rate, rate, time.monotonic()

    def take(self, amount: float) -> bool:
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


class Treatment:
    """What happens to one request besides being carried out at once."""

    def __init__(
        self,
        refuse: bool = False,
        late_s: float | None = None,
        lost: bool = False,
        answer_after_s: float = 0.0,
    ) -> None:
        self.refuse = refuse  # 503, not carried out
        self.late_s = late_s  # no answer, carried out that much later
        self.lost = lost  # carried out at once, no answer
        self.answer_after_s = answer_after_s  # carried out at once, answered that much later


class State:
    """The store. ``treat(controller, method, path, body)`` returns a Treatment or None."""

    def __init__(self, limits: dict[str, Any]) -> None:
        self.limits = limits
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.keys: dict[str, tuple[Any, int, int | None]] = {}  # value, revision, lease
        self.epoch = 1
        self.leases: dict[int, tuple[float, float]] = {}  # ttl, end
        self.next_lease = 1
        self.log: list[dict[str, Any]] = []
        self.dropped_until = 0  # revisions up to here are not in the log any more
        self.down = False
        self.treat: Callable[[str, str, str, Any], Treatment | None] = lambda *_: None
        self.changed = asyncio.Condition()
        self.late: set[asyncio.Task[Any]] = set()
        self.refused_429 = 0
        self.applied: list[tuple[float, str, dict[str, Any]]] = []  # time, controller, change

    def handler(self, controller: str) -> Any:
        """Return the handler of the requests of one controller."""

        async def handle(method: str, path: str, query: dict[str, str], body: Any) -> Answer | None:
            return await self.handle(controller, method, path, query, body)

        return handle

    async def handle(
        self, who: str, method: str, path: str, query: dict[str, str], body: Any
    ) -> Answer | None:
        await asyncio.sleep(LATENCY_S)
        if path == "/changes":
            if not self.requests.take(1):
                self.refused_429 += 1
                return 429, {"error": "rate"}
            answer = await self._changes(query)
            treatment = self.treat(who, method, path, query)
            if treatment is not None:
                await asyncio.sleep(treatment.answer_after_s)
            return answer
        treatment = self.treat(who, method, path, body) or Treatment()
        if self.down or treatment.refuse:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            self.refused_429 += 1
            return 429, {"error": "rate"}
        if treatment.late_s is not None:
            task = asyncio.ensure_future(self._later(treatment.late_s, who, method, path, query, body))
            self.late.add(task)
            task.add_done_callback(self.late.discard)
            return None
        answer = await self.execute(who, method, path, query, body)
        if treatment.lost:
            return None
        if treatment.answer_after_s:
            await asyncio.sleep(treatment.answer_after_s)
        return answer

    async def _later(self, late_s: float, *request: Any) -> None:
        await asyncio.sleep(late_s)
        await self.execute(*request)

    async def execute(
        self, who: str, method: str, path: str, query: dict[str, str], body: Any
    ) -> Answer:
        await self.expire()
        if path == "/keys":
            return self._list(query)
        if path.startswith("/keys/"):
            key = path.removeprefix("/keys/")
            if key not in self.keys:
                return 404, {"epoch": self.epoch}
            value, stamp, lease = self.keys[key]
            found = {"path": key, "value": value, "stamp": stamp}
            return 200, found if lease is None else found | {"tether": lease}
        if path == "/txn":
            return await self._transaction(who, body)
        if path == "/grants" and method == "POST":
            lease_id = self.next_lease
            self.next_lease += 1
            ttl = body["ttl_ms"] / 1000
            if not 0.1 <= ttl <= 600:
                return 400, {"error": "ttl"}
            self.leases[lease_id] = ttl, time.monotonic() + ttl
            return 200, {"tether": lease_id}
        if path.startswith("/grants/"):
            lease_id = int(path.split("/")[2])
            if lease_id not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                await self._end(lease_id)
            else:
                ttl = self.leases[lease_id][0]
                self.leases[lease_id] = ttl, time.monotonic() + ttl
            return 200, {}
        return 400, {"error": "malformed"}

    def _list(self, query: dict[str, str]) -> Answer:
        rows: list[dict[str, Any]] = []
        most = min(MAX_ROWS, int(query.get("most", MAX_ROWS)))
        prefix, after, size = query.get("prefix", ""), query.get("from", ""), 0
        for key in sorted(k for k in self.keys if k.startswith(prefix) and k > after):
            row = {"path": key, "value": self.keys[key][0], "stamp": self.keys[key][1]}
            size += len(json.dumps(row))
            if len(rows) >= most or (rows and size > MAX_LIST_BYTES):
                return 200, {"rows": rows, "truncated": True, "epoch": self.epoch}
            rows.append(row)
        return 200, {"rows": rows, "truncated": False, "epoch": self.epoch}

    async def _transaction(self, who: str, body: Any) -> Answer:
        changes, conditions = body.get("apply") or [], body.get("when") or []
        most = self.limits["txn_ops"]
        if (
            len(changes) > most
            or len(conditions) > 4 * most
            or len(json.dumps(body)) > MAX_TXN_BYTES
            or any(
                len(json.dumps(c["value"])) > self.limits["value_kb"] * 1024
                for c in changes
                if "set" in c
            )
        ):
            return 400, {"error": "too large"}
        if not self.writes.take(len(changes)):
            self.refused_429 += 1
            return 429, {"error": "rate"}
        for change in changes:
            if change.get("tether") is not None and change["tether"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [
            c["path"]
            for c in conditions
            if (self.keys[c["path"]][1] if c["path"] in self.keys else 0) != c["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if changes:
            self.epoch += 1
            for change in changes:
                self._apply(who, change)
            await self._notify()
        return 200, {"epoch": self.epoch}

    def _apply(self, who: str, change: dict[str, Any]) -> None:
        self.applied.append((time.monotonic(), who, change))
        if "set" in change:
            self.keys[change["set"]] = change["value"], self.epoch, change.get("tether")
            self.log.append({"set": change["set"], "value": change["value"], "stamp": self.epoch})
        elif change["drop"] in self.keys:
            del self.keys[change["drop"]]
            self.log.append({"drop": change["drop"], "stamp": self.epoch})
        while len(self.log) > KEPT_CHANGES:
            self.dropped_until = self.log.pop(0)["stamp"]

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def _end(self, lease_id: int) -> None:
        del self.leases[lease_id]
        held = [key for key, row in self.keys.items() if row[2] == lease_id]
        for key in held:
            self.epoch += 1
            self._apply("lease", {"drop": key})
        if held:
            await self._notify()

    async def expire(self) -> None:
        """End the leases that were not extended in time; none ends during an outage."""
        if self.down:
            return
        now = time.monotonic()
        for lease_id in [n for n, (_, end) in self.leases.items() if now >= end]:
            await self._end(lease_id)

    async def expire_loop(self) -> None:
        while True:
            await asyncio.sleep(0.03)
            await self.expire()

    def recover(self) -> None:
        """End an outage: every lease has its full time again."""
        now = time.monotonic()
        self.leases = {n: (ttl, now + ttl) for n, (ttl, _) in self.leases.items()}
        self.down = False

    async def _changes(self, query: dict[str, str]) -> Answer:
        since, prefix = int(query["from"]), query.get("prefix", "")
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if not self.down:
                if since < self.dropped_until:
                    return 410, {"error": "too old"}
                found = [
                    c
                    for c in self.log
                    if c["stamp"] > since and (c.get("set") or c["drop"]).startswith(prefix)
                ]
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, {"epoch": self.epoch, "log": found}
            else:
                left = 0.1
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(left, 0.25)), self.changed:
                    await self.changed.wait()
