"""The ledger on fake time: allocations, and when a task is certainly no longer running."""

import random

import pytest

from helpers import heartbeat, job, ledger, machine, ready, spec, verbs
from salthead.autoscaling import fleet_plan
from salthead.cluster import machine_health
from salthead.cluster.machine_health import count_responsive_machines
from salthead.cluster.model import LOST, UP
from salthead.cluster.resources import ResourceUsage
from salthead.cluster.sweep import sweep
from salthead.heartbeats.handling import handle_heartbeat
from salthead.leases.leader_lease import certainly_expired_at
from salthead.protocol.messages import StartCommand, StopCommand, Submission
from salthead.scheduling import scheduling_pass


def place(led, now=0.0):
    return scheduling_pass.schedule(led, random.Random(1), now)


def test_a_start_is_ordered_until_a_report_shows_it() -> None:
    led = ready()
    machine(led, "m1")
    one = job(led, task_count=1)
    place(led)
    attempt = one.bindings[0].attempt
    start = [StartCommand("req-1/0", attempt)]
    assert handle_heartbeat(led, heartbeat("m1", 2), 1.0) == start
    assert handle_heartbeat(led, heartbeat("m1", 3), 2.0) == start, "the answer may have been lost"
    shown = ("req-1/0", attempt, "running")
    assert handle_heartbeat(led, heartbeat("m1", 4, shown), 3.0) == []
    done = ("req-1/0", attempt, "exited", "done")
    assert handle_heartbeat(led, heartbeat("m1", 5, done), 4.0) == [], (
        "done is reaped once it is durable"
    )
    assert one.complete and not one.bindings
    led.job_table.mark_saved(one, [0])
    assert handle_heartbeat(led, heartbeat("m1", 6, done), 5.0) == [], (
        "a copy of the start at 2.0 may arrive"
    )
    assert verbs(handle_heartbeat(led, heartbeat("m1", 7, done), 7.0)) == [("reap", "req-1/0")]


@pytest.mark.parametrize(
    ("cause", "again"),
    [
        ("halted", True),
        ("error", True),
        ("full", True),
        ("unknown", True),
        ("in_use", True),
        ("done", False),
    ],
)
def test_exits(cause: str, again: bool) -> None:
    led = ready()
    machine(led, "m1")
    one = job(led, task_count=1)
    place(led)
    attempt = one.bindings[0].attempt
    orders = handle_heartbeat(led, heartbeat("m1", 2, ("req-1/0", attempt, "exited", cause)), 1.0)
    assert one.waiting() == (1 if again else 0)
    assert bool(orders) == again, "all but done are reaped at once"
    assert (
        led.allocated_by_team[one.team] == [0.0, 0.0]
        and led.machines["m1"].allocated == ResourceUsage()
    )


def test_a_silent_machine_holds_task_quota_and_room_until_its_lease_is_over() -> None:
    led = ready()
    one = job(led, team="red", task_count=1, vcpus=8.0)
    machine(led, "m1")
    place(led)
    handle_heartbeat(
        led, heartbeat("m1", 2, ("req-1/0", one.attempt or one.bindings[0].attempt, "running")), 1.0
    )
    over = certainly_expired_at(1.0, led.limits.workers.lease_s)
    sweep(led, over - 0.01)
    assert one.bindings and led.allocated_by_team[one.team][0] == 8.0
    sweep(led, over + 0.01)
    assert led.machines["m1"].phase == LOST
    assert not one.bindings and led.allocated_by_team[one.team][0] == 0.0
    # A late heartbeat of the expired incarnation revives neither the machine nor its task.
    assert handle_heartbeat(led, heartbeat("m1", 3, ("req-1/0", 1, "running")), over + 1.0) is None
    assert handle_heartbeat(led, heartbeat("m1", 4, incarnation=2), over + 2.0) == []
    assert led.machines["m1"].phase == UP


