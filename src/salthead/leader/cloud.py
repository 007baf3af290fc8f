"""Calls of one term to the cloud's interface, within the rate that is its share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from salthead.protocol import wire_names
from salthead.protocol.messages import MachineList, ProvisionedMachines, shape
from salthead.settings import CloudLimits
from salthead.state_store.client import RequestRefusedError
from salthead.transport.client import HttpClient
from salthead.transport.limits import TokenBucket

# A quarter is left for the other controllers' reads of machine types.
RATE_SHARE = 0.7
LIST_PAGE_SIZE = 500
LIST_TIMEOUT_S, PROVISION_TIMEOUT_S, TERMINATE_TIMEOUT_S = 3.0, 4.0, 4.0
NO_CAPACITY = "no capacity"


class ProvisionRequest(msgspec.Struct, frozen=True):
    """POST /hosts. The same name again provisions nothing twice."""

    name: str = msgspec.field(name="hire")
    machine_type: str = msgspec.field(name="build")
    count: int = msgspec.field(name="how_many")
    zone: str = msgspec.field(name="paddock")
    spot: bool = msgspec.field(name="borrowed")


class TerminateRequest(msgspec.Struct, frozen=True):
    """POST /hosts/return."""

    machines: list[str] = msgspec.field(name="saltlicks")


class CloudClient:
    """The cloud's machines: list, provision, terminate."""

    def __init__(self, caller: HttpClient, limits: CloudLimits, now: Callable[[], float]) -> None:
        self.caller = caller
        self.budget = TokenBucket(limits.rps * RATE_SHARE, limits.rps, now)

    async def wait_for_turn(self) -> None:
        """Returns once the rate permits a call."""
        await self.budget.wait()

    async def list_page(self, start: str) -> MachineList:
        """One page of the machine list, from after a name; RequestRefusedError if it is refused."""
        query: dict[str, Any] = {"most": LIST_PAGE_SIZE}
        if start:
            query["from"] = start
        answer = await self.caller.call(
            "GET", wire_names.MACHINES_PATH, query=query, timeout=LIST_TIMEOUT_S
        )
        if answer.status != 200:
            raise RequestRefusedError(answer.status, "cloud list")
        return shape(answer.body, MachineList)

    async def provision(self, request: ProvisionRequest) -> list[str] | None:
        """The names of the machines that the cloud provisions; None if it has no capacity.

        RequestRefusedError if it refuses for another reason.
        """
        answer = await self.caller.call(
            "POST", wire_names.MACHINES_PATH, request, timeout=PROVISION_TIMEOUT_S
        )
        if answer.status != 200:
            if answer.body.get("error") == NO_CAPACITY:
                return None
            raise RequestRefusedError(answer.status, str(answer.body))
        return shape(answer.body, ProvisionedMachines).machines

    async def terminate(self, names: list[str]) -> None:
        """Return once the cloud has taken the machines back; RequestRefusedError if it did not."""
        answer = await self.caller.call(
            "POST",
            wire_names.MACHINES_TERMINATE_PATH,
            TerminateRequest(names),
            timeout=TERMINATE_TIMEOUT_S,
        )
        if answer.status != 200:
            raise RequestRefusedError(answer.status, "return")
