"""One term of a leader: its ledger, and the loops that reconcile the cluster with it."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from salthead.cluster.ledger import Ledger
from salthead.event_log import error_event
from salthead.heartbeats.handling import handle_heartbeat
from salthead.leader.autoscaler import Autoscaler
from salthead.leader.background import BackgroundTasks
from salthead.leader.cancellation import Cancellations
from salthead.leader.cloud import CloudClient
from salthead.leader.context import TermContext
from salthead.leader.controller_interface import ControllerInterface
from salthead.leader.done_task_pages import DoneTaskPages
from salthead.leader.fleet_metrics import FleetMetrics
from salthead.leader.job_records import JobRecords
from salthead.leader.leadership import Leadership
from salthead.leader.machine_list import MachineListLoop
from salthead.leader.machine_registry_records import MachineRegistryRecords
from salthead.leader.machine_type_records import MachineTypeRecords
from salthead.leader.orphan_jobs import UnknownJobLookupLoop
from salthead.leader.outcomes import Outcomes
from salthead.leader.record_loading import RecordLoading
from salthead.leader.save_loop import SaveLoop
from salthead.leader.scheduling_loop import SchedulingLoop
from salthead.leader.term_record import TermRecord
from salthead.leader.views import Views
from salthead.leader.worker_calls import WorkerCalls
from salthead.leader.zone_lease_delegations import ZoneLeaseDelegations
from salthead.leases.leader_lease import LeaseClock
from salthead.leases.unloaded_renewals import PrecedingTerm
from salthead.policy import PartialCutPolicy
from salthead.protocol.messages import Command, Heartbeat, JobStatus
from salthead.state_store.held_lease import HeldLease, RevocationReason
from salthead.state_store.messages import RequestRefusedError
from salthead.transport.client import UnansweredError

if TYPE_CHECKING:  # these modules load libraries that only some policies need
    from salthead.leader.link_loop import LinkLoop
    from salthead.leader.zone_loop import ZoneLoop

log = logging.getLogger(__name__)


def _build_zone_loop(context: TermContext, controller: ControllerInterface) -> ZoneLoop | None:
    """Return the zone loop, or None if zone recovery is disabled."""
    policy = controller.policy.zone_recovery
    if policy is None or not policy.enabled:
        return None
    # Imported here so that its libraries are loaded only if zone recovery is enabled.
    from salthead.leader.zone_loop import ZoneLoop

    return ZoneLoop(context, policy, controller.policy.networks, controller.rng)


def _enabled_partial_cut_policy(controller: ControllerInterface) -> PartialCutPolicy | None:
    """Return the policy for partial network partitions, or None if it is disabled."""
    policy = controller.policy.partial_cuts
    return policy if policy is not None and policy.enabled else None


def _build_link_loop(context: TermContext, controller: ControllerInterface) -> LinkLoop | None:
    """Return the link loop, or None if the policy for partial partitions is disabled."""
    policy = _enabled_partial_cut_policy(controller)
    if policy is None:
        return None
    # Imported here so that its libraries are loaded only if the policy is enabled.
    from salthead.leader.link_loop import LinkLoop

    return LinkLoop(context, controller.peers, policy, controller.policy.networks)


def _build_leadership(context: TermContext, controller: ControllerInterface) -> Leadership:
    policy = _enabled_partial_cut_policy(controller)
    return Leadership(
        context,
        controller.settings.member,
        controller.peers,
        controller.leader_stickiness.withhold_vote,
        policy.handover_factor if policy is not None else 1.0,
    )


def _build_context(
    controller: ControllerInterface,
    ledger: Ledger,
    revision: int,
    lease: HeldLease,
    clock: LeaseClock,
) -> TermContext:
    return TermContext(
        fencing_token=ledger.fencing_token,
        revision=revision,
        lease=lease,
        lease_clock=clock,
        ledger=ledger,
        state_store=controller.state_store,
        limits=controller.limits,
        state_limits=controller.state_limits,
        now=controller.now,
        sleep_with_jitter=controller.sleep_with_jitter,
        log_throttled=controller.log_throttled,
    )


class Term:
    """One term of a leader, from the transaction that elected it to the end of its lease."""

    def __init__(
        self,
        controller: ControllerInterface,
        fencing_token: int,
        revision: int,
        lease: HeldLease,
        clock: LeaseClock,
        preceding: PrecedingTerm,
    ) -> None:
        """Create a term.

        ``revision`` is that of the leader key, which is attached to ``lease``.
        """
        self.fencing_token = fencing_token
        self.ledger = Ledger(
            controller.limits, fencing_token, controller.now(), time.time(), preceding
        )
        self.context = _build_context(controller, self.ledger, revision, lease, clock)
        self.clock = clock
        self.background = BackgroundTasks()
        self.ledger.set_machine_types(controller.machine_types.values())
        self._build_scheduling(controller)
        self._build_records(controller)
        self._build_views(controller)
        self._build_autoscaling(controller)
        self._connect_ledger()

    def _build_scheduling(self, controller: ControllerInterface) -> None:
        context = self.context
        self.worker_calls = WorkerCalls(
            context, controller.workers, controller.sockets.reconcile_slots, self.background
        )
        self.plan_requested = asyncio.Event()
        self.scheduling_loop = SchedulingLoop(
            context, controller.rng, self.worker_calls, self.plan_requested
        )
        self.leadership = _build_leadership(context, controller)

    def _build_records(self, controller: ControllerInterface) -> None:
        """Build the components that read and write the records in the state service."""
        context, job_reader = self.context, controller.job_reader
        self.term_record = TermRecord(context)
        self.done_tasks = DoneTaskPages(context)
        self.machine_registry = MachineRegistryRecords(context, self.request_scheduling_pass)
        self.save_loop = SaveLoop(context, self.done_tasks)
        self.job_records = JobRecords(
            context,
            self.save_loop,
            self.machine_registry,
            job_reader,
            controller.terminal_outcomes,
        )
        self.outcomes = Outcomes(
            context, job_reader, controller.remember_outcome, self.worker_calls, self.save_loop
        )
        self.cancellations = Cancellations(context, job_reader, self.job_records, self.outcomes)
        self.unknown_job_lookup_loop = UnknownJobLookupLoop(context)
        self.zone_lease_delegations = ZoneLeaseDelegations(
            context,
            _enabled_partial_cut_policy(controller) is not None,
            lambda: self.job_records.known_epoch,
            self.term_record,
        )

        self.record_loading = RecordLoading(context, self.job_records, self.zone_lease_delegations)

    def _build_views(self, controller: ControllerInterface) -> None:
        self.zone_loop = _build_zone_loop(self.context, controller)
        self.link_loop = _build_link_loop(self.context, controller)
        self.fleet_metrics = FleetMetrics(self.context)
        self.views = Views(self.context, controller.settings.member, self.zone_loop, self.link_loop)

    def _build_autoscaling(self, controller: ControllerInterface) -> None:
        cloud = CloudClient(controller.cloud, controller.limits.cloud, controller.now)
        self.machine_type_records = MachineTypeRecords(
            self.context, lambda: controller.machine_types.values()
        )
        self.machine_list = MachineListLoop(self.context, cloud, self.machine_type_records)
        self.autoscaler = Autoscaler(
            self.context,
            cloud,
            self.machine_registry,
            self.background,
            self.fleet_metrics,
            self.plan_requested,
            self.request_scheduling_pass,
        )

    def _connect_ledger(self) -> None:
        """Register the callbacks through which the ledger notifies the loops of changes."""
        self.ledger.leader_lease_valid = self.context.valid
        events = self.ledger.events
        events.changed = self.request_scheduling_pass
        events.completed = self.outcomes.request_write
        events.aborts_pending = self.outcomes.write_requested.set
        events.capacity_freed = self.scheduling_loop.backfill

    def valid(self) -> bool:
        """Return whether this term may act now."""
        return self.context.valid()

    def request_scheduling_pass(self) -> None:
        """Request a scheduling pass, after a change that scheduling depends on."""
        self.scheduling_loop.pass_requested.set()

    def handle_heartbeat(self, heartbeat: Heartbeat) -> list[Command] | None:
        """Return the commands for a worker, or None if the answer must not have status 200."""
        return handle_heartbeat(self.ledger, heartbeat, self.context.now())

    async def cancel(self, job_id: str) -> JobStatus | None:
        """Cancel a job and return its status, or None if there is no such job."""
        return await self.cancellations.cancel(job_id)

    async def run(self) -> None:
        """Run all loops until the lease has ended, then cancel them and revoke the lease."""
        tasks = [
            asyncio.create_task(loop)
            for loop in (
                self.leadership.renew_loop(),
                self.work_loop(),
                self.leadership.stickiness_loop(),
                self.leadership.resign_loop(),
                self.leadership.lease_status_loop(),
            )
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if (error := task.exception()) is not None:
                    error_event(log, "term_failed", error, fencing_token=self.fencing_token)
        finally:
            self.clock.invalidate()
            for task in [*tasks, *self.background.tasks]:
                task.cancel()
            await asyncio.gather(*tasks, *self.background.tasks, return_exceptions=True)
            with contextlib.suppress(UnansweredError, RequestRefusedError):
                await self.context.lease.revoke(RevocationReason.TERM_ENDED)

    async def work_loop(self) -> None:
        """Load the records of earlier terms, then run the loops that act on the cluster."""
        await self.record_loading.run()
        self.background.spawn(self.term_record.write_when_informed())
        self.background.spawn(
            self.worker_calls.reconcile_all(self.ledger.failover.unreconciled_machines())
        )
        async with asyncio.TaskGroup() as group:
            for loop in self._loops():
                group.create_task(loop)

    def _loops(self) -> list[Coroutine[Any, Any, None]]:
        loops = [
            self.job_records.watch_loop(),
            self.job_records.resolve_loop(),
            self.scheduling_loop.loop(),
            self.outcomes.loop(),
            self.save_loop.loop(),
            self.machine_registry.loop(),
            self.machine_list.loop(),
            self.autoscaler.loop(),
            self.unknown_job_lookup_loop.loop(),
            self.worker_calls.probe_unresponsive_loop(),
            self.zone_lease_delegations.loop(),
            self.zone_lease_delegations.delete_expired_loop(),
        ]
        if self.zone_loop is not None:
            loops.append(self.zone_loop.loop())
        if self.link_loop is not None:
            loops.append(self.link_loop.loop())
            loops.append(self.worker_calls.probe_unreachable_loop())
        return loops
