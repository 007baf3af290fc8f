"""Records of zone states: which of them to write, and how a new leader resumes from them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from salthead.cluster.ledger import Ledger
from salthead.zones import records
from salthead.zones.admission import ZoneAdmission
from salthead.zones.state import ZonePhase, ZoneState


class KeyedRecord(NamedTuple):
    """A key of the state service and the value to be written there."""

    key: str
    value: dict[str, Any]


class WrittenRecord(NamedTuple):
    """The stored state of a zone and the time when it was written."""

    phase: ZonePhase
    step: int
    at: float


class ZoneRecordWriter:
    """Comparison of the current states of zones with the stored records."""

    def __init__(
        self,
        ledger: Ledger,
        states: list[ZoneState],
        admission: ZoneAdmission,
        wall_clock_offset_s: float,
    ) -> None:
        """Create a writer; the offset is the wall-clock time less the monotonic time."""
        self.ledger = ledger
        self.states = states
        self.admission = admission
        self.wall_clock_offset_s = wall_clock_offset_s
        self.written: dict[int, WrittenRecord] = {}
        # Zones whose last write has no result, so that it is not known what is stored.
        self.unconfirmed: set[int] = set()
        # By key: the revision that a write replaces, so that one that is executed late can't
        # replace a newer one.
        self.revisions: dict[str, int] = {}

    def load(self, rows: dict[str, Any], now: float) -> None:
        """Restore the states from the values that earlier leaders wrote, by key."""
        wall_time = now + self.wall_clock_offset_s
        for key, value in rows.items():
            zone = self.ledger.zones.get(records.zone_from_key(key))
            clock_error_s = self.ledger.limits.clock_error_ms / 1000.0
            record = records.decode_record(value, wall_time, clock_error_s)
            if zone is None or record is None:
                continue
            state = self.states[zone]
            records.restore_state(state, record, now, wall_time)
            if state.phase is ZonePhase.RECOVERING:
                self.admission.resume(zone, record.step, now)
            self.written[zone] = self._current(zone, now)
            self.admission.update_withheld_machines(zone)

    def unwritten(self, now: float) -> dict[int, KeyedRecord]:
        """Return the records, by zone, whose stored value is outdated or due for renewal."""
        unwritten = {}
        for zone, state in enumerate(self.states):
            written = self.written.get(zone, WrittenRecord(ZonePhase.AVAILABLE, 0, now))
            step = self.admission.step(zone)
            renewal_due = (
                state.phase is not ZonePhase.AVAILABLE and now - written.at >= records.RENEW_S
            )
            changed = (state.phase, step) != (written.phase, written.step)
            if changed or renewal_due or zone in self.unconfirmed:
                value = records.record_value(state, step, now, now + self.wall_clock_offset_s)
                key = records.record_key(self.ledger.zones[zone])
                unwritten[zone] = KeyedRecord(key, value)
        return unwritten

    def covered(self, zones: Iterable[int], now: float) -> dict[int, WrittenRecord]:
        """Return the states that a write of these zones' records, sent now, will store."""
        return {zone: self._current(zone, now) for zone in zones}

    def mark_sent(self, zones: Iterable[int]) -> None:
        """Record that a write is sent; until it succeeds, these zones are to be written again."""
        self.unconfirmed.update(zones)

    def mark_written(self, covered: dict[int, WrittenRecord]) -> None:
        """Record that a write succeeded; states that changed meanwhile are written again."""
        self.written.update(covered)
        self.unconfirmed -= covered.keys()

    def _current(self, zone: int, now: float) -> WrittenRecord:
        return WrittenRecord(self.states[zone].phase, self.admission.step(zone), now)
