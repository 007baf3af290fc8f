"""Two faults at once, on fake time, against stand-ins that check the invariants.

The first tests reproduce one combination each; ``test_a_meeting_keeps_the_rules`` runs the other
combinations with several seeds. ``docs/design.md`` explains why each of them is safe.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec
import pytest

from helpers import LIMITS, limits, spec
from salthead.cluster.ledger import Ledger
from salthead.leases.leader_lease import certainly_expired_at, leader_ttl
from salthead.leases.unloaded_renewals import (
    NO_TERM,
    UNKNOWN_TERM,
    PrecedingTerm,
    unloaded_renewal_s,
)
from salthead.leases.zone_leases import delegation_end_for_leader
from scenarios import follower_names, loaded_leader, spawn, wait_until_running
from standins import World, run
from standins.network import Call

CANCEL_S = LIMITS["workers"]["cancel_s"]


def delay_txn_answers(world: World, want: Callable[[dict[str, Any]], bool], delay_s: float) -> None:
    """Delay the answers of the transactions that contain a matching change.

    The transactions themselves are applied at once.
    """
    inner = world.state.handle

    async def handle(method: str, path: str, query: Any, body: Any) -> Any:
        answer = await inner(method, path, query, body)
        if path == "/txn" and answer.status == 200 and any(map(want, body["apply"])):
            await asyncio.sleep(delay_s)
        return answer

    world.state.handle = handle  # type: ignore[method-assign]


@pytest.mark.parametrize("refused_first", [True, False])
def test_gap(refused_first: bool) -> None:
    # The leader's write of a cancellation is applied, but its answer is lost. Another controller
    # reads the record and confirms the cancellation to the user. Then the state service is down for
    # all controllers for longer than cancel_s, while all peers go on promising the leader its lease
    # and its workers go on sending it heartbeats.
    async def scenario() -> World:
        world = World(seed=5)
        await world.submit(spec("req-1", task_count=4, estimated_run_s=300.0))
        await world.submit(spec("req-2", task_count=1, depends_on=["req-1"]))
        await wait_until_running(world, "req-1", 4)
        leader = await loaded_leader(world)
        delay_txn_answers(world, lambda change: "over/req-1" in change.values(), 60.0)
        asked = asyncio.create_task(world.ask(leader.settings.member, "req-1", "cancel"))
        await asyncio.sleep(0.1)
        if refused_first:
            world.refused.add(leader.settings.member)
        other = follower_names(world, leader)[0]
        controller = world.controllers[other]
        assert controller is not None
        found = await controller.job_reader.read_status("req-1")
        assert found is not None and found.phase == "aborted", "another controller confirms it"
        world.check_phase("req-1", found.phase, world.now())
        await asyncio.sleep(0.5)
        world.state.down = True
        for _ in range(int(CANCEL_S + 20.0)):
            for name in world.names:
                await world.ask(name, "req-1")
                await world.ask(name, "req-2")
            await asyncio.sleep(1.0)
        assert world.leader() is leader, "the lead was promised throughout"
        world.state.recover()
        world.refused.clear()
        assert await asked in ("later", "aborted")
        world.faults_end_at = world.now()
        await world.poll_until_terminal()
        return world

    world = run(scenario)
    assert world.broken == []
    assert world.last_phases["req-1"] == "aborted"


@pytest.mark.parametrize("phase", ["done", "aborted"])
@pytest.mark.parametrize("delay_s", [0.3, 1.5, 30.0])
def test_nothing_older_is_told_while_an_outcome_is_in_doubt(phase: str, delay_s: float) -> None:
    # A controller reads an outcome that the leader has written and reports it to a user. The leader
    # has not received the answer to its write yet, and must not report the job as running.
    async def scenario() -> World:
        world = World(seed=3)
        await world.submit(
            spec("req-1", task_count=2, estimated_run_s=6.0 if phase == "done" else 300.0)
        )
        await world.submit(spec("req-2", task_count=1, depends_on=["req-1"], estimated_run_s=3.0))
        await wait_until_running(world, "req-1", 2)
        leader = await loaded_leader(world)
        delay_txn_answers(world, lambda change: "over/req-1" in change.values(), delay_s)
        if phase == "aborted":
            asked = asyncio.create_task(world.ask(leader.settings.member, "req-1", "cancel"))
        for _ in range(400):
            for name in follower_names(world, leader):
                controller = world.controllers[name]
                assert controller is not None
                # The controller reads the record itself, as if the leader did not answer it.
                for job_id in ("req-1", "req-2"):
                    began = world.now()
                    found = await controller.job_reader.read_status(job_id)
                    assert found is not None
                    world.check_phase(job_id, found.phase, began)
            # The dependent job comes first: the leader has read neither outcome.
            for job_id in ("req-2", "req-1"):
                await world.ask(leader.settings.member, job_id)
                await world.ask(leader.settings.member, job_id, "submit")
            await asyncio.sleep(0.05)
            if (
                world.terminal_phases.get("req-1")
                and world.now() > world.terminal_phases["req-1"][1] + delay_s + 5.0
            ):
                break
        if phase == "aborted":
            assert await asked in ("aborted", "later")
        await world.poll_until_terminal()
        return world

    world = run(scenario)
    assert world.broken == []
    assert world.last_phases["req-1"] == phase


def test_a_leader_that_has_read_nothing_keeps_no_cancelled_task_alive() -> None:
    # The leader confirms a cancellation and crashes before it sends a stop to any worker. The next
    # leader takes over, and the state service goes down before that leader has loaded the jobs.
    async def scenario() -> World:
        world = World(seed=2)
        await world.submit(spec("req-1", task_count=6, estimated_run_s=300.0))
        await wait_until_running(world, "req-1", 6)
        leader = await loaded_leader(world)
        leader.term.worker_calls.send_stops = lambda: None  # type: ignore[union-attr,method-assign]
        for worker in world.cloud.hosts.values():
            worker.cut = True
        assert await world.ask(leader.settings.member, "req-1", "cancel") == "aborted"
        await world.crash(leader.settings.member)
        world.boot(leader.settings.member)
        for worker in world.cloud.hosts.values():
            worker.cut = False
        # Only listing keys is slow, not reading a single key.
        world.extra_latency_s = lambda source, path: 9.0 if path == "/keys" else 0.0
        while (new := world.leader()) is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(2.0)  # the other controllers learn of the new leader
        world.state.down = True
        world.extra_latency_s = lambda source, path: 0.0
        assert new.term is not None and not new.term.ledger.loaded
        await asyncio.sleep(CANCEL_S + 15.0)
        assert world.leader() is new, "the lead was promised throughout"
        world.state.recover()
        await world.poll_until_terminal()
        return world

    world = run(scenario)
    assert world.broken == []


@pytest.mark.parametrize(
    ("heartbeat_interval_s", "lease_s", "cancel_s"),
    [
        (3.0, 21.0, 46.0),
        (1.0, 11.0, 36.0),
        (2.5, 15.25, 40.25),
        (2.0, 12.0, 40.0),
        (2.0, 20.0, 30.0),
    ],
)
def test_every_way_to_keep_a_lease_ends_well_within_cancel_s(
    heartbeat_interval_s: float,
    lease_s: float,
    cancel_s: float,
) -> None:
    """Check the worst-case lease arithmetic for every known combination of the settings."""
    workers = LIMITS["workers"] | {
        "report_s": heartbeat_interval_s,
        "lease_s": lease_s,
        "cancel_s": cancel_s,
    }
    led = Ledger(limits(workers=workers), 7, 100.0)
    ttl = leader_ttl(lease_s)
    # A machine that receives nothing more: its lease runs from the last answered heartbeat.
    assert certainly_expired_at(0.0, lease_s) < cancel_s
    # A leader that has loaded nothing: a delegation after the confirmation, one lease before its
    # term, the time for which it answers heartbeats, and one lease after that.
    for delegated in (False, True):
        preceding = PrecedingTerm(informed=True, delegated=delegated)
        renewal_s = unloaded_renewal_s(lease_s, cancel_s, preceding)
        before_s = delegation_end_for_leader(0.0, ttl) if delegated else 0.0
        last_lease_s = certainly_expired_at(0.0, lease_s)
        assert not renewal_s or before_s + lease_s + renewal_s + last_lease_s <= cancel_s
    assert unloaded_renewal_s(lease_s, cancel_s, UNKNOWN_TERM) == 0.0
    assert led.unloaded_renewals_end_at == 100.0, "nothing is known of the term before"
    first = Ledger(limits(workers=workers), 1, 100.0, preceding=NO_TERM)
    assert first.unloaded_renewals_end_at == 100.0 + unloaded_renewal_s(lease_s, cancel_s, NO_TERM)
    # A controller behind a network partition: its last delegation and one lease after that, unless
    # none is granted.
    led.zones.intern("north")
    allowed = led.leases.delegate_zone("north", 105.0)
    assert allowed == (cancel_s >= 2.0 * lease_s)
    assert not allowed or ttl + 1.0 + certainly_expired_at(0.0, lease_s) < cancel_s


# -- fault scenarios for test_a_meeting_keeps_the_rules ------------------------------------


async def restart_leader(world: World, back_s: float = 3.0) -> None:
    leader = world.leader()
    if leader is not None:
        await world.crash(leader.settings.member)
        await asyncio.sleep(back_s)
        world.boot(leader.settings.member)


async def cancel_running_jobs(world: World, count: int, hang_s: float = 0.0) -> None:
    """Cancel up to ``count`` running jobs within 0.2 s.

    If ``hang_s`` is set, up to 8 machines of each job hang for that many seconds.
    """
    job_ids = sorted(
        {task_id.rpartition("/")[0] for _, task_id in world.on_machines()} - world.cancel_requested
    )
    for job_id in job_ids[:count]:
        if hang_s:
            held = [w for w, task_id in world.on_machines() if task_id.startswith(job_id + "/")]
            for worker in held[:8]:
                worker.hung = True
                spawn(world, resume_after(worker, hang_s))
        spawn(world, world.cancel(job_id))
        await asyncio.sleep(0.2 / count)


async def resume_after(worker: Any, after_s: float) -> None:
    await asyncio.sleep(after_s)
    worker.hung = False


async def poll_rapidly(world: World, for_s: float) -> None:
    """Poll and resubmit every job at all controllers, milliseconds apart, for ``for_s`` seconds."""
    end = world.now() + for_s
    seen: dict[str, str] = {}
    while world.now() < end:
        for job_id, phase in list(world.last_phases.items()):
            if seen.get(job_id) == phase:
                continue
            seen[job_id] = phase
            for name in world.names * 2:
                spawn(world, world.ask(name, job_id))
                spawn(world, world.ask(name, job_id, "submit"))
                await asyncio.sleep(0.003)
        for job_id in list(world.last_phases):
            spawn(world, world.ask(world.rng.choice(world.names), job_id))
        await asyncio.sleep(0.2)


async def cancel_at_end(world: World, for_s: float, share: float = 0.5) -> None:
    """Cancel a share of the jobs at the moment at which their last task ends."""
    inner = world.complete_task

    def complete(worker: Any, task_id: str, attempt: int) -> None:
        inner(worker, task_id, attempt)
        job_id = task_id.rpartition("/")[0]
        ended = all(f"{job_id}/{n}" in world.done for n in range(world.specs[job_id].task_count))
        if ended and job_id not in world.cancel_requested and world.rng.random() < share:
            spawn(world, world.cancel(job_id))
            spawn(world, world.ask(world.rng.choice(world.names), job_id, "submit"))

    world.complete_task = complete  # type: ignore[method-assign]
    await asyncio.sleep(for_s)
    world.complete_task = inner  # type: ignore[method-assign]


async def send_edge_case_requests(world: World, for_s: float) -> None:
    """Resubmit unfinished jobs, cancel done ones and ask for ids that were never submitted."""
    end = world.now() + for_s
    while world.now() < end:
        name = world.rng.choice(world.names)
        for job_id, phase in list(world.last_phases.items()):
            if phase == "done":
                assert await world.ask(name, job_id, "cancel") in ("done", "later")
            else:
                await world.ask(name, job_id, "submit")
        controller = world.controllers[name]
        if controller is not None:
            for job_id in ("req-123456789", "nothing"):
                try:
                    assert await world.versions[name].poll(controller, job_id) is None
                    assert await world.versions[name].cancel(controller, job_id) is None
                except world.versions[name].undecided_errors:
                    pass
        await asyncio.sleep(1.0)


async def failover_with_unreachable_workers(world: World) -> None:
    """Crash the leader while some machines are unreachable and others get no answers."""
    await asyncio.sleep(14.0)
    workers = [w for w in world.cloud.hosts.values() if w.tasks]
    for n, worker in enumerate(workers):
        worker.deaf, worker.cut = n % 3 == 0, n % 3 == 1
    await cancel_running_jobs(world, 1)
    await restart_leader(world)
    await asyncio.sleep(world.rng.uniform(2.0, 20.0))
    for worker in workers:
        worker.deaf = worker.cut = False


async def leader_refused_then_outage(world: World) -> None:
    """Cancel jobs while the state service refuses the leader, then all for over cancel_s."""
    await asyncio.sleep(14.0)
    leader = await loaded_leader(world)
    world.refused.add(leader.settings.member)
    await cancel_running_jobs(world, 2)
    await asyncio.sleep(world.rng.uniform(0.5, 2.0))
    world.state.down = True
    await asyncio.sleep(CANCEL_S + 8.0)
    world.refused.clear()
    world.state.recover()
    await asyncio.sleep(2.0)
    await cancel_running_jobs(world, 1)


async def workers_cannot_connect(world: World) -> None:
    """Cancel jobs while machines can't open connections but direct commands reach them."""
    await asyncio.sleep(14.0)
    workers = [w for w in world.cloud.hosts.values() if w.tasks][::2]
    for worker in workers:
        worker.mute = True
    await asyncio.sleep(1.0)
    await cancel_running_jobs(world, 2)
    await asyncio.sleep(world.rng.uniform(3.0, 20.0))
    await restart_leader(world)
    await asyncio.sleep(4.0)
    for worker in workers:
        worker.mute = False


