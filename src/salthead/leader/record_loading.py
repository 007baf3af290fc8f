"""Loading of the records of earlier terms, at the beginning of a term."""

from __future__ import annotations

import asyncio
import logging

from salthead import metrics
from salthead.event_log import event
from salthead.leader.context import TermContext
from salthead.leader.job_records import JobRecords
from salthead.leader.zone_lease_delegations import ZoneLeaseDelegations
from salthead.state_store.messages import RETRYABLE_ERRORS, Listing
from salthead.state_store.request_stats import RequestClass

log = logging.getLogger(__name__)

EXPECTED_LOAD_S = 2.0
PAGE_RETRY_S = 0.2
RETRY_S = 0.3


class RecordReader:
    """Reads the records of earlier terms, prefix by prefix."""

    def __init__(self, context: TermContext) -> None:
        self.context = context
        self.prefix = ""  # that is being read

    async def read(self, prefix: str) -> Listing:
        """Return all records with a prefix."""
        self.prefix = prefix
        began_at = self.context.now()
        listing = Listing(prefix)
        while not listing.complete:
            await self._read_page(listing)
        event(
            log,
            "records_read",
            fencing_token=self.context.fencing_token,
            prefix=prefix,
            keys=len(listing.rows),
            pages=listing.page_count,
            revision=listing.epoch,
            waited_s=listing.waited_s,
            took_s=self.context.now() - began_at,
        )
        return listing

    async def _read_page(self, listing: Listing) -> None:
        """Read the next page, again after an error; what was read before stays."""
        while True:
            try:
                await self.context.state_store.read_page(listing, RequestClass.RECOVERY)
                return
            except RETRYABLE_ERRORS as error:
                self.context.log_throttled("load", error)
                await self.context.sleep_with_jitter(PAGE_RETRY_S)

    async def report_slow_loop(self) -> None:
        """Report at intervals that the load takes longer than expected, until cancelled."""
        began_at = self.context.now()
        stats = self.context.state_store.stats
        while True:
            await asyncio.sleep(EXPECTED_LOAD_S)
            for_s = self.context.now() - began_at
            metrics.LOADING_SECONDS.set(for_s)
            event(
                log,
                "load_slow",
                logging.WARNING,
                fencing_token=self.context.fencing_token,
                for_s=for_s,
                reading=self.prefix,
                waiting=stats.waiting_count(),
                oldest_s=stats.longest_wait_s(),
            )


class RecordLoading:
    """Fills the ledger of a term from the records, and marks it as loaded."""

    def __init__(
        self, context: TermContext, job_records: JobRecords, delegations: ZoneLeaseDelegations
    ) -> None:
        self.context = context
        self.job_records = job_records
        self.delegations = delegations
        self.reader = RecordReader(context)

    async def run(self) -> None:
        """Load the records, again after each error, and report if that takes long."""
        reports = asyncio.create_task(self.reader.report_slow_loop())
        try:
            await self._load_until_done()
        finally:
            reports.cancel()
            metrics.LOADING_SECONDS.set(0.0)

    async def _load_until_done(self) -> None:
        while not self.context.ledger.loaded:
            try:
                await self._load()
            except RETRYABLE_ERRORS as error:
                self.context.log_throttled("load", error)
                await self.context.sleep_with_jitter(RETRY_S)

    async def _load(self) -> None:
        ledger = self.context.ledger
        await self.job_records.load(self.reader.read)
        await self.delegations.load(self.reader.read)
        ledger.loaded = True
        event(
            log,
            "records_loaded",
            fencing_token=ledger.fencing_token,
            revision=self.job_records.known_epoch,
            jobs=len(ledger.jobs),
            machines=len(ledger.machines),
            machine_types=len(ledger.machine_types),
            leases_from=ledger.leases.counted_from,
        )
