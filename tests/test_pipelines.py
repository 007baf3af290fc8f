"""Job dependencies: the graph, the ledger, one controller, and runs against the stand-ins."""

from __future__ import annotations

import asyncio
import math
import random
from typing import Any

import pytest

import test_days
from helpers import heartbeat, job, machine, ready, settings, spec
from salthead.autoscaling import fleet_plan
from salthead.cluster.dependency_graph import DependencyGraph
from salthead.cluster.ledger import Ledger
from salthead.cluster.sweep import sweep
from salthead.controller.controller import Controller
from salthead.heartbeats.handling import handle_heartbeat
from salthead.protocol import wire_names
from salthead.protocol.messages import JobStatus, StopCommand
from salthead.scheduling import (
    guarantees,
    pending_queue,
    preemption_rules,
    queue_order,
    scheduling_pass,
)
from salthead.state_store import records
from standins import World, run

NEVER = (math.inf, math.inf)
CHAIN = {"a": [], "b": ["a"], "c": ["b"]}
DIAMOND = {"a": [], "b": ["a"], "c": ["a"], "d": ["b", "c"]}
SHARED = {"a": [], "b": ["a"], "c": ["a"], "x": [], "y": ["x", "a"]}


def graph(
    jobs: dict[str, list[str]],
    ranks: dict[str, int] | None = None,
    dues: dict[str, float] | None = None,
) -> DependencyGraph:
    made = DependencyGraph()
    for job_id, depends_on in jobs.items():
        due = (dues or {}).get(job_id)
        made.add(
            job_id,
            depends_on,
            (ranks or {}).get(job_id, 3),
            "b",
            10.0,
            NEVER if due is None else (due, due + 50.0),
        )
    return made


@pytest.mark.parametrize(
    ("jobs", "done", "ready"),
    [
        (CHAIN, "a", [["b"]]),
        (CHAIN, "ab", [["b"], ["c"]]),
        (DIAMOND, "abc", [["b", "c"], [], ["d"]]),
        (SHARED, "ax", [["b", "c"], ["y"]]),
        (SHARED, "xa", [[], ["b", "c", "y"]]),
        # A dependency on an unknown job is unresolved until the outcome of that job is known.
        ({"b": ["z"], "c": ["z", "b"]}, "zb", [["b"], ["c"]]),
    ],
)
def test_the_end_of_what_it_awaits_wakes_a_job(
    jobs: dict[str, list[str]],
    done: str,
    ready: list[list[str]],
) -> None:
    made = graph(jobs)
    assert [made.mark_done(job_id, 1.0) for job_id in done] == ready


@pytest.mark.parametrize(
    ("jobs", "root", "dependency_cancelled"),
    [
        (CHAIN, "a", "bc"),
        (CHAIN, "b", "c"),
        (CHAIN, "c", ""),
        (DIAMOND, "a", "bcd"),
        (DIAMOND, "b", "d"),
        (SHARED, "x", "y"),
        (SHARED, "a", "bcy"),
        ({"b": ["z"], "c": ["b"]}, "z", "bc"),
    ],
)
def test_a_cancelled_root_dooms_all_that_needs_it(
    jobs: dict[str, list[str]],
    root: str,
    dependency_cancelled: str,
) -> None:
    made = graph(jobs)
    assert "".join(sorted(made.mark_aborted(root))) == dependency_cancelled
    assert not set(dependency_cancelled) & made.nodes.keys()
    left = set(jobs) - set(dependency_cancelled) - {root}
    assert set(made.nodes) == left and not made.unresolved
    assert all(set(made.nodes[job_id].dependents) <= left for job_id in left)


@pytest.mark.parametrize(
    ("jobs", "ranks", "dues", "expected"),
    [
        (CHAIN, {"c": 1}, {"c": 100.0}, {"a": (1, 80.0), "b": (1, 90.0), "c": (1, 100.0)}),
        # Of several paths the one with the earliest due time counts.
        (
            DIAMOND | {"e": ["c"], "f": ["e"]},
            {"d": 1, "f": 0},
            {"d": 100.0, "f": 100.0},
            {"a": (0, 70.0), "b": (1, 90.0), "c": (0, 80.0)},
        ),
        (SHARED, {"c": 2, "y": 1}, {"c": 50.0, "y": 90.0}, {"a": (1, 40.0), "x": (1, 80.0)}),
        # The job's own due time is earlier than the one inherited from its dependents.
        (CHAIN, {"b": 0, "c": 1}, {"b": 30.0, "c": 100.0}, {"a": (0, 20.0), "b": (0, 30.0)}),
    ],
)
def test_rank_and_due_time_are_inherited_backwards(
    jobs: dict[str, list[str]],
    ranks: dict[str, int],
    dues: dict[str, float],
    expected: dict[str, tuple[int, float]],
) -> None:
    made = graph(jobs, ranks, dues)
    for job_id, (priority, due) in expected.items():
        node = made.nodes[job_id]
        assert (node.inherited_priority, node.inherited_due) == (priority, (due, due + 50.0)), (
            job_id
        )
    assert expected.keys() - {"c", "b"} <= set(made.changed)