def test_a_new_session_frees_the_tasks_of_the_old_one() -> None:
    led = ready()
    machine(led, "m1")
    one = job(led, task_count=2)
    place(led)
    handle_heartbeat(led, heartbeat("m1", 9, incarnation=2), 1.0)
    assert one.waiting() == 2


def test_late_reports_change_nothing() -> None:
    led = ready()
    machine(led, "m1")
    one = job(led, task_count=1)
    place(led)
    attempt = one.bindings[0].attempt
    handle_heartbeat(led, heartbeat("m1", 5, ("req-1/0", attempt, "running")), 1.0)
    assert handle_heartbeat(led, heartbeat("m1", 4), 2.0) == []
    assert one.bindings, "a report older than the newest is not proof that a task is gone"


def test_a_higher_token_deposes() -> None:
    led = ready()
    assert handle_heartbeat(led, heartbeat("m1", 1, fencing_token=8), 0.0) is None
    assert led.newer_fencing_token == 8


class TestTakeover:
    def test_nothing_is_placed_before_every_rostered_machine_is_accounted_for(self) -> None:
        led = ledger()
        led.add_machine("m1", "small", "north", False, 0.0, registered=True)
        led.add_machine("m2", "small", "north", False, 0.0, registered=True)
        job(led)
        # A heartbeat with the old fencing token: the worker may still execute commands of the old
        # leader.
        handle_heartbeat(led, heartbeat("m1", 1, fencing_token=6), 0.5)
        sweep(led, 0.6)
        assert not led.ready
        handle_heartbeat(led, heartbeat("m1", 2), 1.0)
        sweep(led, 1.1)
        assert not led.ready, "m2 may run anything"
        place(led, 1.2)
        assert not led.jobs["req-1"].bindings
        sweep(led, certainly_expired_at(0.0, led.limits.workers.lease_s) + 0.1)
        assert led.ready

    def test_a_job_accepted_since_may_start_beside_a_silent_machine(self) -> None:
        # One hanging machine must not delay every start for a whole lease after a failover.
        led = ledger()
        led.add_machine("m1", "small", "north", False, 0.0, registered=True)
        machine(led, "m2")
        old = job(led, job_id="req-1")
        new = led.add_job(spec(job_id="req-2", team="red"), 0.0, accepted_this_term=True)
        big = led.add_job(
            spec(job_id="req-3", team="red", task_count=3, vcpus=6.0), 0.0, accepted_this_term=True
        )
        place(led, 1.0)
        assert new is not None and len(new.bindings) == 2
        assert not old.bindings, "its tasks may be running on m1"
        # The limit of red is 24 CPUs, of which m1 may hold 8 and the new job holds 4.
        machine(led, "m3", machine_type="big")
        place(led, 4.0)
        assert big is not None and len(big.bindings) == 2

    def test_an_answer_to_a_direct_call_joins_but_renews_nothing(self) -> None:
        led = ledger()
        led.add_machine("m1", "small", "north", False, 0.0, registered=True)
        one = job(led, task_count=2)
        found = heartbeat("m1", 4, ("req-1/0", 3, "running"))
        handle_heartbeat(led, found, 1.0, direct=True)
        sweep(led, 1.1)
        assert led.ready and 0 in one.bindings
        place(led, 1.2)
        assert one.bindings[1].phase == ""
        led.allocations.request_stop(one.bindings[1], 0.0)
        handle_heartbeat(led, heartbeat("m1", 5, ("req-1/0", 3, "running")), 1.5, direct=True)
        assert 1 in one.bindings, "its start may be on the way in an answer to a report"
        sweep(led, certainly_expired_at(0.0, led.limits.workers.lease_s) + 0.1)
        assert led.machines["m1"].phase == LOST

    def test_tasks_found_are_adopted_and_not_started_again(self) -> None:
        led = ledger()
        for name in ("m1", "m2"):
            led.add_machine(name, "small", "north", False, 0.0, registered=True)
        one = job(led, task_count=2)
        handle_heartbeat(
            led, heartbeat("m1", 1, ("req-1/1", 33, "running"), ("req-1/0", 34, "fetching")), 0.5
        )
        handle_heartbeat(led, heartbeat("m2", 1), 0.5)
        sweep(led, 0.6)
        assert led.ready and one.waiting() == 0
        assert one.bindings[1].attempt == 33
        assert led.allocated_by_team[one.team][0] == 4.0

    def test_done_found_late_is_done_and_its_twin_is_stopped(self) -> None:
        led = ready()
        machine(led, "m1")
        one = job(led, task_count=1)
        place(led)
        attempt = one.bindings[0].attempt
        handle_heartbeat(led, heartbeat("m1", 2, ("req-1/0", attempt, "running")), 1.0)
        handle_heartbeat(led, heartbeat("m2", 1, ("req-1/0", 5, "exited", "done")), 1.0)
        assert one.complete
        assert verbs(
            handle_heartbeat(led, heartbeat("m1", 3, ("req-1/0", attempt, "running")), 2.0)
        ) == [("stop", "req-1/0")]

    @pytest.mark.parametrize(
        ("task_count", "adopted"),
        [
            ([("m1", "req-1/0", 5), ("m2", "req-1/1", 5)], 2),
            # Of two attempts one has to be stopped.
            ([("m1", "req-1/0", 5), ("m2", "req-1/1", 6)], 1),
        ],
    )
    def test_gangs(self, task_count: list[tuple[str, str, int]], adopted: int) -> None:
        led = ledger()
        one = job(led, shape="gang", task_count=2)
        for name, task_id, attempt in task_count:
            handle_heartbeat(led, heartbeat(name, 1, (task_id, attempt, "running")), 0.5)
        assert len(one.bindings) == adopted

    def test_a_gang_of_which_only_a_part_was_started_is_drawn_anew(self) -> None:
        # Lost answers and quick restarts can leave a gang of which only some members were started.
        led = ledger()
        for name in ("m1", "m2"):
            led.add_machine(name, "small", "north", False, 0.0, registered=True)
        one = job(led, shape="gang", task_count=2)
        handle_heartbeat(led, heartbeat("m1", 1, ("req-1/0", 5, "gathering")), 0.5)
        handle_heartbeat(led, heartbeat("m2", 1), 0.5)
        sweep(led, 0.6)
        orders = handle_heartbeat(led, heartbeat("m1", 2, ("req-1/0", 5, "gathering")), 1.0)
        assert verbs(orders) == [("stop", "req-1/0")]
        handle_heartbeat(led, heartbeat("m1", 3, ("req-1/0", 5, "exited", "halted")), 1.5)
        place(led, 2.0)
        assert len(one.bindings) == 2 and one.attempt > 5

    def test_reports_before_the_jobs_are_loaded_only_keep_the_worker_alive(self) -> None:
        led = ledger()
        led.loaded = False
        assert handle_heartbeat(led, heartbeat("m1", 1, ("req-1/0", 3, "running")), 0.1) == []
        assert not led.machines, "only the roster says which machines may hold tasks"
        led.loaded = True
        job(led, task_count=1)
        handle_heartbeat(led, heartbeat("m1", 2, ("req-1/0", 3, "running")), 1.0)
        assert led.jobs["req-1"].bindings

    def test_a_leader_without_records_counts_a_machine_as_heard_by_any_heartbeat(self) -> None:
        led = ledger()
        led.loaded = False
        for name in ("m1", "m2"):
            led.add_machine(name, "small", "north", False, 0.0, registered=True)
        handle_heartbeat(led, heartbeat("m1", 9, fencing_token=6), 100.0)
        assert count_responsive_machines(led, 101.0) == (1, 1)


