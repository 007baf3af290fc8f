"""The metrics of one term about its fleet, and what the rented CPU time is spent on."""

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
    """Sets the metrics of the fleet and the queue, and logs them now and then."""

    def __init__(self, context: TermContext) -> None:
        self.ledger = context.ledger
        self.now = context.now
        self.fleet_logged_at = -FLEET_LOG_INTERVAL_S
        self.accounted_at = context.now()
        self.spent: dict[str, float] = {}  # CPU-seconds, by what they were spent on

    def update(self) -> None:
        """Set the metrics, and log an event about the fleet now and then."""
        if self.now() - self.accounted_at < ACCOUNTING_INTERVAL_S:
            return
        self.account(self.now())
        phases = Counter(machine.phase for machine in self.ledger.machines.values())
        for phase in (UP, BOOTING, LOST):
            metrics.MACHINES.labels(phase).set(phases[phase])
        now = self.now()
        if now - self.fleet_logged_at >= FLEET_LOG_INTERVAL_S:
            self.fleet_logged_at = now
            self._log_fleet(phases)
        self._set_limits()
        metrics.ACTIVE_JOBS.set(len(self.ledger.jobs))
        metrics.BLOCKED_JOBS.set(
            sum(1 for job in self.ledger.jobs.values() if job.blocked_on_dependencies)
        )
        metrics.WAITING_TASKS.set(sum(job.waiting() for job in self.ledger.ready_jobs.values()))

    def account(self, now: float) -> None:
        """Where the rented CPU-seconds go: the metric behind price and useful share."""
        passed, self.accounted_at = now - self.accounted_at, now
        for machine in self.ledger.machines.values():
            if machine.phase != UP:
                self.spent[machine.phase] = (
                    self.spent.get(machine.phase, 0.0) + machine.capacity.cpus * passed
                )
                continue
            free = max(0.0, machine.capacity.cpus - machine.allocated.cpus)
            why = eligibility.unavailable_reason(self.ledger, machine, now)
            use = f"free, {why}" if why else "free"
            self.spent[use] = self.spent.get(use, 0.0) + free * passed
            for binding in machine.bindings.values():
                what = binding.phase or "starting"
                self.spent[what] = self.spent.get(what, 0.0) + binding.request.cpus * passed
        for what, amount in self.spent.items():
            metrics.CPU_SECONDS.labels(what).set(amount)

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
            cpu_seconds=", ".join(f"{use} {amount:.0f}" for use, amount in self.spent.items()),
        )

    def _set_limits(self) -> None:
        """What counts against each team's limit, and the machines that are not reconciled."""
        silent = 0.0 if self.ledger.ready else self.ledger.failover.unreconciled_capacity()[0]
        for team, name in enumerate(self.ledger.team_names.names):
            for count, cpus in (
                ("booked", self.ledger.usage[team][0]),
                ("silent", silent),
                ("limit", self.ledger.team_limits[team][0]),
            ):
                metrics.TEAM_CPUS.labels(name, count).set(cpus)
        for why, machines in self.ledger.failover.by_reason().items():
            metrics.UNRECONCILED_MACHINES.labels(why).set(machines)
