"""The operators' policy file, which enables optional behaviour and sets its parameters.

The settings file comes from the platform and may gain entries, but the policy file is written by
operators: an unknown entry in it is a mistake and is refused. Parameters have no defaults, so a
section that is present must set all of them.
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
    """Thresholds for the loss and recovery of a zone, and for the slow start that follows."""

    enabled: bool
    min_machines: int  # minimum number of silent machines to suspect a zone
    suspect_share: float  # share of machines with overdue heartbeats that makes a zone suspected
    lost_share: float  # share of machines with expired leases that makes a zone lost
    return_share: float  # share of machines with heartbeats again that starts the recovery
    return_after_s: float  # time for which return_share must hold, doubled per earlier loss
    max_return_after_s: float = msgspec.field(name="return_after_most_s")
    penalty_half_life_s: float  # half-life of the penalty for earlier losses
    steps: list[float]  # share of the zone's machines that may get new work, per slow-start step
    step_s: float  # minimum duration of a step
    max_hold_s: float = msgspec.field(name="hold_most_s")  # maximum time a step is held back
    slow_factor: float  # ratio to the usual start time above which a start is slow
    # Time after which machines are provisioned in a lost zone to probe whether it has recovered.
    probe_after_s: float
    probe_machines: int  # per kind of machine
    # Maximum time for which jobs displaced by the loss may change the order of the queue.
    max_evacuation_s: float = msgspec.field(name="evacuation_most_s")


class PartialCutPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Thresholds for partial network cuts: links that fail in one or both directions."""

    enabled: bool
    min_machines: int  # fewer silent machines than this are treated as independent failures
    # Silent share of a group above which the cause is shared: it is the most that fails
    # independently within one lease.
    shared_share: float
    wait_boots: float  # wait for a machine behind a cut, as a multiple of its type's boot time
    # A peer should lead if it hears more than this many times as many workers as the leader.
    handover_factor: float


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of the policy file; an absent section leaves its behaviour disabled."""

    zone_recovery: ZonePolicy | None = None
    partial_cuts: PartialCutPolicy | None = None
    networks: list[Network] = []


NO_POLICY = Policy()

ValidationRule = tuple[Callable[[float], bool], str]

# Validation rules for the entries, by their names in the file.
SHARE: ValidationRule = (lambda value: 0 < value <= 1, "must be greater than 0 and at most 1")
POSITIVE: ValidationRule = (lambda value: value > 0, "must be greater than 0")
NOT_NEGATIVE: ValidationRule = (lambda value: value >= 0, "must not be negative")
FACTOR: ValidationRule = (lambda value: value >= 1, "must be at least 1")

ZONE_RULES: dict[str, ValidationRule] = {
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

PARTIAL_CUT_RULES: dict[str, ValidationRule] = {
    "min_machines": POSITIVE,
    "shared_share": SHARE,
    "wait_boots": NOT_NEGATIVE,
    "handover_factor": FACTOR,
}


def _check_numbers(
    section: str, parameters: msgspec.Struct, rules: dict[str, ValidationRule]
) -> None:
    entries = msgspec.to_builtins(parameters)
    for name, (is_valid, requirement) in rules.items():
        value = entries[name]
        if not math.isfinite(value):
            raise ConfigFileError(f"{section}.{name}: must be a finite number")
        if not is_valid(value):
            raise ConfigFileError(f"{section}.{name}: {requirement}")


def _check_zone_recovery(policy: ZonePolicy) -> None:
    _check_numbers("zone_recovery", policy, ZONE_RULES)
    for previous, share in zip([0.0, *policy.steps], policy.steps, strict=False):
        if not previous < share < 1:
            raise ConfigFileError("zone_recovery.steps: must increase strictly between 0 and 1")


def check(policy: Policy) -> None:
    """Validate what the types do not express; raise ConfigFileError that names the entry."""
    if policy.zone_recovery is not None:
        _check_zone_recovery(policy.zone_recovery)
    if policy.partial_cuts is not None:
        _check_numbers("partial_cuts", policy.partial_cuts, PARTIAL_CUT_RULES)
    if policy.networks:
        # Imported here so that netaddr is loaded only if networks are declared.
        from salthead.networks.directory import NetworkDirectory

        NetworkDirectory(policy.networks)


def load(path: str | Path) -> Policy:
    """Read and validate a policy file; raise ConfigFileError that names file and entry.

    A missing file enables nothing, so that the same command line works with and without it.
    """
    if not Path(path).exists():
        return NO_POLICY
    return toml_file.read(path, Policy, check)
