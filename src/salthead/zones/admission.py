"""Admission of work and machines to zones that are lost or recovering: none, or step by step."""

from __future__ import annotations

import logging
import random

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import BOOTING, UP, Binding, Machine
from salthead.event_log import event
from salthead.policy import ZonePolicy
from salthead.zones.evidence import ZoneEvidence
from salthead.zones.slow_start import Progress, SlowStart
from salthead.zones.start_times import StartTimes
from salthead.zones.state import OUT_OF_SERVICE, ZonePhase, ZoneState

log = logging.getLogger(__name__)


class ZoneAdmission:
    """The slow starts of recovering zones, and what follows for machines and provisions."""

    def __init__(
        self,
        ledger: Ledger,
        policy: ZonePolicy,
        rng: random.Random,
        states: list[ZoneState],
        evidence: ZoneEvidence,
    ) -> None:
        self.ledger = ledger
        self.policy = policy
        self.rng = rng
        self.states = states
        self.evidence = evidence
        self.slow_starts: dict[int, SlowStart] = {}
        self.usual_starts = StartTimes()
        self.provision_limits: list[int | None] = []

    def task_started(self, binding: Binding, now: float) -> None:
        """Learn how long starts usually take, or judge a slow start by them."""
        job = binding.job
        if job is None:
            return
        zone, seconds = binding.machine.zone, now - binding.since
        slow_start = self.slow_starts.get(zone)
        if slow_start is not None:
            slow_start.note_start(job.spec.job_class, seconds)
        elif self.states[zone].phase is ZonePhase.AVAILABLE:
            self.usual_starts.add(zone, job.spec.job_class, seconds)

    def task_failed(self, machine: Machine) -> None:
        """A task has failed on the machine."""
        if (slow_start := self.slow_starts.get(machine.zone)) is not None:
            slow_start.note_failure()

    def phase_entered(self, zone: int, now: float) -> None:
        """Begin or end the slow start of a zone whose phase has changed."""
        if self.states[zone].phase is ZonePhase.RECOVERING:
            self.slow_starts[zone] = SlowStart(self.policy, zone, self.rng, now)
        else:
            self.slow_starts.pop(zone, None)
        self.withhold(zone)

    def resume(self, zone: int, step: int, now: float) -> None:
        """Go on with the slow start of an earlier leader."""
        slow_start = SlowStart(self.policy, zone, self.rng, now)
        slow_start.step = max(0, min(step, len(self.policy.steps) - 1))
        self.slow_starts[zone] = slow_start

    def step(self, zone: int) -> int:
        """The step of a zone's slow start; 0 where there is none."""
        slow_start = self.slow_starts.get(zone)
        return slow_start.step if slow_start is not None else 0

    def advance(self, zone: int, now: float) -> bool:
        """Go on with the slow start of a zone; whether it is complete."""
        slow_start = self.slow_starts[zone]
        if slow_start.advance(self._progress(zone, slow_start, now), self.usual_starts, now):
            if slow_start.complete:
                return True
            name, share = self.ledger.zones[zone], slow_start.share
            event(log, "zone_slow_start", zone=name, step=slow_start.step, open_share=share)
            self.ledger.events.changed()
        slow_start.choose(self.evidence.machines.with_recent_heartbeats(zone))
        self.withhold(zone)
        return False

    def _progress(self, zone: int, slow_start: SlowStart, now: float) -> Progress:
        """The tasks that were given to open machines and have not started yet."""
        waits = [
            now - binding.since
            for machine in self.ledger.machines.values()
            if machine.zone == zone and machine.index in slow_start.open
            for binding in machine.bindings.values()
            if not binding.started and binding.stop_grace_s is None
        ]
        return Progress(len(waits), max(waits, default=0.0))

    def withholds(self, machine: Machine) -> bool:
        """Whether the machine gets no new work yet."""
        return self._zone_withheld(machine.zone) and not self._is_open(machine)

    def withhold(self, zone: int) -> None:
        """Mark which machines of a zone get no new work yet."""
        zone_withheld = self._zone_withheld(zone)
        for machine in self.ledger.machines.values():
            if machine.zone != zone:
                continue
            withheld = zone_withheld and not self._is_open(machine)
            if machine.awaiting_slow_start and not withheld:
                machine.has_freed_capacity = True  # the next heartbeat offers its room
            machine.awaiting_slow_start = withheld

    def _zone_withheld(self, zone: int) -> bool:
        """Whether the zone's machines get new work only as far as they are open.

        Where all other zones are out of service as well, work has nowhere else to go, and nothing
        is withheld.
        """
        if self.states[zone].phase not in OUT_OF_SERVICE:
            return False
        return any(
            state.phase not in OUT_OF_SERVICE and bool(self.evidence.machines.present[other])
            for other, state in enumerate(self.states)
            if other != zone
        )

    def _is_open(self, machine: Machine) -> bool:
        slow_start = self.slow_starts.get(machine.zone)
        return slow_start is not None and machine.index in slow_start.open

    def update_provision_limits(self, now: float) -> None:
        """Decide for all zones how many machines of a kind may be provisioned at a time."""
        self.provision_limits = [
            self._provision_limit(zone, now) for zone in range(len(self.states))
        ]

    def _provision_limit(self, zone: int, now: float) -> int | None:
        """0 in a lost zone at first and then a few as a probe; by the open share in a recovering
        one; no limit (None) elsewhere."""
        if not self._zone_withheld(zone):
            return None
        state = self.states[zone]
        if state.phase is ZonePhase.LOST:
            waited = now - state.since >= self.policy.probe_after_s
            return self.policy.probe_machines if waited and not self._probing(zone) else 0
        slow_start = self.slow_starts.get(zone)
        share = slow_start.share if slow_start is not None else 1.0
        present = len(self.evidence.machines.present[zone])
        return max(self.policy.probe_machines, int(share * present))

    def _probing(self, zone: int) -> bool:
        """Whether machines of a lost zone are up or booting, which will show its recovery."""
        return any(
            machine.zone == zone and machine.phase in (BOOTING, UP)
            for machine in self.ledger.machines.values()
        )
