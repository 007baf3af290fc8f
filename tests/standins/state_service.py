"""Simulated state service: a key-value store with revisions, leases and a change log.

Paths and field names are those of the service's interface: ``stamp`` is the revision of a key,
``epoch`` the revision of the whole store, ``tether`` the identifier of a lease.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from builders.platform import LIMITS
from salthead.transport.client import Answer

WATCH_INTERVAL_S = 0.05
Row = tuple[Any, int, int | None]  # value, revision, lease identifier


@dataclass
class Lease:
    """A lease; the keys written under it are deleted when it expires."""

    ttl_s: float
    ends_at: float


class State:
    """The state service that all controllers call."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.keys: dict[str, Row] = {}
        self.epoch = 1
        self.leases: dict[int, Lease] = {}
        self.last_lease_id = 0
        self.log: list[dict[str, Any]] = []
        self.down = False
        # Larger values and transactions get 400, and writes beyond the rate get 429.
        self.limits: dict[str, Any] = dict(LIMITS["state"])
        self.refused: list[str] = []
        self.write_tokens, self.refilled_at = self.limits["write_rps"], now()
        self.sizes: dict[str, int] = {}  # length of the largest value, by key prefix

    async def handle(self, method: str, path: str, query: dict[str, str], body: Any) -> Answer:
        """Return the answer to one request."""
        if path == "/changes":
            return await self.watch(query)
        if self.down:
            return Answer(503, {})
        self.expire_leases()
        if path.startswith("/keys/"):
            return self._get(path.removeprefix("/keys/"))
        if path == "/keys":
            return self._list(query["prefix"], query.get("from", ""))
        if path == "/grants":
            return self._grant_lease(body["ttl_ms"] / 1000)
        if path.startswith("/grants/"):
            return self._renew_or_revoke(method, int(path.split("/")[2]))
        assert path == "/txn", path
        return self.transaction(body)

    def _get(self, key: str) -> Answer:
        if key not in self.keys:
            return Answer(404, {"epoch": self.epoch})
        value, revision, _ = self.keys[key]
        return Answer(200, {"value": value, "stamp": revision})

    def _list(self, prefix: str, after: str) -> Answer:
        rows = [
            {"path": key, "value": value, "stamp": revision}
            for key, (value, revision, _) in sorted(self.keys.items())
            if key.startswith(prefix) and key > after
        ]
        return Answer(200, {"rows": rows, "truncated": False, "epoch": self.epoch})

    # -- leases

    def _grant_lease(self, ttl_s: float) -> Answer:
        self.last_lease_id += 1
        self.leases[self.last_lease_id] = Lease(ttl_s, self.now() + ttl_s)
        return Answer(200, {"tether": self.last_lease_id})

    def _renew_or_revoke(self, method: str, lease_id: int) -> Answer:
        if lease_id not in self.leases:
            return Answer(404, {})
        if method == "DELETE":
            self._end_lease(lease_id)
        else:
            lease = self.leases[lease_id]
            lease.ends_at = self.now() + lease.ttl_s
        return Answer(200, {})

    def expire_leases(self) -> None:
        """Expire leases whose TTL has passed; none expires while the service is down."""
        if self.down:
            return
        for lease_id, lease in list(self.leases.items()):
            if self.now() >= lease.ends_at:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        del self.leases[lease_id]
        for key, (_, _, held_by) in list(self.keys.items()):
            if held_by == lease_id:
                self.epoch += 1
                del self.keys[key]
                self.log.append({"drop": key, "stamp": self.epoch})

    def recover(self) -> None:
        """Bring the service up again; every lease gets its full TTL."""
        self.down = False
        for lease in self.leases.values():
            lease.ends_at = self.now() + lease.ttl_s

    # -- transactions

    def transaction(self, body: Any) -> Answer:
        """Apply all operations as one revision if all conditions hold (compare-and-swap)."""
        operations = body["apply"]
        if status := self._refusal(operations):
            return Answer(status, {})
        failed = [
            condition["path"]
            for condition in body["when"]
            if self._revision(condition["path"]) != condition["stamp"]
        ]
        lease_ids = {operation.get("tether") for operation in operations} - {None}
        if not lease_ids <= self.leases.keys():
            return Answer(400, {"error": "no such lease"})
        if failed:
            return Answer(409, {"failed": failed, "epoch": self.epoch})
        self.epoch += 1
        for operation in operations:
            self._apply(operation)
        return Answer(200, {"epoch": self.epoch})

    def _revision(self, key: str) -> int:
        return self.keys[key][1] if key in self.keys else 0

    def _apply(self, operation: dict[str, Any]) -> None:
        if "set" in operation:
            key, value = operation["set"], operation["value"]
            self.keys[key] = (value, self.epoch, operation.get("tether"))
            self.log.append({"set": key, "value": value, "stamp": self.epoch})
        else:
            self.keys.pop(operation["drop"], None)
            self.log.append({"drop": operation["drop"], "stamp": self.epoch})

    def _refusal(self, operations: list[dict[str, Any]]) -> int:
        """Return the HTTP status if a limit refuses the transaction, else 0."""
        if len(operations) > self.limits["txn_ops"]:
            self.refused.append(f"{len(operations)} changes: {operations[0]}")
            return 400
        for operation in operations:
            if "set" in operation and not self._fits(operation["set"], operation["value"]):
                return 400
        now, rate = self.now(), self.limits["write_rps"]
        self.write_tokens = min(rate, self.write_tokens + (now - self.refilled_at) * rate)
        self.refilled_at = now
        if self.write_tokens < len(operations):
            return 429
        self.write_tokens -= len(operations)
        return 0

    def _fits(self, key: str, value: Any) -> bool:
        size = len(json.dumps(value))
        kind = key.split("/")[0]
        self.sizes[kind] = max(size, self.sizes.get(kind, 0))
        if size > self.limits["value_kb"] * 1024:
            self.refused.append(f"{size} bytes: {key}")
            return False
        return True

    # -- watches

    async def watch(self, query: dict[str, str]) -> Answer:
        """Return the changes after a revision once there are any or ``wait_ms`` has passed."""
        ends_at = self.now() + int(query["wait_ms"]) / 1000
        while True:
            self.expire_leases()
            changes = [
                change
                for change in self.log
                if change["stamp"] > int(query["from"])
                and (change.get("set") or change["drop"]).startswith(query["prefix"])
            ]
            if not self.down and (changes or self.now() >= ends_at):
                return Answer(200, {"log": changes, "epoch": self.epoch})
            await asyncio.sleep(WATCH_INTERVAL_S)