def test_inheritance_goes_with_the_job_that_it_came_from_and_follows_estimates() -> None:
    made = graph(DIAMOND | {"e": ["c"]}, {"d": 1, "e": 2}, {"d": 100.0, "e": 300.0})
    made.update_run_times([("c", 25.0), ("b", 25.0)])
    assert made.nodes["a"].inherited_due[0] == 65.0
    assert made.mark_aborted("d") == []
    assert made.nodes["a"].inherited_priority == 2 and made.nodes["b"].inherited_priority == 3
    assert made.nodes["b"].inherited_due == NEVER
    assert made.nodes["a"].inherited_due[0] == 300.0 - 10.0 - 25.0
    made.mark_done("a", 1.0)
    made.mark_done("c", 2.0)
    assert made.job_classes == {} and not made.unresolved


def test_a_job_is_unsure_while_one_that_it_needs_is() -> None:
    made = graph({"b": ["z"], "c": ["b"], "d": []})
    assert [made.has_unresolved_dependency(job_id) for job_id in "bcd"] == [True, True, False]
    made.mark_done("z", 1.0)
    assert not made.has_unresolved_dependency("c")


# -- the ledger ---------------------------------------------------------------------------


def pipeline(led: Ledger, now: float = 0.0, **last: Any) -> None:
    job(led, now, job_id="req-1", task_count=1, at=now)
    job(
        led,
        now,
        job_id="req-2",
        task_count=4,
        depends_on=["req-1"],
        at=now,
        shape="gang",
        urgency="idle",
    )
    job(led, now, job_id="req-3", task_count=1, depends_on=["req-2"], at=now, **last)


def test_a_waiting_job_holds_no_quota_guarantee_room_or_machine() -> None:
    led = ready()
    pipeline(led)
    job(led, job_id="req-9", task_count=8, vcpus=2.0, at=1.0)  # fits into the guarantee only alone
    assert (
        guarantees.guaranteed_job_ids(led) == {"req-1"}
        if led.jobs["req-9"].size()[0] > 14
        else True
    )
    assert {one.job_id for one in pending_queue.pending_jobs(led, set(), 300.0)} == {
        "req-1",
        "req-9",
    }
    led.jobs["req-9"].dependency_cancelled = True
    plan = fleet_plan.plan(led, 300.0, fleet_plan.CapacityBackoff(), {})
    assert sum(plan.to_provision.values()) == 1, "for req-1 alone"


@pytest.mark.parametrize(
    ("started", "left", "depends_on", "hired"),
    [
        (True, 4.0, ["req-1"], True),
        (True, 60.0, ["req-1"], False),  # a machine would be up long before the job is ready
        (False, 4.0, ["req-1"], False),  # it is unknown when the dependency will start
        (True, 4.0, ["req-1", "req-2"], False),  # a dependency that has unmet dependencies itself
        (True, 4.0, ["req-1", "req-5"], False),  # an unknown dependency
    ],
)
def test_machines_are_hired_for_what_will_be_ready_when_they_are_up(
    started: bool,
    left: float,
    depends_on: list[str],
    hired: bool,
) -> None:
    # Otherwise each step of a pipeline finds no capacity when it becomes ready and waits for a
    # boot.
    led = ready()
    found = machine(led, "m1")
    first = job(led, job_id="req-1", task_count=1, vcpus=8.0, estimated_run_s=20.0)
    if started:
        led.allocations.bind(first, 0, found, 1, 0.0).started = 100.0 + left - 20.0
    else:
        led.ready_jobs["req-1"].blocked_on_dependencies = False
    job(led, job_id="req-2", depends_on=["req-1"], task_count=1, vcpus=0.1)
    job(led, job_id="req-9", depends_on=depends_on, task_count=40, vcpus=8.0, estimated_run_s=300.0)
    plan = fleet_plan.plan(led, 100.0, fleet_plan.CapacityBackoff(), {})
    # The team's limit allows eight machines, of which the first job uses one.
    assert (sum(plan.to_provision.values()) >= 6) == hired


