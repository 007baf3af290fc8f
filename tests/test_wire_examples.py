"""Messages and records encode byte for byte as in the recorded examples."""

from __future__ import annotations

import json
from typing import Any

import pytest

import wire_examples

BEFORE: dict[str, Any] = json.loads(wire_examples.FIXTURE.read_text())


@pytest.fixture(scope="module")
def now() -> dict[str, Any]:
    return wire_examples.examples()


@pytest.mark.parametrize("group", sorted(BEFORE))
def test_messages_and_records_encode_as_before(group: str, now: dict[str, Any]) -> None:
    before, found = BEFORE[group], now[group]
    if isinstance(before, dict):
        assert before.keys() == found.keys()
        for name, example in before.items():
            assert found[name] == example, name
    else:
        assert found == before