class TestStrays:
    def test_a_stray_of_an_ended_job_is_stopped_and_holds_quota(self) -> None:
        led = ready()
        orders = handle_heartbeat(led, heartbeat("m1", 1, ("req-9/0", 3, "running")), 0.0)
        assert orders == [StopCommand("req-9/0", 3, 0.0)]
        machine(led, "m2")
        job(led, team="red", task_count=1)
        place(led)
        assert not led.jobs["req-1"].bindings, (
            "the team whose quota the orphan task uses is not known yet"
        )
        ended: Submission = spec(job_id="req-9", team="red", vcpus=23.0)
        led.orphans.identify_job(ended)
        place(led, 5.0)
        assert not led.jobs["req-1"].bindings, "23 of 24 CPUs are taken"
        handle_heartbeat(led, heartbeat("m1", 2), 6.0)
        handle_heartbeat(led, heartbeat("m2", 2), 9.0)
        place(led, 10.0)
        assert led.jobs["req-1"].bindings

    def test_a_job_with_a_stray_attempt_starts_nothing(self) -> None:
        led = ready()
        machine(led, "m1")
        machine(led, "m2")
        one = job(led, shape="gang", task_count=2)
        handle_heartbeat(
            led, heartbeat("m1", 2, ("req-1/0", 5, "running")), 0.0
        )  # adopted: attempt 5
        handle_heartbeat(led, heartbeat("m2", 2, ("req-1/1", 4, "running")), 0.0)  # orphan task
        handle_heartbeat(led, heartbeat("m1", 3, ("req-1/0", 5, "exited", "mates_gone")), 1.0)
        place(led, 1.0)
        assert not one.bindings
        handle_heartbeat(led, heartbeat("m2", 3), 2.0)
        place(led, 4.0)
        assert len(one.bindings) == 2