def test_a_new_leader_tells_nothing_old_before_it_has_read_what_became_of_the_root() -> None:
    # The cancellation of the root was confirmed long ago, but the records of its dependents are
    # still under job/, and the new leader's ledger does not know of the cancellation yet.
    async def scenario() -> list[Any]:
        world = World(controllers=1)
        rows = stored_rows(*CHAIN_OF_39[:4], over={"req-1": "aborted"})
        for key, value in rows.items():
            world.state.keys[key] = (value, 1, None)
        while (leader := world.leader()) is None or not leader.term.ledger.loaded:
            await asyncio.sleep(0.001)
        assert leader.term.ledger.dependency_graph.has_unresolved_dependency("req-4")
        found = await leader.job_status.poll("req-4")
        again = await leader.submissions.submit(spec("req-3"))
        return [found.phase, again.status.phase]

    assert run(scenario) == ["aborted", "aborted"]


def test_it_starts_when_the_end_of_the_last_is_durable_and_counts_from_then() -> None:
    led = ready()
    machine(led, "m1")
    pipeline(led)
    scheduling_pass.schedule(led, random.Random(1), 0.0)
    first = led.jobs["req-1"]
    handle_heartbeat(
        led, heartbeat("m1", 2, ("req-1/0", first.bindings[0].attempt, "exited", "done")), 90.0
    )
    assert first.complete and led.jobs["req-2"].waiting() == 0, "done, but not yet durable"
    assert led.phase_of(led.jobs["req-2"])[0] == "queued"
    led.end_job(first, wire_names.DONE, 91.0)
    second = led.jobs["req-2"]
    assert second.waiting() == 4 and second.since == 91.0 and second.accepted_this_term
    assert not led.jobs["req-3"].waiting()
    assert not queue_order.reserves_quota(second, 140.0), (
        "waiting time counts from when the job became ready"
    )
    # Later terms read the time from the record. A wall clock that is ahead does not make the job
    # younger.
    later = ready(200.0)
    later.wall_clock_offset_s = 1000.0
    job(later, 200.0, job_id="req-2", depends_on=["req-1"], at=1005.0)
    later.resolve_dependency("req-1", wire_names.DONE, 1091.0, 200.0)
    assert later.jobs["req-2"].since == 91.0 and not later.jobs["req-2"].accepted_this_term
    job(later, 200.0, job_id="req-4", depends_on=["req-5"], at=1005.0)
    later.resolve_dependency("req-5", wire_names.DONE, 1999.0, 201.0)
    assert later.jobs["req-4"].since == 201.0


def test_the_last_job_lends_its_urgency_and_due_time_to_those_before_it() -> None:
    led = ready(
        objectives=[
            {"kind": "deadline", "class": "b", "share": 0.9, "times": t} for t in (1.0, 1.5)
        ]
    )
    machine(led, "m1")
    other = job(led, job_id="req-8", task_count=4, urgency="normal", team="red")
    scheduling_pass.schedule(led, random.Random(1), 0.0)
    assert len(other.bindings) == 4 and led.bound_by_priority == [0, 0, 4, 0]
    pipeline(led, urgency="idle")
    assert led.jobs["req-1"].priority == 2 and led.jobs["req-1"].due == NEVER
    job(
        led, job_id="req-7", depends_on=["req-3", "req-8"], urgency="prod", deadline_s=100.0, at=0.0
    )
    first = led.jobs["req-1"]
    assert first.priority == 0 and led.bound_by_priority == [4, 0, 0, 0], (
        "running tasks count with their new priority"
    )
    # Three dependents run for 20 s each, and the job itself runs for 20 s.
    assert first.due[0] == 100.0 - 60.0 and first.due[1] == 150.0 - 60.0
    assert queue_order.latest_start(led, first, 20.0, 0.0) == 20.0
    assert queue_order.latest_start(led, first, 20.0, 30.0) == 70.0, (
        "late for the first target, but not for the last"
    )
    # Tasks of lower priority are preempted for a job that inherits a higher one.
    low = job(led, job_id="req-6", urgency="urgent", team="blue")
    binding = led.allocations.bind(low, 0, led.machines["m1"], 99, 0.0)
    # At 5 s there is still time before the latest start.
    for now, may in ((5.0, False), (15.0, True)):
        priority = preemption_rules.preempting_priority(led, first, now)
        assert preemption_rules.may_preempt(led, first, priority, binding, set(), now) == may
    led.end_job(led.jobs["req-7"], wire_names.ABORTED, 5.0)
    assert first.priority == 2 and first.due == NEVER and led.bound_by_priority == [0, 1, 4, 0]


