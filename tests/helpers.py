"""Short names for the builders of ``tests/builders``, for tests that use many of them."""

from builders.ledgers import add_job as job
from builders.ledgers import add_machine as machine
from builders.ledgers import heartbeat
from builders.ledgers import new_ledger as ledger
from builders.ledgers import ready_ledger as ready
from builders.ledgers import verbs_of as verbs
from builders.platform import LIMITS, settings, settings_tree
from builders.platform import MACHINE_TYPES as FLAVORS
from builders.platform import platform_limits as limits
from builders.submissions import submission as spec
from builders.submissions import submission_fields as given

__all__ = [
    "FLAVORS",
    "LIMITS",
    "given",
    "heartbeat",
    "job",
    "ledger",
    "limits",
    "machine",
    "ready",
    "settings",
    "settings_tree",
    "spec",
    "verbs",
]
