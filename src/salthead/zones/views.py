"""Views of zones, and of jobs that wait for one, for operators."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from salthead.cluster.model import Job
from salthead.scheduling.eligibility import task_counts_by_zone, zone_allows_task
from salthead.zones.state import OUT_OF_SERVICE, ZonePhase

if TYPE_CHECKING:  # loads the libraries of zone recovery only if the policy enables it
    from salthead.zones.recovery import ZoneRecovery


@dataclass(frozen=True, slots=True)
class ZoneView:
    """State of a zone, for operators."""

    name: str
    phase: ZonePhase
    since_s: float
    reason: str
    machines: int
    silent: int
    open_machines: int
    held_back_by: str


def zone_views(recovery: ZoneRecovery, now: float) -> list[ZoneView]:
    """Return the views of all zones, in the order of their indices."""
    views = []
    for zone, state in enumerate(recovery.states):
        health = recovery.evidence.health(zone, now)
        slow_start = recovery.admission.slow_starts.get(zone)
        views.append(
            ZoneView(
                name=recovery.ledger.zones[zone],
                phase=state.phase,
                since_s=now - state.since,
                reason=state.reason,
                machines=health.machines,
                silent=health.silent,
                open_machines=len(slow_start.open_machines) if slow_start is not None else 0,
                held_back_by=slow_start.held_back_by if slow_start is not None else "",
            )
        )
    return views


def waiting_reason(recovery: ZoneRecovery, job: Job) -> str:
    """Return why a job's tasks wait for a lost or recovering zone; empty if none do."""
    if not job.waiting():
        return ""
    for zone, state in enumerate(recovery.states):
        if state.phase not in OUT_OF_SERVICE:
            continue
        name = f"zone {recovery.ledger.zones[zone]} is {state.phase}"
        if job.zone == zone:
            return f"{name}, and the job may run nowhere else"
        if job.spec.spread_zones:
            counts = task_counts_by_zone(job)
            if any(not zone_allows_task(job, other, counts) for other in counts):
                return f"{name}, and no more of the job may run in another zone"
    return ""
