"""Cost with 4,000 machines, and limits that a smaller fleet never reaches."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import pytest
from tornado.testing import AsyncTestCase, gen_test

from helpers import heartbeat, job, ledger, machine, ready, settings
from salthead.autoscaling import fleet_plan
from salthead.cluster import machine_registry
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import LOST, UP
from salthead.cluster.sweep import sweep
from salthead.controller.controller import Controller
from salthead.controller.handlers import ClientHandlers
from salthead.controller.server import listen
from salthead.heartbeats.handling import handle_heartbeat
from salthead.leader.cloud import CloudClient
from salthead.leader.machine_list import LIST_INTERVAL_S, MachineListLoop
from salthead.leader.term import Term
from salthead.leases import redirects
from salthead.scheduling import scheduling_pass
from salthead.state_store import records
from salthead.state_store.pages import Pages
from standins import World, run
from test_scale import booked_out_fleet, count_calls, task_rows

LARGE, SMALL = 4000, 400
MARGIN = 1.3  # permitted variation between two counts of the same work


def growth_factor(cost: Callable[[int], int]) -> float:
    """Return the cost for 4,000 machines divided by the cost for 400."""
    return cost(LARGE) / cost(SMALL)


@pytest.mark.parametrize("gone", [0, 1])
def test_work_per_report_does_not_grow_with_the_fleet(gone: int) -> None:
    def cost(machines: int) -> int:
        led = booked_out_fleet(machines)
        handle_heartbeat(led, heartbeat("m1", 2, *task_rows(led, "m1")), 1.0)
        return count_calls(
            lambda: handle_heartbeat(led, heartbeat("m1", 3, *task_rows(led, "m1", gone)), 2.0)
        )

    assert growth_factor(cost) <= MARGIN


def test_a_pass_does_not_grow_with_a_fleet_that_is_full() -> None:
    def cost(machines: int) -> int:
        led = booked_out_fleet(machines)
        return count_calls(lambda: scheduling_pass.schedule(led, random.Random(1), 10.0))

    assert growth_factor(cost) <= MARGIN


def third_lost(machines: int) -> Ledger:
    """Return a fleet in which every third machine has been silent for longer than its lease."""
    led = booked_out_fleet(machines)
    for n, found in enumerate(led.machines.values()):
        found.last_heartbeat_at = found.acknowledged_at = 0.0 if n % 3 == 0 else 100.0
    return led


def failover(machines: int) -> Ledger:
    """Return a new leader's ledger: the machine registry is loaded, no heartbeat has arrived."""
    led = ledger(100.0)
    for n in range(machines):
        led.add_machine(f"m{n}", "small", "north", False, 100.0, registered=True)
    return led


def plan(led: Ledger, now: float) -> fleet_plan.Plan:
    return fleet_plan.plan(led, now, fleet_plan.CapacityBackoff(), {})


async def leading_term(world: World) -> Term:
    """Wait for a leader, and return its term."""
    while (leader := world.leader()) is None or leader.term is None:
        await asyncio.sleep(0.05)
    return leader.term


def return_lost_machines(led: Ledger) -> None:
    for name in [name for n, name in enumerate(led.machines) if n % 3 == 0]:
        handle_heartbeat(led, heartbeat(name, 9, incarnation=2), 110.0)


def lose_and_return_machines(led: Ledger) -> None:
    sweep(led, 100.0)
    return_lost_machines(led)


@pytest.mark.parametrize(
    ("prepare", "work"),
    [
        (booked_out_fleet, lambda led: plan(led, 10.0)),
        (third_lost, lambda led: sweep(led, 100.0)),
        (third_lost, lambda led: (sweep(led, 100.0), plan(led, 101.0))),
        (third_lost, lose_and_return_machines),
        (
            failover,
            lambda led: (sweep(led, 101.0), led.failover.unreconciled_capacity(), plan(led, 101.0)),
        ),
        (failover, lambda led: (led.failover.sweep(103.0), led.failover.by_reason())),
        (booked_out_fleet, lambda led: led.invariants.audit(1000.0)),
    ],
    ids=["plan", "loss", "plan after a loss", "return", "takeover", "takeover waits", "audit"],
)
def test_work_for_the_whole_fleet_grows_no_faster_than_it(
    prepare: Callable[[int], Ledger], work: Callable[[Ledger], Any]
) -> None:
    def cost(machines: int) -> int:
        led = prepare(machines)
        return count_calls(lambda: work(led))

    assert growth_factor(cost) <= MARGIN * LARGE / SMALL


