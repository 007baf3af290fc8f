"""The cloud's machines for one term: what it lists, what is provisioned, what is returned."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, Any

import msgspec

from salthead.autoscaling import fleet_plan
from salthead.autoscaling.capacity_backoff import CapacityBackoff
from salthead.autoscaling.scale_in import TerminationDecision
from salthead.cluster.model import BOOTING, MachineKind
from salthead.failure_detection.preconditions import Action, Precondition
from salthead.protocol import wire_names
from salthead.protocol.messages import (
    MachineList,
    MachineType,
    MalformedMessageError,
    ProvisionedMachines,
    shape,
)
from salthead.state_store import records
from salthead.state_store.client import (
    RETRYABLE_ERRORS,
    ConflictError,
    RequestRefusedError,
    delete,
    put,
)
from salthead.transport.client import UnansweredError
from salthead.transport.limits import TokenBucket

if TYPE_CHECKING:
    from salthead.leader.term import Term

log = logging.getLogger(__name__)

# A loop whose rounds take long pauses for this many times as long, so that heartbeats have the
# processor for most of the time whatever the size of the fleet and the queue.
PAUSE_FACTOR = 9.0
MAX_TERMINATE_BATCH = 100  # machines in one call
PROVISION_ATTEMPTS = 4
# Plans come at once for a job that finds no machine, and otherwise now and then.
PLAN_INTERVAL_S, MIN_PLAN_INTERVAL_S = 1.0, 0.4
# Between two readings of the machine list: at least this, and so long that the list, which has a
# call for each 500 machines, takes no more than this part of the calls; provisions and terminates
# wait for their turn behind them.
LIST_INTERVAL_S, MAX_LIST_CALL_SHARE = 2.0, 1 / 3


class Autoscaler:
    """The loops that provision and return machines for one term."""

    def __init__(self, term: Term) -> None:
        self.term = term
        self.ledger = term.ledger
        self.now = term.now
        self.limits = term.limits
        self.provision_request_count = 0
        self.plan_requested = asyncio.Event()  # a job has come for which there is no machine
        self.provisioning: dict[MachineKind, int] = {}
        self.capacity_backoff = CapacityBackoff()
        # A quarter is left for the other controllers' reads of machine types.
        self.cloud_budget = TokenBucket(
            term.limits.cloud.rps * 0.7, term.limits.cloud.rps, term.now
        )
        self.machine_types_stored: list[MachineType] = []

    async def store_machine_types(self) -> None:
        """Machine types for controllers that start while the cloud's interface is down."""
        machine_types = list(self.term.controller.machine_types.values())
        if not machine_types or machine_types == self.machine_types_stored:
            return
        there, _ = await self.term.state_store.list_prefix(records.MACHINE_TYPE_PARTS)
        rows = dict(
            records.machine_type_rows(
                msgspec.to_builtins(machine_types), self.term.state_limits.value_kb
            )
        )
        changes = [put(key, value) for key, value in rows.items()]
        changes += [delete(key) for key in there if key not in rows]
        for at in range(0, len(changes), self.term.state_limits.txn_ops):
            await self.term.transaction({}, changes[at : at + self.term.state_limits.txn_ops])
        self.machine_types_stored = machine_types

    async def list_loop(self) -> None:
        """Read the cloud's list of machines again and again."""
        while True:
            try:
                await self.store_machine_types()
            except records.RecordTooLargeError as error:
                self.term.controller.log_throttled("flavors", error)
                self.machine_types_stored = list(self.term.controller.machine_types.values())
            except (ConflictError, *RETRYABLE_ERRORS) as error:
                self.term.controller.log_throttled("flavors", error)
            calls = 1
            try:
                calls = await self.read_list()
            except RETRYABLE_ERRORS as error:
                self.term.controller.log_throttled("cloud list", error)
            await self.term.controller.sleep_with_jitter(self.list_interval_s(calls))

    def list_interval_s(self, calls: int) -> float:
        """The pause after a reading of the list that took so many calls."""
        reading_s = calls / self.cloud_budget.rate
        return max(
            LIST_INTERVAL_S,
            2.0 / self.limits.cloud.rps,
            reading_s * (1.0 / MAX_LIST_CALL_SHARE - 1.0),
        )

    async def read_list(self) -> int:
        """Take in the cloud's list of machines; how many calls that took."""
        start = ""
        calls = 0
        while True:
            await self.cloud_budget.wait()
            calls += 1
            query: dict[str, Any] = {"most": 500}
            if start:
                query["from"] = start
            answer = await self.term.controller.cloud.call(
                "GET", wire_names.MACHINES_PATH, query=query, timeout=3.0
            )
            if answer.status != 200:
                raise RequestRefusedError(answer.status, "cloud list")
            page = shape(answer.body, MachineList)
            now = self.now()
            for host in page.machines:
                start = host.name
                if host.name in self.ledger.recently_gone:
                    continue  # the list lags
                known = host.name in self.ledger.machines
                machine = self.ledger.add_machine(
                    host.name, host.machine_type, host.zone, host.spot, now
                )
                if not known:
                    log.info("machine %s found in the list (%s)", host.name, host.phase)
                    machine.provisioned_at = now - host.age_s
                elif machine.phase == BOOTING:
                    machine.provisioned_at = min(machine.provisioned_at, now - host.age_s)
                if host.phase == wire_names.FAILED and not machine.quarantine_reason:
                    machine.quarantine_reason = "failed"
                    log.info("machine %s failed", host.name)
            if not page.truncated:
                return calls

    async def fleet_loop(self) -> None:
        """Plan the fleet, provision and return by the plan."""
        while True:
            # Not wait_for, as in the term's decide_loop.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PLAN_INTERVAL_S):
                    await self.plan_requested.wait()
            self.plan_requested.clear()
            began = self.now()
            if not self.term.valid():
                continue
            plan = fleet_plan.plan(
                self.ledger, self.now(), self.capacity_backoff, self.provisioning
            )
            for kind, count in plan.to_provision.items():
                for at in range(0, count, fleet_plan.MAX_PROVISION_BATCH):
                    self.term.spawn(
                        self.provision(kind, min(count - at, fleet_plan.MAX_PROVISION_BATCH))
                    )
            if plan.to_terminate:
                decisions = [
                    TerminationDecision.of(machine, plan.reasons[machine.name])
                    for machine in plan.to_terminate[:MAX_TERMINATE_BATCH]
                ]
                for decision in decisions:
                    decision.machine.terminating = True
                self.term.spawn(self.terminate(decisions))
            self.term.views.show()
            await self.term.controller.sleep_with_jitter(
                max(MIN_PLAN_INTERVAL_S, PAUSE_FACTOR * (self.now() - began))
            )

    async def provision(self, kind: MachineKind, count: int) -> None:
        """Rent machines of a kind; the same request is repeated until it is answered."""
        machine_type, zone, spot = kind
        self.provision_request_count += 1
        name = f"{self.term.fencing_token}-{self.provision_request_count}"
        self.provisioning[kind] = self.provisioning.get(kind, 0) + count
        type_name, zone_name = self.ledger.type_names[machine_type], self.ledger.zones[zone]
        body = {
            "hire": name,
            "build": type_name,
            "how_many": count,
            "paddock": zone_name,
            "borrowed": spot,
        }
        got = 0
        try:
            # The same name again rents nothing twice, so an unanswered request is repeated.
            for _ in range(PROVISION_ATTEMPTS):
                await self.cloud_budget.wait()
                # Since it was decided the lead, or the picture that it rests on, may have gone.
                if not self.term.permits(Action.PROVISION):
                    break
                try:
                    answer = await self.term.controller.cloud.call(
                        "POST", wire_names.MACHINES_PATH, body, timeout=4.0
                    )
                except UnansweredError as error:
                    self.term.controller.log_throttled("hire", error)
                    await self.term.controller.sleep_with_jitter(1.0)
                    continue
                if answer.status != 200:
                    if answer.body.get("error") != "no capacity":
                        self.term.controller.log_throttled("hire", f"{answer.status} {answer.body}")
                    break
                hosts = shape(answer.body, ProvisionedMachines).machines
                now = self.now()
                for host in hosts:
                    self.ledger.add_machine(host, type_name, zone_name, spot, now)
                got = len(hosts)
                break
        except MalformedMessageError as error:
            self.term.controller.log_throttled("hire", error)
        finally:
            self.provisioning[kind] -= count
        log.info(
            "hire %s: %d of %d %s in %s%s",
            name,
            got,
            count,
            type_name,
            zone_name,
            " spot" if spot else "",
        )
        if got < count:
            self.capacity_backoff.record_shortage(kind, self.now())
        else:
            self.capacity_backoff.record_success(kind)
        self.term.wake()

    async def terminate(self, decisions: list[TerminationDecision]) -> None:
        """Return machines; they are gone once the cloud has answered."""
        await self.cloud_budget.wait()
        # Looked at again when it is sent: a cut may have healed while the call waited.
        sent = [one for one in decisions if self._still_justified(one)]
        try:
            if not sent:
                return
            answer = await self.term.controller.cloud.call(
                "POST",
                wire_names.MACHINES_TERMINATE_PATH,
                {"saltlicks": [decision.machine.name for decision in sent]},
                timeout=4.0,
            )
            if answer.status != 200:
                raise RequestRefusedError(answer.status, "return")
        except RETRYABLE_ERRORS as error:
            self.term.controller.log_throttled("return", error)
            await self.term.controller.sleep_with_jitter(1.0)
            return
        finally:
            for decision in decisions:
                decision.machine.terminating = False
        now = self.now()
        for decision in sent:
            machine = decision.machine
            log.info(
                "returned %s after %.0f s: %s",
                machine.name,
                now - machine.provisioned_at,
                decision.reason,
            )
            self.ledger.machine_gone(machine, now)
            self.term.pages.machine_registry.drop(machine.name)

    def _still_justified(self, decision: TerminationDecision) -> bool:
        held = Precondition.REASON_HOLDS if decision.holds() else Precondition(0)
        return self.term.permits(Action.TERMINATE, held)
