"""The loop that saves the done tasks of jobs that go on, and removes what ended jobs leave."""

from __future__ import annotations

import contextlib
from itertools import islice

from salthead.cluster.model import Job
from salthead.leader.context import TermContext
from salthead.leader.done_task_pages import DoneTaskPages
from salthead.state_store import records
from salthead.state_store.client import RETRYABLE_ERRORS, ConflictError, delete

# Tasks of an unfinished job are saved at most this often; their ends are kept by the worker.
SAVE_INTERVAL_S = 2.0
RETRY_S = 0.5


class SaveLoop:
    """Brings the records of jobs, apart from outcomes, in line with the ledger."""

    def __init__(self, context: TermContext, done_tasks: DoneTaskPages) -> None:
        self.context = context
        self.done_tasks = done_tasks
        # Keys that continue the records of jobs that are over, and the jobs.
        self.leftovers: dict[str, str] = {}

    def job_ended(self, job: Job) -> None:
        """Have removed what is kept of an ended job besides its outcome, when there is time."""
        self.done_tasks.remove(job)
        self.leftovers |= {
            records.dependencies_key(job.job_id, n): job.job_id for n in range(job.spec.more)
        }

    async def loop(self) -> None:
        """Until the term ends; outcomes do not wait for these writes."""
        while True:
            await self.context.sleep_with_jitter(SAVE_INTERVAL_S)
            try:
                await self.clear_leftovers()
                await self.done_tasks.save()
            except (ConflictError, *RETRYABLE_ERRORS) as error:
                self.context.log_throttled("save", error)
                await self.context.sleep_with_jitter(RETRY_S)

    async def clear_leftovers(self) -> None:
        """Delete the values that continued the records of jobs that are over."""
        while self.leftovers:
            keys = list(islice(self.leftovers, self.context.state_limits.txn_ops))
            # On condition that there is no such job: it may have been accepted since the list was
            # read, or its record may have come late.
            with contextlib.suppress(ConflictError):
                await self.context.transaction(
                    {records.job_key(self.leftovers[key]): 0 for key in keys},
                    [delete(key) for key in keys],
                    bulk=True,
                )
            for key in keys:
                del self.leftovers[key]
