"""Stored machine types, for controllers that start while the cloud API is unavailable."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from salthead.leader.context import TermContext
from salthead.protocol.messages import MachineType
from salthead.state_store import records
from salthead.state_store.client import RETRYABLE_ERRORS, Change, ConflictError, delete, put


class MachineTypeRecords:
    """Keeps the stored machine types up to date with those of the controller."""

    def __init__(
        self, context: TermContext, machine_types: Callable[[], Iterable[MachineType]]
    ) -> None:
        """Create the records; ``machine_types`` returns the types that the controller knows."""
        self.context = context
        self.machine_types = machine_types
        self.stored: list[MachineType] = []

    async def update(self) -> None:
        """Store the machine types if they have changed; log errors, and retry at the next call."""
        try:
            await self.store()
        except records.RecordTooLargeError as error:
            self.context.log_throttled("flavors", error)
            self.stored = list(self.machine_types())
        except (ConflictError, *RETRYABLE_ERRORS) as error:
            self.context.log_throttled("flavors", error)

    async def store(self) -> None:
        """Write the machine types unless they equal those that this term stored last."""
        machine_types = list(self.machine_types())
        if not machine_types or machine_types == self.stored:
            return
        existing, _ = await self.context.state_store.list_prefix(records.MACHINE_TYPE_PARTS)
        max_kb, max_changes = self.context.state_limits.value_kb, self.context.state_limits.txn_ops
        rows = dict(records.machine_type_rows(msgspec.to_builtins(machine_types), max_kb))
        changes: list[Change] = [put(key, value) for key, value in rows.items()]
        changes += [delete(key) for key in existing if key not in rows]
        for offset in range(0, len(changes), max_changes):
            await self.context.transaction({}, changes[offset : offset + max_changes])
        self.stored = machine_types