class TestCancel:
    def test_tasks_go_and_a_start_in_flight_is_waited_for(self) -> None:
        led = ready()
        machine(led, "m1")
        one = job(led, task_count=2)
        place(led)
        attempts = [one.bindings[n].attempt for n in range(2)]
        handle_heartbeat(led, heartbeat("m1", 2, ("req-1/0", attempts[0], "running")), 1.0)
        led.end_job(one, "aborted", 1.0)
        assert len(one.bindings) == 2, "the second start may be on its way"
        orders = handle_heartbeat(led, heartbeat("m1", 3, ("req-1/0", attempts[0], "running")), 2.0)
        assert verbs(orders) == [("stop", "req-1/0")]
        assert "req-1" in led.jobs and led.allocated_by_team[one.team][0] == 2.0
        handle_heartbeat(led, heartbeat("m1", 4), 3.0)
        assert "req-1" not in led.jobs and led.allocated_by_team[one.team][0] == 0.0
        place(led, 9.0)
        assert not led.machines["m1"].bindings


class TestGangs:
    def gang(self, led, now=0.0, **changes):
        for name in ("m1", "m2"):
            machine(led, name, now)
        one = job(
            led,
            shape="gang",
            task_count=2,
            vcpus=8.0,
            checkpoint_interval_s=10.0,
            checkpoint_save_s=3.0,
            **changes,
        )
        place(led, now)
        assert len(one.bindings) == 2
        names = [one.bindings[n].machine.name for n in range(2)]
        for index, name in enumerate(names):
            handle_heartbeat(
                led, heartbeat(name, 2, (f"req-1/{index}", one.attempt, "running")), now + 1
            )
        return one, names

    def test_members_share_an_attempt_and_are_done_together(self) -> None:
        led = ready()
        one, names = self.gang(led)
        handle_heartbeat(
            led, heartbeat(names[0], 3, ("req-1/0", one.attempt, "exited", "done")), 2.0
        )
        assert one.complete
        orders = handle_heartbeat(
            led, heartbeat(names[1], 3, ("req-1/1", one.attempt, "running")), 2.0
        )
        assert orders == [], "the rest of a gang that is done ends by itself"

    def test_a_lost_member_ends_the_attempt_and_the_rest_must_be_gone_first(self) -> None:
        led = ready()
        one, names = self.gang(led)
        old = one.attempt
        machine(led, "m3", 14.0)
        handle_heartbeat(led, heartbeat(names[0], 9, incarnation=2), 15.0)
        place(led, 16.0)
        assert list(one.bindings) == [1], "no start while the old attempt is on a machine"
        orders = handle_heartbeat(led, heartbeat(names[1], 3, ("req-1/1", old, "running")), 16.0)
        assert verbs(orders) == [("stop", "req-1/1")]
        handle_heartbeat(
            led, heartbeat(names[1], 4, ("req-1/1", old, "exited", "mates_gone")), 17.0
        )
        place(led, 18.4)
        assert len(one.bindings) == 2 and one.attempt > old

    def test_an_orderly_stop_tells_every_member_with_its_grace(self) -> None:
        led = ready()
        one, names = self.gang(led)
        led.allocations.stop_gang(one, 3.0, "test")
        for index, name in enumerate(names):
            orders = handle_heartbeat(
                led, heartbeat(name, 3, (f"req-1/{index}", one.attempt, "running")), 2.0
            )
            assert orders == [StopCommand(f"req-1/{index}", one.attempt, 3.0)]
        saving = heartbeat(names[0], 4, ("req-1/0", one.attempt, "flushing"))
        assert handle_heartbeat(led, saving, 3.0) == [], "a second stop could end the saving"
        saved = heartbeat(names[0], 5, ("req-1/0", one.attempt, "exited", "halted", True))
        handle_heartbeat(led, saved, 4.0)
        assert one.bindings[1].stop_grace_s == 3.0, "the others keep their grace"


