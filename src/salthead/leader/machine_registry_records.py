"""The durable registry of the machines that may run tasks, read by the next leader."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from salthead.cluster.model import UP
from salthead.leader.context import TermContext
from salthead.leader.page_writer import write_pages
from salthead.protocol.messages import shape
from salthead.state_store import records
from salthead.state_store.messages import RETRYABLE_ERRORS, ConflictError, VersionedValue
from salthead.state_store.pages import PageBatch, Pages

CHECK_INTERVAL_S = 0.1
# Removals alone are written at most this often; otherwise they are written with new machines.
REMOVAL_INTERVAL_S = 2.0


class RegisteredMachine(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """An item of the registry's pages, stored under the machine's name."""

    machine_type: str
    zone: str
    spot: Any  # only the truth value counts
    endpoint: Any  # text, or a false value if it is not known


class MachineRegistryRecords:
    """The pages of the machine registry, and the loop that writes them."""

    def __init__(self, context: TermContext, on_registered: Callable[[], None]) -> None:
        """Create an empty registry.

        ``on_registered`` is called when start commands may be sent to newly registered machines.
        """
        self.context = context
        self.on_registered = on_registered
        self.ledger = context.ledger
        self.pages = self._empty_pages()
        self.removals_due_at = -1e9

    def _empty_pages(self) -> Pages:
        return Pages(records.MACHINE_REGISTRY, self.context.state_limits.value_kb)

    def clear(self) -> None:
        """Discard the pages before they are loaded again."""
        self.pages = self._empty_pages()

    def load(self, rows: dict[str, VersionedValue], now: float) -> None:
        """Add the machines that earlier leaders registered to the ledger."""
        for key, (value, revision) in rows.items():
            self.pages.load(key, value, revision)
            for name, item in shape(value, dict[str, RegisteredMachine]).items():
                machine = self.ledger.add_machine(
                    name, item.machine_type, item.zone, bool(item.spot), now, registered=True
                )
                machine.endpoint = machine.endpoint or str(item.endpoint or "")

    def remove(self, name: str) -> None:
        """Remove a terminated machine; the removal is written later."""
        self.pages.drop(name)

    async def loop(self) -> None:
        """Write new machines at once, since none is sent a start command before it is durable."""
        while True:
            self._put_unstored_machines()
            if self._has_new_machines() or (
                self.pages.dirty and self.context.now() >= self.removals_due_at
            ):
                try:
                    batch = await write_pages(self.context, self.pages)
                    self.removals_due_at = self.context.now() + REMOVAL_INTERVAL_S
                    self._mark_registered(batch)
                    self.on_registered()
                except (ConflictError, *RETRYABLE_ERRORS) as error:
                    self.context.log_throttled("roster", error)
            await self.context.sleep_with_jitter(CHECK_INTERVAL_S)

    def _put_unstored_machines(self) -> None:
        """Put unstored machines that are up or were seen in an earlier term on the pages."""
        ledger = self.ledger
        for machine in ledger.unstored_machines:
            if machine.phase == UP or machine.seen_in_earlier_term:
                self.pages.set(
                    machine.name,
                    msgspec.to_builtins(
                        RegisteredMachine(
                            ledger.type_names[machine.machine_type],
                            ledger.zones[machine.zone],
                            machine.spot,
                            machine.endpoint,
                        )
                    ),
                )

    def _has_new_machines(self) -> bool:
        """Return whether an unstored machine is on a page that has not been written."""
        return any(
            self.pages.page_of.get(machine.name) in self.pages.dirty
            for machine in self.ledger.unstored_machines
        )

    def _mark_registered(self, batch: PageBatch) -> None:
        for _, content in batch.values():
            for name in content:
                machine = self.ledger.machines.get(name)
                if machine is not None and not machine.registered:
                    self.ledger.machine_registry.mark_registered(machine)
                    machine.has_freed_capacity = True
