"""The state of a zone as the state service keeps it: one small value for each, ``zone/NAME``.

It only tells a new leader how the last one judged the zone. No rule of the protocol depends on it,
so it is written after the fact, and a record that was not renewed in time is ignored.
"""

from __future__ import annotations

from typing import Any
from urllib.parse import quote, unquote

import msgspec

from salthead.zones.state import ZonePhase, ZoneState

ZONES = "zone/"
RENEW_S = 30.0  # a zone that is not available is written again after this long
VALID_S = 120.0  # a record that was written longer ago is ignored


class ZoneRecord(msgspec.Struct, omit_defaults=True):
    """How a leader judged a zone; times are times of day."""

    phase: str
    since: float
    at: float
    losses: float = 0.0
    step: int = 0


def key(zone: str) -> str:
    """The key of a zone's record; keys have no spaces."""
    return ZONES + quote(zone, safe="")


def zone_of(path: str) -> str:
    """The zone that a key names."""
    return unquote(path.removeprefix(ZONES))


def value_of(state: ZoneState, step: int, now: float, wall: float) -> dict[str, Any]:
    """The record of a zone; ``now`` and ``wall`` are the same moment on both clocks."""
    record = ZoneRecord(
        phase=state.phase.value,
        since=round(wall - (now - state.since), 3),
        at=round(wall, 3),
        losses=round(state.remembered_losses(now), 3),
        step=step,
    )
    found: dict[str, Any] = msgspec.to_builtins(record)
    return found


def read(value: Any, wall: float, clock_error_s: float) -> ZoneRecord | None:
    """A record that may still hold; None if it is old, or not one of this version."""
    try:
        record = msgspec.convert(value, ZoneRecord)
        ZonePhase(record.phase)
    except (msgspec.ValidationError, ValueError):
        return None
    valid = abs(wall - record.at) <= VALID_S + 2.0 * clock_error_s
    return record if valid else None


def restore(state: ZoneState, record: ZoneRecord, now: float, wall: float) -> None:
    """Go on from the last leader's record."""
    state.phase = ZonePhase(record.phase)
    state.since = now - max(0.0, wall - record.since)
    state.reason = "as the last leader thought" if state.phase is not ZonePhase.AVAILABLE else ""
    state.losses, state.losses_at = max(0.0, record.losses), now