def test_a_machine_that_fails_several_jobs_is_condemned_and_a_bad_job_condemns_none() -> None:
    led = ready()
    for n in range(4):
        machine(led, f"m{n}")
    bad = job(led, job_id="req-5", task_count=1)
    sequence = 2
    for n in range(4):  # fails everywhere
        binding = led.allocations.bind(bad, 0, led.machines[f"m{n}"], 50 + n, 0.0)
        handle_heartbeat(
            led, heartbeat(f"m{n}", sequence, ("req-5/0", binding.attempt, "exited", "error")), 1.0
        )
    assert not any(m.quarantine_reason for m in led.machines.values())
    for job_id in ("req-6", "req-7"):
        sequence += 1
        good = job(led, job_id=job_id, task_count=1)
        led.allocations.bind(good, 0, led.machines["m0"], 90 + sequence, 0.0)
        handle_heartbeat(
            led, heartbeat("m0", sequence, (f"{job_id}/0", 90 + sequence, "exited", "error")), 2.0
        )
    assert [m.name for m in led.machines.values() if m.quarantine_reason] == ["m0"]


class TestCopies:
    """Duplicates of heartbeats that arrive seconds to well over a lease late."""

    @pytest.mark.parametrize("late", [2.0, 30.0])
    def test_a_copy_of_an_earlier_term_shows_nothing(self, late: float) -> None:
        led = ledger()
        led.add_machine("m1", "small", "north", False, 0.0, registered=True)
        one = job(led, task_count=1)
        copy = heartbeat("m1", 400, ("req-1/0", 3, "running"), fencing_token=6)
        assert handle_heartbeat(led, copy, late) == []
        assert not one.bindings and not led.machines["m1"].reconciled
        assert led.machines["m1"].last_heartbeat_at < 0, "no sign of life"

    def test_a_copy_neither_revives_a_returned_machine_nor_hides_it(self) -> None:
        led = ready()
        machine(led, "m1")
        led.machine_gone(led.machines["m1"], 1.0)
        assert handle_heartbeat(led, heartbeat("m1", 1), 30.0) is None
        # The next leader does not know that the machine existed.
        after = ledger(fencing_token=8)
        copy = heartbeat("m1", 1, ("req-1/0", 3, "running"), fencing_token=7)
        assert handle_heartbeat(after, copy, 40.0) == [StopCommand("req-1/0", 3, 0.0)]
        assert not after.machines
        # A running machine that was unknown receives the new token and uses it from then on.
        assert (
            handle_heartbeat(after, heartbeat("m2", 1, fencing_token=0), 41.0) == []
            and not after.machines
        )
        assert handle_heartbeat(after, heartbeat("m2", 2, fencing_token=8), 42.0) == []
        assert after.machines["m2"].phase == UP

    def test_a_copy_moves_the_bound_on_a_lease_late_and_nothing_else(self) -> None:
        led = ready()
        machine(led, "m1")
        one = job(led, task_count=1)
        place(led)
        attempt = one.bindings[0].attempt
        handle_heartbeat(led, heartbeat("m1", 5, ("req-1/0", attempt, "running")), 1.0)
        assert handle_heartbeat(led, heartbeat("m1", 2), 9.0) == []
        assert one.bindings[0].phase == "running" and led.machines["m1"].last_heartbeat_at == 1.0
        # The late heartbeat may be one that a direct answer overtook; its answer renews the lease.
        sweep(led, certainly_expired_at(1.0, led.limits.workers.lease_s) + 0.1)
        assert one.bindings
        sweep(led, certainly_expired_at(9.0, led.limits.workers.lease_s) + 0.1)
        assert not one.bindings

    def test_a_machine_of_which_only_old_reports_come_is_returned_with_its_tasks(self) -> None:
        # Old sequence numbers come from a worker that restarted at once and counts from 1 again, or
        # from duplicates of a dead worker's heartbeats. Its tasks must not stay allocated for ever.
        led = ready()
        machine(led, "m1")
        one = job(led, task_count=1)
        place(led)
        handle_heartbeat(
            led, heartbeat("m1", 900, ("req-1/0", one.bindings[0].attempt, "running")), 1.0
        )
        lease_s, now = led.limits.workers.lease_s, 1.0
        while now < 1.0 + lease_s:
            assert not fleet_plan.plan(led, now, fleet_plan.CapacityBackoff(), {}).to_terminate
            now += 2.0
            assert handle_heartbeat(led, heartbeat("m1", int(now)), now) == []
            sweep(led, now)
        handle_heartbeat(led, heartbeat("m1", 60), now + 1.0)
        to_terminate = fleet_plan.plan(
            led, now + 1.0, fleet_plan.CapacityBackoff(), {}
        ).to_terminate
        assert to_terminate == [led.machines["m1"]]
        led.machine_gone(to_terminate[0], now + 1.5)
        assert one.waiting() == 1

    def test_a_copy_from_before_a_reap_starts_and_ends_nothing(self) -> None:
        led = ready()
        machine(led, "m1")
        one = job(led, task_count=1)
        place(led)
        attempt = one.bindings[0].attempt
        handle_heartbeat(led, heartbeat("m1", 2, ("req-1/0", attempt, "running")), 1.0)
        gone = heartbeat("m1", 3, ("req-1/0", attempt, "exited", "error"))
        assert verbs(handle_heartbeat(led, gone, 2.0)) == [("reap", "req-1/0")]
        assert handle_heartbeat(led, gone, 20.0) == []
        assert led.machines["m1"].error_jobs == {"req-1"}

    def test_leases_are_counted_from_the_answers_given_before_the_roster_was_read(self) -> None:
        led = ledger()
        led.loaded = False
        assert handle_heartbeat(led, heartbeat("m1", 9, fencing_token=6), 5.0) == [], (
            "this renews its lease"
        )
        led.add_machine("m1", "small", "north", False, 6.0, registered=True)
        led.leases.counted_from, led.loaded = 6.0, True
        sweep(led, certainly_expired_at(5.0, led.limits.workers.lease_s))
        assert led.machines["m1"].phase == UP and not led.ready


