"""Settings, clock, randomness and clients that all components of one controller share."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from salthead import metrics
from salthead.controller.socket_budget import SocketBudget
from salthead.event_log import event
from salthead.policy import Policy
from salthead.protocol.messages import MachineType
from salthead.settings import Settings
from salthead.state_store.client import StateStore
from salthead.transport.client import HttpClient

log = logging.getLogger(__name__)

LOG_THROTTLE_S = 10.0  # between log lines for one kind of error
JITTER_RANGE = 0.8, 1.2


class ControllerContext:
    """Settings, clock, randomness and clients, for the lifetime of the process."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        now: Callable[[], float],
        dial: Callable[[str, int], HttpClient],
        policy: Policy,
        state_store: StateStore | None = None,
    ) -> None:
        self.settings = settings
        self.policy = policy
        self.limits = settings.settings
        self.rng = rng
        self.now = now
        # The limits of the state service, which all requests have to keep.
        self.state_limits = self.limits.state.effective()
        self.state_store = state_store or self._connect_state_store(dial)
        self.sockets = SocketBudget(self.limits.quota.max_connections, len(settings.seeds))
        self.cloud = dial(settings.endpoints.cloud, SocketBudget.CLOUD_SLOTS)
        self.peers = {
            seed.member: dial(seed.endpoint, SocketBudget.PEER_SLOTS) for seed in settings.seeds
        }
        self.workers = dial("", self.sockets.worker_slots)
        self.machine_types: dict[str, MachineType] = {}  # by name; empty until known
        self._last_logged_at: dict[str, float] = {}

    def _connect_state_store(self, dial: Callable[[str, int], HttpClient]) -> StateStore:
        limits = self.state_limits
        endpoint = self.settings.endpoints.state
        controller_count = max(self.limits.initial_size, len(self.settings.seeds) + 1)
        return StateStore(endpoint, limits.rps, limits.write_rps, self.now, dial, controller_count)

    def log_throttled(self, kind: str, error: object) -> None:
        """Count an error, and log at most one of its kind per ``LOG_THROTTLE_S`` seconds."""
        metrics.ERRORS.labels(kind).inc()
        now = self.now()
        if now - self._last_logged_at.get(kind, -1e9) > LOG_THROTTLE_S:
            self._last_logged_at[kind] = now
            event(log, "recoverable_error", logging.WARNING, kind=kind, error=error)

    async def sleep_with_jitter(self, seconds: float) -> None:
        """Sleep for ``seconds`` with jitter, so that controllers do not send requests in step."""
        await asyncio.sleep(seconds * self.rng.uniform(*JITTER_RANGE))
