"""The checker of histories finds each fault, and nothing else."""

from __future__ import annotations

import pytest

from helpers import spec
from history import History, Present

SPECS = {
    one.job_id: one
    for one in (
        spec("req-1", team="red", task_count=4, vcpus=4.0),
        spec("req-2", shape="gang", task_count=2, single_zone=True),
        spec("req-3", shape="gang", task_count=4, spread_zones=True),
    )
}


def there(*tasks: tuple[str, str, str, int]) -> set[Present]:
    return {Present(*one) for one in tasks}


A1 = ("m1", "north", "req-1/0", 1)
G0, G1 = ("m1", "north", "req-2/0", 5), ("m2", "north", "req-2/1", 5)
SPREAD = [(f"m{n}", zone, f"req-3/{n}", 7) for n, zone in enumerate(["north", "south"] * 2)]


@pytest.mark.parametrize(
    ("snapshots", "found"),
    [
        ([(0.0, there(A1)), (1.0, there(A1, G0, G1)), (2.0, there())], []),
        ([(0.0, there(*SPREAD))], []),
        ([(0.0, there(A1, ("m2", "north", "req-1/0", 2)))], ["a task runs twice"]),
        ([(0.0, there(G0, ("m2", "north", "req-2/1", 6)))], ["members of two attempts"]),
        ([(0.0, there(G0, ("m2", "south", "req-2/1", 5)))], ["in two zones"]),
        (
            [(0.0, there(*SPREAD[:3], ("m9", "north", "req-3/3", 7)))],
            ["more than half in one zone"],
        ),
        ([(0.0, there(*(("m1", "north", f"req-1/{n}", n) for n in range(4))))], ["team red above"]),
        # a gang may gather, or end, for a while; and that counts for each attempt
        ([(0.0, there(G0)), (9.0, there(G0)), (9.5, there(G0, G1)), (30.0, there(G0))], []),
        ([(0.0, there(G0)), (10.5, there(G0))], ["partly placed for 10.5 s"]),
        ([(0.0, there(G0)), (6.0, there()), (7.0, there(G0)), (12.0, there(G0))], []),
    ],
)
def test_a_history(snapshots: list[tuple[float, set[Present]]], found: list[str]) -> None:
    history = History(SPECS, {"red": 12.0, "blue": 64.0}, partial_most_s=10.0)
    for at, present in snapshots:
        history.observe(at, present)
    assert len(history.broken) == len(found)
    assert all(what in one for what, one in zip(found, history.broken, strict=True))


def test_placements_are_kept_in_their_order() -> None:
    history = History(SPECS, {"red": 12.0, "blue": 64.0}, partial_most_s=10.0)
    history.observe(0.0, there(A1))
    history.observe(1.0, there(A1, G0, G1))
    assert history.placements == [
        (0.0, "req-1", "north"),
        (1.0, "req-2", "north"),
        (1.0, "req-2", "north"),
    ]