class TestCalledOff:
    def test_nothing_of_it_starts_any_more_and_what_runs_stops(self) -> None:
        led = ready()
        machine(led, "m1")
        machine(led, "m2")
        one = job(led, task_count=3)
        place(led)
        on = one.bindings[0].machine.name
        handle_heartbeat(
            led, heartbeat(on, 2, ("req-1/0", one.bindings[0].attempt, "running")), 1.0
        )
        led.request_cancel(one)
        assert one.waiting() == 0 and not one.terminal_phase and led.phase_of(one)[0] == "running"
        orders = handle_heartbeat(
            led, heartbeat(on, 3, ("req-1/0", one.bindings[0].attempt, "running")), 2.0
        )
        assert verbs(orders) == [("stop", "req-1/0")]
        place(led)
        for name in ("m1", "m2"):
            assert all(
                v != "start" for v, _ in verbs(handle_heartbeat(led, heartbeat(name, 4), 3.0))
            )

    def test_a_task_that_an_earlier_leader_started_is_stopped_and_not_adopted(self) -> None:
        led = ledger()
        led.add_machine("m1", "small", "north", False, 0.0, registered=True)
        one = job(led, task_count=3)
        led.request_cancel(one)
        orders = handle_heartbeat(led, heartbeat("m1", 2, ("req-1/1", 3, "running")), 1.0)
        assert verbs(orders) == [("stop", "req-1/1")] and not one.bindings

    def test_its_last_task_may_have_ended_all_the_same(self) -> None:
        led = ready()
        machine(led, "m1")
        one = job(led, task_count=1)
        place(led)
        attempt = one.bindings[0].attempt
        handle_heartbeat(led, heartbeat("m1", 2, ("req-1/0", attempt, "running")), 1.0)
        led.request_cancel(one)
        handle_heartbeat(led, heartbeat("m1", 3, ("req-1/0", attempt, "exited", "done")), 2.0)
        assert one.complete


