"""The loop of one term that places tasks, and sweeps the machines for what time alone changes."""

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

# Between passes over the queue, when something has changed and when nothing has. Room that frees is
# filled with the heartbeat that shows it, so that a pass is for jobs that come and pauses that end.
MIN_PASS_INTERVAL_S, MAX_PASS_INTERVAL_S = 0.25, 0.5
# A look at each machine, for what no heartbeat brings: a fifth of the processor time of a leader of
# 570 machines went into doing that with each pass.
SWEEP_INTERVAL_S = 0.5
# Placement itself looks only at tasks that no machine can be running (``Ledger.may_schedule``).
TASK_NOWHERE = int(Precondition.TASK_NOWHERE)


class SchedulingLoop:
    """Passes of placement while the term may act."""

    def __init__(
        self,
        context: TermContext,
        rng: random.Random,
        worker_calls: WorkerCalls,
        plan_requested: asyncio.Event,
    ) -> None:
        """``plan_requested`` is set for a job that finds no machine."""
        self.context = context
        self.ledger = context.ledger
        self.rng = rng
        self.worker_calls = worker_calls
        self.plan_requested = plan_requested
        self.changed = asyncio.Event()  # something that decisions depend on
        self.unschedulable: set[str] = set()  # jobs that found no machine at the last pass

    async def loop(self) -> None:
        """Run passes until the term ends, sooner when something has changed."""
        swept_at = -1e9
        while True:
            # Not wait_for: when the event is set as the term ends, that returns the result and
            # loses the cancellation, and this loop would keep the controller from standing again.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_PASS_INTERVAL_S):
                    await self.changed.wait()
            self.changed.clear()
            now = self.context.now()
            if now - swept_at >= SWEEP_INTERVAL_S:
                swept_at = now
                self.sweep(now)
            self.run_pass(now)
            self.worker_calls.send_stops()
            await asyncio.sleep(max(MIN_PASS_INTERVAL_S, PAUSE_FACTOR * (self.context.now() - now)))

    def backfill(self, machine: Machine, now: float) -> None:
        """Offer capacity that a heartbeat has freed to the jobs in the queue."""
        if self.context.permits(Action.SCHEDULE, TASK_NOWHERE):
            scheduling_pass.backfill(self.ledger, machine, self.rng, now)

    def sweep(self, now: float) -> None:
        """Do what time alone asks for, machine by machine."""
        sweep(self.ledger, now)
        if self.context.permits(Action.SCHEDULE, TASK_NOWHERE):
            placement.reschedule_unsent(self.ledger, self.rng, now)
            preemption.drain(self.ledger, now)

    def run_pass(self, now: float) -> None:
        """One pass of placement, and what follows for the jobs that found no machine."""
        if self.context.permits(Action.SCHEDULE, TASK_NOWHERE):
            unschedulable = scheduling_pass.schedule(self.ledger, self.rng, now)
            before, self.unschedulable = self.unschedulable, {job.job_id for job in unschedulable}
            if not self.unschedulable <= before:
                self.plan_requested.set()
            preemption.preempt(self.ledger, unschedulable, now)
            gangs.reserve_machines(self.ledger, unschedulable, now)
