"""What operators see of a term: the overview, the metrics, and what the rent is spent on."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from salthead import metrics
from salthead.cluster.model import UP, Job, Machine
from salthead.leader.context import TermContext
from salthead.leader.overview import JobRow, MachineRow, NetworkRow, Overview, TeamRow, ZoneRow
from salthead.scheduling import eligibility
from salthead.zones.views import ZoneView, waiting_reason, zone_views

if TYPE_CHECKING:  # these load libraries that only some policies need
    from salthead.leader.link_loop import LinkLoop
    from salthead.leader.zone_loop import ZoneLoop
    from salthead.networks.silence import NetworkView

log = logging.getLogger(__name__)

ACCOUNTING_INTERVAL_S, FLEET_LOG_INTERVAL_S = 2.0, 10.0
OVERVIEW_ROWS = 150
OVERVIEW_DEPENDENCIES = 3


def _zone_row(view: ZoneView) -> ZoneRow:
    return ZoneRow(
        name=view.name,
        state=view.phase.value,
        since_s=round(view.since_s, 1),
        reason=view.reason,
        machines=view.machines,
        silent=view.silent,
        open_machines=view.open_machines,
        held_back_by=view.held_back_by,
    )


def _network_row(view: NetworkView) -> NetworkRow:
    return NetworkRow(view.name, view.prefix, view.machines, view.silent)


class Views:
    """What operators are shown of one term."""

    def __init__(
        self,
        context: TermContext,
        member: str,
        zone_loop: ZoneLoop | None,
        link_loop: LinkLoop | None,
    ) -> None:
        self.context = context
        self.member = member
        self.zone_loop = zone_loop
        self.link_loop = link_loop
        self.ledger = context.ledger
        self.now = context.now
        self.fleet_logged_at = -FLEET_LOG_INTERVAL_S
        self.accounted_at = context.now()
        self.spent: dict[str, float] = {}  # CPU-seconds, by what they were spent on

    def overview(self) -> Overview:
        """Queue and fleet for operators, cut to what fits into an answer."""
        ledger, now = self.ledger, self.now()
        recovery = self.zone_loop.recovery if self.zone_loop is not None else None
        links = self.link_loop.overview() if self.link_loop is not None else None
        jobs = sorted(ledger.jobs.values(), key=lambda job: job.spec.at)
        machines = sorted(ledger.machines.values(), key=lambda machine: machine.name)
        found = Overview(
            leader=self.member,
            fencing_token=self.context.fencing_token,
            ready=ledger.ready,
            teams=self._team_rows(),
            jobs=[
                self._job_row(job, waiting_reason(recovery, job) if recovery is not None else "")
                for job in jobs[:OVERVIEW_ROWS]
            ],
            jobs_total=len(jobs),
            machines=[self._machine_row(machine, now) for machine in machines[:OVERVIEW_ROWS]],
            machines_total=len(machines),
            zones=[_zone_row(view) for view in zone_views(recovery, now)] if recovery else [],
            networks=[_network_row(view) for view in recovery.evidence.network_views()]
            if recovery
            else [],
        )
        if links is None:
            return found
        return msgspec.structs.replace(
            found,
            links=links.links,
            controllers=links.controllers,
            blocked_actions=links.blocked_actions,
            cuts=links.cuts,
        )

    def _team_rows(self) -> list[TeamRow]:
        ledger = self.ledger
        return [
            TeamRow(
                name=name,
                cpus=round(ledger.usage[team][0], 3),
                guaranteed=ledger.guarantees[team][0],
                limit=ledger.team_limits[team][0],
            )
            for team, name in enumerate(ledger.team_names.names)
        ]

    def _job_row(self, job: Job, reason: str) -> JobRow:
        phase, done, running = self.ledger.phase_of(job)
        return JobRow(
            job_id=job.job_id,
            team=job.spec.team,
            job_class=job.spec.job_class,
            urgency=job.spec.urgency,
            phase=phase,
            waiting=job.waiting(),
            running=running,
            done=done,
            task_count=job.spec.task_count,
            depends_on=self.ledger.unfinished_dependencies(job.job_id, OVERVIEW_DEPENDENCIES),
            reason=reason,
        )

    def _machine_row(self, machine: Machine, now: float) -> MachineRow:
        notes = [
            machine.quarantine_reason,
            "cordoned" if machine.cordoned else "",
            f"kept for {machine.reserved_for}" if now < machine.reserved_until else "",
            "is taken soon" if machine.reclaim_at is not None else "",
        ]
        return MachineRow(
            name=machine.name,
            machine_type=self.ledger.type_names[machine.machine_type],
            zone=self.ledger.zones[machine.zone],
            kind="spot" if machine.spot else "ordinary",
            phase=machine.phase,
            cpus=machine.capacity.cpus,
            used=round(machine.allocated.cpus, 3),
            note=", ".join(note for note in notes if note),
        )

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

    def show(self) -> None:
        """Set the metrics, and log a line about the fleet now and then."""
        if self.now() - self.accounted_at < ACCOUNTING_INTERVAL_S:
            return
        self.account(self.now())
        phases: dict[str, int] = {}
        for machine in self.ledger.machines.values():
            phases[machine.phase] = phases.get(machine.phase, 0) + 1
        for phase in ("up", "booting", "lost"):
            metrics.MACHINES.labels(phase).set(phases.get(phase, 0))
        now = self.now()
        if now - self.fleet_logged_at >= FLEET_LOG_INTERVAL_S:
            self.fleet_logged_at = now
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