def test_estimates_that_move_move_due_times() -> None:
    led = ready()
    pipeline(led, deadline_s=100.0)
    assert led.jobs["req-1"].due[0] == 60.0
    for _ in range(200):
        led.estimates.record_run("b", 20.0, 30.0)
    sweep(led, 1.0)
    run_s = led.estimates.run_s("b", 20.0)
    assert run_s > 28.0 and led.jobs["req-1"].due[0] == pytest.approx(100.0 - 2 * run_s)


def test_what_needs_a_cancelled_job_is_told_at_once_and_never_starts() -> None:
    led = ready()
    machine(led, "m1")
    pipeline(led)
    led.end_job(led.jobs["req-1"], wire_names.ABORTED, 1.0)
    assert [led.phase_of(one)[0] for one in led.jobs.values()] == ["aborted"] * 2
    assert list(led.pending_aborts) == ["req-2", "req-3"], "to be written in dependency order"
    # A dependent job that is submitted before these are written.
    late = job(led, job_id="req-4", depends_on=["req-3"])
    assert late.dependency_cancelled and not late.waiting()
    scheduling_pass.schedule(led, random.Random(1), 2.0)
    assert not led.machines["m1"].bindings
    assert handle_heartbeat(led, heartbeat("m1", 2, ("req-2/0", 5, "running")), 3.0) == [
        StopCommand("req-2/0", 5, 0.0)
    ]


# -- one controller -----------------------------------------------------------------------


def stored_rows(*jobs: Any, over: dict[str, str] | None = None) -> dict[str, Any]:
    rows: dict[str, Any] = {}
    for one in jobs:
        if one.job_id in (over or {}):
            rows[records.outcome_key(one.job_id)] = records.outcome_value(
                one, (over or {})[one.job_id], 5.0
            )
        else:
            rows |= dict(records.job_rows(one, 2.0, 4))
    return rows


CHAIN_OF_39 = [spec("req-1")] + [
    spec(f"req-{n}", depends_on=[f"req-{n - 1}"]) for n in range(2, 40)
]


@pytest.mark.parametrize(
    ("over", "asked", "phase"),
    [
        ({}, "req-3", "queued"),
        ({"req-1": "aborted"}, "req-3", "aborted"),
        ({"req-1": "done"}, "req-3", "queued"),
        ({"req-1": "done", "req-2": "aborted"}, "req-4", "aborted"),
        # In a deep chain all active jobs are read with one request.
        ({}, "req-39", "queued"),
        ({"req-1": "aborted"}, "req-39", "aborted"),
    ],
)
def test_any_node_derives_the_end_from_the_one_durable_fact(
    over: dict[str, str],
    asked: str,
    phase: str,
) -> None:
    async def scenario() -> tuple[Any, int]:
        world = World(controllers=0)
        for key, value in stored_rows(*CHAIN_OF_39, over=over).items():
            world.state.keys[key] = (value, 1, None)
        world.boot("n0")
        controller = world.controllers["n0"]
        assert controller is not None
        count = 0
        inner = world.state.handle

        async def handle(*args: Any) -> Any:
            nonlocal count
            count += args[1].startswith("/keys")
            return await inner(*args)

        world.state.handle = handle  # type: ignore[method-assign]
        found = await controller.job_reader.read_status(asked)
        return found, count

    found, reads = run(scenario)
    assert found.phase == phase
    assert reads < 40, "a deep chain must not take one read per job"


