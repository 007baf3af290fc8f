"""Fixtures and settings for all tests."""

from __future__ import annotations

import pytest

import builders  # noqa: F401  (makes ledger invariants strict)
from salthead.cluster.invariants import Invariants


@pytest.fixture(autouse=True)
def strict_invariants() -> None:
    """Assert before each test that a violated invariant raises an error."""
    assert Invariants.strict
