"""Metrics of the fleet, the queue and the use of rented CPU time."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Mapping

from salthead import metrics
from salthead.cluster.model import BOOTING, LOST, UP, MachinePhase
from salthead.event_log import event
from salthead.leader.context import TermContext
from salthead.scheduling import eligibility

log = logging.getLogger(__name__)

ACCOUNTING_INTERVAL_S, FLEET_LOG_INTERVAL_S = 2.0, 10.0


class FleetMetrics:
    """Updates the metrics of the fleet and the queue, and logs a summary periodically."""

    def __init__(self, context: TermContext) -> None:
        self.ledger = context.ledger
        self.now = context.now
        self.fleet_logged_at = -FLEET_LOG_INTERVAL_S
        self.accounted_at = context.now()
        self.cpu_seconds: dict[str, float] = {}  # rented CPU-seconds of this term, by use

    def update(self) -> None:
        """Update the metrics and log the fleet, each if its interval has passed."""
        if self.now() - self.accounted_at < ACCOUNTING_INTERVAL_S:
            return
        self.account_cpu_time(self.now())
        phases = Counter(machine.phase for machine in self.ledger.machines.values())
        for phase in (UP, BOOTING, LOST):
            metrics.MACHINES.labels(phase).set(phases[phase])
        now = self.now()
        if now - self.fleet_logged_at >= FLEET_LOG_INTERVAL_S:
            self.fleet_logged_at = now
            self._log_fleet(phases)
        self._update_limit_metrics()
        metrics.ACTIVE_JOBS.set(len(self.ledger.jobs))
        metrics.BLOCKED_JOBS.set(
            sum(1 for job in self.ledger.jobs.values() if job.blocked_on_dependencies)
        )
        metrics.WAITING_TASKS.set(sum(job.waiting() for job in self.ledger.ready_jobs.values()))

    def account_cpu_time(self, now: float) -> None:
        """Add the rented CPU-seconds since the last call to the totals by use.

        Cost and utilization are computed from this metric.
        """
        elapsed_s, self.accounted_at = now - self.accounted_at, now
        for machine in self.ledger.machines.values():
            if machine.phase != UP:
                self.cpu_seconds[machine.phase] = (
                    self.cpu_seconds.get(machine.phase, 0.0) + machine.capacity.cpus * elapsed_s
                )
                continue
            free = max(0.0, machine.capacity.cpus - machine.allocated.cpus)
            reason = eligibility.unavailable_reason(self.ledger, machine, now)
            use = f"free, {reason}" if reason else "free"
            self.cpu_seconds[use] = self.cpu_seconds.get(use, 0.0) + free * elapsed_s
            for binding in machine.bindings.values():
                use = binding.phase or "starting"
                self.cpu_seconds[use] = (
                    self.cpu_seconds.get(use, 0.0) + binding.request.cpus * elapsed_s
                )
        for use, amount in self.cpu_seconds.items():
            metrics.CPU_SECONDS.labels(use).set(amount)

    def _log_fleet(self, phases: Mapping[MachinePhase, int]) -> None:
        ledger = self.ledger
        machines = [machine for machine in ledger.machines.values() if machine.phase == UP]
        event(
            log,
            "fleet",
            machines=", ".join(f"{phase} {count}" for phase, count in phases.items()),
            booked_cpus=sum(machine.allocated.cpus for machine in machines),
            cpus=sum(machine.capacity.cpus for machine in machines),
            idle=sum(1 for machine in machines if not machine.busy()),
            jobs=len(ledger.jobs),
            waiting=sum(job.waiting() for job in ledger.ready_jobs.values()),
            bound=sum(len(job.bindings) for job in ledger.jobs.values()),
            cpu_seconds=", ".join(
                f"{use} {amount:.0f}" for use, amount in self.cpu_seconds.items()
            ),
        )

    def _update_limit_metrics(self) -> None:
        """Set the metrics of the CPUs counted against team limits and of unreconciled machines."""
        silent = 0.0 if self.ledger.ready else self.ledger.failover.unreconciled_capacity()[0]
        for team, name in enumerate(self.ledger.team_names.names):
            for label, cpus in (
                ("booked", self.ledger.allocated_by_team[team][0]),
                ("silent", silent),
                ("limit", self.ledger.team_limits[team][0]),
            ):
                metrics.TEAM_CPUS.labels(name, label).set(cpus)
        for reason, machines in self.ledger.failover.by_reason().items():
            metrics.UNRECONCILED_MACHINES.labels(reason).set(machines)