async def transactions_applied_late(world: World) -> None:
    """Leave transactions unanswered and apply them after newer ones; the leader changes."""
    await asyncio.sleep(10.0)
    world.late_writes = 0.3
    await cancel_at_end(world, 12.0)
    await restart_leader(world, 0.2)
    await asyncio.sleep(10.0)
    await cancel_running_jobs(world, 1)
    await asyncio.sleep(10.0)
    world.late_writes = 0.0


async def transaction_answers_lost(world: World) -> None:
    """Apply transactions at once but lose their answers, while users poll rapidly."""
    await asyncio.sleep(8.0)
    world.late_writes, world.writes_at_once = 0.3, True
    spawn(world, poll_rapidly(world, 30.0))
    await cancel_at_end(world, 10.0)
    await cancel_running_jobs(world, 2)
    await asyncio.sleep(4.0)
    await restart_leader(world, 0.2)
    await asyncio.sleep(10.0)
    world.late_writes, world.writes_at_once = 0.0, False


async def lease_requests_executed_late(world: World) -> None:
    """Leave lease requests and campaigns unanswered, execute them late, and end terms."""

    def late_s(call: Call) -> float | None:
        concerned = call.path.startswith("/grants") or call.path == "/txn"
        if call.target != "state" or not concerned or world.rng.random() >= 0.3:
            return None
        return world.rng.uniform(2.0, 12.0)

    await asyncio.sleep(10.0)
    world.late_unanswered_s = late_s
    for n in range(8):
        leader = await loaded_leader(world)
        spawn(world, cancel_running_jobs(world, 1))
        if n % 2 and leader.term is not None:
            leader.term.ledger.newer_fencing_token = leader.term.fencing_token + 1
        else:
            await restart_leader(world, 0.2)
        await asyncio.sleep(world.rng.uniform(2.0, 8.0))
    world.late_unanswered_s = lambda call: None


