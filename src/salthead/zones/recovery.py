"""Zone recovery for one term of a leader: implements the zone hooks of ledger and scheduling."""

from __future__ import annotations

import logging
import random
from collections.abc import Iterable
from typing import TYPE_CHECKING

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import LOST, UP, Binding, Job, Machine
from salthead.event_log import event
from salthead.policy import ZonePolicy
from salthead.zones import evacuation
from salthead.zones.admission import ZoneAdmission
from salthead.zones.displaced_jobs import DisplacedJobs
from salthead.zones.evidence import ZoneEvidence
from salthead.zones.record_writer import ZoneRecordWriter
from salthead.zones.state import ZonePhase, ZoneState

if TYPE_CHECKING:
    from salthead.networks.silence import NetworkSilence

log = logging.getLogger(__name__)


class ZoneRecovery:
    """Phases and recovery of the zones of one term's ledger; implements ``ZoneHooks``."""

    def __init__(
        self,
        ledger: Ledger,
        policy: ZonePolicy,
        rng: random.Random,
        now: float,
        wall_time: float,
        networks: NetworkSilence | None = None,
    ) -> None:
        self.ledger = ledger
        self.policy = policy
        self.observed_at = now
        self.states: list[ZoneState] = []  # by zone; shared with the objects below
        self.evidence = ZoneEvidence(ledger, networks, now)
        self.admission = ZoneAdmission(ledger, policy, rng, self.states, self.evidence)
        self.displaced_jobs = DisplacedJobs(ledger, policy, self.states)
        self.records = ZoneRecordWriter(ledger, self.states, self.admission, wall_time - now)
        self._ensure_zones(now)

    # -- hooks: events ------------------------------------------------------------------

    def heartbeat_received(self, machine: Machine) -> None:
        """Record a new heartbeat of a machine."""
        self.evidence.heartbeat_received(machine)

    def phase_changed(self, machine: Machine) -> None:
        """Record that a machine is up, that its lease has expired or that it was terminated.

        A machine that comes up in a zone out of service is withheld from new work at once.
        """
        self._ensure_zones(self.observed_at)
        self.evidence.phase_changed(machine)
        if machine.phase == UP:
            machine.awaiting_slow_start = self.admission.is_withheld(machine)
        elif machine.phase == LOST:
            self.displaced_jobs.record_lost_machine(machine)

    def tasks_lost(self, bindings: Iterable[Binding], now: float) -> None:
        """Record the tasks that were lost with their machine."""
        self.displaced_jobs.record_lost_tasks(bindings, now)

    def started(self, binding: Binding, now: float) -> None:
        """Record that a heartbeat shows for the first time that a task has fetched its image."""
        self.admission.task_started(binding, now)

    def failed(self, machine: Machine) -> None:
        """Record that a task has failed on a machine."""
        self.admission.task_failed(machine)

    # -- hooks: admission and order -----------------------------------------------------

    def evacuating(self) -> bool:
        """Return whether jobs that a lost zone has displaced still wait."""
        return self.displaced_jobs.any_waiting()

    def evacuation_order(self, jobs: list[Job], guaranteed_ids: set[str], now: float) -> list[Job]:
        """Return the queue, sorted by tier while a zone is evacuated."""
        return evacuation.sort_by_tier(jobs, guaranteed_ids, now) if self.evacuating() else jobs

    def reserve_for_displaced_gangs(self, machine: Machine, now: float) -> None:
        """Reserve a machine with free capacity for a displaced gang that needs it."""
        displaced_at = self.displaced_jobs.displaced_at
        if displaced_at:
            evacuation.reserve_for_displaced(self.ledger, displaced_at, machine, now)

    def must_restart_gang(self, machine: Machine) -> bool:
        """Return whether a gang that lost this machine must restart as a whole.

        This applies to all zones that are not available.
        """
        return self.states[machine.zone].phase is not ZonePhase.AVAILABLE

    def max_provision(self, zone: int) -> int | None:
        """Return how many machines of a type a zone may provision at a time; None: no limit."""
        limits = self.admission.max_provisions_by_zone
        return limits[zone] if zone < len(limits) else None

    # -- the phases of zones ------------------------------------------------------------

    def observe(self, now: float) -> None:
        """Update the phases of all zones by the evidence; changes take effect at once."""
        self.observed_at = now
        self._ensure_zones(now)
        self.evidence.machines.rotate(now)
        if not self.ledger.ready:
            return  # during a failover, workers may not have found this leader yet
        for zone, state in enumerate(self.states):
            if state.observe(self.evidence.health(zone, now), now):
                self._phase_entered(zone, now)
            if zone in self.admission.slow_starts and self.admission.advance(zone, now):
                state.enter(ZonePhase.AVAILABLE, "", now)
                self._phase_entered(zone, now)
        self.admission.update_provision_limits(now)
        self.displaced_jobs.update(now)

    def _ensure_zones(self, now: float) -> None:
        """Add states for zones that were not in the settings."""
        while len(self.states) < len(self.ledger.zones):
            self.states.append(ZoneState(self.policy, now))
        self.displaced_jobs.ensure_zones()
        self.evidence.machines.ensure_zones(len(self.states), now)

    def _phase_entered(self, zone: int, now: float) -> None:
        """Log a zone's new phase and update its displaced jobs and slow start."""
        state = self.states[zone]
        if state.phase in (ZonePhase.SUSPECTED, ZonePhase.LOST):
            silent = [view.name for view in self.evidence.network_views() if view.all_silent]
            if silent:
                state.reason += f"; nothing is heard of {', '.join(silent)}"
        name = self.ledger.zones[zone]
        event(log, "zone_phase", zone=name, phase=state.phase, why=state.reason)
        if state.phase is ZonePhase.LOST:
            self.displaced_jobs.record_lost_zone(zone, now)
        self.admission.phase_entered(zone, now)
        self.ledger.events.changed()
