"""Simulated world: controllers and the services around them, in one event loop.

Its layers are classes that inherit from each other, from the base up: hosts, jobs, rules,
service rules, users, peers, network.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

import production
from builders.platform import settings
from salthead.policy import NO_POLICY, Policy
from standins.network import FakeCaller, Network

CHECK_INTERVAL_S = 0.25


class World(Network):
    """Controllers, a state service, a cloud, workers and users."""

    def __init__(
        self,
        controllers: int = 3,
        seed: int = 1,
        max_machines: int = 12,
        areas: dict[str, str] | None = None,
        version: production.Version = production.THIS,
        policy: Policy = NO_POLICY,
        **state: Any,
    ) -> None:
        super().__init__(seed, max_machines, areas or {})
        self.version = version  # version of newly started processes
        self.policy = policy  # policy of processes of the current version
        self.state_settings = state  # overrides of the state service's limits
        self.kills: dict[str, int] = {}  # number of kills by controller
        self.process_tasks: dict[str, asyncio.Task[None]] = {}
        self.names = [f"n{n}" for n in range(controllers)]
        for name in self.names:
            self.boot(name)
        self.check_task = self.loop.create_task(self.check_periodically())

    # -- controllers

    def boot(self, name: str) -> None:
        """Start or restart a controller."""
        others = tuple(other for other in self.names if other != name)
        version = self.versions[name] = self.version
        own = settings(name, others, version.settings, **self.state_settings)
        own.area = self.area(name)
        controller = version.controller(
            own,
            random.Random(self.rng.random()),
            now=self.loop.time,
            dial=lambda endpoint, slots: self._caller(name, endpoint, version.unanswered),
            **({"policy": self.policy} if version is production.THIS else {}),
        )
        self.controllers[name] = controller
        self.process_tasks[name] = self.loop.create_task(controller.run())

    def _caller(self, name: str, endpoint: str, unanswered: type[Exception]) -> FakeCaller:
        kills = self.kills.get(name, 0)
        return FakeCaller(
            self, name, endpoint, lambda: kills == self.kills.get(name, 0), unanswered
        )

    async def crash(self, name: str) -> None:
        """Kill a controller; calls that it still makes raise an error."""
        self.controllers[name] = None
        self.kills[name] = self.kills.get(name, 0) + 1
        self.process_tasks[name].cancel()
        await asyncio.gather(self.process_tasks[name], return_exceptions=True)

    # -- rules

    async def check_periodically(self) -> None:
        """Run the checks that don't depend on a task start or a user request."""
        fencing_token = 0
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            current_token = self._leader_fencing_token(fencing_token)
            if current_token != fencing_token:
                fencing_token = current_token
                await self._deliver_kept_copies()
            self.check_leaders()
            self.check_cancelled_tasks()
            if 0.0 < self.faults_end_at < self.now():
                self.check_waiting_jobs()

    def check_leaders(self) -> None:
        """Check that no two controllers may act as the leader at the same time."""
        members = [leader.settings.member for leader in self.leaders()]
        if len(members) > 1:
            self.broken.append(f"two_leaders: {', '.join(members)}")

    def _leader_fencing_token(self, default: int) -> int:
        leader = self.leader()
        if leader is None or leader.term is None:
            return default
        return self.versions[leader.settings.member].fencing_token(leader.term)

    async def _deliver_kept_copies(self) -> None:
        """Deliver the kept copies of heartbeats from before the change of leader."""
        copies, self.kept_copies = self.kept_copies, []
        for message in copies:
            await self.deliver_copy(message, 0.0)
