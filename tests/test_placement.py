"""Placement, zones, quotas, preemption, capacity reservation and the fleet plan."""

import random

import pytest

from helpers import heartbeat, job, machine, ready, verbs
from salthead.autoscaling import fleet_plan, provision_limits
from salthead.cluster import machine_health
from salthead.cluster.estimates import remaining_run_s
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import LOST, Job
from salthead.cluster.resources import Resources, ResourceUsage
from salthead.cluster.sweep import sweep
from salthead.heartbeats.handling import handle_heartbeat
from salthead.scheduling import (
    eligibility,
    gangs,
    placement,
    preemption,
    queue_order,
    scheduling_pass,
)


def place(led: Ledger, now: float = 0.0, seed: int = 1):
    return scheduling_pass.schedule(led, random.Random(seed), now)


@pytest.mark.parametrize(
    ("kind", "changes", "fits"),
    [
        ({}, {}, True),
        ({"zone": "south"}, {"zone": "north"}, False),
        ({"zone": "south"}, {"zone": "south"}, True),
        ({"machine_type": "big"}, {"machine_types": ["small"]}, False),
        ({"machine_type": "big"}, {"machine_types": ["small", "big"]}, True),
        ({"spot": True}, {"spot": False}, False),
        ({"spot": True}, {"spot": True}, True),
        ({}, {"vcpus": 8.5}, False),
        ({}, {"accelerators": 1.0}, False),
        ({"machine_type": "big"}, {"accelerators": 1.0}, True),
        ({}, {"ram_gb": 33.0}, False),
    ],
)
def test_filter(kind: dict, changes: dict, fits: bool) -> None:
    led = ready()
    machine(led, "m1", **kind)
    one = job(led, task_count=1, **changes)
    place(led)
    assert bool(one.bindings) == fits


@pytest.mark.parametrize(
    ("modify", "fits"),
    [
        (lambda m: None, True),
        (lambda m: setattr(m, "registered", False), False),
        (lambda m: setattr(m, "reconciled", False), False),
        (lambda m: setattr(m, "reclaim_at", 50.0), False),
        (lambda m: setattr(m, "quarantine_reason", "x"), False),
        (lambda m: setattr(m, "terminating", True), False),
        # Three heartbeat intervals are 6 s.
        (lambda m: setattr(m, "last_heartbeat_at", -7.0), False),
        (lambda m: setattr(m, "last_heartbeat_at", -5.0), True),
        (lambda m: (setattr(m, "reserved_for", "req-8"), setattr(m, "reserved_until", 9.0)), False),
        (lambda m: (setattr(m, "reserved_for", "req-8"), setattr(m, "reserved_until", -1.0)), True),
    ],
)
def test_only_machines_that_are_certain_are_used(modify, fits: bool) -> None:
    led = ready()
    modify(machine(led, "m1"))
    one = job(led, task_count=1)
    place(led)
    assert bool(one.bindings) == fits


def test_of_two_drawn_the_lower_fullest_dimension_wins() -> None:
    led = ready()
    for name, used in (("m1", [4.0, 0.0, 1.0]), ("m2", [2.0, 0.0, 24.0])):
        machine(led, name).allocated = ResourceUsage(*used)
    one = job(led, task_count=1)
    place(led)
    assert one.bindings[0].machine.name == "m1", "half of the CPUs is less than most of the memory"


def test_machines_that_have_the_image_are_drawn_first() -> None:
    led = ready()
    for name in ("m1", "m2", "m3"):
        machine(led, name)
    first = job(led, job_id="req-1", task_count=1, image="i", image_gb=1.0)
    place(led)
    name, attempt = first.bindings[0].machine.name, first.bindings[0].attempt
    fetching = heartbeat(name, 2, ("req-1/0", attempt, "fetching"))
    handle_heartbeat(led, fetching, 1.0)
    assert "i" not in led.machines[name].images
    handle_heartbeat(led, heartbeat(name, 3, ("req-1/0", attempt, "running")), 2.0)
    second = job(led, job_id="req-2", task_count=4, image="i", image_gb=1.0)
    place(led, 2.0)
    where = [binding.machine.name for binding in second.bindings.values()]
    assert where.count(name) == 3 and len(where) == 4, "and others once it is full"


def test_the_cache_forgets_the_image_used_longest_ago() -> None:
    led = ready()
    m1 = machine(led, "m1")
    for name in ("a", "b", "a", "c"):
        m1.record_image(name, 4.0, 10.0)
    assert list(m1.images) == ["a", "c"]