def test_an_exit_that_is_shown_again_is_reaped_once_that_is_safe() -> None:
    # A heartbeat with the same content as the last one is skipped, unless it causes a command.
    led = ready()
    machine(led, "m1")
    one = job(led, task_count=2)
    place(led)
    first, other = one.bindings[0].attempt, one.bindings[1].attempt
    rows = [("req-1/0", first, "exited", "done"), ("req-1/1", other, "running")]
    for sequence in (2, 3):
        assert handle_heartbeat(led, heartbeat("m1", sequence, *rows), float(sequence)) == []
    led.job_table.mark_saved(one, [0])
    assert verbs(handle_heartbeat(led, heartbeat("m1", 4, *rows), 4.0)) == [("reap", "req-1/0")]


class TestKeptZones:
    @pytest.mark.parametrize(
        ("cancelled", "orphan", "cancel_s", "allowed"),
        [
            ("", False, 40.0, True),
            ("durably", False, 40.0, False),
            ("asked", False, 40.0, False),
            ("", True, 40.0, False),
            ("", False, 23.0, False),
        ],
    )
    def test_a_zone_is_kept_only_while_nothing_there_has_to_end(
        self,
        cancelled: str,
        orphan: bool,
        cancel_s: float,
        allowed: bool,
    ) -> None:
        led = ready(
            workers={
                "report_s": 2.0,
                "lease_s": 12.0,
                "gang_wait_s": 40.0,
                "gang_peer_s": 5.0,
                "cancel_s": cancel_s,
            }
        )
        machine(led, "m1", zone="south")
        one = job(led, task_count=1)
        place(led)
        shown = [("req-1/0", one.bindings[0].attempt, "running")]
        if orphan:
            shown.append(("req-9/0", 3, "running"))
        handle_heartbeat(led, heartbeat("m1", 2, *shown, zone="south"), 1.0)
        if cancelled == "durably":
            led.end_job(one, "aborted", 1.0)
        elif cancelled:
            led.request_cancel(one)
        assert led.leases.delegate_zone("south", 30.0) == allowed
        assert not led.leases.delegate_zone("nowhere", 30.0)

    def test_no_lease_of_a_kept_zone_is_counted_from_before_the_permission_ends(self) -> None:
        led = ready()
        machine(led, "m1", zone="south")
        machine(led, "m2")
        assert led.leases.delegate_zone("south", 9.0)
        lease_s = led.limits.workers.lease_s
        sweep(led, certainly_expired_at(0.0, lease_s) + 0.1)
        assert led.machines["m1"].phase == UP and led.machines["m2"].phase == LOST
        sweep(led, certainly_expired_at(9.0, lease_s) + 0.1)
        assert led.machines["m1"].phase == LOST


