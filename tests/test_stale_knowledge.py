"""A new leader acts on no information that it lacks or that dates from before its term.

``docs/incidents/quota-and-ran-twice.md`` describes the incident.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from cut_world import CUTS_ON, CutWorld
from helpers import FLAVORS, given, heartbeat, limits, spec
from salthead.cluster.ledger import Ledger
from salthead.cluster.sweep import sweep
from salthead.failure_detection.shared_silence import SharedSilence
from salthead.heartbeats.handling import handle_heartbeat
from salthead.protocol.messages import encode
from salthead.protocol.validation import decode_submission
from salthead.scheduling import scheduling_pass
from standins import run

CUT_POLICY = CUTS_ON.partial_cuts
RNG = random.Random(1)
# The cloud no longer offers the type "not-listed".
MACHINE_REGISTRY = (("silent", "small"), ("retired", "not-listed"), ("heard", "big"))


def takeover_without_types() -> Ledger:
    """Return a ledger that has loaded the machine registry but not the machine types."""
    made = Ledger(limits(), 7, 0.0)
    assert CUT_POLICY is not None
    made.shared_silence = SharedSilence(made, CUT_POLICY, 0.0)
    made.events.capacity_freed = lambda found, now: scheduling_pass.backfill(made, found, RNG, now)
    for name, machine_type in MACHINE_REGISTRY:
        made.add_machine(name, machine_type, "north", False, 0.0, registered=True)
    made.loaded = True
    return made


async def leader_back_before_it_knows_types(seed: int) -> CutWorld:
    """Restart the leader at once, with late answers of the cloud and some hanging machines."""
    world = CutWorld(seed, machines_per_zone=10)
    types_s = 0.2 + 0.15 * seed
    # Commands are slow: with thousands of machines a new leader has reached few by then.
    world.extra_latency_s = lambda source, path: {"/flavors": types_s, "/do": 3.0}.get(path, 0.0)
    await asyncio.sleep(2.0)
    # Red is at its limit of 24 CPUs throughout, and blue leaves capacity free.
    await world.submit(spec("req-1", team="red", task_count=12, vcpus=4.0, estimated_run_s=90.0))
    await world.submit(spec("req-2", task_count=32, vcpus=2.0, estimated_run_s=12.0))
    while world.last_phases["req-2"] != "done":
        await asyncio.sleep(0.5)
        await world.poll("req-2")
    red = {worker.name for worker, task in world.on_machines() if task.startswith("req-1/")}
    hung = [world.cloud.hosts[name] for name in sorted(red)[: len(red) // 2]]
    for worker in hung:
        worker.hung = True
    leader = world.leader()
    assert leader is not None and hung
    await world.crash(leader.settings.member)
    await asyncio.sleep(0.1)
    world.boot(leader.settings.member)
    await asyncio.sleep(4.0)
    for worker in hung:
        worker.hung = False
    await world.poll_until_terminal()
    return world


class TestMachineTypesUnknown:
    @pytest.mark.parametrize("silent", [("silent", "retired"), ("retired",)], ids=len)
    def test_what_a_machine_of_unknown_type_may_run_is_started_nowhere_else(
        self,
        silent: tuple[str, ...],
    ) -> None:
        led = takeover_without_types()
        old = led.add_job(spec("req-1", task_count=2), 0.0)
        new = led.add_job(spec("req-2", team="red", task_count=8), 0.0, accepted_this_term=True)
        assert old is not None and new is not None
        sweep(led, 0.1)
        scheduling_pass.schedule(led, RNG, 0.1)
        led.set_machine_types(FLAVORS)
        for at in (0.2, 8.0):  # at 0.2 no sweep has run since the types were set
            for sequence, (name, machine_type) in enumerate(MACHINE_REGISTRY, int(at) + 1):
                if name not in silent:
                    handle_heartbeat(led, heartbeat(name, sequence, machine_type=machine_type), at)
            scheduling_pass.schedule(led, RNG, at)
            assert not old.bindings, "an earlier leader may have started it on a silent machine"
            assert not new.bindings, "the silent machines may run any number of the team's tasks"
        sweep(led, 12.6)  # the leases of the silent machines are over
        scheduling_pass.schedule(led, RNG, 12.6)
        assert len(old.bindings) == 2 and len(new.bindings) == 8

    @pytest.mark.parametrize("seed", range(6))
    def test_a_leader_that_is_back_before_it_knows_the_machine_types(self, seed: int) -> None:
        world = run(lambda: leader_back_before_it_knows_types(seed))
        assert world.broken + world.history.broken + world.answers.broken == []


async def late_answer_to_a_submission() -> CutWorld:
    """Delay the answer to the write of a job until the job is done and its writer leads."""
    world = CutWorld(1)
    await asyncio.sleep(2.0)
    await world.submit(spec("req-1", task_count=2, estimated_run_s=90.0))
    while not world.first_start_at:
        await asyncio.sleep(0.5)
    leader = world.leader()
    assert leader is not None
    controller, other = [
        one for one in world.controllers.values() if one is not None and one is not leader
    ]
    await world.crash(other.settings.member)
    arrives, write = asyncio.Event(), controller.state_store.transaction

    async def answered_late(conditions: dict[str, int], operations: list[Any], **more: Any) -> int:
        epoch = await write(conditions, operations, **more)
        if operations[0].key == "job/req-2":
            await arrives.wait()
        return epoch

    controller.state_store.transaction = answered_late  # type: ignore[method-assign]
    late = spec("req-2", task_count=1, estimated_run_s=1.0)
    world.specs["req-2"] = late
    submitting = asyncio.create_task(
        controller.submissions.submit(decode_submission(encode(given(late))))
    )
    while "over/req-2" not in world.state.keys:
        await asyncio.sleep(0.2)
    await world.crash(leader.settings.member)
    while controller.leading() is None or not controller.leading().ledger.ready:
        await asyncio.sleep(0.1)
    arrives.set()
    await submitting
    await asyncio.sleep(10.0)
    return world


def test_a_job_that_ended_is_not_started_again_by_a_late_answer() -> None:
    assert run(late_answer_to_a_submission).broken == []
