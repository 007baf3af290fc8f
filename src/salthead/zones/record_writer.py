"""Which records of zones the state service lacks, and how a new leader goes on from them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from salthead.cluster.ledger import Ledger
from salthead.zones import records
from salthead.zones.admission import ZoneAdmission
from salthead.zones.state import ZonePhase, ZoneState


class KeyedRecord(NamedTuple):
    """A key of the state service and the value that is to be written there."""

    key: str
    value: dict[str, Any]


class WrittenRecord(NamedTuple):
    """What the state service has of a zone, and since when."""

    phase: ZonePhase
    step: int
    at: float


class ZoneRecordWriter:
    """Compares the states of zones with what was written of them."""

    def __init__(
        self,
        ledger: Ledger,
        states: list[ZoneState],
        admission: ZoneAdmission,
        wall_ahead: float,
    ) -> None:
        """``wall_ahead``: the time of day less the steady time."""
        self.ledger = ledger
        self.states = states
        self.admission = admission
        self.wall_ahead = wall_ahead
        self.written: dict[int, WrittenRecord] = {}

    def load(self, rows: dict[str, Any], now: float) -> None:
        """Go on from the values that earlier leaders wrote, by key."""
        wall = now + self.wall_ahead
        for path, value in rows.items():
            zone = self.ledger.zones.get(records.zone_of(path))
            record = records.read(value, wall, self.ledger.limits.clock_error_ms / 1000.0)
            if zone is None or record is None:
                continue
            state = self.states[zone]
            records.restore(state, record, now, wall)
            if state.phase is ZonePhase.RECOVERING:
                self.admission.resume(zone, record.step, now)
            self.written[zone] = self._current(zone, now)
            self.admission.withhold(zone)

    def unwritten(self, now: float) -> dict[int, KeyedRecord]:
        """The records, by zone, that the state service lacks or has had for too long."""
        found = {}
        for zone, state in enumerate(self.states):
            written = self.written.get(zone, WrittenRecord(ZonePhase.AVAILABLE, 0, now))
            step = self.admission.step(zone)
            renew = state.phase is not ZonePhase.AVAILABLE and now - written.at >= records.RENEW_S
            if renew or (state.phase, step) != (written.phase, written.step):
                value = records.value_of(state, step, now, now + self.wall_ahead)
                found[zone] = KeyedRecord(records.key(self.ledger.zones[zone]), value)
        return found

    def covered(self, zones: Iterable[int], now: float) -> dict[int, WrittenRecord]:
        """What a write of these zones' records, made now, will have brought up to date."""
        return {zone: self._current(zone, now) for zone in zones}

    def mark_written(self, covered: dict[int, WrittenRecord]) -> None:
        """That write was answered; what changed meanwhile is written again."""
        self.written.update(covered)

    def _current(self, zone: int, now: float) -> WrittenRecord:
        return WrittenRecord(self.states[zone].phase, self.admission.step(zone), now)
