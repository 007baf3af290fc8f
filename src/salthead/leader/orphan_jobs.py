"""The loop of one term that finds the teams of orphan tasks."""

from __future__ import annotations

import logging
from typing import Any

from salthead import metrics
from salthead.event_log import event
from salthead.leader.context import TermContext
from salthead.protocol import wire_names
from salthead.state_store import records
from salthead.state_store.messages import RETRYABLE_ERRORS
from salthead.state_store.request_stats import RequestClass

log = logging.getLogger(__name__)

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
                        self._identify(row.value)
                except RETRYABLE_ERRORS as error:
                    self.context.log_throttled("stray task", error)
            await self.context.sleep_with_jitter(CHECK_INTERVAL_S)

    def _identify(self, outcome: Any) -> None:
        phase, spec = records.decode_outcome(outcome)
        if phase == wire_names.ABORTED:
            self._report_overdue(spec.job_id, records.ended_at(outcome))
        self.ledger.orphans.identify_job(spec)

    def _report_overdue(self, job_id: str, ended_at: float | None) -> None:
        """Report a cancelled job whose tasks should be gone by any controller's clock."""
        if ended_at is None:
            return
        limits = self.context.limits
        wall_time = self.context.now() + self.ledger.wall_clock_offset_s
        clock_error_s = 2.0 * limits.clock_error_ms / 1000.0
        after_s = wall_time - ended_at - clock_error_s
        if after_s > limits.workers.cancel_s:
            metrics.CANCELLED_JOBS_OVERDUE.inc()
            event(
                log,
                "cancelled_job_overdue",
                logging.ERROR,
                fencing_token=self.context.fencing_token,
                job=job_id,
                after_s=after_s,
            )
