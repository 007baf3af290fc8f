"""One term of one leader: the ledger, and the loops that bring the world in line with it."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from typing import TYPE_CHECKING

from salthead.cluster import orphans
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Machine
from salthead.failure_detection.preconditions import Action, Precondition
from salthead.leader.autoscaler import Autoscaler
from salthead.leader.background import BackgroundTasks
from salthead.leader.context import PAUSE_FACTOR, TermContext
from salthead.leader.controller_interface import ControllerInterface
from salthead.leader.job_records import JobRecords
from salthead.leader.leadership import Leadership
from salthead.leader.outcomes import Outcomes
from salthead.leader.saved_pages import SavedPages
from salthead.leader.views import Views
from salthead.leader.worker_calls import WorkerCalls
from salthead.leader.zone_lease_delegations import ZoneLeaseDelegations
from salthead.leases.leader_lease import LeaseClock
from salthead.protocol import wire_names
from salthead.protocol.messages import Command, Heartbeat, JobStatus
from salthead.scheduling import gangs, placement, preemption
from salthead.state_store import records
from salthead.state_store.client import (
    RETRYABLE_ERRORS,
    RequestRefusedError,
)
from salthead.transport.client import UnansweredError

if TYPE_CHECKING:
    from salthead.leader.link_loop import LinkLoop
    from salthead.leader.zone_loop import ZoneLoop

log = logging.getLogger(__name__)

# Between passes over the queue, when something has changed and when nothing has. Room that frees is
# filled with the heartbeat that shows it, so that a pass is for jobs that come and pauses that end.
MIN_PASS_INTERVAL_S, MAX_PASS_INTERVAL_S = 0.25, 0.5
# A look at each machine, for what no heartbeat brings: a fifth of the processor time of a leader of
# 570 machines went into doing that with each pass.
SWEEP_INTERVAL_S = 0.5
# Placement itself looks only at tasks that no machine can be running (``Ledger.may_schedule``).
TASK_NOWHERE = int(Precondition.TASK_NOWHERE)


class Term:
    """One term of one leader, from the transaction that took the lead to the end of its lease."""

    def __init__(
        self,
        controller: ControllerInterface,
        fencing_token: int,
        revision: int,
        lease_id: int,
        clock: LeaseClock,
    ) -> None:
        self.controller = controller
        self.fencing_token = fencing_token
        self.ledger = Ledger(controller.limits, fencing_token, controller.now(), time.time())
        self.context = TermContext(
            fencing_token=fencing_token,
            revision=revision,
            lease_id=lease_id,
            clock=clock,
            ledger=self.ledger,
            state_store=controller.state_store,
            limits=controller.limits,
            state_limits=controller.state_limits,
            now=controller.now,
            sleep_with_jitter=controller.sleep_with_jitter,
            log_throttled=controller.log_throttled,
        )
        self.clock = clock
        self.ledger.events.changed = self.wake
        self.ledger.leader_lease_valid = self.context.valid
        self.outcomes = Outcomes(self)
        self.ledger.events.completed = self.outcomes.want
        self.ledger.events.aborts_pending = self.outcomes.wanted.set
        self.ledger.events.room_freed = self.backfill
        self.ledger.set_machine_types(controller.machine_types.values())
        self.changed = asyncio.Event()
        self.pages = SavedPages(self)
        self.background = BackgroundTasks()
        self.unschedulable: set[str] = set()  # jobs that found no machine at the last pass
        self.job_records = JobRecords(self)
        self.autoscaler = Autoscaler(self)
        self.leadership = Leadership(
            self.context,
            controller.settings.member,
            controller.peers,
            controller.leader_stickiness.withhold_vote,
            self._handover_factor(),
        )
        self.worker_calls = WorkerCalls(self)
        self.zone_lease_delegations = ZoneLeaseDelegations(self)
        self.zone_loop = self._zone_loop()
        self.link_loop = self._link_loop()
        self.views = Views(self.context, controller.settings.member, self.zone_loop, self.link_loop)

    def _handover_factor(self) -> float:
        policy = self.controller.policy.partial_cuts
        return policy.handover_factor if policy is not None and policy.enabled else 1.0

    def _zone_loop(self) -> ZoneLoop | None:
        policy = self.controller.policy.zone_recovery
        if policy is None or not policy.enabled:
            return None
        # Here, so that its libraries are loaded only where the policy asks for them.
        from salthead.leader.zone_loop import ZoneLoop

        return ZoneLoop(self.context, policy, self.controller.policy.networks, self.controller.rng)

    def _link_loop(self) -> LinkLoop | None:
        policy = self.controller.policy.partial_cuts
        if policy is None or not policy.enabled:
            return None
        # Here, as above.
        from salthead.leader.link_loop import LinkLoop

        return LinkLoop(
            self.context, self.controller.peers, policy, self.controller.policy.networks
        )

    def valid(self) -> bool:
        """Whether this term may act now."""
        return self.context.valid()

    def wake(self) -> None:
        """Something has changed that decisions depend on."""
        self.changed.set()

    async def run(self) -> None:
        """Until the lease has ended; then nothing of this term goes on."""
        tasks = [
            asyncio.create_task(loop)
            for loop in (
                self.leadership.renew_loop(),
                self.work_loop(),
                self.leadership.stickiness_loop(),
                self.leadership.resign_loop(),
                self.leadership.show_loop(),
            )
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if (error := task.exception()) is not None:
                    log.error("term %d ends by an error", self.fencing_token, exc_info=error)
        finally:
            self.clock.drop()
            for task in [*tasks, *self.background.tasks]:
                task.cancel()
            await asyncio.gather(*tasks, *self.background.tasks, return_exceptions=True)
            with contextlib.suppress(UnansweredError, RequestRefusedError):
                await self.context.state_store.revoke_lease(self.context.lease_id)

    async def work_loop(self) -> None:
        """Load what earlier leaders left, then run all loops."""
        while not self.ledger.loaded:
            try:
                await self.job_records.load()
            except RETRYABLE_ERRORS as error:
                self.context.log_throttled("load", error)
                await self.context.sleep_with_jitter(0.3)
        self.background.spawn(
            self.worker_calls.reconcile_all(self.ledger.failover.unreconciled_machines())
        )
        loops = [
            self.job_records.watch_loop(),
            self.job_records.await_loop(),
            self.decide_loop(),
            self.outcomes.loop(),
            self.pages.save_loop(),
            self.pages.registry_loop(),
            self.autoscaler.list_loop(),
            self.autoscaler.fleet_loop(),
            self.unknown_jobs_loop(),
            self.worker_calls.unresponsive_loop(),
            self.zone_lease_delegations.loop(),
            self.zone_lease_delegations.forget_loop(),
        ]
        if self.zone_loop is not None:
            loops.append(self.zone_loop.loop())
        if self.link_loop is not None:
            loops.append(self.link_loop.loop())
            loops.append(self.worker_calls.probe_loop())
        async with asyncio.TaskGroup() as group:
            for loop in loops:
                group.create_task(loop)

    # -- loading and following jobs -----------------------------------------------------

    async def unknown_jobs_loop(self) -> None:
        """Orphan tasks of jobs that are over: whose quota do they use?"""
        while True:
            for job_id in list(self.ledger.unknown_jobs):
                try:
                    row = await self.context.state_store.get(records.outcome_key(job_id))
                    if row is not None:
                        orphans.identify_job(self.ledger, records.outcome_from(row.value)[1])
                except RETRYABLE_ERRORS as error:
                    self.context.log_throttled("stray task", error)
            await self.context.sleep_with_jitter(0.5)

    # -- deciding -----------------------------------------------------------------------

    def handle_heartbeat(self, heartbeat: Heartbeat) -> list[Command] | None:
        """Commands for a worker; None if it must not be answered with 200."""
        return self.ledger.handle_heartbeat(heartbeat, self.context.now())

    async def decide_loop(self) -> None:
        """Decide again and again, sooner when something has changed."""
        looked = -1e9
        while True:
            # Not wait_for: when the event is set as the term ends, that returns the result and
            # loses the cancellation, and this loop would keep the controller from standing again.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_PASS_INTERVAL_S):
                    await self.changed.wait()
            self.changed.clear()
            now = self.context.now()
            if now - looked >= SWEEP_INTERVAL_S:
                looked = now
                self.look(now)
            self.decide(now)
            self.worker_calls.send_stops()
            await asyncio.sleep(max(MIN_PASS_INTERVAL_S, PAUSE_FACTOR * (self.context.now() - now)))

    def backfill(self, machine: Machine, now: float) -> None:
        """Offer room that a heartbeat has freed to those in line."""
        if self.context.permits(Action.SCHEDULE, TASK_NOWHERE):
            placement.backfill(self.ledger, machine, self.controller.rng, now)

    def look(self, now: float) -> None:
        """What time alone changes, machine by machine."""
        self.ledger.tick(now)
        if self.context.permits(Action.SCHEDULE, TASK_NOWHERE):
            placement.reschedule_unsent(self.ledger, self.controller.rng, now)
            preemption.drain(self.ledger, now)

    def decide(self, now: float) -> None:
        """One pass of placement, and what follows for those that found no machine."""
        if self.context.permits(Action.SCHEDULE, TASK_NOWHERE):
            unschedulable = placement.schedule(self.ledger, self.controller.rng, now)
            before, self.unschedulable = self.unschedulable, {job.job_id for job in unschedulable}
            if not self.unschedulable <= before:
                self.autoscaler.plan_requested.set()
            preemption.preempt(self.ledger, unschedulable, now)
            gangs.reserve_machines(self.ledger, unschedulable, now)

    # -- outcomes -----------------------------------------------------------------------

    async def cancel(self, job_id: str) -> JobStatus | None:
        """Cancel a job; what its user is told, or None if there is no such job."""
        job = self.ledger.jobs.get(job_id) if self.ledger.loaded else None
        if job is None:
            found = await self.controller.job_reader.read(job_id)
            if found is None or found.is_terminal:
                return found
            row = await self.context.state_store.get(records.job_key(job_id))
            if row is None or not self.ledger.loaded:
                raise UnansweredError("cancel in doubt")
            self.job_records.take_row(records.job_key(job_id), *row)
            if job_id in self.job_records.incomplete:
                await self.job_records.look_up(job_id)
            job = self.ledger.jobs.get(job_id)
            if job is None:
                raise UnansweredError("cancel in doubt")
        if not job.terminal_phase and not job.dependency_cancelled:
            await self.outcomes.cancel(job)
        # What follows from a durable outcome may be told before it is written itself.
        durable = (
            Precondition.OUTCOME_DURABLE
            if job.terminal_phase or job.dependency_cancelled
            else Precondition(0)
        )
        if not self.context.permits(Action.CONFIRM_CANCELLATION, durable):
            raise UnansweredError("cancel in doubt")
        return JobStatus(job_id, job.terminal_phase or wire_names.ABORTED)
