"""The loop that saves the done tasks of unfinished jobs, and deletes records of ended jobs."""

from __future__ import annotations

import contextlib
from itertools import islice

from salthead.cluster.model import Job
from salthead.leader.context import TermContext
from salthead.leader.done_task_pages import DoneTaskPages
from salthead.state_store import records
from salthead.state_store.messages import RETRYABLE_ERRORS, ConflictError, delete
from salthead.state_store.request_stats import RequestClass

# Workers keep the result of a done task until it is saved, so these writes can be rare.
SAVE_INTERVAL_S = 2.0
RETRY_S = 0.5


class SaveLoop:
    """Writes the changes of job records other than outcomes."""

    def __init__(self, context: TermContext, done_tasks: DoneTaskPages) -> None:
        self.context = context
        self.done_tasks = done_tasks
        # Keys of the dependency values of jobs that are over, with their job ids.
        self.stale_dependencies: dict[str, str] = {}

    def discard_job(self, job: Job) -> None:
        """Schedule the deletion of all records of an ended job except its outcome."""
        self.done_tasks.remove(job)
        self.stale_dependencies |= {
            records.dependencies_key(job.job_id, n): job.job_id for n in range(job.spec.more)
        }

    async def loop(self) -> None:
        """Write the changes until the term ends; outcomes do not wait for these writes."""
        while True:
            await self.context.sleep_with_jitter(SAVE_INTERVAL_S)
            try:
                await self.delete_stale_dependencies()
                await self.done_tasks.save()
            except (ConflictError, *RETRYABLE_ERRORS) as error:
                self.context.log_throttled("save", error)
                await self.context.sleep_with_jitter(RETRY_S)

    async def delete_stale_dependencies(self) -> None:
        """Delete the dependency values of jobs that are over."""
        while self.stale_dependencies:
            keys = list(islice(self.stale_dependencies, self.context.state_limits.txn_ops))
            # The transaction is conditioned on the absence of the jobs' records: a job may have
            # been accepted since the list was read, or its record may have arrived late.
            with contextlib.suppress(ConflictError):
                await self.context.transaction(
                    {records.job_key(self.stale_dependencies[key]): 0 for key in keys},
                    [delete(key) for key in keys],
                    request_class=RequestClass.BULK_WRITE,
                )
            for key in keys:
                del self.stale_dependencies[key]
