"""Calls of one term to the cloud API, within its share of the rate limit."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from salthead.protocol import wire_names
from salthead.protocol.messages import MachineList, ProvisionedMachines, shape
from salthead.settings import CloudLimits
from salthead.state_store.messages import RequestRefusedError
from salthead.transport.client import HttpClient
from salthead.transport.limits import TokenBucket

# The rest of the rate limit is left for the reads of machine types by the other controllers.
RATE_SHARE = 0.7
LIST_PAGE_SIZE = 500
LIST_TIMEOUT_S, PROVISION_TIMEOUT_S, TERMINATE_TIMEOUT_S = 3.0, 4.0, 4.0
NO_CAPACITY = "no capacity"


class ProvisionRequest(msgspec.Struct, frozen=True):
    """Body of POST /hosts, which is idempotent by name."""

    name: str = msgspec.field(name="hire")
    machine_type: str = msgspec.field(name="build")
    count: int = msgspec.field(name="how_many")
    zone: str = msgspec.field(name="paddock")
    spot: bool = msgspec.field(name="borrowed")


class TerminateRequest(msgspec.Struct, frozen=True):
    """Body of POST /hosts/return."""

    machines: list[str] = msgspec.field(name="saltlicks")


class CloudClient:
    """Lists, provisions and terminates machines."""

    def __init__(self, caller: HttpClient, limits: CloudLimits, now: Callable[[], float]) -> None:
        self.caller = caller
        self.budget = TokenBucket(limits.rps * RATE_SHARE, limits.rps, now)

    async def wait_for_turn(self) -> None:
        """Wait until the rate limit permits a call."""
        await self.budget.wait()

    async def list_page(self, start: str) -> MachineList:
        """Return the page of the machine list that begins after the name ``start``.

        Raises RequestRefusedError if the cloud refuses.
        """
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
        """Return the names of the provisioned machines, or None if the cloud has no capacity.

        Raises RequestRefusedError if it refuses for another reason.
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
        """Return once the cloud has terminated the machines.

        Raises RequestRefusedError if the cloud refuses.
        """
        answer = await self.caller.call(
            "POST",
            wire_names.MACHINES_TERMINATE_PATH,
            TerminateRequest(names),
            timeout=TERMINATE_TIMEOUT_S,
        )
        if answer.status != 200:
            raise RequestRefusedError(answer.status, "return")
