"""The loop of one term that follows the zones and keeps their records in the state service."""

from __future__ import annotations

import random

from salthead import metrics
from salthead.leader.context import TermContext
from salthead.leader.declared_networks import network_silence
from salthead.policy import Network, ZonePolicy
from salthead.state_store.client import RETRYABLE_ERRORS, ConflictError, put
from salthead.zones import records
from salthead.zones.recovery import ZoneRecovery
from salthead.zones.state import ZonePhase
from salthead.zones.views import zone_views

OBSERVE_INTERVAL_S = 1.0


class ZoneLoop:
    """Observes the zones each second; what changed is written behind."""

    def __init__(
        self,
        context: TermContext,
        policy: ZonePolicy,
        networks: list[Network],
        rng: random.Random,
    ) -> None:
        self.context = context
        now = context.now()
        self.recovery = ZoneRecovery(
            context.ledger,
            policy,
            rng,
            now,
            context.ledger.wall_ahead + now,
            network_silence(networks),
        )
        context.ledger.zone_hooks = self.recovery

    async def loop(self) -> None:
        """Until the term ends; then this controller says nothing of zones any more."""
        try:
            await self._load()
            await self._follow()
        finally:
            metrics.clear_zones()

    async def _follow(self) -> None:
        while True:
            if self.context.valid():  # else others lead, and what is silent here says nothing
                self.recovery.observe(self.context.now())
                self._show()
            try:
                await self._write()
            except (ConflictError, *RETRYABLE_ERRORS) as error:
                self.context.log_throttled("zones", error)
            await self.context.sleep_with_jitter(OBSERVE_INTERVAL_S)

    async def _load(self) -> None:
        """Go on from the records; without them, the zones are as they are seen."""
        while not self.context.ledger.ready:
            try:
                rows, _ = await self.context.state_store.list_prefix(records.ZONES)
            except RETRYABLE_ERRORS as error:
                self.context.log_throttled("zones", error)
                await self.context.sleep_with_jitter(OBSERVE_INTERVAL_S)
                continue
            values = {path: value for path, (value, _) in rows.items()}
            self.recovery.records.load(values, self.context.now())
            return

    async def _write(self) -> None:
        now = self.context.now()
        rows = list(self.recovery.records.unwritten(now).items())
        most = self.context.state_limits.txn_ops
        for at in range(0, len(rows), most):
            part = rows[at : at + most]
            covered = self.recovery.records.covered([zone for zone, _ in part], now)
            await self.context.transaction(
                {}, [put(key, value) for _, (key, value) in part], bulk=True
            )
            self.recovery.records.mark_written(covered)

    def _show(self) -> None:
        for view in zone_views(self.recovery, self.context.now()):
            for phase in ZonePhase:
                metrics.ZONE_STATES.labels(view.name, phase.value).set(view.phase is phase)
            metrics.ZONE_OPEN_MACHINES.labels(view.name).set(view.open_machines)
        for network in self.recovery.evidence.network_views():
            metrics.SILENT_NETWORK_MACHINES.labels(network.name).set(network.silent)
        metrics.DISPLACED_JOBS.set(len(self.recovery.displaced_jobs.displaced_at))
