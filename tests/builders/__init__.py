"""Builders of what tests need: settings, submissions, and ledgers with machines and jobs.

Whoever imports one has the invariants of ledgers checked strictly: a broken one raises an error in
place of a log line. ``conftest.py`` imports them, so that this holds for all tests.
"""

from salthead.cluster.invariants import Invariants

Invariants.strict = True
