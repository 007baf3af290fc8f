"""Each invariant check of the ledger fires, and blocks the start concerned."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from helpers import heartbeat, job, ledger, limits, machine, ready, spec, verbs
from salthead import metrics
from salthead.cluster.invariants import (
    AUDIT_INTERVAL_S,
    Invariant,
    InvariantBrokenError,
    Invariants,
)
from salthead.cluster.ledger import Ledger
from salthead.cluster.resources import ResourceUsage
from salthead.cluster.sweep import sweep
from salthead.heartbeats.handling import handle_heartbeat
from salthead.leader.orphan_jobs import UnknownJobLookupLoop
from salthead.leases.unloaded_renewals import NO_TERM
from salthead.state_store import records


def bind(led: Ledger, index: int = 0, granted: bool = True) -> None:
    led.allocations.bind(led.jobs["req-1"], index, led.machines["m1"], 1, 1.0, granted=granted)


def bound_twice(led: Ledger) -> None:
    machine(led, "m2")
    led.allocations.bind(led.jobs["req-1"], 0, led.machines["m2"], 2, 1.0)
    bind(led)


def binds_done_task(led: Ledger) -> None:
    led.job_table.load_done(led.jobs["req-1"], [0])
    bind(led)


def binds_cancelled_job(led: Ledger) -> None:
    led.request_cancel(led.jobs["req-1"])
    bind(led, granted=False)


def above_quota(led: Ledger) -> None:
    for index in range(7):  # of 4 CPUs each; the limit of red is 24
        bind(led, index)


def beside_silent_machines(led: Ledger) -> None:
    led.ready = False
    led.add_machine("silent", "big", "north", False, 0.0, registered=True)
    bind(led)


def beside_unknown_orphan(led: Ledger) -> None:
    led.unknown_jobs.add("req-9")
    bind(led)


def start_without_binding(led: Ledger) -> None:
    bind(led)
    del led.jobs["req-1"].bindings[0]
    handle_heartbeat(led, heartbeat("m1", 2), 2.0)


def wrong_team_total(led: Ledger) -> None:
    bind(led)
    led.allocated_by_team[0][0] = 0.0
    sweep(led, AUDIT_INTERVAL_S + 1.0)


def wrong_machine_total(led: Ledger) -> None:
    bind(led)
    led.machines["m1"].allocated.memory_gb = 0.0
    sweep(led, AUDIT_INTERVAL_S + 1.0)


FAULTS: list[tuple[Callable[[Ledger], None], Invariant]] = [
    (bound_twice, Invariant.BOUND_ONCE),
    (binds_done_task, Invariant.NOT_TERMINAL),
    (binds_cancelled_job, Invariant.NOT_TERMINAL),
    (above_quota, Invariant.WITHIN_LIMIT),
    (beside_silent_machines, Invariant.WITHIN_LIMIT),
    (beside_unknown_orphan, Invariant.WITHIN_LIMIT),
    (start_without_binding, Invariant.START_BOUND),
    (wrong_team_total, Invariant.TOTALS_AGREE),
    (wrong_machine_total, Invariant.TOTALS_AGREE),
]


def ledger_with_job() -> Ledger:
    led = ready()
    machine(led, "m1")
    job(led, team="red", task_count=9, vcpus=4.0)
    return led


@pytest.mark.parametrize(("fault", "which"), FAULTS, ids=lambda one: getattr(one, "__name__", ""))
def test_a_fault_is_found(fault: Callable[[Ledger], None], which: Invariant) -> None:
    with pytest.raises(InvariantBrokenError, match=which):
        fault(ledger_with_job())


@pytest.mark.parametrize("fault", [fault for fault, _ in FAULTS[:7]], ids=lambda one: one.__name__)
def test_in_production_it_is_logged_and_counted_and_no_start_is_sent(
    fault: Callable[[Ledger], None],
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    monkeypatch.setattr(Invariants, "strict", False)
    which = dict(FAULTS)[fault]
    before = metrics.INVARIANTS_BROKEN.labels(which)._value.get()
    led = ledger_with_job()
    fault(led)
    started = {
        task
        for verb, task in verbs(handle_heartbeat(led, heartbeat("m1", 3), 3.0))
        if verb == "start"
    }
    assert started == ({f"req-1/{n}" for n in range(6)} if fault is above_quota else set())
    assert metrics.INVARIANTS_BROKEN.labels(which)._value.get() == before + 1
    assert f"invariant_broken which={which}" in caplog.text


def test_what_an_earlier_leader_started_is_bound_beyond_the_limit() -> None:
    led = ledger()
    led.add_machine("m1", "big", "north", False, 0.0, registered=True)
    one = job(led, team="red", task_count=9, vcpus=4.0)
    handle_heartbeat(
        led, heartbeat("m1", 1, *((f"req-1/{n}", n + 1, "running") for n in range(8))), 0.5
    )
    assert len(one.bindings) == 8 and led.allocated_by_team[one.team][0] == 32.0


def test_a_start_that_is_not_wanted_any_more_is_withdrawn() -> None:
    led = ready()
    for name in ("m1", "m2"):
        machine(led, name)
    one = job(led, shape="gang", task_count=2, vcpus=6.0)
    one.attempt = 5
    for index, name in enumerate(("m1", "m2")):
        led.allocations.bind(one, index, led.machines[name], 5, 0.0)
    # An earlier attempt has completed: one done member completes the gang.
    handle_heartbeat(led, heartbeat("m1", 2, ("req-1/0", 3, "exited", "done")), 1.0)
    assert one.complete
    assert verbs(handle_heartbeat(led, heartbeat("m2", 2), 1.5)) == []
    handle_heartbeat(led, heartbeat("m2", 3), 3.0)
    assert 1 not in one.bindings and led.machines["m2"].allocated == ResourceUsage()


def test_a_task_that_is_bound_already_stays_as_it_is(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Invariants, "strict", False)
    led = ledger_with_job()
    bound_twice(led)
    one = led.jobs["req-1"]
    assert one.bindings[0].machine.name == "m2" and not led.machines["m1"].bindings
    assert (
        led.allocated_by_team[one.team][0] == 4.0
        and led.machines["m1"].allocated == ResourceUsage()
    )


def test_a_renewal_without_the_records_after_its_time_is_reported() -> None:
    led = Ledger(limits(), 7, 100.0, preceding=NO_TERM)
    ends_at = led.unloaded_renewals_end_at
    assert led.invariants.may_renew_lease("m1", ends_at - 0.1)
    with pytest.raises(InvariantBrokenError, match="renewal_in_time"):
        led.invariants.may_renew_lease("m1", ends_at)
    led.loaded = True
    assert led.invariants.may_renew_lease("m1", ends_at)


@pytest.mark.parametrize(("ended_s_ago", "reported"), [(39.0, 0), (41.0, 1)])
def test_a_task_found_after_its_cancellation_was_due_is_reported(
    ended_s_ago: float, reported: int
) -> None:
    led = Ledger(limits(), 7, 100.0, wall=5000.0)
    context: Any = SimpleNamespace(
        ledger=led, limits=led.limits, now=lambda: 100.0, fencing_token=7
    )
    before = metrics.CANCELLED_JOBS_OVERDUE._value.get()
    outcome = records.outcome_value(spec(), "aborted", 5000.0 - ended_s_ago)
    UnknownJobLookupLoop(context)._identify(outcome)
    assert metrics.CANCELLED_JOBS_OVERDUE._value.get() - before == reported
