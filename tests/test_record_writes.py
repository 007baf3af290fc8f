"""Records that are written again after writes without an answer, at the leader."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Any

import msgspec
import pytest

from helpers import FLAVORS, limits, ready
from salthead.leader.context import TermContext
from salthead.leader.machine_type_records import MachineTypeRecords
from salthead.leader.zone_loop import ZoneLoop
from salthead.leases.leader_lease import LeaseClock
from salthead.protocol.messages import MachineType, encode
from salthead.state_store import records
from salthead.state_store.client import StateStore
from salthead.state_store.messages import RETRYABLE_ERRORS, ConflictError
from salthead.transport.client import Answer, UnansweredError
from salthead.zones import records as zone_records
from salthead.zones.state import ZonePhase
from standins.state_service import State
from test_zones import POLICY

RATE = 1000.0  # requests per second; no test waits for a token bucket
LEADER_REVISION = 9


class LossyCaller:
    """Client of the stand-in for the state service that can lose the answers to transactions."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.lose_answers = False
        self.executed_late = False  # whether transactions without an answer are executed later
        self.late: list[Any] = []

    async def call(
        self, method: str, path: str, body: Any = None, query: Any = None, **_: Any
    ) -> Answer:
        """Call the state service; raise UnansweredError for a transaction whose answer is lost."""
        plain = msgspec.to_builtins(body) if body is not None else {}
        if path == "/txn" and self.lose_answers:
            if self.executed_late:
                self.late.append(plain)
            else:
                self.state.transaction(plain)
            raise UnansweredError("connection closed")
        return await self.state.handle(method, path, query or {}, plain)

    def execute_late(self) -> None:
        """Execute the transactions that have been delayed."""
        late, self.late = self.late, []
        for transaction in late:
            self.state.transaction(transaction)


class LeaderWrites:
    """A term's context on a stand-in for the state service."""

    def __init__(self, **state_limits: Any) -> None:
        self.now = 0.0
        self.state = State(lambda: self.now)
        self.state.keys[records.LEADER] = ({}, LEADER_REVISION, None)
        self.state.limits["write_rps"] = RATE
        self.state.write_tokens = RATE
        self.caller = LossyCaller(self.state)
        self.store = StateStore(
            "state:1",
            RATE,
            RATE,
            lambda: self.now,
            lambda endpoint, slots: self.caller,  # type: ignore[arg-type, return-value]
        )
        clock = LeaseClock(1e6)
        clock.record_renewal(0.0)
        self.ledger = ready()
        self.context = TermContext(
            fencing_token=self.ledger.fencing_token,
            revision=LEADER_REVISION,
            lease=None,  # type: ignore[arg-type]
            lease_clock=clock,
            ledger=self.ledger,
            state_store=self.store,
            limits=limits(),
            state_limits=msgspec.structs.replace(limits().state, **state_limits),
            now=lambda: self.now,
            sleep_with_jitter=asyncio.sleep,
            log_throttled=lambda kind, error: None,
        )

    def value(self, key: str) -> Any:
        """Return the stored value of a key."""
        return self.state.keys[key][0]


def stored_names(leader: LeaderWrites) -> list[str]:
    """Return the names of the stored machine types, as a controller reads them."""
    rows = {
        key: value
        for key, (value, _, _) in leader.state.keys.items()
        if key.startswith(records.MACHINE_TYPE_PARTS)
    }
    found = records.join_machine_types(rows) or leader.value(records.MACHINE_TYPES)
    return [machine_type["name"] for machine_type in found["builds"]]


def renamed(machine_type: MachineType, name: str) -> MachineType:
    return msgspec.structs.replace(machine_type, name=name)


@pytest.mark.parametrize("value_kb", [16.0, 0.3], ids=["one value", "parts"])
@pytest.mark.parametrize("executed_late", [False, True])
@pytest.mark.parametrize("then", ["earlier types", "newer types"])
def test_the_stored_machine_types_are_the_last_ones(
    then: str, executed_late: bool, value_kb: float
) -> None:
    # Guards against stored types that no controller knows any more: a write without an answer was
    # executed, and the leader compared its types with those of the last confirmed write.
    async def scenario() -> None:
        leader = LeaderWrites(value_kb=value_kb)
        assert len(encode(FLAVORS)) > 0.3 * 1024
        known = list(FLAVORS)
        type_records = MachineTypeRecords(leader.context, lambda: known)
        await type_records.update()
        assert stored_names(leader) == [one.name for one in FLAVORS]
        leader.caller.lose_answers, leader.caller.executed_late = True, executed_late
        known[0] = renamed(FLAVORS[0], "other")
        await type_records.update()
        leader.caller.lose_answers = False
        known[0] = FLAVORS[0] if then == "earlier types" else renamed(FLAVORS[0], "newest")
        await type_records.update()
        leader.caller.execute_late()
        await type_records.update()
        assert stored_names(leader) == [one.name for one in known]

    asyncio.run(scenario())


def stored_phase(leader: LeaderWrites, key: str) -> ZonePhase:
    """Return the stored phase of a zone; one without a record is available."""
    if key not in leader.state.keys:
        return ZonePhase.AVAILABLE
    return ZonePhase(leader.value(key)["phase"])


async def write_zones(loop: ZoneLoop) -> None:
    """Write the changed states of zones once, as each round of the loop does."""
    with contextlib.suppress(ConflictError, *RETRYABLE_ERRORS):
        await loop._write_changed_states()


@pytest.mark.parametrize("zones_per_write", [1, 16])
@pytest.mark.parametrize("executed_late", [False, True])
@pytest.mark.parametrize("confirmed", [ZonePhase.AVAILABLE, ZonePhase.SUSPECTED])
@pytest.mark.parametrize("then", [ZonePhase.AVAILABLE, ZonePhase.RECOVERING])
def test_the_stored_state_of_a_zone_is_the_last_one(
    then: ZonePhase, confirmed: ZonePhase, executed_late: bool, zones_per_write: int
) -> None:
    # Guards against a next leader that takes an available zone for lost: a write without an answer
    # was executed, and the leader compared the zone with what the last confirmed write stored.
    async def scenario() -> None:
        leader = LeaderWrites(txn_ops=zones_per_write)
        loop = ZoneLoop(leader.context, POLICY, [], random.Random(1))
        loop.recovery.observe(0.0)
        states = loop.recovery.states[:2]
        keys = [zone_records.record_key(leader.ledger.zones[zone]) for zone in range(2)]
        # The next leader takes over records that it has not read.
        leader.state.keys[keys[0]] = ({"phase": "lost"}, LEADER_REVISION, None)
        for phase in (confirmed, ZonePhase.LOST):
            for state in states:
                state.enter(phase, "", leader.now)
            leader.caller.lose_answers = phase is ZonePhase.LOST
            leader.caller.executed_late = executed_late
            for _ in range(3):
                await write_zones(loop)
        leader.caller.lose_answers = False
        for state in states:
            state.enter(then, "", leader.now)
        for _ in range(4):
            await write_zones(loop)
        leader.caller.execute_late()
        for _ in range(4):
            await write_zones(loop)
        assert [stored_phase(leader, key) for key in keys] == [then] * 2

    asyncio.run(scenario())
