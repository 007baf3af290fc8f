"""Statuses of a job and its dependents while writes of the job's outcome have no answer."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from itertools import product
from types import SimpleNamespace
from typing import Any

import pytest

from helpers import job, limits, ready, spec
from salthead.cluster.ledger import Ledger
from salthead.controller.job_status import JobStatusService
from salthead.leader.context import TermContext
from salthead.leader.outcomes import Outcomes
from salthead.leases.leader_lease import LeaseClock
from salthead.protocol.terminal_outcome import TerminalOutcome
from salthead.state_store.messages import Change, ConflictError, Put, RequestRefusedError
from salthead.state_store.request_stats import RequestClass
from salthead.transport.client import UnansweredError
from scenarios import follower_names, loaded_leader, spawn, wait_until_running
from standins import World, run
from standins.network import Call

DONE, ABORTED = "done", "aborted"


class Fate(Enum):
    """What happens to a write of an outcome."""

    ANSWER_LOST = "executed at once without an answer"
    EXECUTED_LATE = "no answer, and executed after the next write"
    NEVER_EXECUTED = "no answer, and never executed"
    NOT_SENT = "not sent, since the lease is not certain"
    REFUSED = "refused"
    READ_LOST = "answered, but after a conflict the outcome can't be read"
    ANSWERED = "answered"


UNRESOLVED_FATES = (Fate.ANSWER_LOST, Fate.EXECUTED_LATE, Fate.NEVER_EXECUTED)


@dataclass(frozen=True)
class Write:
    """One attempt of the leader to write the outcome of the first job."""

    phase: str
    fate: Fate


STEPS = [Write(*step) for step in product((ABORTED, DONE), list(Fate)[:-1])]


@dataclass
class OutcomeStore:
    """A state service that holds outcomes, with a set fate for the next write."""

    check: Any = None  # called while a write is in progress
    fate: Fate = Fate.ANSWERED
    phases: dict[str, str] = field(default_factory=dict)  # durable, by job id
    late: list[dict[str, str]] = field(default_factory=list)  # writes still to be executed

    async def transaction(
        self, conditions: dict[str, int], changes: Sequence[Change], **_: Any
    ) -> int:
        outcomes = {
            change.key.removeprefix("over/"): change.value["phase"]
            for change in changes
            if isinstance(change, Put)
        }
        late, self.late = self.late, []
        try:
            return self._write(outcomes)
        finally:
            self.check()
            for earlier in late:
                self._execute(earlier)
            self.check()

    def _write(self, outcomes: dict[str, str]) -> int:
        if self.fate is Fate.REFUSED:
            raise RequestRefusedError(503, "txn")
        if self.fate is Fate.EXECUTED_LATE:
            self.late.append(outcomes)
        conflicting = self.phases.keys() & outcomes.keys()
        if self.fate in (Fate.ANSWER_LOST, Fate.ANSWERED, Fate.READ_LOST):
            self._execute(outcomes)
        if self.fate in UNRESOLVED_FATES:
            raise UnansweredError("connection closed")
        if conflicting:
            raise ConflictError([f"over/{job_id}" for job_id in conflicting])
        return 1

    def _execute(self, outcomes: dict[str, str]) -> None:
        if not self.phases.keys() & outcomes.keys():
            self.phases |= outcomes

    async def read_outcome(
        self, job_id: str, request_class: RequestClass
    ) -> TerminalOutcome | None:
        assert request_class is RequestClass.LEADER, "it waits behind no question"
        if self.fate is Fate.READ_LOST:
            raise UnansweredError("connection closed")
        phase = self.phases.get(job_id)
        return None if phase is None else TerminalOutcome(phase, 1, None)


class Leader:
    """The outcomes of a term, with a chain of three jobs and a job apart from it."""

    CHAIN = ("req-1", "req-2", "req-3")
    APART = "req-4"

    def __init__(self) -> None:
        self.ledger: Ledger = ready()
        self.first = job(self.ledger, job_id="req-1", task_count=1)
        job(self.ledger, job_id="req-2", task_count=1, depends_on=["req-1"])
        job(self.ledger, job_id="req-3", task_count=1, depends_on=["req-2"])
        self.other = job(self.ledger, job_id=self.APART, task_count=1)
        self.store = OutcomeStore(self.check)
        self.context = self._context()
        self.outcomes = Outcomes(
            self.context,
            self.store,  # type: ignore[arg-type]
            lambda *outcome: None,
            SimpleNamespace(send_stops=lambda: None),  # type: ignore[arg-type]
            SimpleNamespace(discard_job=lambda ended: None),  # type: ignore[arg-type]
        )
        self.unresolved_phases: set[str] = set()  # of the first job

    def _context(self) -> TermContext:
        clock = LeaseClock(5.0)
        clock.record_renewal(0.0)
        return TermContext(
            fencing_token=7,
            revision=9,
            lease=None,  # type: ignore[arg-type]
            lease_clock=clock,
            ledger=self.ledger,
            state_store=self.store,  # type: ignore[arg-type]
            limits=limits(),
            state_limits=limits().state,
            now=lambda: 0.0,
            sleep_with_jitter=asyncio.sleep,
            log_throttled=lambda kind, error: None,
        )

    def phase_from_memory(self, job_id: str) -> str | None:
        """Return the phase that is told without a read; None if a read is needed."""
        status = JobStatusService.from_term(
            SimpleNamespace(_status_with_progress=JobStatusService._status_with_progress),  # type: ignore[arg-type]
            SimpleNamespace(ledger=self.ledger, outcomes=self.outcomes),  # type: ignore[arg-type]
            job_id,
        )
        return None if status is None else status.phase

    def check(self) -> None:
        """Check all jobs while only the outcome of the first one is written."""
        self.check_chain()
        assert self.phase_from_memory(self.APART) == "queued"

    def check_chain(self) -> None:
        """Check that no status from memory is older than what others may have read."""
        durable = self.store.phases.get("req-1")
        for job_id in self.CHAIN:
            told = self.phase_from_memory(job_id)
            if told is None:
                continue
            if durable == ABORTED:
                assert told == ABORTED, f"{job_id} is {told} after it was read as cancelled"
            else:
                assert told != ABORTED
            if durable == DONE and job_id == "req-1":
                assert told == DONE

    def check_held(self) -> None:
        """Check that just those statuses are read whose job may have a durable outcome."""
        if self.first.terminal_phase:
            return
        held = [job_id for job_id in self.CHAIN if self.phase_from_memory(job_id) is None]
        expected = []
        if self.unresolved_phases:
            expected = list(self.CHAIN) if ABORTED in self.unresolved_phases else ["req-1"]
        assert held == expected

    async def write(self, write: Write) -> None:
        """Write the outcome of the first job, which has the given phase by now."""
        self.first.n_done = self.first.spec.task_count if write.phase == DONE else 0
        self.store.fate = write.fate
        if write.fate is Fate.NOT_SENT:
            self.context.lease_clock.invalidate()
        with contextlib.suppress(UnansweredError, RequestRefusedError):
            await self.outcomes.write_batch([self.first])
        self.context.lease_clock.record_renewal(0.0)
        if write.fate in UNRESOLVED_FATES:
            self.unresolved_phases.add(write.phase)
        self.check()
        self.check_held()


async def write_all(writes: Sequence[Write]) -> None:
    leader = Leader()
    for write in [*writes, Write(writes[-1].phase, Fate.ANSWERED)]:
        if not leader.first.terminal_phase:
            await leader.write(write)
    assert leader.first.terminal_phase == leader.store.phases["req-1"]
    assert not leader.outcomes.indeterminate
    for job_id in leader.ledger.jobs.keys() & {"req-2", "req-3"}:
        cancelled = leader.first.terminal_phase == ABORTED
        assert leader.phase_from_memory(job_id) == (ABORTED if cancelled else "queued")


@pytest.mark.parametrize("first", STEPS, ids=lambda write: f"{write.phase}-{write.fate.name}")
def test_each_phase_that_was_sent_counts_until_the_outcome_is_known(first: Write) -> None:
    # Guards against a job called queued after it was called cancelled with its dependency: the
    # leader forgot the phase of an unanswered write when it sent another one.
    async def scenario() -> None:
        for more in range(3):
            for others in product(STEPS, repeat=more):
                await write_all([first, *others])

    asyncio.run(scenario())


def test_a_conflict_of_one_job_holds_back_no_other_of_its_write() -> None:
    # Guards against statuses that need a read although the conflict shows that they are certain.
    async def scenario() -> None:
        leader = Leader()
        await leader.write(Write(DONE, Fate.ANSWER_LOST))
        leader.store.check = leader.check_chain
        leader.other.n_done = leader.other.spec.task_count
        leader.store.fate = Fate.READ_LOST
        with contextlib.suppress(UnansweredError):
            await leader.outcomes.write_batch([leader.first, leader.other])
        leader.check_held()
        assert leader.phase_from_memory(Leader.APART) == "running"

    asyncio.run(scenario())


def test_a_cancelled_dependent_needs_no_read_while_its_own_cancellation_has_no_answer() -> None:
    # Guards against a refusal of a status that is certain: both the job and one that it depends on
    # were cancelled, and the latter durably.
    async def scenario() -> None:
        leader = Leader()
        dependent = leader.ledger.jobs["req-2"]
        leader.store.fate = Fate.NEVER_EXECUTED
        with contextlib.suppress(UnansweredError):
            await leader.outcomes.write_batch([dependent])
        assert leader.phase_from_memory("req-2") is None
        assert leader.phase_from_memory("req-3") is None
        await leader.write(Write(ABORTED, Fate.ANSWERED))
        assert leader.phase_from_memory("req-2") == leader.phase_from_memory("req-3") == ABORTED

    asyncio.run(scenario())


class LostOutcomeAnswers:
    """Loses the answers to the first writes of one job's outcome, executed after a delay."""

    def __init__(self, world: World, job_id: str, count: int, delay_s: float) -> None:
        self.key = f"over/{job_id}"
        self.left = count
        self.delay_s = delay_s
        self.phases: list[str] = []  # sent in the writes whose answers were lost
        world.late_unanswered_s = self.late_s

    def late_s(self, call: Call) -> float | None:
        """Return the delay of a call whose answer is lost."""
        if call.path != "/txn" or not self.left:
            return None
        phase = next(
            (one["value"]["phase"] for one in call.body["apply"] if one.get("set") == self.key), ""
        )
        if not phase:
            return None
        self.left -= 1
        self.phases.append(phase)
        return self.delay_s


