"""Records of zones in the state service: one small value ``zone/NAME`` for each.

A record tells a new leader the phase that the last leader assigned to the zone. No rule of the
protocol depends on it, so it is written asynchronously, and is ignored if it was not renewed in
time.
"""

from __future__ import annotations

from typing import Any
from urllib.parse import quote, unquote

import msgspec

from salthead.zones.state import ZonePhase, ZoneState

ZONES = "zone/"
RENEW_S = 30.0  # renewal interval of the records of zones that are not available
VALID_S = 120.0  # records that were written longer ago are ignored


class ZoneRecord(msgspec.Struct, omit_defaults=True):
    """Stored state of a zone; times are wall-clock times."""

    phase: str
    since: float
    at: float
    losses: float = 0.0
    step: int = 0


def record_key(zone: str) -> str:
    """Return the key of a zone's record, percent-encoded since keys can't contain spaces."""
    return ZONES + quote(zone, safe="")


def zone_from_key(key: str) -> str:
    """Return the zone that a key names."""
    return unquote(key.removeprefix(ZONES))


def record_value(state: ZoneState, step: int, now: float, wall_time: float) -> dict[str, Any]:
    """Return a zone's record; ``now`` and ``wall_time`` are the same moment on both clocks."""
    record = ZoneRecord(
        phase=state.phase.value,
        since=round(wall_time - (now - state.since), 3),
        at=round(wall_time, 3),
        losses=round(state.decayed_losses(now), 3),
        step=step,
    )
    value: dict[str, Any] = msgspec.to_builtins(record)
    return value


def decode_record(value: Any, wall_time: float, clock_error_s: float) -> ZoneRecord | None:
    """Decode a record; None if it is outdated or this version can't read it."""
    try:
        record = msgspec.convert(value, ZoneRecord)
        ZonePhase(record.phase)
    except (msgspec.ValidationError, ValueError):
        return None
    valid = abs(wall_time - record.at) <= VALID_S + 2.0 * clock_error_s
    return record if valid else None


def restore_state(state: ZoneState, record: ZoneRecord, now: float, wall_time: float) -> None:
    """Set a zone's state from the last leader's record."""
    state.phase = ZonePhase(record.phase)
    state.since = now - max(0.0, wall_time - record.since)
    state.reason = "as the last leader thought" if state.phase is not ZonePhase.AVAILABLE else ""
    state.losses, state.losses_at = max(0.0, record.losses), now
