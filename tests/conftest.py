"""What holds for all tests."""

from __future__ import annotations

import pytest

import builders  # noqa: F401  (has the invariants checked strictly)
from salthead.cluster.invariants import Invariants


@pytest.fixture(autouse=True)
def strict_invariants() -> None:
    """No test begins with invariants that only log."""
    assert Invariants.strict
