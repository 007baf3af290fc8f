"""The loop of one term that finds the teams of orphan tasks."""

from __future__ import annotations

from salthead.leader.context import TermContext
from salthead.state_store import records
from salthead.state_store.messages import RETRYABLE_ERRORS
from salthead.state_store.request_stats import RequestClass

CHECK_INTERVAL_S = 0.5


class UnknownJobLookupLoop:
    """Reads the outcomes of jobs that have orphan tasks and are not in the ledger."""

    def __init__(self, context: TermContext) -> None:
        self.context = context
        self.ledger = context.ledger

    async def loop(self) -> None:
        """Identify the jobs until the term ends, so that their teams are charged for the tasks."""
        while True:
            for job_id in list(self.ledger.unknown_jobs):
                try:
                    row = await self.context.state_store.get(
                        records.outcome_key(job_id), RequestClass.LEADER
                    )
                    if row is not None:
                        self.ledger.orphans.identify_job(records.decode_outcome(row.value)[1])
                except RETRYABLE_ERRORS as error:
                    self.context.log_throttled("stray task", error)
            await self.context.sleep_with_jitter(CHECK_INTERVAL_S)
