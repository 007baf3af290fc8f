"""Loss and recovery of zones: unit tests of the zone state, slow start, evacuation and policy."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import msgspec
import pytest
from pyroaring import BitMap

from helpers import heartbeat, job, ledger, machine, verbs
from salthead import policy
from salthead.autoscaling import fleet_plan, provision_limits
from salthead.cluster.ledger import Ledger
from salthead.cluster.sweep import sweep
from salthead.failure_detection.machine_sets import MachineSets, RecentSet
from salthead.heartbeats.handling import handle_heartbeat
from salthead.policy import Policy, ZonePolicy
from salthead.scheduling import eligibility, gangs, placement, scheduling_pass
from salthead.toml_file import ConfigFileError
from salthead.zones import evacuation, records
from salthead.zones.recovery import ZoneRecovery
from salthead.zones.slow_start import Progress, SlowStart
from salthead.zones.start_times import StartTimes, slow_classes
from salthead.zones.state import ZoneHealth, ZonePhase, ZoneState
from salthead.zones.views import waiting_reason
from test_scale import count_calls

ENTRIES: dict[str, Any] = {
    "enabled": True,
    "min_machines": 3,
    "suspect_share": 0.5,
    "lost_share": 0.8,
    "return_share": 0.5,
    "return_after_s": 4.0,
    "return_after_most_s": 30.0,
    "penalty_half_life_s": 100.0,
    "steps": [0.25, 0.5],
    "step_s": 5.0,
    "hold_most_s": 20.0,
    "slow_factor": 2.0,
    "probe_after_s": 10.0,
    "probe_machines": 2,
    "evacuation_most_s": 240.0,
}


def zone_policy(**changes: Any) -> ZonePolicy:
    return msgspec.convert(ENTRIES | changes, ZonePolicy)


POLICY = zone_policy()
AVAILABLE, SUSPECTED, LOST, RECOVERING = ZonePhase

FINE = ZoneHealth(10, 1, 0)
QUIET = ZoneHealth(10, 6, 0)
BETTER = ZoneHealth(10, 3, 0)
EXPIRED = ZoneHealth(10, 10, 9)
EXPIRED_DELEGATED = ZoneHealth(10, 10, 9, delegated=True)
FEW = ZoneHealth(10, 2, 2)
SMALL = ZoneHealth(2, 2, 2)
HALF = ZoneHealth(10, 5, 0)
BACK = ZoneHealth(10, 2, 0)
EMPTY = ZoneHealth(0, 0, 0)
PROBED = ZoneHealth(12, 10, 10)


@pytest.mark.parametrize(
    ("steps", "phases"),
    [
        ([(0, FINE), (1, FINE)], [AVAILABLE] * 2),
        # A zone is suspected from half silent on, and no longer below a quarter.
        (
            [(0, QUIET), (1, BETTER), (2, HALF), (3, FINE), (4, BETTER)],
            [SUSPECTED, SUSPECTED, SUSPECTED, AVAILABLE, AVAILABLE],
        ),
        ([(0, QUIET), (20, EXPIRED)], [SUSPECTED, LOST]),
        ([(0, EXPIRED)], [LOST]),
        # A controller in the zone renews leases behind a partition, so its tasks go on running.
        (
            [(0, EXPIRED_DELEGATED), (9, EXPIRED_DELEGATED), (10, FINE)],
            [SUSPECTED, SUSPECTED, AVAILABLE],
        ),
        # Fewer machines than min_machines are no evidence on the zone, whatever their share.
        ([(0, FEW), (9, SMALL)], [AVAILABLE, AVAILABLE]),
        # Recovery begins when the machines are back for return_after_s without a gap.
        ([(0, EXPIRED), (5, BACK), (8, BACK), (9, BACK)], [LOST, LOST, LOST, RECOVERING]),
        (
            [(0, EXPIRED), (5, BACK), (8, EXPIRED), (9, BACK), (12, BACK), (13, BACK)],
            [LOST, LOST, LOST, LOST, LOST, RECOVERING],
        ),
        # All its machines were terminated, and two new probe machines show that it is back.
        ([(0, EXPIRED), (60, EMPTY), (70, PROBED), (74, PROBED)], [LOST, LOST, LOST, RECOVERING]),
        # Silence during recovery is a relapse, except that of a single machine.
        ([(0, EXPIRED), (1, BACK), (5, BACK), (6, QUIET)], [LOST, LOST, RECOVERING, LOST]),
        (
            [(0, EXPIRED), (1, BACK), (5, BACK), (6, ZoneHealth(2, 1, 0))],
            [LOST, LOST, RECOVERING, RECOVERING],
        ),
    ],
)
def test_the_state_of_a_zone(
    steps: list[tuple[float, ZoneHealth]], phases: list[ZonePhase]
) -> None:
    state = ZoneState(POLICY, 0.0)
    found = []
    for now, evidence in steps:
        before = state.phase
        assert state.observe(evidence, now) is (state.phase is not before)
        found.append(state.phase)
    assert found == phases


@pytest.mark.parametrize(
    ("losses_at", "now", "after_s"),
    [
        ([0.0], 0.0, 4.0),
        ([0.0, 0.0], 0.0, 8.0),
        ([0.0, 0.0, 0.0], 0.0, 16.0),
        ([0.0, 0.0, 0.0, 0.0, 0.0], 0.0, 30.0),  # the maximum
        ([0.0, 100.0], 100.0, 4.0 * 2.0**0.5),  # half of the first loss has decayed
        ([0.0, 0.0], 1000.0, 4.0),
    ],
)
def test_each_earlier_loss_puts_the_return_off(
    losses_at: list[float], now: float, after_s: float
) -> None:
    state = ZoneState(POLICY, 0.0)
    for at in losses_at:
        state.enter(LOST, "", at)
    assert state.return_after_s(now) == pytest.approx(after_s)


def test_recent_members_last_for_one_to_two_windows() -> None:
    found = RecentSet(10.0, 0.0)
    found.add(1)
    for now, there in ((9.0, True), (10.0, True), (19.0, True), (20.0, False)):
        found.rotate(now)
        assert (1 in found.members()) is there
    found.add(2)
    found.rotate(100.0)
    assert not found.members()


def test_counts_of_a_zone() -> None:
    sets = MachineSets(2, 4.0, 60.0, 0.0)
    for number in range(10):
        sets.machine_up(number % 2, number)
        sets.recent_heartbeats.add(number)
    assert sets.counts(0) == (5, 0, 0)
    sets.rotate(4.0)
    sets.rotate(8.0)
    sets.recent_heartbeats.add(0)
    assert sets.counts(0) == (5, 4, 0)
    for number in (2, 4, 6, 8):
        sets.lease_expired(0, number)
        sets.machine_terminated(0, number)
    assert sets.counts(0) == (5, 4, 4), "a machine terminated at once still counts for a while"
    sets.machine_up(0, 2)
    assert sets.counts(0) == (5, 4, 3)
    sets.rotate(68.0)
    sets.rotate(128.0)
    assert sets.counts(0)[0] == 2 and sets.counts(1) == (5, 5, 0)


@pytest.mark.parametrize(
    ("progress", "starts", "failures", "at", "advances"),
    [
        (Progress(0, 0.0), 0, 0, 3.0, False),  # too early
        (Progress(0, 0.0), 0, 0, 7.0, True),  # nothing was placed there
        (Progress(2, 1.0), 3, 0, 7.0, True),  # some have started
        (Progress(2, 1.0), 0, 0, 7.0, False),  # none has
        (Progress(1, 11.0), 3, 0, 7.0, False),  # one has waited for long
        (Progress(0, 0.0), 3, 1, 7.0, False),  # a quarter failed
        (Progress(2, 1.0), 0, 0, 20.0, True),  # held back for the maximum time
    ],
)
def test_a_step_of_the_return(
    progress: Progress, starts: int, failures: int, at: float, advances: bool
) -> None:
    current = SlowStart(POLICY, 0, random.Random(1), 0.0)
    for _ in range(starts):
        current.record_start("b", 1.0)
    for _ in range(failures):
        current.record_failure()
    assert current.advance(progress, StartTimes(), at) is advances
    assert bool(current.held_back_by) is (at >= 7.0 and (not advances or at == 20.0))


def test_the_share_grows_and_open_machines_stay_open() -> None:
    current = SlowStart(POLICY, 0, random.Random(1), 0.0)
    heard = BitMap(range(40))
    sizes, before = [], BitMap()
    for now in (0.0, 10.0, 20.0):
        current.advance(Progress(0, 0.0), StartTimes(), now)
        current.open_some(heard)
        assert before <= current.open_machines
        before = current.open_machines.copy()
        sizes.append(len(current.open_machines))
    assert sizes == [10, 20, 40] and current.complete
    current.open_some(BitMap(range(20)))
    assert current.open_machines <= BitMap(range(20))


@pytest.mark.parametrize(("seconds", "slow"), [(1.0, []), (5.0, ["b"])])
def test_a_cold_zone_is_seen_by_its_own_usual_figures(seconds: float, slow: list[str]) -> None:
    usual, recent = StartTimes(), StartTimes()
    for n in range(20):
        usual.add(0, "b", 1.0 + n / 20)
        usual.add(1, "b", 100.0)  # another zone's start times don't count
        recent.add(0, "b", seconds)
        recent.add(0, "new", 500.0)  # this class has no baseline
    assert slow_classes(recent, usual, 0, 2.0) == slow
    current = SlowStart(POLICY, 0, random.Random(1), 0.0)
    for _ in range(6):
        current.record_start("b", seconds)
    assert current.advance(Progress(0, 0.0), usual, 8.0) is not bool(slow)


def two_zones(each: int = 8) -> tuple[Ledger, ZoneRecovery]:
    led = ledger()
    recovery = ZoneRecovery(led, POLICY, random.Random(1), 0.0, 1000.0)
    led.zone_hooks = recovery
    led.ready = True
    for n in range(each):
        machine(led, f"n{n}", zone="north")
        machine(led, f"s{n}", zone="south")
    recovery.observe(0.0)
    return led, recovery


def send_heartbeats(led: Ledger, now: float, zone: str, incarnation: int = 1) -> None:
    for found in [m for m in led.machines.values() if m.name.startswith(zone)]:
        tasks = [(b.task_id, b.attempt, "running") for b in found.bindings.values()]
        if incarnation > found.incarnation:
            tasks = []
        place = "north" if zone == "n" else "south"
        handle_heartbeat(
            led,
            heartbeat(found.name, found.sequence + 1, *tasks, incarnation=incarnation, zone=place),
            now,
        )


def silence_south(led: Ledger, recovery: ZoneRecovery, until: float = 20.0) -> None:
    """Silence the south from time 0 on, until its leases have expired."""
    now = 0.0
    while now < until:
        now += 1.0
        send_heartbeats(led, now, "n")
        sweep(led, now)
        recovery.observe(now)


def test_a_zone_whose_leases_have_ended_gets_no_new_work() -> None:
    led, recovery = two_zones()
    one = job(led, task_count=30, vcpus=2.0)
    assert placement.schedule_array(led, one, random.Random(1), 0.0) > 0
    silence_south(led, recovery)
    assert [state.phase for state in recovery.states] == [AVAILABLE, LOST]
    assert one.job_id in recovery.displaced_jobs.displaced_at and recovery.evacuating()
    send_heartbeats(led, 21.0, "s", incarnation=2)
    recovery.observe(21.0)
    south = [m for m in led.machines.values() if m.zone == 1]
    assert all(m.phase == "up" and m.awaiting_slow_start for m in south)
    assert {m.zone for m in eligibility.candidates(led, one, 21.0)} == {0}
    assert recovery.max_provision(0) is None and recovery.max_provision(1) == 0


def test_a_machine_that_comes_up_in_a_lost_zone_is_withheld_at_once() -> None:
    # Its first heartbeat would be answered with starts before the next zone evaluation.
    led, recovery = two_zones()
    silence_south(led, recovery)
    assert machine(led, "s-new", now=20.5, zone="south").awaiting_slow_start
    assert not machine(led, "n-new", now=20.5, zone="north").awaiting_slow_start


def test_nothing_is_judged_before_a_takeover_is_complete() -> None:
    # The machine registry is loaded but no heartbeat has arrived yet, so all machines look silent.
    led, recovery = two_zones()
    led.ready = False
    for now in range(1, 20):
        recovery.observe(float(now))
    assert [state.phase for state in recovery.states] == [AVAILABLE, AVAILABLE]
    led.ready = True
    recovery.observe(20.0)
    assert [state.phase for state in recovery.states] == [SUSPECTED, SUSPECTED]


def test_a_gang_is_planned_for_no_zone_in_which_nothing_is_hired() -> None:
    led, recovery = two_zones()
    one = job(led, shape="gang", task_count=2, vcpus=7.0, single_zone=True)
    silence_south(led, recovery)
    kinds = provision_limits.provisionable_kinds(
        led, one, provision_limits.offered_kinds(led), fleet_plan.CapacityBackoff(), 20.0
    )
    zones = {kind[1] for kind in kinds}
    assert recovery.max_provision(1) == 0 and zones == {0}


def test_the_return_opens_machines_step_by_step() -> None:
    led, recovery = two_zones()
    silence_south(led, recovery)
    opened = []
    for now in range(21, 45):
        send_heartbeats(led, now, "n")
        send_heartbeats(led, now, "s", incarnation=2)
        sweep(led, now)
        recovery.observe(now)
        opened.append(sum(not m.awaiting_slow_start for m in led.machines.values() if m.zone == 1))
    assert opened == sorted(opened), "the number of open machines never decreases"
    assert opened[0] == 0 and {0, 2, 4, 8} == set(opened)
    assert recovery.states[1].phase is AVAILABLE and not recovery.admission.slow_starts
    assert all(m.has_freed_capacity or not m.awaiting_slow_start for m in led.machines.values())


@pytest.mark.parametrize(
    ("held_s", "entitled", "open_to_it"),
    [
        (0.0, False, False),
        (60.0, False, False),
        (76.0, False, True),  # the limit of 90 s takes precedence over slow start
        (1.0, True, False),
        (3.0, True, True),  # so does a guarantee once half of its start time has passed
        (0.0, True, False),
    ],
)
def test_the_gate_opens_in_time(held_s: float, entitled: bool, open_to_it: bool) -> None:
    led, recovery = two_zones()
    led.start_attainment.within_s = 5.0
    silence_south(led, recovery)
    send_heartbeats(led, 21.0, "s", incarnation=2)
    one = job(led, now=0.0, task_count=1)
    one.within_guarantee, one.held_back_since = entitled, 21.0 - held_s
    found = next(m for m in led.machines.values() if m.zone == 1)
    assert found.awaiting_slow_start and eligibility.is_open_to(led, one, found, 21.0) is open_to_it


def test_the_only_zone_is_never_withheld() -> None:
    led = ledger()
    recovery = ZoneRecovery(led, POLICY, random.Random(1), 0.0, 1000.0)
    led.zone_hooks, led.ready = recovery, True
    for n in range(8):
        machine(led, f"s{n}", zone="south")
    recovery.observe(0.0)
    silence_south(led, recovery)
    assert recovery.states[1].phase is LOST and recovery.max_provision(1) is None
    send_heartbeats(led, 21.0, "s", incarnation=2)
    assert not any(m.awaiting_slow_start for m in led.machines.values())


def test_work_is_evacuated_in_order() -> None:
    led, recovery = two_zones()
    low = job(led, job_id="req-1", task_count=40, urgency="idle")
    gang = job(led, job_id="req-2", shape="gang", task_count=2, vcpus=7.0)
    urgent = job(led, job_id="req-3", task_count=1, urgency="urgent")
    guaranteed = job(led, job_id="req-4", team="red", task_count=1, urgency="idle")
    old = job(led, job_id="req-5", task_count=1, urgency="idle")
    old.since = -200.0
    within = {guaranteed.job_id}
    found = evacuation.sort_by_tier([low, urgent, guaranteed, gang, old], within, 0.0)
    assert [one.job_id for one in found] == ["req-4", "req-5", "req-3", "req-2", "req-1"]
    # The order applies only while displaced work waits.
    assert recovery.evacuation_order([low, gang], set(), 0.0) == [low, gang]
    recovery.states[1].enter(LOST, "", 0.0)
    recovery.displaced_jobs.last_task_loss_at[1][gang.job_id] = 0.0
    recovery.observe(0.0)
    assert recovery.evacuation_order([low, gang], set(), 0.0) == [gang, low]
    # It applies for max_evacuation_s at most.
    recovery.observe(POLICY.max_evacuation_s + 1.0)
    assert recovery.evacuation_order([low, gang], set(), 0.0) == [low, gang]


def test_machines_that_come_up_are_kept_for_a_displaced_gang() -> None:
    led, recovery = two_zones(each=3)
    for found in led.machines.values():
        filler = job(led, job_id=f"req-9{found.index}", task_count=1, vcpus=8.0)
        led.allocations.bind(filler, 0, found, 1, 0.0)
    gang = job(led, job_id="req-2", shape="gang", task_count=2, vcpus=7.0, single_zone=True)
    array = job(led, job_id="req-1", task_count=20, vcpus=2.0)
    recovery.states[1].enter(LOST, "", 0.0)
    recovery.displaced_jobs.last_task_loss_at[1][gang.job_id] = 0.0
    recovery.observe(0.0)
    led.pending.jobs = [gang, array]
    led.pending.min_cpus = 2.0
    rng = random.Random(1)
    led.events.capacity_freed = lambda m, now: scheduling_pass.backfill(led, m, rng, now)
    first = machine(led, "n-new1", zone="north")
    assert first.reserved_for == gang.job_id and not first.bindings
    second = led.add_machine("n-new2", "small", "north", False, 0.0, registered=True)
    assert len(verbs(handle_heartbeat(led, heartbeat("n-new2", 1), 0.0))) == 1
    assert len(gang.bindings) == 2 and not array.bindings
    assert {b.machine for b in gang.bindings.values()} == {first, second}


@pytest.mark.parametrize(
    ("first", "claimed"),
    [
        ({}, False),  # a job before the gang in the queue is served first
        ({"vcpus": 30.0}, True),  # unless the machine is too small for that job
        ({"zone": "south"}, True),
        ({"team": "red", "vcpus": 6.0}, True),  # or the job would exceed its team's limit
    ],
)
def test_a_machine_is_claimed_in_the_order_of_the_line(
    first: dict[str, Any], claimed: bool
) -> None:
    led, _ = two_zones(each=3)
    led.team_limits[0] = (4.0, 0.0)
    gang = job(led, job_id="req-2", shape="gang", task_count=2, vcpus=7.0)
    led.pending.jobs = [job(led, job_id="req-1", **first), gang]
    evacuation.reserve_for_displaced(led, {gang.job_id: 0.0}, led.machines["n0"], 0.0)
    assert (led.machines["n0"].reserved_for == gang.job_id) is claimed


@pytest.mark.parametrize("evacuating", [False, True])
def test_room_is_kept_for_a_displaced_gang_at_once(evacuating: bool) -> None:
    # Without an evacuation, and while arrays wait too, capacity is reserved only once half of the
    # gang's start target has passed.
    led, recovery = two_zones(each=2)
    for found in led.machines.values():
        filler = job(led, job_id=f"req-9{found.index}", task_count=1, vcpus=8.0)
        led.allocations.bind(filler, 0, found, 1, 0.0).started = 0.0
    gang = job(led, job_id="req-2", shape="gang", task_count=2, vcpus=7.0, deadline_s=500.0)
    job(led, job_id="req-1", task_count=20, vcpus=2.0)
    if evacuating:
        recovery.states[1].enter(LOST, "", 0.0)
        recovery.displaced_jobs.last_task_loss_at[1][gang.job_id] = 0.0
        recovery.observe(0.0)
    gangs.reserve_machines(led, [gang], 1.0)
    assert len(led.capacity_index.reserved_machines(gang.job_id, 1.0)) == (2 if evacuating else 0)


@pytest.mark.parametrize("phase", list(ZonePhase))
def test_a_gang_is_not_filled_up_from_a_zone_in_trouble(phase: ZonePhase) -> None:
    led, recovery = two_zones()
    gang = job(led, shape="gang", task_count=2, vcpus=7.0)
    found = led.machines["s0"]
    for index, one in enumerate((found, led.machines["s1"])):
        led.allocations.bind(gang, index, one, 77, 0.0)
    gang.attempt = 77
    recovery.states[1].enter(phase, "", 0.0)
    found.last_heartbeat_at = -100.0
    placement.reschedule_unsent(led, random.Random(1), 1.0)
    moved = len(gang.bindings) == 2
    assert moved is (phase is AVAILABLE)
    assert gang.failed is not moved


@pytest.mark.parametrize(
    ("changes", "zones", "reason"),
    [
        ({"zone": "south"}, [], "zone south is lost, and the job may run nowhere else"),
        (
            {"spread_zones": True, "task_count": 4},
            ["n0", "n1"],
            "zone south is lost, and no more of the job may run in another zone",
        ),
        ({"spread_zones": True, "task_count": 4}, ["n0"], ""),
        ({}, [], ""),
    ],
)
def test_a_job_that_waits_for_a_zone_says_so(
    changes: dict[str, Any], zones: list[str], reason: str
) -> None:
    led, recovery = two_zones()
    one = job(led, **changes)
    for index, name in enumerate(zones):
        led.allocations.bind(one, index, led.machines[name], index, 0.0)
    assert waiting_reason(recovery, one) == ""
    recovery.states[1].enter(LOST, "", 0.0)
    assert waiting_reason(recovery, one) == reason


def test_hires_go_elsewhere_and_come_back_a_few_at_a_time() -> None:
    led, recovery = two_zones()
    for found in led.machines.values():
        found.quarantine_reason = "x"
    led.team_limits[:] = [(1e9, 1e9) for _ in led.team_limits]
    job(led, task_count=400, vcpus=2.0, estimated_run_s=500.0)

    def to_provision(now: float) -> dict[int, int]:
        send_heartbeats(led, now, "s")
        recovery.observe(now)
        plan = fleet_plan.plan(led, now, fleet_plan.CapacityBackoff(), {})
        found: dict[int, int] = {0: 0, 1: 0}
        for (_, zone, _), count in plan.to_provision.items():
            found[zone] += count
        return found

    assert to_provision(0.0)[0] == fleet_plan.MAX_PROVISION_BATCH
    recovery.states[0].enter(LOST, "", 0.0)
    for found in [m for m in led.machines.values() if m.zone == 0]:
        led.machine_gone(found, 0.0)
    assert to_provision(1.0) == {0: 0, 1: fleet_plan.MAX_PROVISION_BATCH}
    probing = to_provision(POLICY.probe_after_s + 1.0)
    assert probing == {0: POLICY.probe_machines, 1: fleet_plan.MAX_PROVISION_BATCH}


@pytest.mark.parametrize(
    ("change", "believed"),
    [({}, True), ({"at": 800.0}, False), ({"phase": "gone"}, False), ({"at": "x"}, False)],
)
def test_a_record_survives_a_change_of_leader(change: dict[str, Any], believed: bool) -> None:
    _, before = two_zones()
    before.states[1].enter(LOST, "", -30.0)
    before.states[1].enter(RECOVERING, "", 0.0)
    before.admission.slow_starts[1] = SlowStart(POLICY, 1, random.Random(1), 0.0)
    before.admission.slow_starts[1].step = 1
    rows = before.records.unwritten(0.0)
    assert list(rows) == [1] and rows[1][0] == "zone/south"
    before.records.mark_written(before.records.covered([1], 0.0))
    assert before.records.unwritten(1.0) == {}
    assert list(before.records.unwritten(records.RENEW_S + 1.0)) == [1]
    _, after = two_zones()
    after.records.load({rows[1][0]: rows[1][1] | change, "zone/nowhere": {}}, 5.0)
    state = after.states[1]
    assert (state.phase is RECOVERING) is believed
    if believed:
        assert after.admission.step(1) == 1 and after.records.unwritten(5.0) == {}
        assert state.decayed_losses(5.0) == pytest.approx(1.0, abs=0.25)


def test_a_zone_name_makes_a_key_without_spaces() -> None:
    key = records.record_key("east bank/1")
    assert " " not in key and records.zone_from_key(key) == "east bank/1"


def test_following_zones_costs_nothing_that_grows_with_the_fleet() -> None:
    def cost(each: int) -> tuple[int, int]:
        led, recovery = two_zones(each)
        one = heartbeat("n1", 5)
        return count_calls(lambda: handle_heartbeat(led, one, 1.0)), count_calls(
            lambda: recovery.observe(1.0)
        )

    few, many = cost(20), cost(2000)
    assert many == few


TOML = "\n".join(
    ["[zone_recovery]"]
    + [f"{k} = {str(v).lower() if isinstance(v, bool) else v}" for k, v in ENTRIES.items()]
)


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ("step_s = 5.0", "", "step_s"),  # missing
        ("step_s = 5.0", "step_s = 5.0\nstep = 1", "step"),  # unknown
        ("step_s = 5.0", "step_s = -5.0", "zone_recovery.step_s"),
        ("step_s = 5.0", 'step_s = "fast"', "step_s"),
        ("step_s = 5.0", "step_s = nan", "zone_recovery.step_s"),
        ("lost_share = 0.8", "lost_share = 1.8", "zone_recovery.lost_share"),
        ("slow_factor = 2.0", "slow_factor = 0.5", "zone_recovery.slow_factor"),
        ("hold_most_s = 20.0", "hold_most_s = -1", "zone_recovery.hold_most_s"),
        ("[0.25, 0.5]", "[0.5, 0.25]", "zone_recovery.steps"),
        ("[0.25, 0.5]", "[0.5, 1.5]", "zone_recovery.steps"),
        ("[0.25, 0.5]", '["a"]', "steps"),
        ("min_machines = 3", "min_machines = 2.5", "min_machines"),
        ("[zone_recovery]", "[zones]", "zones"),
        ("[zone_recovery]", "[zone_recovery", "invalid TOML"),
    ],
)
def test_a_policy_file_that_is_wrong_is_refused_by_name(
    tmp_path: Path, old: str, new: str, named: str
) -> None:
    path = tmp_path / "policy.toml"
    assert old in TOML
    path.write_text(TOML.replace(old, new, 1))
    with pytest.raises(ConfigFileError) as found:
        policy.load(path)
    assert named in str(found.value) and str(path) in str(found.value)
    assert "\n" not in str(found.value)


def test_policy_files_that_are_right(tmp_path: Path) -> None:
    path = tmp_path / "policy.toml"
    assert policy.load(path) == Policy(), "a missing file enables nothing"
    path.write_text(TOML)
    assert policy.load(path).zone_recovery == POLICY
    path.write_text("")
    assert policy.load(path) == Policy()
    shipped = policy.load(Path(__file__).parent.parent / "deploy" / "policy.toml")
    assert shipped.zone_recovery is not None
