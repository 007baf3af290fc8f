"""Builders of test data: settings, submissions, and ledgers with machines and jobs.

Importing this package makes the invariants of ledgers strict: a violation raises an error instead
of writing a log line. ``conftest.py`` imports it, so this holds for all tests.
"""

from salthead.cluster.invariants import Invariants

Invariants.strict = True
