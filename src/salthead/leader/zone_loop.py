"""The loop of one term that follows the zones and keeps their records in the state service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from salthead import metrics
from salthead.policy import Network, ZonePolicy
from salthead.state_store.client import RETRYABLE_ERRORS, ConflictError, put
from salthead.zones import records
from salthead.zones.recovery import ZoneRecovery
from salthead.zones.state import ZonePhase

if TYPE_CHECKING:
    from salthead.leader.term import Term
    from salthead.networks.silence import NetworkSilence

OBSERVE_INTERVAL_S = 1.0


def _silence_of(networks: list[Network]) -> NetworkSilence | None:
    if not networks:
        return None
    # Here, so that the library is loaded only where networks are declared.
    from salthead.networks.directory import NetworkDirectory
    from salthead.networks.silence import NetworkSilence

    return NetworkSilence(NetworkDirectory(networks))


class ZoneLoop:
    """Observes the zones each second; what changed is written behind."""

    def __init__(self, term: Term, policy: ZonePolicy, networks: list[Network]) -> None:
        self.term = term
        now = term.now()
        self.recovery = ZoneRecovery(
            term.ledger,
            policy,
            term.controller.rng,
            now,
            term.ledger.wall_ahead + now,
            _silence_of(networks),
        )
        term.ledger.zone_hooks = self.recovery

    async def loop(self) -> None:
        """Until the term ends; then this controller says nothing of zones any more."""
        try:
            await self._load()
            await self._follow()
        finally:
            metrics.clear_zones()

    async def _follow(self) -> None:
        while True:
            if self.term.valid():  # else others lead, and what is silent here says nothing
                self.recovery.observe(self.term.now())
                self._show()
            try:
                await self._write()
            except (ConflictError, *RETRYABLE_ERRORS) as error:
                self.term.controller.log_throttled("zones", error)
            await self.term.controller.sleep_with_jitter(OBSERVE_INTERVAL_S)

    async def _load(self) -> None:
        """Go on from the records; without them, the zones are as they are seen."""
        while not self.term.ledger.ready:
            try:
                rows, _ = await self.term.state_store.list_prefix(records.ZONES)
            except RETRYABLE_ERRORS as error:
                self.term.controller.log_throttled("zones", error)
                await self.term.controller.sleep_with_jitter(OBSERVE_INTERVAL_S)
                continue
            values = {path: value for path, (value, _) in rows.items()}
            self.recovery.load(values, self.term.now())
            return

    async def _write(self) -> None:
        now = self.term.now()
        rows = list(self.recovery.unwritten(now).items())
        most = self.term.state_limits.txn_ops
        for at in range(0, len(rows), most):
            part = rows[at : at + most]
            covered = self.recovery.covered([zone for zone, _ in part], now)
            await self.term.transaction(
                {}, [put(key, value) for _, (key, value) in part], bulk=True
            )
            self.recovery.wrote(covered)

    def _show(self) -> None:
        for view in self.recovery.views(self.term.now()):
            for phase in ZonePhase:
                metrics.ZONE_STATES.labels(view.name, phase.value).set(view.phase is phase)
            metrics.ZONE_OPEN_MACHINES.labels(view.name).set(view.open_machines)
        for network in self.recovery.network_views():
            metrics.SILENT_NETWORK_MACHINES.labels(network.name).set(network.unheard)
        metrics.DISPLACED_JOBS.set(len(self.recovery.displaced_jobs))
