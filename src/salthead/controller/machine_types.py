"""The machine types that a controller knows: from the cloud, or as an earlier leader stored
them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from salthead.protocol import wire_names
from salthead.protocol.messages import MachineType, MachineTypes, shape
from salthead.state_store import records
from salthead.state_store.client import RETRYABLE_ERRORS, ConflictError, RequestRefusedError

if TYPE_CHECKING:
    from salthead.controller.controller import Controller

REFRESH_INTERVAL_S, RETRY_S = (
    60.0,
    2.0,
)  # between readings that succeeded, and after one that did not


class MachineTypesLoop:
    """Reads machine types until there are some, and again now and then."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller

    async def loop(self) -> None:
        """Until the process ends."""
        while True:
            try:
                self.take(await self._from_cloud())
                await self.controller.sleep_with_jitter(REFRESH_INTERVAL_S)
                continue
            except (ConflictError, *RETRYABLE_ERRORS) as error:
                self.controller.log_throttled("cloud flavors", error)
            if not self.controller.machine_types:
                try:
                    if found := await self._as_stored():
                        self.take(found)
                except (ConflictError, *RETRYABLE_ERRORS) as error:
                    self.controller.log_throttled("stored flavors", error)
            await self.controller.sleep_with_jitter(RETRY_S)

    async def _from_cloud(self) -> list[MachineType]:
        answer = await self.controller.cloud.call("GET", wire_names.MACHINE_TYPES_PATH, timeout=3.0)
        if answer.status != 200:
            raise RequestRefusedError(answer.status, "flavors")
        return shape(answer.body, MachineTypes).machine_types

    async def _as_stored(self) -> list[MachineType]:
        rows, _ = await self.controller.state_store.list_prefix(records.MACHINE_TYPE_PARTS)
        found = records.machine_types_from({key: row.value for key, row in rows.items()})
        if found is None:
            row = await self.controller.state_store.get(records.MACHINE_TYPES)
            found = None if row is None else row.value
        return [] if found is None else shape(found, MachineTypes).machine_types

    def take(self, machine_types: list[MachineType]) -> None:
        """Take machine types in, for checks and for the term."""
        self.controller.machine_types = {found.name: found for found in machine_types}
        if self.controller.term is not None:
            self.controller.term.ledger.set_machine_types(machine_types)
            self.controller.term.wake()
