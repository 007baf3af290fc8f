"""The overview of queue and fleet for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from salthead.cluster.model import Job, Machine
from salthead.leader.context import TermContext
from salthead.leader.overview import JobRow, MachineRow, NetworkRow, Overview, TeamRow, ZoneRow
from salthead.zones.views import ZoneView, waiting_reason, zone_views

if TYPE_CHECKING:  # these modules load libraries that only some policies need
    from salthead.leader.link_loop import LinkLoop
    from salthead.leader.zone_loop import ZoneLoop
    from salthead.networks.silence import NetworkView
    from salthead.zones.recovery import ZoneRecovery

MAX_OVERVIEW_ROWS = 150  # each of jobs and machines
MAX_OVERVIEW_DEPENDENCIES = 3  # per job


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
    """Builds the overview of one term."""

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

    def overview(self) -> Overview:
        """Return the overview, truncated to what fits into an answer."""
        ledger, now = self.ledger, self.now()
        recovery = self.zone_loop.recovery if self.zone_loop is not None else None
        links = self.link_loop.overview() if self.link_loop is not None else None
        machines = sorted(ledger.machines.values(), key=lambda machine: machine.name)
        overview = Overview(
            leader=self.member,
            fencing_token=self.context.fencing_token,
            ready=ledger.ready,
            teams=self._team_rows(),
            jobs=self._job_rows(recovery),
            jobs_total=len(ledger.jobs),
            machines=[self._machine_row(machine, now) for machine in machines[:MAX_OVERVIEW_ROWS]],
            machines_total=len(machines),
            zones=[_zone_row(view) for view in zone_views(recovery, now)] if recovery else [],
            networks=[_network_row(view) for view in recovery.evidence.network_views()]
            if recovery
            else [],
        )
        if links is None:
            return overview
        return msgspec.structs.replace(
            overview,
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
                cpus=round(ledger.allocated_by_team[team][0], 3),
                guaranteed=ledger.guarantees[team][0],
                limit=ledger.team_limits[team][0],
            )
            for team, name in enumerate(ledger.team_names.names)
        ]

    def _job_rows(self, recovery: ZoneRecovery | None) -> list[JobRow]:
        """Return the rows of the jobs that were submitted first."""
        jobs = sorted(self.ledger.jobs.values(), key=lambda job: job.spec.at)
        return [
            self._job_row(job, waiting_reason(recovery, job) if recovery is not None else "")
            for job in jobs[:MAX_OVERVIEW_ROWS]
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
            depends_on=self.ledger.dependencies.unfinished(job.job_id, MAX_OVERVIEW_DEPENDENCIES),
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
