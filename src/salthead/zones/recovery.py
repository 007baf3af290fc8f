"""Zone recovery of one leader: the zones' phases, and what the ledger and placement ask of them."""

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
    """Follows the zones of one term's ledger; see ``ZoneHooks`` for what it is told and asked."""

    def __init__(
        self,
        ledger: Ledger,
        policy: ZonePolicy,
        rng: random.Random,
        now: float,
        wall: float,
        networks: NetworkSilence | None = None,
    ) -> None:
        self.ledger = ledger
        self.policy = policy
        self.observed_at = now
        self.states: list[ZoneState] = []  # by zone; shared with the parts below
        self.evidence = ZoneEvidence(ledger, networks, now)
        self.admission = ZoneAdmission(ledger, policy, rng, self.states, self.evidence)
        self.displaced_jobs = DisplacedJobs(ledger, policy, self.states)
        self.records = ZoneRecordWriter(ledger, self.states, self.admission, wall - now)
        self._grow(now)

    # -- hooks: what happens ------------------------------------------------------------

    def heartbeat_received(self, machine: Machine) -> None:
        """A heartbeat of the machine was news."""
        self.evidence.heartbeat_received(machine)

    def phase_changed(self, machine: Machine) -> None:
        """A machine is up, its lease has ended, or it is gone.

        One that comes up in a zone that is not available is withheld from new work at once.
        """
        self._grow(self.observed_at)
        self.evidence.phase_changed(machine)
        if machine.phase == UP:
            machine.awaiting_slow_start = self.admission.withholds(machine)
        elif machine.phase == LOST:
            self.displaced_jobs.machine_lost(machine)

    def displaced(self, bindings: Iterable[Binding], now: float) -> None:
        """The tasks were lost with their machine."""
        self.displaced_jobs.tasks_lost(bindings, now)

    def started(self, binding: Binding, now: float) -> None:
        """A heartbeat shows for the first time that the task has its image."""
        self.admission.task_started(binding, now)

    def failed(self, machine: Machine) -> None:
        """A task has failed on the machine."""
        self.admission.task_failed(machine)

    # -- hooks: what may be admitted, and in which order --------------------------------

    def evacuating(self) -> bool:
        """Whether work that a lost zone has displaced still waits."""
        return self.displaced_jobs.any_waiting()

    def evacuation_order(self, jobs: list[Job], guaranteed_ids: set[str], now: float) -> list[Job]:
        """The queue by tiers while a zone is evacuated, else as it is."""
        return evacuation.in_order(jobs, guaranteed_ids, now) if self.evacuating() else jobs

    def claim(self, machine: Machine, now: float) -> None:
        """Reserve room that appears for displaced gangs."""
        displaced_at = self.displaced_jobs.displaced_at
        if displaced_at:
            evacuation.reserve_for_displaced(self.ledger, displaced_at, machine, now)

    def restarts_whole(self, machine: Machine) -> bool:
        """Whether a gang that lost this machine must not be completed elsewhere: never one that
        lost a machine of a zone in trouble."""
        return self.states[machine.zone].phase is not ZonePhase.AVAILABLE

    def max_provision(self, zone: int) -> int | None:
        """How many machines of a kind may be provisioned in the zone at a time; None: no limit."""
        limits = self.admission.provision_limits
        return limits[zone] if zone < len(limits) else None

    # -- the phases of zones ------------------------------------------------------------

    def observe(self, now: float) -> None:
        """Judge all zones by the evidence; changes take effect at once."""
        self.observed_at = now
        self._grow(now)
        self.evidence.machines.rotate(now)
        if not self.ledger.ready:
            return  # in a failover, silence says nothing yet
        for zone, state in enumerate(self.states):
            if state.observe(self.evidence.health(zone, now), now):
                self._phase_entered(zone, now)
            if zone in self.admission.slow_starts and self.admission.advance(zone, now):
                state.enter(ZonePhase.AVAILABLE, "", now)
                self._phase_entered(zone, now)
        self.admission.update_provision_limits(now)
        self.displaced_jobs.update(now)

    def _grow(self, now: float) -> None:
        """Make room for zones that the settings did not name."""
        while len(self.states) < len(self.ledger.zones):
            self.states.append(ZoneState(self.policy, now))
        self.displaced_jobs.grow()
        self.evidence.machines.ensure_zones(len(self.states), now)

    def _phase_entered(self, zone: int, now: float) -> None:
        """Act on a zone's new phase."""
        state = self.states[zone]
        if state.phase in (ZonePhase.SUSPECTED, ZonePhase.LOST):
            silent = [view.name for view in self.evidence.network_views() if view.all_silent]
            if silent:
                state.reason += f"; nothing is heard of {', '.join(silent)}"
        name = self.ledger.zones[zone]
        event(log, "zone_phase", zone=name, phase=state.phase, why=state.reason)
        if state.phase is ZonePhase.LOST:
            self.displaced_jobs.zone_lost(zone, now)
        self.admission.phase_entered(zone, now)
        self.ledger.events.changed()