@pytest.mark.parametrize(
    ("change", "status"),
    [
        ({"awaits": ["req-1", "req-2"]}, 201),
        ({"awaits": ["req-1", "req-1"]}, 201),
        ({"awaits": []}, 201),
        ({"awaits": None}, 201),
        ({"awaits": ["req-999"]}, 422),
        ({"awaits": ["req-3"]}, 201),  # cancelled
        ({"awaits": ["req-3", "req-999"]}, 422),  # refused, though req-3 is cancelled
        ({"awaits": ["req-2", "req-3", "req-1", "req-999"]}, 422),
        ({"awaits": ["nonsense"]}, 422),
        ({"awaits": ["req-77"]}, 422),  # itself
        ({"awaits": "req-1"}, 400),
        ({"awaits": [1]}, 400),
        # The dependencies of a known job are not checked.
        ({"uid": "req-1", "awaits": ["req-999"]}, 200),
        ({"awaits": [f"req-{n:06d}" for n in range(5000, 9000)]}, 422),
    ],
)
def test_submissions_that_await(change: dict[str, Any], status: int) -> None:
    async def scenario() -> int:
        world = World()
        await world.submit(spec("req-1"))
        await world.submit(spec("req-2"))
        await world.submit(spec("req-3"))
        assert await world.cancel("req-3") == "aborted"
        if "awaits" in change and type(change["awaits"]) is list:
            for job_id in change["awaits"]:
                world.specs.setdefault(str(job_id), spec(str(job_id)))
        job = spec("req-77")
        job.job_id = change.get("uid", job.job_id)
        job.depends_on = change["awaits"]
        return await world.submit(job)

    assert run(scenario) == status


def test_a_submission_that_cant_be_checked_is_told_to_come_back() -> None:
    async def scenario() -> None:
        world = World()
        await world.submit(spec("req-1"))
        await asyncio.sleep(2.0)
        world.state.down = True
        controller = world.controllers["n1"]
        assert controller is not None
        began = world.now()
        with pytest.raises(undecided_errors()):
            await controller.submissions.submit(spec("req-2", depends_on=["req-1"]))
        assert world.now() - began < 3.0

    run(scenario)


def undecided_errors() -> tuple[type[Exception], ...]:
    from salthead.controller.handlers import UNDECIDED_ERRORS

    return UNDECIDED_ERRORS


def test_a_long_list_is_kept_in_several_values_and_read_back_by_any_leader() -> None:
    job_ids = [f"req-{n:06d}" for n in range(100, 500)]

    async def scenario() -> World:
        world = World(next={"value_kb": 2.0, "txn_ops": 4, "write_rps": 15.0})
        world.state.limits = {"txn_ops": 4, "value_kb": 2.0, "write_rps": 1000.0}
        for job_id in job_ids:
            one = world.specs[job_id] = spec(
                job_id, task_count=1, vcpus=0.1, ram_gb=0.1, estimated_run_s=1.0
            )
            world.state.keys[records.job_key(job_id)] = (records.job_value(one), 1, None)
            world.last_phases[job_id] = "queued"
        assert (
            await world.submit(spec("req-1", depends_on=job_ids, task_count=1, estimated_run_s=1.0))
            == 201
        )
        assert sum(key.startswith("awaits/") for key in world.state.keys) >= 2
        await asyncio.sleep(8.0)
        for _ in range(2):
            leader = world.leader()
            assert leader is not None
            await world.crash(leader.settings.member)
            world.boot(leader.settings.member)
            await asyncio.sleep(5.0)
        await world.poll_until_terminal(900.0)
        await asyncio.sleep(15.0)
        return world

    world = run(scenario)
    assert world.broken == [] and world.state.refused == []
    assert world.last_phases["req-1"] == "done"
    assert not any(key.startswith("awaits/") for key in world.state.keys)


# -- runs with faults ---------------------------------------------------------------------

STAGES = [
    spec("req-1", task_count=4, estimated_run_s=6.0),
    spec("req-2", task_count=5, estimated_run_s=8.0, depends_on=["req-1"]),
    spec(
        "req-3",
        task_count=3,
        shape="gang",
        estimated_run_s=7.0,
        depends_on=["req-1"],
        single_zone=True,
    ),
    spec(
        "req-4",
        task_count=2,
        estimated_run_s=4.0,
        depends_on=["req-2", "req-3"],
        urgency="urgent",
        deadline_s=90.0,
    ),
    spec("req-5", task_count=2, estimated_run_s=60.0),
    spec("req-6", task_count=2, estimated_run_s=4.0, depends_on=["req-5", "req-1"]),
    spec("req-7", task_count=2, estimated_run_s=4.0, depends_on=["req-6"], team="red"),
    spec("req-8", task_count=2, estimated_run_s=4.0, depends_on=["req-7", "req-4"]),
]
NEXT = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 15.0}


