"""The history checker finds each fault, and reports nothing for a valid history."""

from __future__ import annotations

import pytest

from helpers import spec
from history import AnswerHistory, History, Present

SPECS = {
    one.job_id: one
    for one in (
        spec("req-1", team="red", task_count=4, vcpus=4.0),
        spec("req-2", shape="gang", task_count=2, single_zone=True),
        spec("req-3", shape="gang", task_count=4, spread_zones=True),
    )
}


def rows(*tasks: tuple[str, str, str, int]) -> set[Present]:
    return {Present(*one) for one in tasks}


A1 = ("m1", "north", "req-1/0", 1)
G0, G1 = ("m1", "north", "req-2/0", 5), ("m2", "north", "req-2/1", 5)
SPREAD = [(f"m{n}", zone, f"req-3/{n}", 7) for n, zone in enumerate(["north", "south"] * 2)]


@pytest.mark.parametrize(
    ("snapshots", "found"),
    [
        ([(0.0, rows(A1)), (1.0, rows(A1, G0, G1)), (2.0, rows())], []),
        ([(0.0, rows(*SPREAD))], []),
        ([(0.0, rows(A1, ("m2", "north", "req-1/0", 2)))], ["a task runs twice"]),
        ([(0.0, rows(G0, ("m2", "north", "req-2/1", 6)))], ["members of two attempts"]),
        ([(0.0, rows(G0, ("m2", "south", "req-2/1", 5)))], ["in two zones"]),
        (
            [(0.0, rows(*SPREAD[:3], ("m9", "north", "req-3/3", 7)))],
            ["more than half in one zone"],
        ),
        ([(0.0, rows(*(("m1", "north", f"req-1/{n}", n) for n in range(4))))], ["team red above"]),
        # A gang may be partly placed for a limited time, counted for each attempt.
        ([(0.0, rows(G0)), (9.0, rows(G0)), (9.5, rows(G0, G1)), (30.0, rows(G0))], []),
        ([(0.0, rows(G0)), (10.5, rows(G0))], ["partly placed for 10.5 s"]),
        ([(0.0, rows(G0)), (6.0, rows()), (7.0, rows(G0)), (12.0, rows(G0))], []),
    ],
)
def test_a_history(snapshots: list[tuple[float, set[Present]]], found: list[str]) -> None:
    history = History(SPECS, {"red": 12.0, "blue": 64.0}, max_partial_s=10.0)
    for at, present in snapshots:
        history.observe(at, present)
    assert len(history.broken) == len(found)
    assert all(what in one for what, one in zip(found, history.broken, strict=True))


TOLD, RECORDED, PRESENT = "told", "recorded", "present"


@pytest.mark.parametrize(
    ("events", "found"),
    [
        ([(1.0, TOLD, "running"), (3.0, TOLD, "done"), (4.0, RECORDED, "done")], ""),
        ([(3.0, TOLD, "done"), (3.0, TOLD, "running")], ""),  # asked before that answer
        ([(3.0, TOLD, "done"), (5.0, TOLD, "running")], "an older answer"),
        ([(3.0, TOLD, "done"), (5.0, TOLD, "aborted")], "two final answers"),
        ([(3.0, RECORDED, "done"), (5.0, RECORDED, "aborted")], "two outcomes recorded"),
        ([(3.0, TOLD, "aborted"), (42.0, PRESENT, "")], ""),
        ([(3.0, TOLD, "aborted"), (43.5, PRESENT, "")], "there after its job was cancelled"),
    ],
)
def test_answers(events: list[tuple[float, str, str]], found: str) -> None:
    history = AnswerHistory(cancel_s=40.0)
    for at, what, phase in events:
        if what == TOLD:
            history.record_answer(at - 0.5, at, "req-1", phase)
        elif what == RECORDED:
            history.record_outcome(at, "req-1", phase)
        else:
            history.check_present(at, {"req-1/0"})
    assert len(history.broken) == bool(found) and all(found in one for one in history.broken)


def test_placements_are_kept_in_their_order() -> None:
    history = History(SPECS, {"red": 12.0, "blue": 64.0}, max_partial_s=10.0)
    history.observe(0.0, rows(A1))
    history.observe(1.0, rows(A1, G0, G1))
    assert history.placements == [
        (0.0, "req-1", "north"),
        (1.0, "req-2", "north"),
        (1.0, "req-2", "north"),
    ]
