"""Reads of the records that a new leader loads, with events that say what the load waits for."""

from __future__ import annotations

import asyncio
import logging

from salthead import metrics
from salthead.event_log import event
from salthead.leader.context import TermContext
from salthead.state_store.errors import RETRYABLE_ERRORS
from salthead.state_store.listing import Listing
from salthead.state_store.request_stats import RequestClass

log = logging.getLogger(__name__)

EXPECTED_LOAD_S = 2.0
PAGE_RETRY_S = 0.2


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