@pytest.mark.parametrize(("machines", "hired"), [(10, 50), (400, 50), (2000, 200), (4000, 400)])
def test_a_plan_hires_more_for_a_larger_fleet(machines: int, hired: int) -> None:
    # A fixed batch size would be an ever smaller share of a growing fleet.
    led = booked_out_fleet(machines, jobs=8)
    job(led, job_id="req-99", task_count=100_000, vcpus=2.0, estimated_run_s=500.0)
    assert sum(plan(led, 10.0).to_provision.values()) == hired


def test_no_call_hires_more_than_the_cloud_takes() -> None:
    async def scenario() -> list[int]:
        world = World(seed=1, controllers=1, max_machines=4000)
        term = await leading_term(world)
        led = term.ledger
        while not led.ready:
            await asyncio.sleep(0.05)
        for n in range(2000):
            found = machine(led, f"host-9{n:05d}", world.now(), fencing_token=led.fencing_token)
            found.quarantine_reason = "full"
        asked: list[int] = []

        async def provision(kind: Any, count: int) -> None:
            asked.append(count)

        term.autoscaler.provision = provision  # type: ignore[method-assign]
        led.team_limits[:] = [(1e9, 1e9) for _ in led.team_limits]
        job(led, now=world.now(), task_count=5000, vcpus=2.0, estimated_run_s=500.0)
        term.autoscaler.plan_requested.set()
        await asyncio.sleep(0.3)
        return asked

    asked = run(scenario)
    assert len(asked) >= 4 and max(asked) <= fleet_plan.MAX_PROVISION_BATCH


def test_a_loss_frees_everything_that_it_took() -> None:
    led = third_lost(LARGE)
    bound = sum(len(one.bindings) for one in led.jobs.values())
    sweep(led, 100.0)
    lost = [m for m in led.machines.values() if m.phase != UP]
    assert len(lost) == 1334 and not any(m.bindings for m in lost)
    assert sum(len(one.bindings) for one in led.jobs.values()) < bound


def test_all_machines_that_go_at_once_are_known_to_be_gone() -> None:
    # With only 2,000 names remembered, the older half of the machines reappeared from the cloud's
    # lagging list as machines that nobody had provisioned.
    led = ready()
    names = [machine(led, f"host-{n:06d}").name for n in range(LARGE)]
    for name in names:
        led.machine_gone(led.machines[name], 5.0)
    assert len(led.recently_gone) == LARGE > machine_registry.MIN_REMEMBERED_MACHINES
    assert all(handle_heartbeat(led, heartbeat(name, 2), 6.0) is None for name in names)
    assert led.machines == {} and led.unstored_machines == {}


def test_names_of_machines_that_went_long_ago_are_dropped() -> None:
    led = ready()
    for n in range(LARGE):
        led.machine_gone(machine(led, f"host-{n:06d}"), float(n))
    assert len(led.recently_gone) == machine_registry.MIN_REMEMBERED_MACHINES
    assert f"host-{LARGE - 1:06d}" in led.recently_gone


def test_the_roster_loop_looks_only_at_machines_that_the_service_does_not_know() -> None:
    led = booked_out_fleet(LARGE)
    assert led.unstored_machines == {}
    new_machine = led.add_machine("m-new", "small", "north", False, 0.0)
    assert list(led.unstored_machines) == [new_machine]
    led.machine_registry.mark_registered(new_machine)
    assert new_machine.registered and led.unstored_machines == {}


