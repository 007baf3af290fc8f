"""Jobs that a zone outage displaced: they are evacuated to other zones before other work."""

from __future__ import annotations

from collections.abc import Iterable

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Binding, Machine
from salthead.policy import ZonePolicy
from salthead.zones.state import OUT_OF_SERVICE, ZoneState

# Tasks lost up to this many lease durations before a zone was declared lost count as displaced.
DISPLACED_LEASES = 2.0


class DisplacedJobs:
    """Jobs that lost tasks, by zone, and those of them that a lost zone has displaced."""

    def __init__(self, ledger: Ledger, policy: ZonePolicy, states: list[ZoneState]) -> None:
        self.ledger = ledger
        self.policy = policy
        self.states = states
        # By zone: job ids, with the time when the job last lost tasks there.
        self.last_task_loss_at: list[dict[str, float]] = []
        # Zones with machines whose lease ended before they sent a heartbeat to this leader.
        self.unreconciled_losses: set[int] = set()
        self.displaced_at: dict[str, float] = {}  # job ids, with the time of the last loss

    def ensure_zones(self) -> None:
        """Add entries for zones that were not in the settings."""
        while len(self.last_task_loss_at) < len(self.states):
            self.last_task_loss_at.append({})

    def record_lost_tasks(self, bindings: Iterable[Binding], now: float) -> None:
        """Record the jobs of lost tasks, in case their zone is declared lost later."""
        for binding in bindings:
            if binding.job is not None:
                self.last_task_loss_at[binding.machine.zone][binding.job.job_id] = now

    def record_lost_machine(self, machine: Machine) -> None:
        """Record the end of a machine's lease."""
        if not machine.reconciled:
            self.unreconciled_losses.add(machine.zone)

    def record_lost_zone(self, zone: int, now: float) -> None:
        """Record that a zone was declared lost.

        If it has machines that never sent a heartbeat to this leader, the tasks on those are not
        known, so every job that an earlier leader may have started counts as displaced.
        """
        if zone not in self.unreconciled_losses:
            return
        self.unreconciled_losses.discard(zone)
        for job in self.ledger.ready_jobs.values():
            if not job.accepted_this_term and (job.waiting() > 0 or job.failed):
                self.last_task_loss_at[zone].setdefault(job.job_id, now)

    def update(self, now: float) -> None:
        """Update the displaced jobs, up to the policy's longest evacuation."""
        lost_before_s = DISPLACED_LEASES * self.ledger.limits.workers.lease_s
        displaced_at: dict[str, float] = {}
        for zone, state in enumerate(self.states):
            oldest = now - lost_before_s
            if state.phase in OUT_OF_SERVICE:
                oldest = max(state.since - lost_before_s, now - self.policy.max_evacuation_s)
            self.last_task_loss_at[zone] = {
                job_id: at
                for job_id, at in self.last_task_loss_at[zone].items()
                if at >= oldest and job_id in self.ledger.ready_jobs
            }
            if state.phase in OUT_OF_SERVICE:
                displaced_at |= self.last_task_loss_at[zone]
        self.displaced_at = displaced_at

    def any_waiting(self) -> bool:
        """Return whether any displaced job still waits for machines."""
        ready_jobs = self.ledger.ready_jobs
        return any(
            (job := ready_jobs.get(job_id)) is not None and (job.waiting() > 0 or job.failed)
            for job_id in self.displaced_at
        )