CHAIN = [
    spec("req-1", task_count=1, estimated_run_s=6.0),
    spec("req-2", task_count=1, estimated_run_s=2.0, depends_on=["req-1"]),
    spec("req-3", task_count=1, estimated_run_s=2.0, depends_on=["req-2"]),
]


def cancel_when_complete(world: World, member: str) -> None:
    """Cancel the first job at the moment its task ends, before the leader can know of that."""
    inner = world.complete_task

    def complete(worker: Any, task_id: str, attempt: int) -> None:
        inner(worker, task_id, attempt)
        if task_id == "req-1/0":
            spawn(world, world.ask(member, "req-1", "cancel"))

    world.complete_task = complete  # type: ignore[method-assign]


async def read_and_ask(world: World, until: float) -> None:
    """Let each controller read the jobs, and ask each of them about all, dependents first."""
    while world.now() < until:
        for name, controller in world.controllers.items():
            if controller is None:
                continue
            for job_id in ("req-3", "req-2", "req-1"):
                began = world.now()
                with contextlib.suppress(*world.versions[name].undecided_errors):
                    found = await controller.job_reader.read_status(job_id)
                    assert found is not None
                    world.check_phase(job_id, found.phase, began)
        for name, job_id in product(world.names, ("req-3", "req-2", "req-1")):
            await world.ask(name, job_id)
            await world.ask(name, job_id, "submit")
        await asyncio.sleep(0.05)


