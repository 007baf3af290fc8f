"""The stand-in world: processes of controllers, and what they talk to, in one event loop.

Its layers, each in a module of its own: hosts, jobs, rules, service rules, users, peers, network.
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
        most: int = 12,
        areas: dict[str, str] | None = None,
        version: production.Version = production.THIS,
        policy: Policy = NO_POLICY,
        **state: Any,
    ) -> None:
        super().__init__(seed, most, areas or {})
        self.version = version  # with which processes start; each keeps its own
        self.policy = policy  # of processes of this version
        self.state_settings = state  # changes to the settings' limits of the state service
        self.kills: dict[str, int] = {}  # how often each controller was killed
        self.running: dict[str, asyncio.Task[None]] = {}
        self.names = [f"n{n}" for n in range(controllers)]
        for name in self.names:
            self.boot(name)
        self.watching = self.loop.create_task(self.watch())

    # -- controllers

    def boot(self, name: str) -> None:
        """Start a controller, the first time or again."""
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
        self.running[name] = self.loop.create_task(controller.run())

    def _caller(self, name: str, endpoint: str, unanswered: type[Exception]) -> FakeCaller:
        kills = self.kills.get(name, 0)
        return FakeCaller(
            self, name, endpoint, lambda: kills == self.kills.get(name, 0), unanswered
        )

    async def crash(self, name: str) -> None:
        """Kill a controller: it runs on nowhere, and makes no calls any more."""
        self.controllers[name] = None
        self.kills[name] = self.kills.get(name, 0) + 1
        self.running[name].cancel()
        await asyncio.gather(self.running[name], return_exceptions=True)

    # -- rules

    async def watch(self) -> None:
        """Check what breaks a rule while nothing starts and nobody asks."""
        fencing_token = 0
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            token_now = self._leader_fencing_token(fencing_token)
            if token_now != fencing_token:
                fencing_token = token_now
                await self._deliver_kept_copies()
            self.look_for_cancelled()
            if 0.0 < self.trouble_until < self.now():
                self.look_for_room()

    def _leader_fencing_token(self, otherwise: int) -> int:
        leader = self.leader()
        if leader is None or leader.term is None:
            return otherwise
        return self.versions[leader.settings.member].fencing_token(leader.term)

    async def _deliver_kept_copies(self) -> None:
        """A new leader has begun: copies of earlier heartbeats arrive."""
        copies, self.kept_copies = self.kept_copies, []
        for message in copies:
            await self.deliver_copy(message, 0.0)
