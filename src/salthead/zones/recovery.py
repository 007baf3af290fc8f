"""One leader's view of all zones: their states, what is withheld, and what goes first."""

from __future__ import annotations

import logging
import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import BOOTING, GONE, LOST, UP, Binding, Job, Machine
from salthead.failure_detection.machine_sets import MachineSets
from salthead.policy import ZonePolicy
from salthead.scheduling import placement
from salthead.zones import evacuation, records
from salthead.zones.slow_start import Progress, SlowStart
from salthead.zones.start_times import StartTimes
from salthead.zones.state import ZoneHealth, ZonePhase, ZoneState

if TYPE_CHECKING:
    from salthead.networks.silence import NetworkSilence, NetworkView

log = logging.getLogger(__name__)

# Two generations of two heartbeat periods each: silence is seen after two to four of them.
WINDOW_HEARTBEAT_INTERVALS = 2.0
# For how long the end of a lease counts, in leases. A zone's leases end within a heartbeat period
# of each other, but what is returned at once leaves the ledger before the last of them.
EXPIRED_LEASES = 3.0
# Tasks that lost their machine this many leases before the zone was found lost belong to the loss.
DISPLACED_LEASES = 2.0


# States in which a zone gets no new work, or not all that it has room for.
OUT = (ZonePhase.LOST, ZonePhase.RECOVERING)

Written = tuple[ZonePhase, int, float]  # of a record: phase, step, and when


