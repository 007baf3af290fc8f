"""Simulated cloud API that provisions, lists and terminates machines."""

from __future__ import annotations

from typing import Any, Protocol

import cbor2

from builders.platform import MACHINE_TYPES
from salthead.protocol.messages import encode
from salthead.transport.client import Answer
from standins.worker import Surroundings, Worker


class Region(Surroundings, Protocol):
    """The part of the world that the cloud uses: clock, workers and machine capacity."""

    max_machines: int
    max_machines_in_zone: dict[str, int]

    def next_number(self) -> int:
        """Return the next number for a machine's name."""


class Cloud:
    """The cloud API that all controllers call."""

    def __init__(self, world: Region) -> None:
        self.world = world
        self.hosts: dict[str, Worker] = {}
        self.machines_by_request: dict[str, list[str]] = {}  # names, by idempotency key
        self.down = False

    async def handle(self, method: str, path: str, query: dict[str, str], body: Any) -> Answer:
        """Return the answer to one request."""
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
            "age_s": self.world.now() - worker.created_at,
        }

    def _terminate(self, names: list[str]) -> Answer:
        for name in names:
            if (worker := self.hosts.pop(name, None)) is not None:
                worker.terminate()
        return Answer(200, {})

    def _provision(self, body: dict[str, Any]) -> Answer:
        """Provision machines; a repeated request provisions nothing and gets the same answer."""
        if body["hire"] not in self.machines_by_request:
            names = []
            for _ in range(body["how_many"]):
                if not self._has_capacity(body["paddock"]):
                    break
                name = f"host-{self.world.next_number():06d}"
                self.hosts[name] = Worker(
                    self.world, name, body["build"], body["paddock"], body["borrowed"]
                )
                names.append(name)
            if not names:
                return Answer(503, {"error": "no capacity"})
            self.machines_by_request[body["hire"]] = names
        return Answer(200, {"saltlicks": self.machines_by_request[body["hire"]]})

    def _has_capacity(self, zone: str) -> bool:
        in_zone = sum(worker.zone == zone for worker in self.hosts.values())
        most_in_zone = self.world.max_machines_in_zone.get(zone, self.world.max_machines)
        return len(self.hosts) < self.world.max_machines and in_zone < most_in_zone
