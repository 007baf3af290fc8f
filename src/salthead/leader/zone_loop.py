"""The loop of one term that observes the zones and stores their states."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping, Sequence

from salthead import metrics
from salthead.leader.context import TermContext
from salthead.leader.declared_networks import network_silence
from salthead.policy import Network, ZonePolicy
from salthead.state_store.messages import RETRYABLE_ERRORS, ConflictError, VersionedValue, put
from salthead.state_store.pages import batches
from salthead.state_store.request_stats import RequestClass
from salthead.zones import records
from salthead.zones.record_writer import KeyedRecord
from salthead.zones.recovery import ZoneRecovery
from salthead.zones.state import ZonePhase
from salthead.zones.views import zone_views

OBSERVE_INTERVAL_S = 1.0


class ZoneLoop:
    """Observes the zones each second, and writes changed states to the state service."""

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
            context.ledger.wall_clock_offset_s + now,
            network_silence(networks),
        )
        context.ledger.zone_hooks = self.recovery

    async def loop(self) -> None:
        """Observe the zones until the term ends, then clear their metrics."""
        try:
            await self._load()
            await self._observe_until_cancelled()
        finally:
            metrics.clear_zones()

    async def _observe_until_cancelled(self) -> None:
        while True:
            # Without a valid lease another controller may lead, and silence here is no evidence.
            if self.context.valid():
                self.recovery.observe(self.context.now())
                self._update_metrics()
            try:
                await self._write_changed_states()
            except (ConflictError, *RETRYABLE_ERRORS) as error:
                self.context.log_throttled("zones", error)
            await self.context.sleep_with_jitter(OBSERVE_INTERVAL_S)

    async def _load(self) -> None:
        """Load the stored zone states; once the ledger is ready, give up and only observe."""
        while not self.context.ledger.ready:
            try:
                rows, _ = await self.context.state_store.list_prefix(
                    records.ZONES, RequestClass.LEADER
                )
            except RETRYABLE_ERRORS as error:
                self.context.log_throttled("zones", error)
                await self.context.sleep_with_jitter(OBSERVE_INTERVAL_S)
                continue
            values = {path: value for path, (value, _) in rows.items()}
            self.recovery.records.load(values, self.context.now())
            self._adopt_revisions(rows)
            return

    def _adopt_revisions(self, rows: Mapping[str, VersionedValue]) -> None:
        """Let the next writes replace the records that were read."""
        self.recovery.records.revisions = {key: row.revision for key, row in rows.items()}

    async def _write_changed_states(self) -> None:
        """Write the zone states that the state service does not hold yet, in batches.

        Raises ConflictError, after reading the stored revisions, if an earlier write took effect.
        """
        now = self.context.now()
        unwritten = self.recovery.records.unwritten(now)
        covered = self.recovery.records.covered(unwritten, now)
        for zones in batches(list(unwritten), self.context.state_limits.txn_ops):
            try:
                await self._write_states([unwritten[zone] for zone in zones], zones)
            except ConflictError:
                rows, _ = await self.context.state_store.list_prefix(
                    records.ZONES, RequestClass.LEADER
                )
                self._adopt_revisions(rows)
                raise
            self.recovery.records.mark_written({zone: covered[zone] for zone in zones})

    async def _write_states(self, rows: Sequence[KeyedRecord], zones: Iterable[int]) -> None:
        """Write the records of some zones in one transaction."""
        revisions = self.recovery.records.revisions
        self.recovery.records.mark_sent(zones)
        revision = await self.context.transaction(
            {row.key: revisions.get(row.key, 0) for row in rows},
            [put(row.key, row.value) for row in rows],
            request_class=RequestClass.BULK_WRITE,
        )
        revisions.update((row.key, revision) for row in rows)

    def _update_metrics(self) -> None:
        for view in zone_views(self.recovery, self.context.now()):
            for phase in ZonePhase:
                metrics.ZONE_STATES.labels(view.name, phase.value).set(view.phase is phase)
            metrics.ZONE_OPEN_MACHINES.labels(view.name).set(view.open_machines)
        for network in self.recovery.evidence.network_views():
            metrics.SILENT_NETWORK_MACHINES.labels(network.name).set(network.silent)
        metrics.DISPLACED_JOBS.set(len(self.recovery.displaced_jobs.displaced_at))
