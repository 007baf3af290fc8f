"""Admission of new work and machines to zones that are lost or recovering."""

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
    """Slow starts of recovering zones, with the machines and provisioning that they admit."""

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
        self.baseline_starts = StartTimes()
        # By zone index: how many machines of a type may be provisioned at a time; None: no limit.
        self.max_provisions_by_zone: list[int | None] = []

    def task_started(self, binding: Binding, now: float) -> None:
        """Record how long after its placement a task has started.

        The duration counts for the slow start of the task's zone if there is one, and otherwise for
        the baseline if the zone is available.
        """
        job = binding.job
        if job is None:
            return
        zone, seconds = binding.machine.zone, now - binding.since
        slow_start = self.slow_starts.get(zone)
        if slow_start is not None:
            slow_start.record_start(job.spec.job_class, seconds)
        elif self.states[zone].phase is ZonePhase.AVAILABLE:
            self.baseline_starts.add(zone, job.spec.job_class, seconds)

    def task_failed(self, machine: Machine) -> None:
        """Count a failed task of a machine towards the slow start of its zone."""
        if (slow_start := self.slow_starts.get(machine.zone)) is not None:
            slow_start.record_failure()

    def phase_entered(self, zone: int, now: float) -> None:
        """Begin or end the slow start of a zone whose phase has changed."""
        if self.states[zone].phase is ZonePhase.RECOVERING:
            self.slow_starts[zone] = SlowStart(self.policy, zone, self.rng, now)
        else:
            self.slow_starts.pop(zone, None)
        self.update_withheld_machines(zone)

    def resume(self, zone: int, step: int, now: float) -> None:
        """Resume the slow start of an earlier leader at its step."""
        slow_start = SlowStart(self.policy, zone, self.rng, now)
        slow_start.step = max(0, min(step, len(self.policy.steps) - 1))
        self.slow_starts[zone] = slow_start

    def step(self, zone: int) -> int:
        """Return the step of a zone's slow start; 0 if there is none."""
        slow_start = self.slow_starts.get(zone)
        return slow_start.step if slow_start is not None else 0

    def advance(self, zone: int, now: float) -> bool:
        """Advance the slow start of a zone if possible; return whether it is complete."""
        slow_start = self.slow_starts[zone]
        if slow_start.advance(self._progress(zone, slow_start, now), self.baseline_starts, now):
            if slow_start.complete:
                return True
            name, share = self.ledger.zones[zone], slow_start.share
            event(log, "zone_slow_start", zone=name, step=slow_start.step, open_share=share)
            self.ledger.events.changed()
        slow_start.open_some(self.evidence.machines.with_recent_heartbeats(zone))
        self.update_withheld_machines(zone)
        return False

    def _progress(self, zone: int, slow_start: SlowStart, now: float) -> Progress:
        """Return the pending starts on the open machines of a zone."""
        waits_s = [
            now - binding.since
            for machine in self.ledger.machines.values()
            if machine.zone == zone and machine.index in slow_start.open_machines
            for binding in machine.bindings.values()
            if not binding.started and binding.stop_grace_s is None
        ]
        return Progress(len(waits_s), max(waits_s, default=0.0))

    def is_withheld(self, machine: Machine) -> bool:
        """Return whether the machine gets no new work yet."""
        return self._zone_withheld(machine.zone) and not self._is_open(machine)

    def update_withheld_machines(self, zone: int) -> None:
        """Update which machines of a zone are withheld from new work."""
        zone_withheld = self._zone_withheld(zone)
        for machine in self.ledger.machines.values():
            if machine.zone != zone:
                continue
            withheld = zone_withheld and not self._is_open(machine)
            if machine.awaiting_slow_start and not withheld:
                machine.has_freed_capacity = True  # the next heartbeat offers its capacity
            machine.awaiting_slow_start = withheld

    def _zone_withheld(self, zone: int) -> bool:
        """Return whether only open machines of the zone get new work.

        If all other zones are out of service too, no machine is withheld, since work has nowhere
        else to go.
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
        return slow_start is not None and machine.index in slow_start.open_machines

    def update_provision_limits(self, now: float) -> None:
        """Update how many machines of a type may be provisioned at a time, for all zones."""
        self.max_provisions_by_zone = [
            self._provision_limit(zone, now) for zone in range(len(self.states))
        ]

    def _provision_limit(self, zone: int, now: float) -> int | None:
        """Return the provisioning limit of a zone; None if there is no limit.

        A lost zone gets no machine at first, and later a few as a probe. A recovering zone gets
        machines by its open share.
        """
        if not self._zone_withheld(zone):
            return None
        state = self.states[zone]
        if state.phase is ZonePhase.LOST:
            probe_due = now - state.since >= self.policy.probe_after_s
            may_probe = probe_due and not self._probe_in_progress(zone)
            return self.policy.probe_machines if may_probe else 0
        slow_start = self.slow_starts.get(zone)
        share = slow_start.share if slow_start is not None else 1.0
        present = len(self.evidence.machines.present[zone])
        return max(self.policy.probe_machines, int(share * present))

    def _probe_in_progress(self, zone: int) -> bool:
        """Return whether a lost zone has machines up or booting, which will show its recovery."""
        return any(
            machine.zone == zone and machine.phase in (BOOTING, UP)
            for machine in self.ledger.machines.values()
        )