async def cancel_during_failover(world: World) -> None:
    """Cancel jobs in the seconds around each failover."""
    await asyncio.sleep(12.0)
    for _ in range(3):
        spawn(world, cancel_running_jobs(world, 1))
        await asyncio.sleep(world.rng.uniform(0.0, 0.3))
        spawn(world, restart_leader(world, world.rng.choice((0.1, 2.0))))
        await asyncio.sleep(world.rng.uniform(0.0, 4.0))
        await cancel_running_jobs(world, 1)
        await asyncio.sleep(8.0)


async def duplicate_heartbeats(world: World) -> None:
    """Deliver copies of heartbeats as a new leader begins, and older ones up to a lease late."""
    world.keep_copies, world.copies = True, 0.3
    await asyncio.sleep(12.0)
    for back_s in (0.1, 3.0, 6.0):
        await cancel_running_jobs(world, 1)
        await restart_leader(world, back_s)
        await asyncio.sleep(9.0)
    world.keep_copies, world.copies = False, 0.0


async def fast_boot_slow_writes(world: World) -> None:
    """Boot machines in 1 s so that they get work at once, with slow writes and failovers."""
    world.boot_s = 1.0
    world.extra_latency_s = lambda source, path: 1.5 if path == "/txn" else 0.0
    for _ in range(3):
        for worker in list(world.cloud.hosts.values())[::3]:
            world.cloud.hosts.pop(worker.name).terminate()
        await asyncio.sleep(world.rng.uniform(2.0, 6.0))
        await restart_leader(world, 0.3)
        await asyncio.sleep(6.0)
    world.extra_latency_s = lambda source, path: 0.0


