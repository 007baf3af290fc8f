"""What operators see of a term: the overview, the metrics, and what the rent is spent on."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from salthead import metrics
from salthead.cluster.model import UP, Job, Machine
from salthead.scheduling import placement

if TYPE_CHECKING:
    from salthead.leader.term import Term
    from salthead.networks.silence import NetworkView
    from salthead.zones.recovery import ZoneView

log = logging.getLogger(__name__)

ACCOUNTING_INTERVAL_S, FLEET_LOG_INTERVAL_S = 2.0, 10.0
OVERVIEW_ROWS = 150
OVERVIEW_DEPENDENCIES = 3


def _zone_row(view: ZoneView) -> dict[str, Any]:
    return {
        "name": view.name,
        "state": view.phase.value,
        "since_s": round(view.since_s, 1),
        "reason": view.reason,
        "machines": view.machines,
        "unheard": view.unheard,
        "open": view.open_machines,
        "held_back_by": view.held_back_by,
    }


def _network_row(view: NetworkView) -> dict[str, Any]:
    return {
        "name": view.name,
        "prefix": view.prefix,
        "machines": view.machines,
        "unheard": view.unheard,
    }


class Views:
    """What operators are shown of one term."""

    def __init__(self, term: Term) -> None:
        self.term = term
        self.ledger = term.ledger
        self.now = term.now
        self.shown = -FLEET_LOG_INTERVAL_S
        self.accounted = term.now()
        self.spent: dict[str, float] = {}

    def overview(self) -> dict[str, Any]:
        """Queue and fleet for operators, cut to what fits into an answer."""
        ledger, now = self.ledger, self.now()
        recovery = self.term.zone_loop.recovery if self.term.zone_loop is not None else None
        links = self.term.link_loop.overview() if self.term.link_loop is not None else {}
        jobs = sorted(ledger.jobs.values(), key=lambda job: job.spec.at)
        machines = sorted(ledger.machines.values(), key=lambda machine: machine.name)
        return links | {
            "leader": self.term.controller.settings.member,
            "token": self.term.fencing_token,
            "ready": ledger.ready,
            "teams": self._team_rows(),
            "jobs": [
                self._job_row(job, recovery.reason(job) if recovery is not None else "")
                for job in jobs[:OVERVIEW_ROWS]
            ],
            "jobs_total": len(jobs),
            "machines": [self._machine_row(machine, now) for machine in machines[:OVERVIEW_ROWS]],
            "machines_total": len(machines),
            "zones": [_zone_row(view) for view in recovery.views(now)] if recovery else [],
            "networks": [_network_row(view) for view in recovery.network_views()]
            if recovery
            else [],
        }

    def _team_rows(self) -> list[dict[str, Any]]:
        ledger = self.ledger
        return [
            {
                "name": name,
                "cpus": round(ledger.usage[n][0], 3),
                "guaranteed": ledger.guarantees[n][0],
                "most": ledger.team_limits[n][0],
            }
            for n, name in enumerate(ledger.team_names.names)
        ]

    def _job_row(self, job: Job, reason: str) -> dict[str, Any]:
        phase, done, running = self.ledger.phase_of(job)
        return {
            "uid": job.job_id,
            "crew": job.spec.team,
            "breed": job.spec.job_class,
            "urgency": job.spec.urgency,
            "phase": phase,
            "waiting": job.waiting(),
            "running": running,
            "done": done,
            "pieces": job.spec.task_count,
            "awaits": self.ledger.unfinished_dependencies(job.job_id, OVERVIEW_DEPENDENCIES),
            "reason": reason,
        }

    def _machine_row(self, machine: Machine, now: float) -> dict[str, Any]:
        notes = [
            machine.quarantine_reason,
            "cordoned" if machine.cordoned else "",
            f"kept for {machine.reserved_for}" if now < machine.reserved_until else "",
            "is taken soon" if machine.reclaim_at is not None else "",
        ]
        return {
            "name": machine.name,
            "build": self.ledger.type_names[machine.machine_type],
            "zone": self.ledger.zones[machine.zone],
            "kind": "spot" if machine.spot else "ordinary",
            "phase": machine.phase,
            "cpus": machine.capacity.cpus,
            "used": round(machine.allocated.cpus, 3),
            "note": ", ".join(note for note in notes if note),
        }

    def account(self, now: float) -> None:
        """Where the rented CPU-seconds go: the metric behind price and useful share."""
        passed, self.accounted = now - self.accounted, now
        for machine in self.ledger.machines.values():
            if machine.phase != UP:
                self.spent[machine.phase] = (
                    self.spent.get(machine.phase, 0.0) + machine.capacity.cpus * passed
                )
                continue
            free = max(0.0, machine.capacity.cpus - machine.allocated.cpus)
            why = placement.unavailable_reason(self.ledger, machine, now)
            use = f"free, {why}" if why else "free"
            self.spent[use] = self.spent.get(use, 0.0) + free * passed
            for binding in machine.bindings.values():
                what = binding.phase or "starting"
                self.spent[what] = self.spent.get(what, 0.0) + binding.request.cpus * passed
        for what, amount in self.spent.items():
            metrics.CPU_SECONDS.labels(what).set(amount)

    def show(self) -> None:
        """Set the metrics, and log a line about the fleet now and then."""
        if self.now() - self.accounted < ACCOUNTING_INTERVAL_S:
            return
        self.account(self.now())
        phases: dict[str, int] = {}
        for machine in self.ledger.machines.values():
            phases[machine.phase] = phases.get(machine.phase, 0) + 1
        for phase in ("up", "booting", "lost"):
            metrics.MACHINES.labels(phase).set(phases.get(phase, 0))
        now = self.now()
        if now - self.shown >= FLEET_LOG_INTERVAL_S:
            self.shown = now
            machines = [m for m in self.ledger.machines.values() if m.phase == UP]
            log.info(
                "fleet %s; %.0f of %.0f CPUs booked, %d idle; %d jobs, %d tasks waiting, %d bound; "
                "CPU-seconds spent: %s",
                phases,
                sum(m.allocated.cpus for m in machines),
                sum(m.capacity.cpus for m in machines),
                sum(1 for m in machines if not m.busy()),
                len(self.ledger.jobs),
                sum(job.waiting() for job in self.ledger.ready_jobs.values()),
                sum(len(job.bindings) for job in self.ledger.jobs.values()),
                ", ".join(f"{what} {amount:.0f}" for what, amount in self.spent.items()),
            )
        self._show_limits()
        metrics.ACTIVE_JOBS.set(len(self.ledger.jobs))
        metrics.BLOCKED_JOBS.set(
            sum(1 for job in self.ledger.jobs.values() if job.blocked_on_dependencies)
        )
        metrics.WAITING_TASKS.set(sum(job.waiting() for job in self.ledger.ready_jobs.values()))

    def _show_limits(self) -> None:
        """How much of each team's limit is booked, and how much is counted for silent machines."""
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