async def refuse(world: World, member: str, for_s: float) -> None:
    """Let the state service refuse one controller for a while."""
    world.refused.add(member)
    await asyncio.sleep(for_s)
    world.refused.clear()


async def crash_and_return(world: World, member: str, back_s: float) -> None:
    """Kill a controller, and start it again later."""
    await world.crash(member)
    await asyncio.sleep(back_s)
    world.boot(member)


@pytest.mark.parametrize("later", ["conflict", "refusal", "next_leader"])
@pytest.mark.parametrize("first_phase", [ABORTED, DONE])
@pytest.mark.parametrize("delay_s", [0.0, 3.0])
@pytest.mark.parametrize("count", [1, 2, 5])
def test_no_controller_tells_less_than_any_may_have_read(
    count: int, delay_s: float, first_phase: str, later: str
) -> None:
    # Guards against a dependent called queued, by the leader or by a follower that asks it, after
    # it was called cancelled: writes of its dependency's outcome had no answer.
    async def scenario() -> World:
        world = World(seed=3)
        for one in CHAIN:
            await world.submit(one)
        await wait_until_running(world, "req-1")
        leader = await loaded_leader(world)
        member = leader.settings.member
        lost = LostOutcomeAnswers(world, "req-1", count, delay_s)
        asking = asyncio.create_task(read_and_ask(world, world.now() + 25.0))
        if first_phase == ABORTED:
            cancel_when_complete(world, member)
        while len(lost.phases) < count and "over/req-1" not in world.state.keys:
            await asyncio.sleep(0.01)
        if first_phase == DONE:
            spawn(world, world.ask(follower_names(world, leader)[0], "req-1", "cancel"))
        while lost.left and leader.term is not None and "req-1" in leader.term.ledger.jobs:
            await asyncio.sleep(0.01)
        if later == "refusal":
            spawn(world, refuse(world, member, 4.0))
        elif later == "next_leader":
            spawn(world, crash_and_return(world, member, 1.0))
        await asking
        world.faults_end_at = world.now()
        await world.poll_until_terminal()
        assert lost.phases[0] == first_phase
        return world

    world = run(scenario)
    assert world.broken == []
    assert world.last_phases["req-3"] == world.last_phases["req-2"] == world.last_phases["req-1"]