@dataclass(frozen=True, slots=True)
class ZoneView:
    """What operators see of a zone."""

    name: str
    phase: ZonePhase
    since_s: float
    reason: str
    machines: int
    unheard: int
    open_machines: int
    held_back_by: str


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
        workers = ledger.limits.workers
        self.ledger = ledger
        self.policy = policy
        self.rng = rng
        self.wall_ahead = wall - now
        self.seen_at = now
        self.states: list[ZoneState] = []
        self.slow_starts: dict[int, SlowStart] = {}
        self.sets = MachineSets(
            len(ledger.zones),
            WINDOW_HEARTBEAT_INTERVALS * workers.heartbeat_interval_s,
            EXPIRED_LEASES * workers.lease_s,
            now,
        )
        self.usual = StartTimes()
        self.networks = networks
        # By zone: jobs, and when they last lost tasks with a machine there.
        self.lost_tasks: list[dict[str, float]] = []
        # Zones with machines that were lost before they reported to this leader.
        self.unknown_losses: set[int] = set()
        self.displaced_jobs: dict[str, float] = {}  # of zones that are lost, and not back yet
        self.written: dict[int, Written] = {}
        self.provision_limits: list[int | None] = []
        self._grow(now)

    # -- what happens -------------------------------------------------------------------

    def heartbeat_received(self, machine: Machine) -> None:
        """A heartbeat of the machine was news."""
        self.sets.recently_heard.add(machine.index)
        if self.networks is not None:
            self.networks.note(machine.index, machine.endpoint)

    def phase_changed(self, machine: Machine) -> None:
        """Keep the sets in line, and withhold what comes up in a zone that is not available."""
        self._grow(self.seen_at)
        if machine.phase == UP:
            self.sets.up(machine.zone, machine.index)
            machine.awaiting_slow_start = self._withholds(machine.zone) and not self._is_open(
                machine
            )
        elif machine.phase == LOST:
            self.sets.lease_over(machine.zone, machine.index)
            if not machine.reconciled:
                self.unknown_losses.add(machine.zone)
        elif machine.phase == GONE:
            self.sets.gone(machine.zone, machine.index)
            if self.networks is not None:
                self.networks.gone(machine.index)

    def displaced(self, bindings: Iterable[Binding], now: float) -> None:
        """Note whose tasks were lost, in case their zone turns out to be lost."""
        for binding in bindings:
            if binding.job is not None:
                self.lost_tasks[binding.machine.zone][binding.job.job_id] = now

    def started(self, binding: Binding, now: float) -> None:
        """Learn how long starts take, or judge a zone's return by them."""
        job = binding.job
        if job is None:
            return
        zone, seconds = binding.machine.zone, now - binding.since
        current = self.slow_starts.get(zone)
        if current is not None:
            current.note_start(job.spec.job_class, seconds)
        elif self.states[zone].phase is ZonePhase.AVAILABLE:
            self.usual.add(zone, job.spec.job_class, seconds)

    def failed(self, machine: Machine) -> None:
        """A task has failed on the machine."""
        if (current := self.slow_starts.get(machine.zone)) is not None:
            current.note_failure()

    # -- the state of zones -------------------------------------------------------------

    def observe(self, now: float) -> None:
        """Look at all zones; what changes takes effect at once."""
        self.seen_at = now
        self._grow(now)
        self.sets.turn(now)
        if not self.ledger.ready:
            return  # in a failover, silence says nothing yet
        for zone, state in enumerate(self.states):
            if state.observe(self.evidence(zone, now), now):
                self._entered(zone, now)
            if zone in self.slow_starts:
                self._continue_return(zone, now)
        self.provision_limits = [
            self._provision_limit(zone, now) for zone in range(len(self.states))
        ]
        self._find_displaced(now)

    def evidence(self, zone: int, now: float) -> ZoneHealth:
        """The counts of a zone's machines by which it is judged."""
        machines, unheard, expired = self.sets.counts(zone)
        kept = now < self.ledger.leases.delegated_until.get(zone, -1.0)
        return ZoneHealth(machines, unheard, expired, kept)

    def _grow(self, now: float) -> None:
        while len(self.states) < len(self.ledger.zones):
            self.states.append(ZoneState(self.policy, now))
            self.lost_tasks.append({})
        self.sets.grow(len(self.states), now)

    def _entered(self, zone: int, now: float) -> None:
        state = self.states[zone]
        name = self.ledger.zones[zone]
        if state.phase in (ZonePhase.SUSPECTED, ZonePhase.LOST):
            silent = [view.name for view in self.network_views() if view.silent]
            if silent:
                state.reason += f"; nothing is heard of {', '.join(silent)}"
        log.info("zone %s is %s%s", name, state.phase, f": {state.reason}" if state.reason else "")
        if state.phase is ZonePhase.LOST and zone in self.unknown_losses:
            self._displace_earlier_jobs(zone, now)
        if state.phase is ZonePhase.RECOVERING:
            self.slow_starts[zone] = SlowStart(self.policy, zone, self.rng, now)
        else:
            self.slow_starts.pop(zone, None)
        self._withhold(zone)
        self.ledger.events.changed()

    def _displace_earlier_jobs(self, zone: int, now: float) -> None:
        """What ran on machines that never reported to this leader is not known, so that all jobs
        which an earlier leader may have started count as displaced."""
        self.unknown_losses.discard(zone)
        for job in self.ledger.ready_jobs.values():
            if not job.accepted_this_term and (job.waiting() > 0 or job.failed):
                self.lost_tasks[zone].setdefault(job.job_id, now)

    def _continue_return(self, zone: int, now: float) -> None:
        current, state = self.slow_starts[zone], self.states[zone]
        if current.advance(self._progress(zone, current, now), self.usual, now):
            if current.complete:
                state.enter(ZonePhase.AVAILABLE, "", now)
                self._entered(zone, now)
                return
            name = self.ledger.zones[zone]
            log.info("zone %s: %.0f%% of its machines get new work", name, 100.0 * current.share)
            self.ledger.events.changed()
        current.choose(self.sets.heard_in(zone))
        self._withhold(zone)

    def _progress(self, zone: int, current: SlowStart, now: float) -> Progress:
        waits = [
            now - binding.since
            for machine in self.ledger.machines.values()
            if machine.zone == zone and machine.index in current.open
            for binding in machine.bindings.values()
            if not binding.started and binding.stop_grace_s is None
        ]
        return Progress(len(waits), max(waits, default=0.0))

    def _withholds(self, zone: int) -> bool:
        """Whether the zone's machines get new work only as far as they are open.

        Where all other zones are out as well there is nowhere else to go, and nothing is withheld.
        """
        if self.states[zone].phase not in OUT:
            return False
        return any(
            state.phase not in OUT and bool(self.sets.present[other])
            for other, state in enumerate(self.states)
            if other != zone
        )

    def _is_open(self, machine: Machine) -> bool:
        current = self.slow_starts.get(machine.zone)
        return current is not None and machine.index in current.open

    def _withhold(self, zone: int) -> None:
        withholds = self._withholds(zone)
        for machine in self.ledger.machines.values():
            if machine.zone != zone:
                continue
            withheld = withholds and not self._is_open(machine)
            if machine.awaiting_slow_start and not withheld:
                machine.has_freed_capacity = True  # the next heartbeat offers its room
            machine.awaiting_slow_start = withheld

    # -- evacuation ---------------------------------------------------------------------

    def _find_displaced(self, now: float) -> None:
        """Whose tasks were lost with a lost zone, for as long as that may change the order."""
        lost_before_s = DISPLACED_LEASES * self.ledger.limits.workers.lease_s
        found: dict[str, float] = {}
        for zone, state in enumerate(self.states):
            oldest = now - lost_before_s
            if state.phase in OUT:
                oldest = max(state.since - lost_before_s, now - self.policy.max_evacuation_s)
            self.lost_tasks[zone] = {
                job_id: at
                for job_id, at in self.lost_tasks[zone].items()
                if at >= oldest and job_id in self.ledger.ready_jobs
            }
            if state.phase in OUT:
                found |= self.lost_tasks[zone]
        self.displaced_jobs = found

    def evacuating(self) -> bool:
        """Whether work that a lost zone has displaced still waits."""
        live = self.ledger.ready_jobs
        return any(
            (job := live.get(job_id)) is not None and (job.waiting() > 0 or job.failed)
            for job_id in self.displaced_jobs
        )

    def evacuation_order(self, jobs: list[Job], within: set[str], now: float) -> list[Job]:
        """The queue by tiers while a zone is evacuated, else as it is."""
        return evacuation.in_order(jobs, within, now) if self.evacuating() else jobs

    def claim(self, machine: Machine, now: float) -> None:
        """Keep room that appears for displaced gangs."""
        if self.displaced_jobs:
            evacuation.claim(self.ledger, self.displaced_jobs, machine, now)

    def restarts_whole(self, machine: Machine) -> bool:
        """A gang that lost a machine of a zone in trouble is never completed elsewhere."""
        return self.states[machine.zone].phase is not ZonePhase.AVAILABLE

    def max_provision(self, zone: int) -> int | None:
        """How many machines of a kind may be provisioned in the zone at a time; None: no bound."""
        return self.provision_limits[zone] if zone < len(self.provision_limits) else None

    def _provision_limit(self, zone: int, now: float) -> int | None:
        """No provisions where machines can't be heard, few to see whether that is over, then
        more."""
        if not self._withholds(zone):
            return None
        state = self.states[zone]
        if state.phase is ZonePhase.LOST:
            waited = now - state.since >= self.policy.probe_after_s
            return self.policy.probe_machines if waited and not self._probing(zone) else 0
        current = self.slow_starts.get(zone)
        share = current.share if current is not None else 1.0
        return max(self.policy.probe_machines, int(share * len(self.sets.present[zone])))

    def _probing(self, zone: int) -> bool:
        """Whether machines of a lost zone are up or on their way, which will show its return."""
        return any(
            machine.zone == zone and machine.phase in (BOOTING, UP)
            for machine in self.ledger.machines.values()
        )

    def reason(self, job: Job) -> str:
        """Why a job's tasks wait for a zone that is lost or returns; empty where none does."""
        if not job.waiting():
            return ""
        for zone, state in enumerate(self.states):
            if state.phase not in OUT:
                continue
            name = f"zone {self.ledger.zones[zone]} is {state.phase}"
            if job.zone == zone:
                return f"{name}, and the job may run nowhere else"
            if job.spec.spread_zones:
                counts = placement.zone_counts(job)
                if any(not placement.zone_open(job, other, counts) for other in counts):
                    return f"{name}, and no more of the job may run in another zone"
        return ""

    # -- records and views --------------------------------------------------------------

    def step(self, zone: int) -> int:
        """The step of a zone's return; 0 where it is not returning."""
        current = self.slow_starts.get(zone)
        return current.step if current is not None else 0

    def load(self, rows: dict[str, Any], now: float) -> None:
        """Go on from what earlier leaders wrote."""
        wall = now + self.wall_ahead
        for path, value in rows.items():
            zone = self.ledger.zones.get(records.zone_of(path))
            record = records.read(value, wall, self.ledger.limits.clock_error_ms / 1000.0)
            if zone is None or record is None:
                continue
            state = self.states[zone]
            records.restore(state, record, now, wall)
            if state.phase is ZonePhase.RECOVERING:
                current = SlowStart(self.policy, zone, self.rng, now)
                current.step = max(0, min(record.step, len(self.policy.steps) - 1))
                self.slow_starts[zone] = current
            self.written[zone] = (state.phase, self.step(zone), now)
            self._withhold(zone)

    def unwritten(self, now: float) -> dict[int, tuple[str, dict[str, Any]]]:
        """Keys and values, by zone, of the records that the state service lacks."""
        found = {}
        for zone, state in enumerate(self.states):
            phase, step, at = self.written.get(zone, (ZonePhase.AVAILABLE, 0, now))
            renew = state.phase is not ZonePhase.AVAILABLE and now - at >= records.RENEW_S
            if renew or (state.phase, self.step(zone)) != (phase, step):
                value = records.value_of(state, self.step(zone), now, now + self.wall_ahead)
                found[zone] = (records.key(self.ledger.zones[zone]), value)
        return found

    def covered(self, zones: Iterable[int], now: float) -> dict[int, Written]:
        """What a write of these zones' records, made now, will have brought up to date."""
        return {zone: (self.states[zone].phase, self.step(zone), now) for zone in zones}

    def wrote(self, covered: dict[int, Written]) -> None:
        """That write was answered; what changed meanwhile is written once more."""
        self.written.update(covered)

    def network_views(self) -> list[NetworkView]:
        """All declared networks, for operators."""
        return (
            [] if self.networks is None else self.networks.views(self.sets.recently_heard.members())
        )

    def views(self, now: float) -> list[ZoneView]:
        """All zones, for operators."""
        found = []
        for zone, state in enumerate(self.states):
            machines, unheard, _ = self.sets.counts(zone)
            current = self.slow_starts.get(zone)
            found.append(
                ZoneView(
                    name=self.ledger.zones[zone],
                    phase=state.phase,
                    since_s=now - state.since,
                    reason=state.reason,
                    machines=machines,
                    unheard=unheard,
                    open_machines=len(current.open) if current is not None else 0,
                    held_back_by=current.held_back_by if current is not None else "",
                )
            )
        return found