@pytest.mark.parametrize(("value_kb", "most"), [(2.0, 160), (4.0, 80), (16.0, 20)])
def test_the_roster_of_four_thousand_takes_few_values(value_kb: float, most: int) -> None:
    pages = Pages(records.MACHINE_REGISTRY, value_kb)
    for n in range(LARGE):
        pages.set(f"host-{n:06d}", ["small", "north", False, f"10.1.{n // 250}.{n % 250}:9000"])
    assert len(pages.pages) <= most
    assert max(pages.sizes.values()) <= value_kb * 1024


def test_workers_sent_to_the_leader_are_not_counted_anew_at_each_report() -> None:
    controller = Controller(settings("n1", ("n0",)), now=lambda: 50.0)
    controller.leader_view.member = "n0"
    for n in range(LARGE):
        controller.heartbeats.redirect(f"m{n}")
    assert controller.connectivity.redirected_count() == LARGE
    assert count_calls(controller.connectivity.redirected_count) < 10
    controller.context.now = lambda: 60.0
    assert controller.connectivity.redirected_count() == 0


def test_a_node_behind_a_cut_does_not_walk_over_all_workers_at_each_report() -> None:
    history = redirects.RedirectHistory()
    for n in range(3 * redirects.MIN_REMEMBERED_REDIRECTS):
        history.record(f"m{n}", 1.0)
    before = history.redirected_at
    history.record("m-new", 1.0)
    assert history.redirected_at is before, (
        "no entry is old enough to expire, so the entries are not scanned"
    )


@pytest.mark.parametrize(("rps", "calls_made"), [(4.0, 1), (4.0, 8), (8.0, 8), (8.0, 80)])
def test_a_long_machine_list_leaves_calls_for_hires(rps: float, calls_made: int) -> None:
    async def scenario() -> float:
        world = World(seed=1, controllers=1)
        term = await leading_term(world)
        controller = world.leader()
        assert controller is not None
        controller.limits.cloud.rps = rps
        cloud = CloudClient(controller.cloud, controller.limits.cloud, controller.now)
        machine_list = MachineListLoop(term.context, cloud, term.machine_type_records)
        return machine_list.list_interval_s(calls_made)

    gap_s = run(scenario)
    reading_s = calls_made / (0.7 * rps)
    assert gap_s >= LIST_INTERVAL_S and reading_s <= 0.34 * (reading_s + gap_s) or calls_made == 1


def test_machines_whose_lease_has_ended_are_asked_no_more_after_a_takeover() -> None:
    async def scenario() -> list[str]:
        world = World(seed=1, controllers=1)
        term = await leading_term(world)
        while not term.ledger.loaded:
            await asyncio.sleep(0.05)
        asked: list[str] = []
        machines = [
            machine(term.ledger, name, fencing_token=term.fencing_token) for name in ("m1", "m2")
        ]
        for one in machines:
            one.reconciled = False

        async def reconcile(machine: Any, timeout: float) -> None:
            asked.append(machine.name)

        term.worker_calls.reconcile = reconcile  # type: ignore[method-assign]
        term.ledger.set_phase(machines[0], LOST)
        await term.worker_calls.reconcile_all(machines)
        return asked

    assert set(run(scenario)) == {"m2"}


class TurnsTest(AsyncTestCase):
    """With more workers than sockets, each connection is closed after its answer."""

    @gen_test
    async def test_all_are_answered_where_there_are_fewer_sockets_than_workers(self) -> None:
        controller = Controller(settings())
        server = listen(
            controller, ClientHandlers(controller).router(), "127.0.0.1:0", max_connections=10
        )
        port = next(iter(server._sockets.values())).getsockname()[1]
        closing: list[bool] = []
        kept: list[asyncio.StreamWriter] = []

        async def ask() -> bytes:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            kept.append(writer)
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            closing.append(b"Connection: close" in head)
            return head

        # None of them closes its connection: 40 stay behind on 10 sockets unless the server does.
        answers = [await ask() for _ in range(40)]
        assert all(head.startswith(b"HTTP/1.1 503") for head in answers)
        assert closing[:8] == [False] * 8 and all(closing[8:])
        assert len(server.connections.last_used_at) <= 9
        for writer in kept:
            writer.close()
        server.stop()