class TestOneWay:
    """A machine whose heartbeats arrive but which receives no answers and no commands."""

    def unresponsive_machine(self) -> tuple:
        led = ready()
        machine(led, "m1")
        one = job(led, task_count=1)
        place(led)
        for sequence in range(2, 6):
            handle_heartbeat(led, heartbeat("m1", sequence), 2.0 * sequence)
        return led, led.machines["m1"], one

    def test_starts_that_never_show_take_a_machine_out_of_the_filter(self) -> None:
        led, found, one = self.unresponsive_machine()
        assert found.unresponsive_since is not None and not one.bindings, (
            "the task may go elsewhere"
        )
        place(led, 11.0)
        assert not one.bindings
        machine(led, "m2", 11.0)
        place(led, 14.0)
        assert [b.machine.name for b in one.bindings.values()] == ["m2"]

    def test_one_that_heals_is_used_again_after_a_pause_that_grows(self) -> None:
        led, found, one = self.unresponsive_machine()
        machine_health.mark_responsive(led, found, 11.0)
        pause = found.trusted_again_at - 11.0
        assert pause > 0 and not found.responsive(11.0) and found.responsive(found.trusted_again_at)
        found.unresponsive_since, found.unresponsive_times = 40.0, 2
        machine_health.mark_responsive(led, found, 41.0)
        assert found.trusted_again_at - 41.0 == 2 * pause

    def test_one_that_does_not_is_replaced(self) -> None:
        led, found, one = self.unresponsive_machine()
        plan = fleet_plan.plan(led, 11.0, fleet_plan.CapacityBackoff(), {})
        assert sum(plan.to_provision.values()) == 1 and not plan.to_terminate
        late = found.unresponsive_since + led.limits.workers.lease_s + 1.0
        assert found in fleet_plan.plan(led, late, fleet_plan.CapacityBackoff(), {}).to_terminate

    @pytest.mark.parametrize(("heard", "deaf"), [(9.0, True), (1.0, False)])
    def test_a_session_that_rises_though_it_was_answered(self, heard: float, deaf: bool) -> None:
        # A worker that hung for its whole lease starts a new incarnation too, but its link works.
        led = ready()
        machine(led, "m1", heard)
        handle_heartbeat(led, heartbeat("m1", 1, incarnation=2), 13.0)
        assert (led.machines["m1"].unresponsive_since is not None) == deaf

    def test_one_that_never_hears_a_new_leader_does_not_hold_up_the_takeover(self) -> None:
        led = ledger()
        led.add_machine("m1", "small", "north", False, 0.0, registered=True)
        lease_s, now, sequence = led.limits.workers.lease_s, 0.0, 1
        while not led.ready and now < 10 * lease_s:
            now, sequence = now + 2.0, sequence + 1
            handle_heartbeat(led, heartbeat("m1", sequence, fencing_token=6), now)
            sweep(led, now)
        assert led.ready and now < 3 * lease_s and led.machines["m1"].phase == LOST
