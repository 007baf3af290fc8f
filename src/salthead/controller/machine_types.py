"""Refresh of the machine types, from the cloud or from the records of an earlier leader."""

from __future__ import annotations

from salthead.controller.context import ControllerContext
from salthead.controller.leader_view import LeaderView
from salthead.protocol import wire_names
from salthead.protocol.messages import MachineType, MachineTypes, shape
from salthead.state_store import records
from salthead.state_store.messages import RETRYABLE_ERRORS, ConflictError, RequestRefusedError
from salthead.state_store.request_stats import RequestClass

REFRESH_INTERVAL_S, RETRY_S = 60.0, 2.0  # after a successful and a failed read
CLOUD_TIMEOUT_S = 3.0


class MachineTypesLoop:
    """Reads the machine types at regular intervals."""

    def __init__(self, context: ControllerContext, leader_view: LeaderView) -> None:
        self.context = context
        self.leader_view = leader_view

    async def loop(self) -> None:
        """Read machine types until the process ends.

        Stored ones are read only while no machine types are known.
        """
        while True:
            try:
                self._set_machine_types(await self._read_from_cloud())
                await self.context.sleep_with_jitter(REFRESH_INTERVAL_S)
                continue
            except (ConflictError, *RETRYABLE_ERRORS) as error:
                self.context.log_throttled("cloud flavors", error)
            if not self.context.machine_types:
                try:
                    if stored := await self._read_stored():
                        self._set_machine_types(stored)
                except (ConflictError, *RETRYABLE_ERRORS) as error:
                    self.context.log_throttled("stored flavors", error)
            await self.context.sleep_with_jitter(RETRY_S)

    async def _read_from_cloud(self) -> list[MachineType]:
        answer = await self.context.cloud.call(
            "GET", wire_names.MACHINE_TYPES_PATH, timeout=CLOUD_TIMEOUT_S
        )
        if answer.status != 200:
            raise RequestRefusedError(answer.status, "flavors")
        return shape(answer.body, MachineTypes).machine_types

    async def _read_stored(self) -> list[MachineType]:
        rows, _ = await self.context.state_store.list_prefix(
            records.MACHINE_TYPE_PARTS, RequestClass.LEADER
        )
        stored = records.join_machine_types({key: row.value for key, row in rows.items()})
        if stored is None:
            row = await self.context.state_store.get(records.MACHINE_TYPES, RequestClass.LEADER)
            stored = None if row is None else row.value
        return [] if stored is None else shape(stored, MachineTypes).machine_types

    def _set_machine_types(self, machine_types: list[MachineType]) -> None:
        """Replace the machine types that submissions are checked against and the term uses."""
        self.context.machine_types.clear()
        self.context.machine_types.update(
            {machine_type.name: machine_type for machine_type in machine_types}
        )
        term = self.leader_view.term
        if term is not None:
            term.ledger.set_machine_types(machine_types)
            term.request_scheduling_pass()
