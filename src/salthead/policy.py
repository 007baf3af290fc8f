"""The operators' policy file: which further behaviour is enabled, and its numbers.

Unlike the platform's settings it is the operators' own, so a field that is not known is a mistake
and is refused. Nothing has a default: what a file says is all that holds.
"""

from __future__ import annotations

import math
import tomllib
from pathlib import Path

import msgspec


class PolicyError(Exception):
    """Why the policy file can't be used, in one line."""


class ZonePolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When a zone counts as lost, and how fast it gets new work when it is back."""

    enabled: bool
    min_machines: int  # fewer machines than this are no zone
    suspect_share: float  # of the machines that are unheard, for the zone to be suspected
    lost_share: float  # of the machines whose leases have ended, for the zone to be lost
    return_share: float  # of the machines that are heard, for the zone to be recovering
    return_after_s: float  # for which that has to hold, doubled for each earlier loss
    return_after_most_s: float
    penalty_half_life_s: float  # in which half of an earlier loss is forgotten
    steps: list[float]  # shares of the zone's machines that may get new work, one after the other
    step_s: float  # the shortest time for one step
    hold_most_s: float  # the longest time for which slow machines hold a step back
    slow_factor: float  # a start this many times slower than the zone's usual ones is slow
    probe_after_s: float  # after which machines are hired in a lost zone, to see whether it is back
    probe_machines: int  # of each kind
    evacuation_most_s: float  # for which displaced work may change the order of the queue


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file. A section that is absent enables nothing."""

    zone_recovery: ZonePolicy | None = None


NO_POLICY = Policy()

SHARES = ("suspect_share", "lost_share", "return_share")
POSITIVE = (
    "min_machines",
    "return_after_s",
    "return_after_most_s",
    "penalty_half_life_s",
    "step_s",
    "probe_machines",
)
NOT_NEGATIVE = ("hold_most_s", "probe_after_s", "evacuation_most_s")


def _check_zone_recovery(found: ZonePolicy) -> None:
    path = "zone_recovery"
    for name in (*SHARES, *POSITIVE, *NOT_NEGATIVE, "slow_factor"):
        if not math.isfinite(getattr(found, name)):
            raise PolicyError(f"{path}.{name}: must be a number")
    for name in SHARES:
        if not 0 < getattr(found, name) <= 1:
            raise PolicyError(f"{path}.{name}: must be above 0 and at most 1")
    for name in POSITIVE:
        if not getattr(found, name) > 0:
            raise PolicyError(f"{path}.{name}: must be above 0")
    for name in NOT_NEGATIVE:
        if not getattr(found, name) >= 0:
            raise PolicyError(f"{path}.{name}: must not be negative")
    if not found.slow_factor >= 1:
        raise PolicyError(f"{path}.slow_factor: must be at least 1")
    for before, share in zip([0.0, *found.steps], found.steps, strict=False):
        if not before < share < 1:
            raise PolicyError(f"{path}.steps: must rise, between 0 and 1")


def load(path: str | Path) -> Policy:
    """Read and check a policy file; PolicyError names the file and the entry.

    A file that is not there enables nothing, so that one command line serves with and without it.
    """
    try:
        raw = Path(path).read_bytes()
    except FileNotFoundError:
        return NO_POLICY
    except OSError as error:
        raise PolicyError(f"{path}: {error.strerror or error}") from None
    try:
        tree = tomllib.loads(raw.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise PolicyError(f"{path}: not TOML: {error}") from None
    try:
        found = msgspec.convert(tree, Policy)
        if found.zone_recovery is not None:
            _check_zone_recovery(found.zone_recovery)
    except (msgspec.ValidationError, PolicyError) as error:
        raise PolicyError(f"{path}: {error}") from None
    return found