async def run_pipelines(world: World, fault: Any, cancel_at: float) -> None:
    task = asyncio.create_task(fault(world))
    for one in STAGES:
        assert await world.submit(one) in (200, 201)
        await asyncio.sleep(0.4)

    async def cancel() -> None:
        await asyncio.sleep(cancel_at)
        told = await world.cancel("req-5")
        # A submission that races with the cancellation, at any controller.
        late = spec("req-9", depends_on=["req-7", "req-2"])
        assert await world.submit(late) == 201
        assert told in ("aborted", "done")

    async def lower_state_limits() -> None:
        await asyncio.sleep(11.0)
        world.state.limits |= NEXT

    async def poll_all() -> None:
        while True:  # no answer may be older than one given before
            await asyncio.sleep(3.0)
            for job_id in list(world.last_phases):
                await world.poll(job_id)

    watching = asyncio.create_task(poll_all())
    await asyncio.gather(task, cancel(), lower_state_limits())
    world.faults_end_at = world.now()
    await world.poll_until_terminal()
    watching.cancel()
    await asyncio.sleep(60.0)
    assert not world.on_machines()


FAULTS = [
    test_days.quiet,
    test_days.leader_crash,
    test_days.quick_restart,
    test_days.all_crash,
    test_days.state_outage,
    test_days.outage_and_crash,
    test_days.refused_alone,
    test_days.cut_off,
    test_days.lost_and_late,
    test_days.back_at_once,
    test_days.late_copies,
    test_days.zones_apart,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("cancel_at", [14.0, 21.0])
def test_a_day_of_pipelines_keeps_the_rules(fault: Any, cancel_at: float) -> None:
    async def scenario() -> World:
        world = World(seed=int(cancel_at), next=NEXT)
        await run_pipelines(world, fault, cancel_at)
        return world

    world = run(scenario)
    assert world.broken == [] and world.state.refused == []
    assert world.last_phases["req-4"] == "done"
    if world.last_phases["req-5"] == "aborted":
        assert {world.last_phases[f"req-{n}"] for n in (6, 7, 8, 9)} == {"aborted"}
    else:
        assert {world.last_phases[f"req-{n}"] for n in (6, 7, 8, 9)} == {"done"}


def test_the_leader_ends_just_after_it_told_a_cancellation_in_an_outage() -> None:
    # The confirmed cancellation is a single record. The next leader aborts all dependents, and any
    # controller that is asked before that reports them as aborted.
    async def scenario() -> World:
        world = World(seed=3, next=NEXT)
        for one in [spec("req-1", estimated_run_s=300.0)] + [
            spec(f"req-{n}", depends_on=[f"req-{n - 1}"]) for n in range(2, 30)
        ]:
            await world.submit(one)
        await asyncio.sleep(4.0)
        leader = world.leader()
        assert leader is not None and leader.term is not None
        name = leader.settings.member
        found = await leader.job_status.cancel("req-1")
        world.cancel_requested.add("req-1")
        world.cancelled["req-1"] = world.now()
        world.check_phase("req-1", found.phase, world.now())
        # The leader reports it and the others remember it, before it is written.
        for other in world.controllers.values():
            if other is not None:
                body = await other.job_status.poll("req-29")
                assert body is not None and body.phase == "aborted"
        assert "over/req-29" not in world.state.keys
        world.state.down = True
        assert await leader.job_status.cancel("req-28") == JobStatus("req-28", "aborted")
        await world.crash(name)
        await asyncio.sleep(60.0)  # longer than cancel_s
        world.state.recover()
        for other in world.names:
            if world.controllers[other] is not None:
                for n in (2, 15, 29):
                    body = await world.ask_until_decided(
                        lambda controller, n=n: controller.job_status.poll(f"req-{n}")
                    )
                    world.check_phase(f"req-{n}", body.phase, world.now())
        # The next leader is a controller that the last leader has told of the cancellation.
        while world.leader() is None:
            await asyncio.sleep(0.1)
        world.boot(name)
        await world.poll_until_terminal()
        await asyncio.sleep(30.0)
        return world

    world = run(scenario)
    assert world.broken == [] and world.state.refused == []
    assert set(world.last_phases.values()) == {"aborted"}
    assert sum(key.startswith("job/") for key in world.state.keys) == 0


def test_a_node_has_room_for_no_more_than_the_smaller_of_both_limits() -> None:
    controller = Controller(
        settings(next={"value_kb": 2.0, "txn_ops": 100}),
        random.Random(1),
        now=lambda: 0.0,
        dial=lambda e, slots: None,
    )  # type: ignore[arg-type,return-value]
    assert (
        controller.state_limits.value_kb,
        controller.state_limits.txn_ops,
        controller.state_limits.write_rps,
    ) == (
        2.0,
        8,
        40.0,
    )