async def leader_partitioned_from_peers(world: World) -> None:
    """Cut the leader off the state service and its peers, but not off workers and users."""
    await asyncio.sleep(14.0)
    leader = await loaded_leader(world)
    name, apart = leader.settings.member, follower_names(world, leader)
    world.cuts |= {(name, "state"), *((name, o) for o in apart), *((o, name) for o in apart)}
    for _ in range(30):
        await world.ask(name, "req-1")
        await asyncio.sleep(0.3)
    await cancel_running_jobs(world, 2)
    await asyncio.sleep(CANCEL_S)
    world.cuts.clear()


async def slow_state_service(world: World) -> None:
    """Make the state service slow, then refuse the leader, then all controllers."""
    world.extra_latency_s = lambda source, path: (
        world.rng.uniform(0.1, 0.9) if path != "/changes" else 0.0
    )
    spawn(world, poll_rapidly(world, 30.0))
    await asyncio.sleep(12.0)
    await cancel_running_jobs(world, 1)
    await asyncio.sleep(3.0)
    world.extra_latency_s = lambda source, path: 0.0
    await leader_refused_then_outage(world)


async def ten_failovers(world: World) -> None:
    """Change the leader ten times, two of them during an outage of the state service."""
    for n in range(10):
        await asyncio.sleep(world.rng.uniform(2.0, 6.0))
        world.state.down = n in (4, 5)
        if n == 6:
            world.state.recover()
        await restart_leader(world, world.rng.choice((0.1, 0.5, 3.0)))
        if n % 3 == 0:
            await cancel_running_jobs(world, 1)
    world.state.recover()


