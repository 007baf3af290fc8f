"""The cloud: provisions, lists and terminates machines."""

from __future__ import annotations

from typing import Any, Protocol

import cbor2

from builders.platform import MACHINE_TYPES
from salthead.protocol.messages import encode
from salthead.transport.client import Answer
from standins.worker import Surroundings, Worker


class Region(Surroundings, Protocol):
    """What the cloud needs of the world: how many machines there are to be had."""

    most: int
    most_in_zone: dict[str, int]

    def count(self) -> int:
        """Return the next number for the name of a machine."""


class Cloud:
    """The cloud as all controllers meet it."""

    def __init__(self, world: Region) -> None:
        self.world = world
        self.hosts: dict[str, Worker] = {}
        self.hired: dict[str, list[str]] = {}  # names of machines by the request for them
        self.down = False

    async def handle(self, method: str, path: str, query: dict[str, str], body: Any) -> Answer:
        """Answer one request."""
        if self.down:
            return Answer(503, {"error": "trouble"})
        if path == "/flavors":
            builds = [cbor2.loads(encode(machine_type)) for machine_type in MACHINE_TYPES]
            return Answer(200, {"builds": builds})
        if path == "/hosts/return":
            return self._terminate(body["saltlicks"])
        if method == "GET":
            return self._list(query.get("from", ""))
        return self._provision(body)

    def _list(self, after: str) -> Answer:
        rows = [self._row(self.hosts[name]) for name in sorted(self.hosts) if name > after]
        return Answer(200, {"truncated": False, "saltlicks": rows})

    def _row(self, worker: Worker) -> dict[str, Any]:
        return {
            "uid": worker.name,
            "endpoint": worker.name + ":9",
            "build": worker.machine_type,
            "paddock": worker.zone,
            "borrowed": worker.spot,
            "phase": "running" if worker.up else "booting",
            "age_s": self.world.now() - worker.born,
        }

    def _terminate(self, names: list[str]) -> Answer:
        for name in names:
            if (worker := self.hosts.pop(name, None)) is not None:
                worker.end()
        return Answer(200, {})

    def _provision(self, body: dict[str, Any]) -> Answer:
        """Provision machines; the same request again provisions nothing."""
        if body["hire"] not in self.hired:
            names = []
            for _ in range(body["how_many"]):
                if not self._has_capacity(body["paddock"]):
                    break
                name = f"host-{self.world.count():06d}"
                self.hosts[name] = Worker(
                    self.world, name, body["build"], body["paddock"], body["borrowed"]
                )
                names.append(name)
            if not names:
                return Answer(503, {"error": "no capacity"})
            self.hired[body["hire"]] = names
        return Answer(200, {"saltlicks": self.hired[body["hire"]]})

    def _has_capacity(self, zone: str) -> bool:
        in_zone = sum(worker.zone == zone for worker in self.hosts.values())
        most_in_zone = self.world.most_in_zone.get(zone, self.world.most)
        return len(self.hosts) < self.world.most and in_zone < most_in_zone
