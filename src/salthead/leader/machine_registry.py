"""The machine registry of one term: which machines may run tasks, for the next leader."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from salthead.cluster.model import UP
from salthead.leader.context import TermContext
from salthead.leader.page_writer import write_pages
from salthead.protocol.messages import shape
from salthead.state_store import records
from salthead.state_store.client import RETRYABLE_ERRORS, ConflictError, VersionedValue
from salthead.state_store.pages import PageBatch, Pages

CHECK_INTERVAL_S = 0.1
# Machines that are gone are written at most this often, unless others are written with them.
REMOVAL_INTERVAL_S = 2.0


class RegisteredMachine(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """An item of the registry's pages, whose name is the machine's."""

    machine_type: str
    zone: str
    spot: Any  # true or false; truth is what counts
    endpoint: Any  # text, or nothing where it is not known


class MachineRegistry:
    """The pages of the machine registry, and the loop that writes them."""

    def __init__(self, context: TermContext, changed: Callable[[], None]) -> None:
        """``changed`` is called when machines were registered: they may be sent starts now."""
        self.context = context
        self.changed = changed
        self.ledger = context.ledger
        self.pages = self._empty_pages()
        self.write_due_at = -1e9

    def _empty_pages(self) -> Pages:
        return Pages(records.MACHINE_REGISTRY, self.context.state_limits.value_kb)

    def clear(self) -> None:
        """Forget what was read, before it is read again."""
        self.pages = self._empty_pages()

    def load(self, rows: dict[str, VersionedValue], now: float) -> None:
        """Take in the machines that earlier leaders registered."""
        for key, (value, revision) in rows.items():
            self.pages.load(key, value, revision)
            for name, found in shape(value, dict[str, RegisteredMachine]).items():
                machine = self.ledger.add_machine(
                    name, found.machine_type, found.zone, bool(found.spot), now, registered=True
                )
                machine.endpoint = machine.endpoint or str(found.endpoint or "")

    def remove(self, name: str) -> None:
        """Remove a machine that was terminated, when there is time for it."""
        self.pages.drop(name)

    async def loop(self) -> None:
        """A machine is in the registry, durably, before the first start is sent to it."""
        while True:
            self._put_unregistered()
            if self._has_new_machines() or (
                self.pages.dirty and self.context.now() >= self.write_due_at
            ):
                try:
                    batch = await write_pages(self.context, self.pages)
                    self.write_due_at = self.context.now() + REMOVAL_INTERVAL_S
                    self._mark_registered(batch)
                    self.changed()
                except (ConflictError, *RETRYABLE_ERRORS) as error:
                    self.context.log_throttled("roster", error)
            await self.context.sleep_with_jitter(CHECK_INTERVAL_S)

    def _put_unregistered(self) -> None:
        ledger = self.ledger
        for machine in ledger.unregistered:
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
        """Whether a machine waits to be written. Those that are gone wait for the next one."""
        return any(
            self.pages.page_of.get(machine.name) in self.pages.dirty
            for machine in self.ledger.unregistered
        )

    def _mark_registered(self, batch: PageBatch) -> None:
        for _, content in batch.values():
            for name in content:
                machine = self.ledger.machines.get(name)
                if machine is not None and not machine.registered:
                    self.ledger.machine_registry.mark_registered(machine)
                    machine.has_freed_capacity = True