async def team_at_quota(world: World) -> None:
    """Fill a team's quota; cancel jobs on hanging or cut-off machines; change the leader."""
    for n in range(4):
        await world.submit(
            spec(f"req-{n + 30}", team="red", task_count=6, vcpus=4.0, estimated_run_s=20.0)
        )
    await asyncio.sleep(12.0)
    await cancel_running_jobs(world, 3, hang_s=world.rng.choice((6.0, 18.0)))
    for worker in [w for w in world.cloud.hosts.values() if w.tasks][::3]:
        worker.cut = True
    await restart_leader(world)
    await asyncio.sleep(14.0)
    for worker in world.cloud.hosts.values():
        worker.cut = False


async def delayed_commands(world: World) -> None:
    """Delay commands and their answers by seconds, on machines that hang and then resume."""
    world.extra_latency_s = lambda source, path: (
        world.rng.choice((0.0, 3.0, 9.0)) if path == "/do" else 0.0
    )
    await asyncio.sleep(14.0)
    await cancel_running_jobs(world, 2, hang_s=5.0)
    await restart_leader(world)
    await asyncio.sleep(12.0)
    world.extra_latency_s = lambda source, path: 0.0


async def all_controllers_restart(world: World) -> None:
    """Stop all controllers after a cancellation, for a moment or for longer than a lease."""
    await asyncio.sleep(14.0)
    await cancel_running_jobs(world, 2)
    for name in world.names:
        await world.crash(name)
    await asyncio.sleep(world.rng.choice((0.3, LIMITS["workers"]["lease_s"] + 5.0)))
    for name in world.names:
        world.boot(name)
        await asyncio.sleep(2.0)


