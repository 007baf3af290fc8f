"""The loop that adds the machines of the cloud's list to the ledger."""

from __future__ import annotations

import logging

from salthead.cluster.model import BOOTING
from salthead.event_log import event
from salthead.leader.cloud import CloudClient
from salthead.leader.context import TermContext
from salthead.leader.machine_type_records import MachineTypeRecords
from salthead.protocol import wire_names
from salthead.protocol.messages import ListedMachine
from salthead.state_store.messages import RETRYABLE_ERRORS

log = logging.getLogger(__name__)

# The machine list is read at most once per interval and takes at most this share of the permitted
# calls, because it needs one per 500 machines, and provision and terminate calls queue behind them.
LIST_INTERVAL_S, MAX_LIST_CALL_SHARE = 2.0, 1 / 3


class MachineListLoop:
    """Adds listed machines to the ledger, and quarantines those that the cloud lists as failed."""

    def __init__(
        self, context: TermContext, cloud: CloudClient, machine_type_records: MachineTypeRecords
    ) -> None:
        self.context = context
        self.ledger = context.ledger
        self.cloud = cloud
        self.machine_type_records = machine_type_records

    async def loop(self) -> None:
        """Store the machine types and read the machine list, until the term ends."""
        while True:
            await self.machine_type_records.update()
            calls = 1
            try:
                calls = await self.read_list()
            except RETRYABLE_ERRORS as error:
                self.context.log_throttled("cloud list", error)
            await self.context.sleep_with_jitter(self.list_interval_s(calls))

    def list_interval_s(self, calls: int) -> float:
        """Return the pause in seconds after reading a list that took ``calls`` calls."""
        reading_s = calls / self.cloud.budget.rate
        return max(
            LIST_INTERVAL_S,
            2.0 / self.context.limits.cloud.rps,
            reading_s * (1.0 / MAX_LIST_CALL_SHARE - 1.0),
        )

    async def read_list(self) -> int:
        """Add all listed machines to the ledger; return the number of calls to read the list."""
        start = ""
        calls = 0
        while True:
            await self.cloud.wait_for_turn()
            calls += 1
            page = await self.cloud.list_page(start)
            now = self.context.now()
            for listed in page.machines:
                start = listed.name
                # The list lags behind: it may still contain machines that are gone.
                if listed.name not in self.ledger.recently_gone:
                    self._add_listed(listed, now)
            if not page.truncated:
                return calls

    def _add_listed(self, listed: ListedMachine, now: float) -> None:
        in_ledger = listed.name in self.ledger.machines
        machine = self.ledger.add_machine(
            listed.name, listed.machine_type, listed.zone, listed.spot, now
        )
        if not in_ledger:
            event(log, "machine_listed", machine=listed.name, phase=listed.phase)
            machine.provisioned_at = now - listed.age_s
        elif machine.phase == BOOTING:
            machine.provisioned_at = min(machine.provisioned_at, now - listed.age_s)
        if listed.phase == wire_names.FAILED and not machine.quarantine_reason:
            machine.quarantine_reason = "failed"
            event(log, "machine_failed", machine=listed.name)
