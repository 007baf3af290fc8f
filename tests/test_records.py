"""Records: written values fit the size limit and read back unchanged."""

import cbor2
import pytest

from helpers import spec
from salthead.protocol.messages import MalformedMessageError
from salthead.state_store import done_tasks, records


@pytest.mark.parametrize(
    ("indices", "ranges"),
    [([], []), ([3], [[3, 3]]), ([1, 2, 3, 7], [[1, 3], [7, 7]]), ([5, 4, 9], [[4, 5], [9, 9]])],
)
def test_ranges(indices: list[int], ranges: list[list[int]]) -> None:
    assert done_tasks.to_ranges(indices) == ranges
    assert done_tasks.from_ranges(ranges) == sorted(indices)


@pytest.mark.parametrize("value_kb", [1.0, 4.0, 16.0])
def test_the_worst_stretch_fits_into_a_value(value_kb: float) -> None:
    size = done_tasks.tasks_per_segment(value_kb)
    worst = done_tasks.to_ranges(range(0, size, 2))
    import json

    assert len(json.dumps(worst)) <= value_kb * 1024


@pytest.mark.parametrize("value", [None, 5, [], {"phase": "queued"}, {"phase": "done"}])
def test_a_malformed_outcome_is_refused(value: object) -> None:
    with pytest.raises(MalformedMessageError):
        records.decode_outcome(value)


def test_a_record_reads_back() -> None:
    one = spec(machine_types=["small"], deadline_s=5.0)
    stored = cbor2.loads(cbor2.dumps(records.outcome_value(one, "done")))
    assert records.decode_outcome(stored) == ("done", one)
