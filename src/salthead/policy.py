"""The operators' policy file: which further behaviour is enabled, and its parameters.

Unlike the platform's settings it is the operators' own, so an unknown entry is a mistake and is
refused. No parameter has a default: a section that is present names all of them.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from pathlib import Path

import msgspec

from salthead import toml_file
from salthead.networks.declaration import Network
from salthead.toml_file import ConfigFileError

__all__ = ["NO_POLICY", "Network", "PartialCutPolicy", "Policy", "ZonePolicy", "check", "load"]


class ZonePolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When a zone counts as lost, and how fast it gets new work when it has recovered."""

    enabled: bool
    min_machines: int  # fewer silent machines than this never make a zone suspected
    suspect_share: float  # share of machines with overdue heartbeats: the zone is suspected
    lost_share: float  # share of machines whose leases have ended: the zone is lost
    return_share: float  # share of machines with heartbeats again: the zone is recovering
    return_after_s: float  # for which that has to hold, doubled for each earlier loss
    max_return_after_s: float = msgspec.field(name="return_after_most_s")
    penalty_half_life_s: float  # after which an earlier loss counts half
    steps: list[float]  # shares of the zone's machines that may get new work, one after the other
    step_s: float  # minimum time of one step
    max_hold_s: float = msgspec.field(name="hold_most_s")  # for which slow machines delay a step
    slow_factor: float  # a start this many times slower than the zone's usual ones is slow
    # Time after which machines are provisioned in a lost zone, to see whether it has recovered.
    probe_after_s: float
    probe_machines: int  # of each kind
    # Time for which displaced work may change the order of the queue.
    max_evacuation_s: float = msgspec.field(name="evacuation_most_s")


class PartialCutPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a leader does while links between it and some machines fail, one way or both."""

    enabled: bool
    min_machines: int  # fewer silent machines than this are taken for independent failures
    shared_share: float  # of a group's machines: more do not fail independently within one lease
    wait_boots: float  # boot times of its type for which a machine behind a cut is waited for
    handover_factor: float  # a peer that hears this many times as many workers should lead


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file. A section that is absent enables nothing."""

    zone_recovery: ZonePolicy | None = None
    partial_cuts: PartialCutPolicy | None = None
    networks: list[Network] = []


NO_POLICY = Policy()

Rule = tuple[Callable[[float], bool], str]

# Rules for the entries by the names that the file gives them.
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


def _check_numbers(section: str, parameters: msgspec.Struct, rules: dict[str, Rule]) -> None:
    entries = msgspec.to_builtins(parameters)
    for name, (holds, text) in rules.items():
        value = entries[name]
        if not math.isfinite(value):
            raise ConfigFileError(f"{section}.{name}: must be a number")
        if not holds(value):
            raise ConfigFileError(f"{section}.{name}: {text}")


def _check_zone_recovery(policy: ZonePolicy) -> None:
    _check_numbers("zone_recovery", policy, ZONE_RULES)
    for before, share in zip([0.0, *policy.steps], policy.steps, strict=False):
        if not before < share < 1:
            raise ConfigFileError("zone_recovery.steps: must rise, between 0 and 1")


def check(policy: Policy) -> None:
    """Check what types alone do not say; ConfigFileError names the entry."""
    if policy.zone_recovery is not None:
        _check_zone_recovery(policy.zone_recovery)
    if policy.partial_cuts is not None:
        _check_numbers("partial_cuts", policy.partial_cuts, PARTIAL_CUT_RULES)
    if policy.networks:
        # Here, so that the library is loaded only where networks are declared.
        from salthead.networks.directory import NetworkDirectory

        NetworkDirectory(policy.networks)


def load(path: str | Path) -> Policy:
    """Read and check a policy file; ConfigFileError names the file and the entry.

    A file that is not there enables nothing, so that one command line serves with and without it.
    """
    if not Path(path).exists():
        return NO_POLICY
    return toml_file.read(path, Policy, check)