async def zone_loses_machines(world: World) -> None:
    """Remove machines of jobs that must stay in one zone, arrays too, and change the leader."""
    for n in range(4):
        await world.submit(
            spec(
                f"req-{n + 40}",
                task_count=6,
                single_zone=bool(n % 2),
                estimated_run_s=12.0,
                zone=None if n % 2 else ("north", "south")[n // 2],
            )
        )
    await asyncio.sleep(12.0)
    for back_s in (0.2, 3.0):
        for worker in [w for w in world.cloud.hosts.values() if w.tasks][::2]:
            world.cloud.hosts.pop(worker.name).terminate()
        await asyncio.sleep(world.rng.uniform(0.5, 6.0))
        await restart_leader(world, back_s)
        await asyncio.sleep(8.0)


async def demand_exceeds_capacity(world: World) -> None:
    """Submit more than fits, of all urgencies, over slow links; cancel some; change the leader."""
    world.max_machines = 4
    world.extra_latency_s = lambda source, path: (
        0.0 if path == "/changes" else world.rng.uniform(0.1, 0.8)
    )
    for n in range(12):
        await world.submit(
            spec(
                f"req-{n + 50}",
                task_count=8,
                vcpus=3.0,
                estimated_run_s=6.0,
                team=("blue", "red")[n % 2],
                urgency=("urgent", "idle", "normal")[n % 3],
            )
        )
    await cancel_running_jobs(world, 2)
    await restart_leader(world)
    await asyncio.sleep(20.0)
    world.extra_latency_s = lambda source, path: 0.0
    world.max_machines = 12


async def tasks_end_far_apart(world: World) -> None:
    """Let the tasks of small jobs end far apart, across changes of the leader."""
    inner = world.run_s

    def run_s(task_id: str) -> float:
        return inner(task_id) + 12.0 * int(task_id.rpartition("/")[2])

    world.run_s = run_s  # type: ignore[method-assign]
    for n in range(6):
        await world.submit(spec(f"req-{n + 60}", task_count=2 + n % 2, estimated_run_s=5.0))
    for back_s in (0.2, 4.0, 0.2):
        await asyncio.sleep(world.rng.uniform(6.0, 10.0))
        await restart_leader(world, back_s)


JOBS = [
    spec("req-1", task_count=10, estimated_run_s=14.0),
    spec("req-2", task_count=3, shape="gang", vcpus=7.0, estimated_run_s=12.0, single_zone=True),
    spec("req-3", team="red", task_count=6, vcpus=3.0, estimated_run_s=25.0, spot=True),
    spec("req-4", task_count=5, single_zone=True, estimated_run_s=16.0),
    spec("req-5", team="red", task_count=3, estimated_run_s=40.0, zone="south"),
    spec("req-6", task_count=2, estimated_run_s=4.0, depends_on=["req-1"]),
    spec("req-7", task_count=2, estimated_run_s=4.0, depends_on=["req-6", "req-3"]),
    spec("req-8", task_count=8, estimated_run_s=60.0, urgency="idle"),
]


@pytest.mark.parametrize(
    "fault",
    [
        failover_with_unreachable_workers,
        leader_refused_then_outage,
        workers_cannot_connect,
        transactions_applied_late,
        transaction_answers_lost,
        lease_requests_executed_late,
        cancel_during_failover,
        duplicate_heartbeats,
        fast_boot_slow_writes,
        leader_partitioned_from_peers,
        slow_state_service,
        ten_failovers,
        team_at_quota,
        delayed_commands,
        all_controllers_restart,
        zone_loses_machines,
        demand_exceeds_capacity,
        tasks_end_far_apart,
    ],
    ids=lambda fault: fault.__name__,
)
@pytest.mark.parametrize("seed", [1, 2])
def test_a_meeting_keeps_the_rules(
    fault: Callable[[World], Coroutine[Any, Any, None]],
    seed: int,
) -> None:
    async def scenario() -> World:
        world = World(seed=seed)
        for job in JOBS:
            assert await world.submit(job) in (200, 201)
        spawn(world, send_edge_case_requests(world, 40.0))

        # A steady arrival of jobs with one to three tasks.
        async def submit_small_jobs() -> None:
            for n in range(30):
                await world.submit(
                    spec(
                        f"req-{n + 100}",
                        task_count=1 + n % 3,
                        estimated_run_s=3.0 + n % 5,
                        team=("blue", "red")[n % 2],
                    )
                )
                await asyncio.sleep(1.0)

        spawn(world, submit_small_jobs())
        await fault(world)
        world.faults_end_at = world.now()
        await world.poll_until_terminal()
        await asyncio.sleep(30.0)
        assert not world.on_machines()
        assert len(world.terminal_phases) == len(world.last_phases) >= len(JOBS)
        assert world.underserved_groups() == []
        return world

    world = run(scenario)
    assert world.broken == []


def test_one_task_jobs_four_a_second_a_quarter_cancelled() -> None:
    # Two minutes of load: the writes stay within the rate limit, and no record is left behind.
    async def scenario() -> World:
        world = World(seed=4, max_machines=40)
        await loaded_leader(world)

        async def one(n: int) -> None:
            job_id = f"req-{n}"
            await world.submit(spec(job_id, task_count=1, vcpus=1.0, estimated_run_s=4.0))
            if n % 4 == 0:
                await asyncio.sleep(world.rng.uniform(0.0, 6.0))
                await world.cancel(job_id)

        for n in range(480):
            spawn(world, one(n))
            await asyncio.sleep(0.25)
        world.faults_end_at = world.now()
        await world.poll_until_terminal()
        term = (await loaded_leader(world)).term
        assert term is not None and not term.ledger.jobs
        assert not term.outcomes.pending_writes and not term.outcomes.indeterminate
        assert not [key for key in world.state.keys if key.startswith("job/")]
        return world

    world = run(scenario)
    assert world.broken == [] and len(world.terminal_phases) == 480
    assert world.state.refused == []


def test_the_checker_sees_who_is_not_served() -> None:
    async def scenario() -> list[list[str]]:
        world = World(seed=1)
        for n, team in enumerate(("blue", "blue", "red", "red")):
            one = spec(f"req-{n}", team=team, task_count=n + 1, job_class="bc"[n // 2])
            world.specs[one.job_id], world.accepted[one.job_id] = one, 1000.0
            world.first_start_at[one.job_id] = 1010.0
        found = [world.underserved_groups()]
        world.first_start_at["req-3"] = 1300.0
        found.append(world.underserved_groups())
        del world.first_start_at["req-2"]
        found.append(world.underserved_groups())
        world.cancel_requested |= {"req-2", "req-3"}  # cancelled jobs don't count as unserved
        found.append(world.underserved_groups())
        return found

    assert run(scenario) == [[], ["largest of c"], ["class c", "team red", "largest of c"], []]


def test_a_job_written_late_is_not_taken_in_again_once_it_is_over() -> None:
    async def scenario() -> World:
        world = World(seed=1)
        leader = await loaded_leader(world)
        await world.submit(spec("req-1", task_count=1, estimated_run_s=200.0))
        assert await world.cancel("req-1") == "aborted"
        assert leader.term is not None
        again = msgspec.structs.replace(world.specs["req-1"], at=1000.0)
        leader.term.job_records.add_job(again, leader.term.context.revision + 1)
        await asyncio.sleep(10.0)
        assert "req-1" not in leader.term.ledger.jobs
        return world

    assert run(scenario).broken == []
