"""The loop of one term that schedules tasks and sweeps the machines for expired time limits."""

from __future__ import annotations

import asyncio
import contextlib
import random

from salthead.cluster.model import Machine
from salthead.cluster.sweep import sweep
from salthead.failure_detection.preconditions import Action, Precondition
from salthead.leader.context import PAUSE_FACTOR, TermContext
from salthead.leader.worker_calls import WorkerCalls
from salthead.scheduling import gangs, placement, preemption, scheduling_pass

# A pass over the queue follows the last one after the minimum if something has changed, and after
# the maximum otherwise. Freed capacity is backfilled while the heartbeat that reports it is
# handled, so passes only have to serve new jobs and backoffs that have ended.
MIN_PASS_INTERVAL_S, MAX_PASS_INTERVAL_S = 0.25, 0.5
# Sweeping all machines in each pass took a fifth of the processor time of a leader of 570 machines.
SWEEP_INTERVAL_S = 0.5
# Always confirmed here: placement considers only tasks that no machine can be running
# (``Ledger.may_schedule``).
TASK_NOWHERE = int(Precondition.TASK_NOWHERE)


class SchedulingLoop:
    """Runs scheduling passes and sweeps while the term may act."""

    def __init__(
        self,
        context: TermContext,
        rng: random.Random,
        worker_calls: WorkerCalls,
        plan_requested: asyncio.Event,
    ) -> None:
        """Create the loop; it sets ``plan_requested`` when a job newly finds no machine."""
        self.context = context
        self.ledger = context.ledger
        self.rng = rng
        self.worker_calls = worker_calls
        self.plan_requested = plan_requested
        self.pass_requested = asyncio.Event()
        self.unschedulable: set[str] = set()  # jobs that found no machine in the last pass

    async def loop(self) -> None:
        """Run passes until the term ends, earlier when one is requested."""
        swept_at = -1e9
        while True:
            # asyncio.wait_for would lose the cancellation if the event is set while the term ends,
            # and this loop would then keep the controller from campaigning again.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_PASS_INTERVAL_S):
                    await self.pass_requested.wait()
            self.pass_requested.clear()
            now = self.context.now()
            if now - swept_at >= SWEEP_INTERVAL_S:
                swept_at = now
                self.sweep(now)
            self.run_pass(now)
            self.worker_calls.send_stops()
            await asyncio.sleep(max(MIN_PASS_INTERVAL_S, PAUSE_FACTOR * (self.context.now() - now)))

    def backfill(self, machine: Machine, now: float) -> None:
        """Offer the capacity that a heartbeat reported as freed to the queued jobs."""
        if self.context.permits(Action.SCHEDULE, TASK_NOWHERE):
            scheduling_pass.backfill(self.ledger, machine, self.rng, now)

    def sweep(self, now: float) -> None:
        """Apply expired time limits to all machines, reschedule unsent tasks, and preempt."""
        sweep(self.ledger, now)
        if self.context.permits(Action.SCHEDULE, TASK_NOWHERE):
            placement.reschedule_unsent(self.ledger, self.rng, now)
            preemption.preempt_before_reclaim(self.ledger, now)

    def run_pass(self, now: float) -> None:
        """Run one scheduling pass; preempt and reserve for the jobs that found no machine."""
        if self.context.permits(Action.SCHEDULE, TASK_NOWHERE):
            unschedulable = scheduling_pass.schedule(self.ledger, self.rng, now)
            previous, self.unschedulable = self.unschedulable, {job.job_id for job in unschedulable}
            if not self.unschedulable <= previous:
                self.plan_requested.set()
            preemption.preempt(self.ledger, unschedulable, now)
            gangs.reserve_machines(self.ledger, unschedulable, now)
