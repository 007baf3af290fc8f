"""The operators' policy file: which further behaviour is enabled, and its numbers.

Unlike the platform's settings it is the operators' own, so a field that is not known is a mistake
and is refused. Nothing has a default: what a file says is all that holds.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from pathlib import Path

import msgspec

from salthead import toml_file
from salthead.toml_file import ConfigFileError as PolicyError


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
    # After which machines are provisioned in a lost zone, to see whether it is back
    probe_after_s: float
    probe_machines: int  # of each kind
    evacuation_most_s: float  # for which displaced work may change the order of the queue


class PartialCutPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a leader does while links between it and some machines fail, one way or both."""

    enabled: bool
    min_machines: int  # fewer silent machines than this share nothing but bad luck
    shared_share: float  # of a group's machines: more than these do not die within one lease
    wait_boots: float  # for how many boots of its type a machine behind a cut is waited for
    handover_factor: float  # a peer hears this many times as many workers: it should lead


class Network(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An IP network whose machines are counted together."""

    name: str
    prefix: str  # such as 10.1.2.0/24 or fd00:12::/32
    within: str | None = None  # the next larger network that it lies in, if that is declared


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file. A section that is absent enables nothing."""

    zone_recovery: ZonePolicy | None = None
    partial_cuts: PartialCutPolicy | None = None
    networks: list[Network] = []


NO_POLICY = Policy()

Rule = tuple[Callable[[float], bool], str]

SHARE: Rule = (lambda value: 0 < value <= 1, "must be above 0 and at most 1")
POSITIVE: Rule = (lambda value: value > 0, "must be above 0")
NOT_NEGATIVE: Rule = (lambda value: value >= 0, "must not be negative")
FACTOR: Rule = (lambda value: value >= 1, "must be at least 1")

ZONE_RULES: dict[str, Rule] = {
    "min_machines": POSITIVE,
    "suspect_share": SHARE,
    "lost_share": SHARE,
    "return_share": SHARE,
    "return_after_s": POSITIVE,
    "return_after_most_s": POSITIVE,
    "penalty_half_life_s": POSITIVE,
    "step_s": POSITIVE,
    "hold_most_s": NOT_NEGATIVE,
    "slow_factor": FACTOR,
    "probe_after_s": NOT_NEGATIVE,
    "probe_machines": POSITIVE,
    "evacuation_most_s": NOT_NEGATIVE,
}

PARTIAL_CUT_RULES: dict[str, Rule] = {
    "min_machines": POSITIVE,
    "shared_share": SHARE,
    "wait_boots": NOT_NEGATIVE,
    "handover_factor": FACTOR,
}


def _check_numbers(section: str, found: msgspec.Struct, rules: dict[str, Rule]) -> None:
    for name, (holds, what) in rules.items():
        value = getattr(found, name)
        if not math.isfinite(value):
            raise PolicyError(f"{section}.{name}: must be a number")
        if not holds(value):
            raise PolicyError(f"{section}.{name}: {what}")


def _check_zone_recovery(found: ZonePolicy) -> None:
    _check_numbers("zone_recovery", found, ZONE_RULES)
    for before, share in zip([0.0, *found.steps], found.steps, strict=False):
        if not before < share < 1:
            raise PolicyError("zone_recovery.steps: must rise, between 0 and 1")


def check(found: Policy) -> None:
    """What types alone do not say; PolicyError names the entry."""
    if found.zone_recovery is not None:
        _check_zone_recovery(found.zone_recovery)
    if found.partial_cuts is not None:
        _check_numbers("partial_cuts", found.partial_cuts, PARTIAL_CUT_RULES)
    if found.networks:
        # Here, so that the library is loaded only where networks are declared.
        from salthead.networks.directory import NetworkDirectory

        NetworkDirectory(found.networks)


def load(path: str | Path) -> Policy:
    """Read and check a policy file; PolicyError names the file and the entry.

    A file that is not there enables nothing, so that one command line serves with and without it.
    """
    if not Path(path).exists():
        return NO_POLICY
    return toml_file.read(path, Policy, check)
