"""Teams' guarantees: which jobs are within them, and whether these jobs start in time."""

from __future__ import annotations

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Job
from salthead.cluster.resources import EPSILON


def guaranteed_job_ids(ledger: Ledger) -> set[str]:
    """Return the jobs that, together with their team's earlier jobs, fit into its guarantee.

    A job that waits for its dependencies is not in ``ready_jobs`` and uses no part of a guarantee.
    """
    guaranteed_ids: set[str] = set()
    team_totals = [[0.0, 0.0] for _ in ledger.guarantees]
    for job in sorted(ledger.ready_jobs.values(), key=lambda job: (job.since, job.job_id)):
        if job.terminal_phase or job.cancel_requested:
            continue
        total, size, guarantee = team_totals[job.team], job.size(), ledger.guarantees[job.team]
        total[0] += size[0]
        total[1] += size[1]
        if total[0] <= guarantee[0] + EPSILON and total[1] <= guarantee[1] + EPSILON:
            guaranteed_ids.add(job.job_id)
    return guaranteed_ids


def record_attainment(ledger: Ledger, job: Job, now: float) -> None:
    """Record, once per job, whether a guaranteed job found machines for all its tasks in time."""
    late = now - job.since > ledger.start_attainment.within_s
    if (
        job.within_guarantee
        and job.accepted_this_term
        and not job.attainment_recorded
        and (late or not job.waiting())
    ):
        job.attainment_recorded = True
        ledger.start_attainment.record_attainment(not late)
