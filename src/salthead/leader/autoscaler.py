"""The loop of one term that provisions and terminates machines according to the fleet plan."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable

from salthead.autoscaling import fleet_plan
from salthead.autoscaling.capacity_backoff import CapacityBackoff
from salthead.autoscaling.scale_in import TerminationDecision
from salthead.cluster.resources import MachineKind
from salthead.event_log import event
from salthead.failure_detection.preconditions import Action, Precondition
from salthead.leader.background import BackgroundTasks
from salthead.leader.cloud import CloudClient, ProvisionRequest
from salthead.leader.context import PAUSE_FACTOR, TermContext
from salthead.leader.fleet_metrics import FleetMetrics
from salthead.leader.machine_registry_records import MachineRegistryRecords
from salthead.protocol.messages import MalformedMessageError
from salthead.state_store.messages import RETRYABLE_ERRORS, RequestRefusedError
from salthead.transport.client import UnansweredError

log = logging.getLogger(__name__)

MAX_TERMINATE_BATCH = 100  # machines per call
PROVISION_ATTEMPTS = 4
RETRY_DELAY_S = 1.0
# A job that finds no machine triggers the next plan at once, but not before the minimum.
PLAN_INTERVAL_S, MIN_PLAN_INTERVAL_S = 1.0, 0.4


class Autoscaler:
    """Provisions and terminates machines for one term."""

    def __init__(
        self,
        context: TermContext,
        cloud: CloudClient,
        machine_registry: MachineRegistryRecords,
        background: BackgroundTasks,
        fleet_metrics: FleetMetrics,
        plan_requested: asyncio.Event,
        on_provision_ended: Callable[[], None],
    ) -> None:
        """Create the autoscaler of a term.

        ``plan_requested`` is set when a job finds no machine. ``on_provision_ended`` is called when
        a provision request has ended, with or without machines.
        """
        self.context = context
        self.ledger = context.ledger
        self.cloud = cloud
        self.machine_registry = machine_registry
        self.background = background
        self.fleet_metrics = fleet_metrics
        self.plan_requested = plan_requested
        self.on_provision_ended = on_provision_ended
        self.provision_request_count = 0
        self.provisioning: dict[MachineKind, int] = {}  # machines requested but not answered
        self.capacity_backoff = CapacityBackoff()

    async def loop(self) -> None:
        """Plan the fleet, and provision and terminate machines by the plan, until the term ends."""
        while True:
            # asyncio.wait_for would lose the cancellation if the event is set while the term ends.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PLAN_INTERVAL_S):
                    await self.plan_requested.wait()
            self.plan_requested.clear()
            started_at = self.context.now()
            if not self.context.valid():
                continue
            plan = fleet_plan.plan(
                self.ledger, self.context.now(), self.capacity_backoff, self.provisioning
            )
            self._execute(plan)
            self.fleet_metrics.update()
            await self.context.sleep_with_jitter(
                max(MIN_PLAN_INTERVAL_S, PAUSE_FACTOR * (self.context.now() - started_at))
            )

    def _execute(self, plan: fleet_plan.Plan) -> None:
        """Start the provision and terminate calls of a plan."""
        batch = fleet_plan.MAX_PROVISION_BATCH
        for kind, count in plan.to_provision.items():
            for offset in range(0, count, batch):
                self.background.spawn(self.provision(kind, min(count - offset, batch)))
        if plan.to_terminate:
            decisions = [
                TerminationDecision.of(machine, plan.reasons[machine.name])
                for machine in plan.to_terminate[:MAX_TERMINATE_BATCH]
            ]
            for decision in decisions:
                decision.machine.terminating = True
            self.background.spawn(self.terminate(decisions))

    async def provision(self, kind: MachineKind, count: int) -> None:
        """Provision machines of a kind; a request without an answer is retried by the same name."""
        machine_type, zone, spot = kind
        self.provision_request_count += 1
        self.provisioning[kind] = self.provisioning.get(kind, 0) + count
        request = ProvisionRequest(
            name=f"{self.context.fencing_token}-{self.provision_request_count}",
            machine_type=self.ledger.type_names[machine_type],
            count=count,
            zone=self.ledger.zones[zone],
            spot=spot,
        )
        provisioned = 0
        try:
            provisioned = await self._send_until_answered(request)
        except MalformedMessageError as error:
            self.context.log_throttled("hire", error)
        finally:
            self.provisioning[kind] -= count
        self._log_provisioned(request, provisioned)
        if provisioned < count:
            self.capacity_backoff.record_shortage(kind, self.context.now())
        else:
            self.capacity_backoff.record_success(kind)
        self.on_provision_ended()

    @staticmethod
    def _log_provisioned(request: ProvisionRequest, provisioned: int) -> None:
        event(
            log,
            "machines_provisioned",
            request=request.name,
            provisioned=provisioned,
            count=request.count,
            machine_type=request.machine_type,
            zone=request.zone,
            spot=request.spot,
        )

    async def _send_until_answered(self, request: ProvisionRequest) -> int:
        """Send a request until it is answered; add the provisioned machines to the ledger.

        A request without an answer is sent again, up to ``PROVISION_ATTEMPTS`` times in all. Return
        the number of added machines: 0 if no attempt is answered, the cloud refuses or has no
        capacity, or the leader may not provision any more.
        """
        for _ in range(PROVISION_ATTEMPTS):
            await self.cloud.wait_for_turn()
            # The leadership or another precondition may have been lost since the plan was made.
            if not self.context.permits(Action.PROVISION):
                return 0
            try:
                names = await self.cloud.provision(request)
            except UnansweredError as error:
                self.context.log_throttled("hire", error)
                await self.context.sleep_with_jitter(RETRY_DELAY_S)
                continue
            except RequestRefusedError as error:
                self.context.log_throttled("hire", error)
                return 0
            now = self.context.now()
            for name in names or []:
                self.ledger.add_machine(name, request.machine_type, request.zone, request.spot, now)
            return len(names or [])
        return 0

    async def terminate(self, decisions: list[TerminationDecision]) -> None:
        """Terminate machines, and remove them from the ledger once the cloud has answered."""
        await self.cloud.wait_for_turn()
        # The reasons are checked again before sending: a network partition may have healed while
        # the call waited.
        justified = [decision for decision in decisions if self._still_justified(decision)]
        try:
            if not justified:
                return
            await self.cloud.terminate([decision.machine.name for decision in justified])
        except RETRYABLE_ERRORS as error:
            self.context.log_throttled("return", error)
            await self.context.sleep_with_jitter(RETRY_DELAY_S)
            return
        finally:
            for decision in decisions:
                decision.machine.terminating = False
        now = self.context.now()
        for decision in justified:
            machine = decision.machine
            event(
                log,
                "machine_terminated",
                machine=machine.name,
                after_s=now - machine.provisioned_at,
                reason=decision.reason,
            )
            self.ledger.machine_gone(machine, now)
            self.machine_registry.remove(machine.name)

    def _still_justified(self, decision: TerminationDecision) -> bool:
        confirmed = Precondition.REASON_HOLDS if decision.is_still_valid() else Precondition(0)
        return self.context.permits(Action.TERMINATE, confirmed)
