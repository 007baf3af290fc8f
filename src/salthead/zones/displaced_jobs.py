"""Jobs that lost tasks with a zone: their work is evacuated to other zones, ahead of other work."""

from __future__ import annotations

from collections.abc import Iterable

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Binding, Machine
from salthead.policy import ZonePolicy
from salthead.zones.state import OUT_OF_SERVICE, ZoneState

# Tasks that lost their machine this many leases before the zone was found lost belong to the loss.
DISPLACED_LEASES = 2.0


class DisplacedJobs:
    """Which jobs lost tasks in which zone, and which of them a lost zone has displaced."""

    def __init__(self, ledger: Ledger, policy: ZonePolicy, states: list[ZoneState]) -> None:
        self.ledger = ledger
        self.policy = policy
        self.states = states
        # By zone: jobs, and when they last lost tasks with a machine there.
        self.lost_tasks: list[dict[str, float]] = []
        # Zones with machines that were lost before they reported to this leader.
        self.unreconciled_losses: set[int] = set()
        self.displaced_at: dict[str, float] = {}  # by zones that are lost, and not back yet

    def grow(self) -> None:
        """Make room for zones that the settings did not name."""
        while len(self.lost_tasks) < len(self.states):
            self.lost_tasks.append({})

    def tasks_lost(self, bindings: Iterable[Binding], now: float) -> None:
        """Note whose tasks were lost, in case their zone turns out to be lost."""
        for binding in bindings:
            if binding.job is not None:
                self.lost_tasks[binding.machine.zone][binding.job.job_id] = now

    def machine_lost(self, machine: Machine) -> None:
        """Note that a machine's lease has ended."""
        if not machine.reconciled:
            self.unreconciled_losses.add(machine.zone)

    def zone_lost(self, zone: int, now: float) -> None:
        """A zone is found lost, perhaps with machines that never reported to this leader.

        What ran on those is not known, so all jobs which an earlier leader may have started count
        as displaced.
        """
        if zone not in self.unreconciled_losses:
            return
        self.unreconciled_losses.discard(zone)
        for job in self.ledger.ready_jobs.values():
            if not job.accepted_this_term and (job.waiting() > 0 or job.failed):
                self.lost_tasks[zone].setdefault(job.job_id, now)

    def update(self, now: float) -> None:
        """Find whose tasks were lost with a lost zone, as long as that may change the order."""
        lost_before_s = DISPLACED_LEASES * self.ledger.limits.workers.lease_s
        found: dict[str, float] = {}
        for zone, state in enumerate(self.states):
            oldest = now - lost_before_s
            if state.phase in OUT_OF_SERVICE:
                oldest = max(state.since - lost_before_s, now - self.policy.max_evacuation_s)
            self.lost_tasks[zone] = {
                job_id: at
                for job_id, at in self.lost_tasks[zone].items()
                if at >= oldest and job_id in self.ledger.ready_jobs
            }
            if state.phase in OUT_OF_SERVICE:
                found |= self.lost_tasks[zone]
        self.displaced_at = found

    def any_waiting(self) -> bool:
        """Whether any displaced job still waits for machines."""
        ready_jobs = self.ledger.ready_jobs
        return any(
            (job := ready_jobs.get(job_id)) is not None and (job.waiting() > 0 or job.failed)
            for job_id in self.displaced_at
        )
