"""Stored machine types, for controllers that start while the cloud API is unavailable."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from salthead.leader.context import TermContext
from salthead.protocol.messages import MachineType
from salthead.state_store import records
from salthead.state_store.messages import RETRYABLE_ERRORS, Change, ConflictError, delete, put
from salthead.state_store.pages import batches
from salthead.state_store.request_stats import RequestClass


class MachineTypeRecords:
    """Keeps the stored machine types up to date with those of the controller."""

    def __init__(
        self, context: TermContext, machine_types: Callable[[], Iterable[MachineType]]
    ) -> None:
        """Create the records; ``machine_types`` returns the types that the controller knows."""
        self.context = context
        self.machine_types = machine_types
        # The types that the state service holds; None until a write of this term is confirmed, and
        # while a later one has no result.
        self.stored: list[MachineType] | None = None

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
        """Write the machine types unless they equal those that this term stored last.

        The writes are conditional on the revisions of the values that they replace, so that one
        that is executed late can't replace a newer one.
        """
        machine_types = list(self.machine_types())
        if not machine_types or machine_types == self.stored:
            return
        # The prefix covers the single value and the parts of a divided one.
        existing, _ = await self.context.state_store.list_prefix(
            records.MACHINE_TYPES, RequestClass.LEADER
        )
        self.stored = None
        for batch in batches(
            self._changes(machine_types, existing), self.context.state_limits.txn_ops
        ):
            await self.context.transaction(
                {
                    change.key: existing[change.key].revision if change.key in existing else 0
                    for change in batch
                },
                batch,
            )
        self.stored = machine_types

    def _changes(self, machine_types: list[MachineType], existing: Iterable[str]) -> list[Change]:
        """Return the changes that store the machine types and delete the parts of earlier ones."""
        rows = dict(
            records.machine_type_rows(
                msgspec.to_builtins(machine_types), self.context.state_limits.value_kb
            )
        )
        changes: list[Change] = [put(key, value) for key, value in rows.items()]
        changes += [
            delete(key)
            for key in existing
            if key not in rows and key.startswith(records.MACHINE_TYPE_PARTS)
        ]
        return changes
