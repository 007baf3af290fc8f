"""The order of the queue, and learned estimates."""

import pytest

from helpers import job, ready
from salthead.cluster.estimates import Arrivals, Estimates
from salthead.cluster.ledger import Ledger
from salthead.cluster.resources import Resources
from salthead.scheduling import pending_queue, queue_order

OBJECTIVES = [
    {"kind": "deadline", "class": "b", "share": 0.9, "times": 1.0},
    {"kind": "finished", "class": "c", "within_s": 300.0, "share": 0.9},
]


def queue_order_of(led: Ledger, now: float = 0.0) -> list[str]:
    return [one.job_id for one in pending_queue.pending_jobs(led, set(), now)]


@pytest.mark.parametrize(
    ("jobs", "rate", "expected"),
    [
        # Both targets can be met: the earlier one first.
        ([("req-1", 4, 100.0), ("req-2", 4, 60.0)], 32, ["req-2", "req-1"]),
        # Not both can be met: the job with the most work comes last, whatever its arrival time.
        ([("req-1", 20, 60.0), ("req-2", 4, 60.0)], 8, ["req-2", "req-1"]),
        # A target that can't be met any more comes after one that can.
        ([("req-1", 4, 10.0), ("req-2", 4, 60.0)], 32, ["req-2", "req-1"]),
    ],
)
def test_order(jobs: list[tuple[str, int, float]], rate: float, expected: list[str]) -> None:
    led = ready(objectives=OBJECTIVES)
    led.add_machine("m", "small", "north", False, 0.0).capacity = Resources(rate, 0.0, 999.0)
    for job_id, task_count, deadline_s in jobs:
        job(
            led,
            job_id=job_id,
            task_count=task_count,
            deadline_s=deadline_s,
            at=0.0,
            estimated_run_s=20.0,
        )
    assert queue_order_of(led) == expected


def test_urgency_comes_before_targets() -> None:
    led = ready(objectives=OBJECTIVES)
    job(led, job_id="req-1", deadline_s=30.0)
    job(led, job_id="req-2", urgency="urgent", deadline_s=None)
    assert queue_order_of(led) == ["req-2", "req-1"]


def test_a_class_without_deadlines_has_its_aims_for_targets() -> None:
    led = ready(objectives=OBJECTIVES)
    one = job(led, job_class="c", deadline_s=None, at=0.0)
    assert queue_order.latest_start(led, one, 20.0, 10.0) == 280.0
    assert queue_order.latest_start(led, one, 20.0, 290.0) == float("inf")


def test_estimates_follow_what_was_seen() -> None:
    estimates = Estimates()
    assert estimates.run_s("b", 20.0) == 20.0
    for _ in range(200):
        estimates.record_run("b", 20.0, 40.0)
    assert 36.0 < estimates.run_s("b", 20.0) < 40.0
    assert estimates.run_s("other", 20.0) == 20.0
    estimates.record_run("b", 0.0, 5.0)  # a job without an estimate is not learned from
    assert estimates.run_s("b", 0.0) == 1.0


def test_the_largest_go_behind_by_their_own_teams_limit() -> None:
    # The fleet has free capacity but the team's limit is reached: large gangs would use all of the
    # limit for longer than small ones can wait.
    led = ready(objectives=OBJECTIVES)
    led.add_machine("m", "small", "north", False, 0.0).capacity = Resources(1000.0, 0.0, 9999.0)
    job(
        led,
        job_id="req-1",
        team="red",
        task_count=40,
        deadline_s=70.0,
        at=0.0,
        estimated_run_s=20.0,
    )
    job(
        led, job_id="req-2", team="red", task_count=4, deadline_s=80.0, at=0.0, estimated_run_s=20.0
    )
    job(
        led,
        job_id="req-3",
        team="blue",
        task_count=30,
        deadline_s=60.0,
        at=0.0,
        estimated_run_s=20.0,
    )
    assert queue_order_of(led) == ["req-3", "req-2", "req-1"]


def test_whoever_waited_for_long_without_beginning_comes_first() -> None:
    # The largest jobs come last, but must still start within BEGIN_WITHIN_S.
    led = ready(objectives=OBJECTIVES)
    led.add_machine("m", "small", "north", False, 0.0).capacity = Resources(8.0, 0.0, 999.0)
    job(led, job_id="req-1", task_count=200, deadline_s=30.0, at=0.0, estimated_run_s=20.0)
    begun = job(led, job_id="req-2", task_count=200, deadline_s=30.0, at=0.0, estimated_run_s=20.0)
    begun.first_start = 1.0
    job(led, job_id="req-3", task_count=2, deadline_s=400.0, at=0.0, estimated_run_s=20.0)
    half = 0.5 * queue_order.BEGIN_WITHIN_S
    assert queue_order_of(led, half - 1.0) == ["req-3", "req-1", "req-2"]
    assert queue_order_of(led, half + 1.0) == ["req-1", "req-3", "req-2"]
    # Its first task has a machine, so the other 199 wait for their turn. Otherwise arrays that are
    # due take whole machines while an image is fetched.
    led.allocations.bind(led.jobs["req-1"], 0, led.machines["m"], 1, half)
    assert queue_order_of(led, half + 1.0) == ["req-3", "req-1", "req-2"]


def test_spare_room_is_given_back_sooner_where_guarantees_are_kept_anyway() -> None:
    # With 998 of 1000 jobs started in time, a quarter of the cost was for machines that stayed idle
    # for a boot time.
    led = ready(objectives=[{"kind": "guarantee", "within_s": 5.0, "share": 0.9}])
    assert led.start_attainment.spare() == 0.0, "without evidence the objective counts as just met"
    for _ in range(200):
        led.start_attainment.record_attainment(True)
    assert led.start_attainment.spare() > 0.99
    for _ in range(5):
        led.start_attainment.record_attainment(False)
    assert led.start_attainment.spare() == 0.0
    assert ready().start_attainment.spare() == 0.0, "without an objective there is nothing to spare"


def test_of_guaranteed_jobs_those_come_first_that_can_still_begin_in_time() -> None:
    # After an array of 395 tasks, eleven small jobs in a row waited for 15 s and more, though each
    # of them fitted into the freed capacity.
    led = ready(objectives=[{"kind": "guarantee", "within_s": 5.0, "share": 0.9}])
    job(led, job_id="req-1", task_count=3, at=0.0, estimated_run_s=20.0)
    job(led, 8.0, job_id="req-2", task_count=90, at=8.0)
    job(led, 9.0, job_id="req-3", task_count=2, at=9.0)
    job(led, 7.0, job_id="req-4", task_count=2, at=7.0)
    within = {"req-1", "req-2", "req-3"}
    order_then = [one.job_id for one in pending_queue.pending_jobs(led, within, 10.0)]
    assert order_then == ["req-3", "req-2", "req-1", "req-4"]


def test_arrivals_that_have_stopped_are_told_from_a_long_gap() -> None:
    arrivals = Arrivals(0.0)
    assert not arrivals.stopped(500.0), "no arrival was recorded yet"
    for n in range(1, 40):
        arrivals.record_arrival(3.0 * n)
    assert not arrivals.stopped(117.0 + 20.0)
    assert arrivals.stopped(117.0 + 25.0)