def test_no_candidate_pauses_and_a_candidate_resets() -> None:
    led = ready()
    one = job(led, task_count=1)
    assert place(led) == [one]
    assert one.placement_backoff_until == led.limits.workers.heartbeat_interval_s, (
        "2 s doubling, capped at a report"
    )
    assert place(led, 1.0) == [], "nothing has changed"
    assert place(led, 2.0) == [one] and one.placement_backoff_until == 4.0
    led.events.capacity_freed = lambda m, now: scheduling_pass.backfill(
        led, m, random.Random(1), now
    )
    led.add_machine("m1", "small", "north", False, 2.5, registered=True)
    assert verbs(handle_heartbeat(led, heartbeat("m1", 1), 2.5)) == [("start", "req-1/0")]
    assert one.bindings and one.pause == 0.0, "freed capacity ends the pause"


def test_quota_counts_tasks_on_silent_machines_and_on_their_way_out() -> None:
    led = ready()
    for n in range(6):
        machine(led, f"m{n}")
    first = job(led, job_id="req-1", team="red", task_count=3, vcpus=8.0)
    place(led)
    assert len(first.bindings) == 3
    second = job(led, job_id="req-2", team="red", task_count=1, vcpus=2.0)
    led.end_job(first, "aborted", 1.0)
    place(led, 3.0)
    assert not second.bindings, "the cancelled tasks are not known to be gone"
    handle_heartbeat(led, heartbeat(first.bindings[0].machine.name, 2), 4.0)
    place(led, 6.0)
    assert second.bindings


@pytest.mark.parametrize(
    ("flags", "machines", "placed"),
    [
        ({"single_zone": True}, ["north", "south"], 0),
        ({"single_zone": True}, ["north", "south", "south"], 2),
        ({"spread_zones": True}, ["south", "south"], 0),
        ({"spread_zones": True}, ["north", "south"], 2),
        ({}, ["north", "south"], 2),
        ({"zone": "south"}, ["north", "south", "south"], 2),
    ],
)
def test_zones_of_gangs(flags: dict, machines: list[str], placed: int) -> None:
    led = ready()
    for n, zone in enumerate(machines):
        machine(led, f"m{n}", zone=zone)
    one = job(led, shape="gang", task_count=2, vcpus=8.0, **flags)
    place(led)
    assert len(one.bindings) == placed
    if not placed:
        assert all(m.allocated == ResourceUsage() for m in led.machines.values()), "released"


def test_zones_of_arrays_follow_the_tasks_that_are_still_there() -> None:
    led = ready()
    machine(led, "m1", zone="north")
    machine(led, "m2", zone="south")
    together = job(led, job_id="req-1", task_count=4, vcpus=3.0, single_zone=True)
    place(led)
    assert len({b.machine.zone for b in together.bindings.values()}) == 1
    assert len(together.bindings) == 2


def test_apart_keeps_half_rounded_up_in_a_zone() -> None:
    led = ready()
    machine(led, "m1", machine_type="big")
    one = job(led, task_count=5, vcpus=1.0, spread_zones=True)
    place(led)
    assert len(one.bindings) == 3


@pytest.mark.parametrize(
    ("mine", "theirs", "stopped"),
    [
        ({"urgency": "urgent"}, {"urgency": "idle"}, True),
        ({"urgency": "urgent"}, {"urgency": "urgent"}, False),
        ({"urgency": "idle"}, {"urgency": "normal"}, False),
        # A team within its guarantee preempts work of any urgency of a team beyond its own.
        (
            {"urgency": "idle", "team": "red"},
            {"urgency": "prod", "vcpus": 4.0, "task_count": 8},
            True,
        ),
        # It preempts none of a team that is within its own guarantee.
        (
            {"urgency": "idle", "team": "red"},
            {"urgency": "prod", "vcpus": 4.0, "task_count": 4},
            False,
        ),
    ],
)
def test_who_may_be_stopped(mine: dict, theirs: dict, stopped: bool) -> None:
    led = ready()
    other = job(led, job_id="req-9", at=1.0, **({"task_count": 4} | theirs))
    cpus = other.request[0] * other.spec.task_count
    for n in range(int(cpus // 8)):
        machine(led, f"m{n}")
    place(led)
    assert len(other.bindings) == other.spec.task_count
    one = job(led, job_id="req-1", at=2.0, **({"task_count": 1, "vcpus": 4.0} | mine))
    one.since = -999.0
    preemption.preempt(led, place(led, 1.0), 1.0)
    assert any(b.stop_grace_s is not None for b in other.bindings.values()) == stopped
    assert any(m.reserved_for == one.job_id for m in led.machines.values()) == stopped


@pytest.mark.parametrize(
    ("shape", "preempted", "waited", "stopped"),
    [
        ("array", False, 1.0, False),
        ("array", False, 59.0, False),
        ("array", False, 61.0, True),
        ("gang", False, 59.0, False),
        ("gang", False, 61.0, True),
        ("gang", True, 61.0, False),
    ],
)
def test_work_makes_way_for_a_guarantee_only_where_hiring_has_not_helped(
    shape: str, preempted: bool, waited: float, stopped: bool
) -> None:
    # Preemption without this delay caused 2,400 stops a day, and stopped gangs every few seconds.
    led = ready()
    for n in range(4):
        machine(led, f"m{n}")
    other = job(led, job_id="req-9", shape=shape, task_count=4, vcpus=8.0, at=1.0)
    place(led)
    assert len(other.bindings) == 4
    other.preempted = preempted
    job(led, job_id="req-1", team="red", task_count=1, vcpus=4.0, at=2.0, urgency="idle")
    for name in list(led.machines):
        handle_heartbeat(
            led,
            heartbeat(
                name,
                2,
                *(
                    (f"req-9/{n}", b.attempt, "running")
                    for n, b in other.bindings.items()
                    if b.machine.name == name
                ),
            ),
            waited,
        )
    preemption.preempt(led, place(led, waited), waited)
    assert any(b.stop_grace_s is not None for b in other.bindings.values()) == stopped


def test_small_tasks_are_stopped_rather_than_a_gang_that_has_just_begun() -> None:
    led = ready()
    for n in range(3):
        machine(led, f"m{n}")
    gang = job(led, job_id="req-9", shape="gang", task_count=2, vcpus=8.0, urgency="idle")
    place(led)
    free = next(m for m in led.machines.values() if not m.bindings)
    small = job(led, job_id="req-8", task_count=4, urgency="idle")
    place(led, 0.1)
    for index, binding in small.bindings.items():
        assert binding.machine is free
        binding.phase, binding.started = "running", -15.0 + index
    urgent = job(led, job_id="req-1", task_count=1, urgency="urgent")
    preemption.preempt(led, [urgent], 1.0)
    assert [n for n, b in small.bindings.items() if b.stop_grace_s is not None] == [3]
    assert not any(b.stop_grace_s is not None for b in gang.bindings.values())


def test_room_made_is_kept_for_the_job_it_was_made_for() -> None:
    led = ready()
    machine(led, "m1")
    other = job(led, job_id="req-9", urgency="idle", task_count=4, at=1.0)
    place(led)
    late = job(led, job_id="req-2", urgency="urgent", task_count=1, vcpus=8.0, at=3.0)
    preemption.preempt(led, place(led, 1.0), 1.0)
    # The tasks are stopped and exit; no task of urgency idle may take the freed capacity.
    handle_heartbeat(
        led,
        heartbeat(
            "m1",
            2,
            *(
                (f"req-9/{n}", b.attempt, "exited", "halted")
                for n, b in list(other.bindings.items())
            ),
        ),
        2.0,
    )
    place(led, 2.5)
    assert not other.bindings
    place(led, 3.0)
    assert late.bindings


class TestSilentMachines:
    """Gangs with a member on a machine that has gone silent.

    When 41 of 600 machines die at once, nearly every gang of 24 has a member on one of them. All
    other members would wait until the lease of that machine has expired.
    """

    def gang(self, led: Ledger, machines: int = 4, **changes) -> Job:
        for n in range(machines):
            machine(led, f"m{n}")
        return job(led, shape="gang", task_count=3, vcpus=8.0, urgency="urgent", **changes)

    @pytest.mark.parametrize(
        ("heard", "placed"),
        [(1.0, 3), (0.6, 3), (0.4, 0), (-1.0, 0)],
    )
    def test_a_gang_is_not_drawn_on_a_machine_whose_report_is_overdue(
        self,
        heard: float,
        placed: int,
    ) -> None:
        led = ready()
        one = self.gang(led, 3)
        for found in led.machines.values():
            found.last_heartbeat_at = 4.0
        # A heartbeat is overdue after 1.25 intervals of 2 s and another second.
        led.machines["m1"].last_heartbeat_at = heard
        place(led, 4.0)
        assert len(one.bindings) == placed

    def test_a_member_of_which_nobody_was_told_goes_elsewhere_with_its_attempt(self) -> None:
        led = ready()
        one = self.gang(led)
        place(led)
        used = [one.bindings[n].machine for n in range(3)]
        spare = next(m for m in led.machines.values() if not m.bindings)
        for n in (0, 1):  # these receive their starts; the third machine has died
            orders = handle_heartbeat(led, heartbeat(used[n].name, 2), 1.0)
            assert verbs(orders) == [("start", f"req-1/{n}")]
        for found in (used[0], spare):
            handle_heartbeat(led, heartbeat(found.name, 3), 4.0)
        attempt = one.attempt
        placement.reschedule_unsent(led, random.Random(1), 4.0)
        assert one.bindings[2].machine is spare and one.bindings[2].attempt == attempt
        assert one.bindings[1].machine is used[1], "its start was sent, so it may be running there"
        assert not one.failed and not used[2].bindings and used[2].allocated.cpus == 0.0
        assert led.allocated_by_team[one.team][0] == 24.0 and sum(led.bound_by_priority) == 3
        assert verbs(handle_heartbeat(led, heartbeat(spare.name, 4), 5.0)) == [("start", "req-1/2")]

    def test_a_member_stays_in_its_gangs_zone(self) -> None:
        led = ready()
        one = self.gang(led, 3, single_zone=True)
        place(led)
        machine(led, "s1", 4.0, zone="south")
        placement.reschedule_unsent(led, random.Random(1), 4.0)
        assert all(b.machine.zone == led.zones.get("north") for b in one.bindings.values())

    @pytest.mark.parametrize(("told", "left"), [(False, 0), (True, 1)])
    def test_a_single_task_of_which_nobody_was_told_is_free_at_once(
        self,
        told: bool,
        left: int,
    ) -> None:
        led = ready()
        machine(led, "m1")
        one = job(led, task_count=1)
        place(led)
        if told:
            handle_heartbeat(led, heartbeat("m1", 2), 0.1)
        placement.reschedule_unsent(led, random.Random(1), 4.0)
        assert len(one.bindings) == left
        assert one.waiting() == 1 - left and led.allocated_by_team[one.team][0] == 2.0 * left

    def test_room_made_on_a_machine_that_goes_silent_is_made_elsewhere(self) -> None:
        led = ready()
        for n in range(4):
            machine(led, f"m{n}")
        other = job(led, job_id="req-9", urgency="idle", task_count=16, at=1.0)
        place(led)
        assert len(other.bindings) == 16
        one = job(led, shape="gang", task_count=3, vcpus=8.0, urgency="urgent", at=2.0)
        preemption.preempt(led, place(led, 1.0), 1.0)
        kept = {m.name for m in led.capacity_index.reserved_machines(one.job_id, 1.0)}
        silent = sorted(kept)[0]
        for name in set(led.machines) - {silent}:
            led.machines[name].last_heartbeat_at = 5.0
        one.placement_backoff_until = 0.0
        preemption.preempt(led, place(led, 5.0), 5.0)
        assert {m.name for m in led.capacity_index.reserved_machines(one.job_id, 5.0)} == set(
            led.machines
        ) - {silent}


class TestKeepingRoom:
    def fill_half(self, led: Ledger, machines: int = 2) -> None:
        """Fill half of every machine with small tasks."""
        for n in range(machines):
            machine(led, f"m{n}")
            small = job(led, job_id=f"req-{n + 10}", task_count=2, estimated_run_s=10.0 * (n + 1))
            for index in range(2):
                led.allocations.bind(small, index, led.machines[f"m{n}"], 5, 0.0)

    def test_a_starved_gang_gets_machines_that_others_then_leave_alone(self) -> None:
        # Without a reservation small tasks take each freed CPU, and only a third of the large tasks
        # start in time.
        led = ready()
        self.fill_half(led, 3)
        gang = job(led, job_id="req-1", shape="gang", task_count=2, vcpus=8.0)
        gangs.reserve_machines(led, place(led), 0.0)
        late = job(led, job_id="req-2", task_count=8, at=2000.0)
        place(led)
        kept = [m.name for m in led.machines.values() if m.reserved_for == "req-1"]
        assert kept == ["m0", "m1"], "those that become free first"
        before = dict(late.bindings)
        led.events.capacity_freed = lambda m, now: scheduling_pass.backfill(
            led, m, random.Random(1), now
        )
        for name in kept:
            handle_heartbeat(
                led,
                heartbeat(
                    name,
                    2,
                    *((f"req-{int(name[1]) + 10}/{n}", 5, "exited", "done") for n in range(2)),
                ),
                1.0,
            )
        assert len(gang.bindings) == 2 and late.bindings == before

    @pytest.mark.parametrize(("crowded", "kept"), [(True, False), (False, True)])
    def test_room_is_kept_early_only_while_nobody_else_waits(
        self, crowded: bool, kept: bool
    ) -> None:
        # Without a reservation, 11 gangs waited while 200 CPUs were free but spread over machines.
        led = ready(objectives=[{"kind": "wait", "class": "b", "within_s": 100.0, "share": 0.9}])
        self.fill_half(led)
        gang = job(led, job_id="req-1", shape="gang", task_count=2, vcpus=8.0, at=0.0)
        if crowded:
            job(led, job_id="req-2", task_count=1)
        gangs.reserve_machines(led, [gang], 0.0)
        assert any(m.reserved_for for m in led.machines.values()) == kept

    def test_room_is_kept_only_once_half_of_the_wait_is_gone(self) -> None:
        led = ready(objectives=[{"kind": "wait", "class": "b", "within_s": 100.0, "share": 0.9}])
        self.fill_half(led)
        gang = job(led, job_id="req-1", shape="gang", task_count=2, vcpus=8.0, at=0.0)
        job(led, job_id="req-2", task_count=1)
        gangs.reserve_machines(led, [gang], 0.0)
        assert not any(m.reserved_for for m in led.machines.values())
        for name in ("m0", "m1"):
            handle_heartbeat(
                led,
                heartbeat(
                    name, 2, *((f"req-{int(name[1]) + 10}/{n}", 5, "running") for n in range(2))
                ),
                60.0,
            )
        gangs.reserve_machines(led, [gang], 60.0)
        assert all(m.reserved_for for m in led.machines.values())

    def test_all_or_none(self) -> None:
        led = ready()
        self.fill_half(led, 1)
        gang = job(led, job_id="req-1", shape="gang", task_count=2, vcpus=8.0)
        gangs.reserve_machines(led, [gang], 0.0)
        assert not any(m.reserved_for for m in led.machines.values())


class TestFleet:
    def plan(self, led: Ledger, now: float = 0.0, capacity_backoff=None) -> fleet_plan.Plan:
        return fleet_plan.plan(led, now, capacity_backoff or fleet_plan.CapacityBackoff(), {})

    def test_the_cheapest_kind_that_suits_is_hired_for_what_finds_no_room(self) -> None:
        led = ready()
        job(led, task_count=4, vcpus=8.0, estimated_run_s=100.0)
        to_provision = self.plan(led).to_provision
        assert sum(to_provision.values()) == 4
        assert all(not kind[2] and led.type_names[kind[0]] == "small" for kind in to_provision)
        led.jobs["req-1"].spec.spot = True
        assert all(kind[2] for kind in self.plan(led).to_provision)

    def test_short_tasks_share_places(self) -> None:
        led = ready()
        job(led, task_count=4, vcpus=8.0, estimated_run_s=15.0)
        assert sum(self.plan(led).to_provision.values()) == 1

    @pytest.mark.parametrize(
        ("up", "booting", "task_count", "lasted", "to_provision"),
        [
            # 60 s of work for two machines: a boot takes 20 s, so six are wanted.
            (2, 0, 8, 11.0, 4),
            (2, 0, 8, 9.0, 0),  # the queue has not lasted for half of a boot
            (2, 0, 2, 11.0, 0),  # 15 s of work
            (2, 1, 16, 11.0, 0),  # a third of the fleet is booting
        ],
    )
    def test_a_line_that_stays_longer_than_a_boot_shares_fewer_places(
        self,
        up: int,
        booting: int,
        task_count: int,
        lasted: float,
        to_provision: int,
    ) -> None:
        # Without this rule 12,000 tasks waited while 1,700 CPUs were not provisioned. Provisioning
        # for every long queue, or for every queue that is due, costs a small deployment as much as
        # it gains for a large one.
        led = ready()
        for n in range(up):
            machine(led, f"m{n}")
        for n in range(booting):
            led.add_machine(f"h{n}", "small", "north", False, 0.0)
        job(led, task_count=task_count, vcpus=8.0, estimated_run_s=15.0)
        usual = sum(self.plan(led).to_provision.values())
        assert sum(self.plan(led, lasted).to_provision.values()) - usual == to_provision, usual

    def test_booting_machines_count_and_the_teams_limit_binds(self) -> None:
        led = ready()
        job(led, team="red", task_count=50, vcpus=8.0, estimated_run_s=100.0)
        assert sum(self.plan(led).to_provision.values()) == 3
        led.add_machine("h1", "small", "north", False, 0.0)
        assert sum(self.plan(led).to_provision.values()) == 2

    def test_a_refused_kind_is_left_alone_for_a_while(self) -> None:
        led = ready()
        job(led, task_count=1, estimated_run_s=100.0, machine_types=["small"], zone="north")
        capacity_backoff = fleet_plan.CapacityBackoff()
        (kind,) = self.plan(led, 0.0, capacity_backoff).to_provision
        capacity_backoff.record_shortage(kind, 0.0)
        assert not self.plan(led, 1.0, capacity_backoff).to_provision
        assert self.plan(led, 60.0, capacity_backoff).to_provision

    @pytest.mark.parametrize(
        ("modify", "now", "back"),
        [
            (lambda led: machine(led, "m1"), 30.0, False),
            (lambda led: setattr(machine(led, "m1"), "quarantine_reason", "sick"), 1.0, True),
            (lambda led: setattr(machine(led, "m1"), "phase", "lost"), 1.0, True),
            (lambda led: led.add_machine("m1", "small", "north", False, 0.0), 50.0, False),
            (lambda led: led.add_machine("m1", "small", "north", False, 0.0), 61.0, True),
        ],
    )
    def test_returns(self, modify, now: float, back: bool) -> None:
        led = ready()
        modify(led)
        assert bool(self.plan(led, now).to_terminate) == back

    def test_a_new_leader_does_not_return_machines_that_it_has_not_heard_from_yet(self) -> None:
        # A new leader terminated 15 running machines, taking them for machines that never booted.
        led = ready(now=500.0)
        led.add_machine("m1", "small", "north", False, 500.0, registered=True).provisioned_at = 0.0
        led.add_machine("m2", "small", "north", False, 500.0).provisioned_at = 0.0
        assert not self.plan(led, 501.0).to_terminate
        sweep(led, 600.0)
        assert [m.name for m in self.plan(led, 600.0).to_terminate] == ["m1", "m2"]

    @pytest.mark.parametrize(
        ("lost", "up", "now", "returned"),
        [(1, 9, 101.0, 1), (5, 5, 101.0, 0), (5, 5, 121.0, 5)],
    )
    def test_many_machines_lost_at_once_are_waited_for(
        self, lost: int, up: int, now: float, returned: int
    ) -> None:
        # In a network partition between zones, half of the fleet was terminated and booted again.
        led = ready()
        for n in range(lost + up):
            machine(led, f"m{n}")
        job(led, task_count=10, vcpus=8.0, estimated_run_s=500.0, team="red")
        for n in range(lost):
            led.machines[f"m{n}"].phase, led.machines[f"m{n}"].lost_at = LOST, 100.0
        assert len(self.plan(led, now).to_terminate) == returned

    @pytest.mark.parametrize(
        ("silent", "heard", "now", "returned"),
        [(1, 9, 2.0, 0), (1, 9, 4.0, 1), (4, 6, 4.0, 0), (1, 1, 4.0, 1)],
    )
    def test_few_silent_machines_do_not_hold_up_a_takeover(
        self, silent: int, heard: int, now: float, returned: int
    ) -> None:
        led = ready()
        led.ready = False
        for n in range(silent):
            led.add_machine(f"s{n}", "small", "north", False, 0.0, registered=True)
        for n in range(heard):
            machine(led, f"m{n}")
        assert len(self.plan(led, now).to_terminate) == returned

    def test_what_is_not_needed_for_a_while_is_emptied_and_returned(self) -> None:
        led = ready()
        for n in range(2):
            machine(led, f"m{n}")
        machine(led, "cheap", spot=True)
        one = job(led, task_count=2, spot=True)
        for index, name in enumerate(("m0", "m1")):
            led.allocations.bind(one, index, led.machines[name], 9, 0.0)
        assert not self.plan(led, 1.0).to_terminate
        for name in ("m0", "m1", "cheap"):
            led.machines[name].last_heartbeat_at = 21.0
        assert not self.plan(led, 22.0).to_terminate, "both still work"
        assert [m.name for m in led.machines.values() if m.cordoned] == ["m0", "m1"]
        handle_heartbeat(led, heartbeat("m0", 2, ("req-1/0", 9, "exited", "done")), 23.0)
        assert [m.name for m in self.plan(led, 24.0).to_terminate] == ["m0"]
        # New work counts as demand and removes the cordon.
        job(led, job_id="req-2", task_count=7, estimated_run_s=100.0)
        self.plan(led, 25.0)
        assert not led.machines["m1"].cordoned

    def test_a_busy_machine_stays(self) -> None:
        led = ready()
        machine(led, "m1")
        job(led, task_count=1)
        place(led)
        assert not self.plan(led, 500.0).to_terminate


@pytest.mark.parametrize(
    ("left", "checkpoint_interval_s", "stopped"),
    [(20.0, 10.0, False), (6.0, 10.0, True), (6.0, 0.0, False), (3.0, 0.0, True)],
)
def test_tasks_on_a_machine_that_is_taken_stop_in_time(
    left: float, checkpoint_interval_s: float, stopped: bool
) -> None:
    led = ready()
    machine(led, "m1", spot=True)
    one = job(
        led,
        task_count=1,
        spot=True,
        checkpoint_interval_s=checkpoint_interval_s,
        checkpoint_save_s=3.0 if checkpoint_interval_s else 0.0,
    )
    place(led)
    attempt = one.bindings[0].attempt
    handle_heartbeat(
        led, heartbeat("m1", 2, ("req-1/0", attempt, "running"), spot=True, warning_s=left), 1.0
    )
    preemption.preempt_before_reclaim(led, 1.0)
    assert (one.bindings[0].stop_grace_s is not None) == stopped


class TestQuotaForGangs:
    """Quota that is freed in small amounts, which small tasks take before a gang can start."""

    def contended_quota(self, age: float) -> tuple[Ledger, Job, Job]:
        led = ready()
        for n in range(4):
            machine(led, f"m{n}", now=age)
        running = job(
            led, job_id="req-1", team="red", task_count=3, vcpus=6.0, urgency="idle", at=0.0
        )
        place(led, age)
        gang = job(led, job_id="req-2", team="red", shape="gang", task_count=2, vcpus=8.0, at=0.0)
        small = job(
            led, job_id="req-3", team="red", task_count=3, vcpus=2.0, urgency="idle", at=0.0
        )
        assert len(running.bindings) == 3
        return led, gang, small

    @pytest.mark.parametrize(
        ("age", "small_gang", "small_tasks"), [(10.0, 2, 1), (70.0, 0, 3), (130.0, 0, 0)]
    )
    def test_it_is_kept_from_gangs_and_in_the_end_from_all(
        self,
        age: float,
        small_gang: int,
        small_tasks: int,
    ) -> None:
        # Without the reservation gangs of 24 started after up to ten minutes. With one that begins
        # at 120 s, only a third of them started within four minutes.
        led, gang, small = self.contended_quota(age)
        other = job(led, job_id="req-4", team="red", shape="gang", task_count=2, vcpus=2.0, at=age)
        place(led, age)
        assert not gang.bindings
        assert len(other.bindings) == small_gang and len(small.bindings) == small_tasks

    def test_after_one_gang_it_is_kept_for_none_for_as_long(self) -> None:
        # Four gangs of 24 in a row with reserved quota kept all other jobs of the team waiting.
        led, gang, small = self.contended_quota(190.0)
        place(led, 190.0)
        assert not small.bindings
        led.team_limits[gang.team] = (40.0, 0.0)
        for found in led.machines.values():
            found.last_heartbeat_at = 200.0
        led.machines["m3"].capacity = Resources(40.0, 0.0, 99.0)
        led.capacity_index.reindex(led.machines["m3"])
        place(led, 200.0)
        assert gang.bindings and led.reservation_paused_until[gang.team] == 210.0
        again = job(led, job_id="req-5", team="red", shape="gang", task_count=2, vcpus=8.0, at=0.0)
        place(led, 205.0)
        assert not again.bindings and again.reserved_at is None
        place(led, 211.0)
        assert again.reserved_at == 211.0

    def test_it_is_not_kept_for_ever(self) -> None:
        led, gang, small = self.contended_quota(10.0)
        assert queue_order.reserves_quota(gang, 2 * queue_order.BEGIN_WITHIN_S - 1.0)
        assert not queue_order.reserves_quota(gang, 3 * queue_order.BEGIN_WITHIN_S + 1.0)


class TestOutlivedEstimates:
    """Tasks that run for longer than their estimate.

    Gangs of 12 and 24 waited for 100 s, while the fleet was scaled in, for capacity on machines
    whose tasks were long past their estimated end.
    """

    @pytest.mark.parametrize(
        ("run_s", "age_s", "left"),
        [(180.0, 0.0, 180.0), (180.0, 150.0, 30.0), (180.0, 180.0, 90.0), (25.0, 30.0, 15.0)],
    )
    def test_who_outlives_an_estimate_is_not_about_to_end(
        self,
        run_s: float,
        age_s: float,
        left: float,
    ) -> None:
        assert remaining_run_s(run_s, age_s) == left

    @pytest.mark.parametrize(("age", "to_provision"), [(10.0, 1), (95.0, 0), (250.0, 1)])
    def test_the_plan_counts_on_room_only_where_it_comes(
        self, age: float, to_provision: int
    ) -> None:
        led = ready()
        machine(led, "m1")
        old = job(led, job_id="req-9", task_count=1, vcpus=8.0, estimated_run_s=100.0)
        place(led)
        old.bindings[0].phase, old.bindings[0].started = "running", 300.0 - age
        led.machines["m1"].last_heartbeat_at = 300.0
        job(
            led,
            task_count=1,
            vcpus=8.0,
            estimated_run_s=100.0,
            machine_types=["small"],
            zone="north",
        )
        assert (
            sum(fleet_plan.plan(led, 300.0, fleet_plan.CapacityBackoff(), {}).to_provision.values())
            == to_provision
        )

    def test_room_that_is_kept_does_not_stop_room_from_being_made(self) -> None:
        led = ready()
        for n in range(2):
            machine(led, f"m{n}")
        other = job(led, job_id="req-9", urgency="idle", task_count=8, at=1.0)
        place(led)
        one = job(led, shape="gang", task_count=2, vcpus=8.0, at=2.0)
        for name in led.machines:  # reserved by an earlier pass, which found no task to preempt
            led.capacity_index.reserve(led.machines[name], one.job_id, 9.0)
        preemption.preempt(led, place(led, 1.0), 1.0)
        assert all(b.stop_grace_s is not None for b in other.bindings.values())
        stops = len(led.allocations.take_stops())
        preemption.preempt(led, [one], 1.5)
        assert stops == 8 and not led.allocations.stops, "room is being made already"


class TestScarceTypes:
    def scarce_machines(self) -> tuple[Ledger, Job]:
        led = ready()
        whole = job(led, job_id="req-1", shape="gang", task_count=2, vcpus=30.0, ram_gb=100.0)
        for n in range(2):
            machine(led, f"big{n}", machine_type="big")
            machine(led, f"small{n}")
        return led, whole

    def test_small_tasks_go_elsewhere_first(self) -> None:
        # Small tasks that are spread over the only machine type that fits a gang's members make the
        # gang wait until whole machines have drained.
        led, whole = self.scarce_machines()
        led.end_job(whole, "aborted", 1.0)
        small = job(led, job_id="req-2", task_count=8, vcpus=2.0)
        place(led)
        assert {b.machine.name for b in small.bindings.values()} == {"small0", "small1"}
        more = job(led, job_id="req-3", task_count=4, vcpus=2.0)
        place(led)
        assert len(more.bindings) == 4, "no job that needs the scarce type is waiting"

    def test_small_tasks_stay_away_while_a_gang_waits_unless_time_presses(self) -> None:
        led, whole = self.scarce_machines()
        led.machines["big0"].quarantine_reason = "x"
        small = job(led, job_id="req-2", task_count=10, vcpus=2.0, deadline_s=60.0, at=0.0)
        place(led, 1.0)
        assert not whole.bindings and len(small.bindings) == 8
        place(led, 5.9)
        assert len(small.bindings) == 8
        for name in led.machines:
            led.machines[name].last_heartbeat_at = 25.0
        place(led, 25.0)
        assert len(small.bindings) == 10

    def test_they_are_hired_last_for_who_can_do_without(self) -> None:
        led, _ = self.scarce_machines()
        small = job(led, job_id="req-2", task_count=8, vcpus=2.0, spot=True)
        kinds = provision_limits.provisionable_kinds(
            led, small, provision_limits.offered_kinds(led), fleet_plan.CapacityBackoff(), 0.0
        )
        machine_types = [led.type_names[kind[0]] for kind in kinds]
        assert machine_types.index("big") == machine_types.count("small")


def _reserve_for_other(led: Ledger, one: Job, now: float) -> None:
    led.capacity_index.reserve(led.machines["m1"], "req-8", now + 5.0)


def _exclude_after_error(led: Ledger, one: Job, now: float) -> None:
    one.error_machines.add("m1")


def _demand_scarce_type(led: Ledger, one: Job, now: float) -> None:
    # A job that fits on no other machine type, and for which the machine has no free capacity.
    if "req-8" not in led.jobs:
        job(led, now, job_id="req-8", task_count=1, vcpus=32.0, machine_types=["big"])


def _demand_team_quota(led: Ledger, one: Job, now: float) -> None:
    # A gang that exceeds its team's limit as long as the other job runs.
    if "req-8" not in led.jobs:
        job(
            led,
            now - 130.0,
            job_id="req-8",
            team="red",
            shape="gang",
            task_count=3,
            vcpus=8.0,
            at=870.0,
        )


@pytest.mark.parametrize(
    ("hold", "team"),
    [
        (_reserve_for_other, "blue"),
        (_exclude_after_error, "blue"),
        (_demand_scarce_type, "blue"),
        (_demand_team_quota, "red"),
    ],
    ids=["kept", "failed", "scarce", "quota"],
)
def test_no_hold_keeps_a_job_waiting_for_90_s_beside_room(hold, team: str) -> None:
    # Requirement: outside of faults, no job waits for 90 s while a suitable machine has free
    # capacity and its team is under its limit.
    led = ready(objectives=[{"kind": "finished", "class": "b", "within_s": 1000.0, "share": 0.9}])
    found = machine(led, "m1", machine_type="big")
    runs = job(led, job_id="req-7", team=team, task_count=1, vcpus=4.0)
    led.allocations.bind(runs, 0, found, 1, 0.0)
    one = job(led, job_id="req-1", team=team, task_count=1)
    placed = None
    for now in range(100):
        found.last_heartbeat_at = float(now)
        hold(led, one, float(now))
        place(led, float(now))
        if one.bindings and placed is None:
            placed = now
    assert placed is not None and eligibility.MAX_HELD_BACK_S <= placed < 85


def test_what_is_held_back_for_want_of_room_waits() -> None:
    # The bound applies to unused capacity, not to a queue for a full fleet.
    led = ready()
    found = machine(led, "m1")
    runs = job(led, job_id="req-7", task_count=1, vcpus=7.0)
    led.allocations.bind(runs, 0, found, 1, 0.0)
    one = job(led, job_id="req-1", task_count=1)
    for now in range(120):
        found.last_heartbeat_at = float(now)
        led.capacity_index.reserve(found, "req-8", now + 5.0)
        place(led, float(now))
    assert not one.bindings and one.held_back_since is None


@pytest.mark.parametrize("times", [1, 4, 40])
def test_no_suspicion_lasts_for_longer_than_a_lease(times: int) -> None:
    led = ready()
    found = machine(led, "m1")
    found.unresponsive_since, found.unresponsive_times = 5.0, times
    machine_health.mark_responsive(led, found, 10.0)
    assert found.trusted_again_at - 10.0 <= led.limits.workers.lease_s
    for n in range(times):
        machine_health.record_task_error(led, job(led, job_id=f"req-{n + 100}"), found, 20.0)
    assert found.error_until - 20.0 <= 30.0
