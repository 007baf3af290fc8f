"""The pending queue: jobs with unplaced tasks, in the order in which they are placed."""

from __future__ import annotations

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Job
from salthead.cluster.start_rules import startable
from salthead.protocol import wire_names
from salthead.scheduling import queue_order


def pending_jobs(ledger: Ledger, guaranteed_ids: set[str], now: float) -> list[Job]:
    """Return the jobs that may start tasks, ordered by guarantee, priority and start target.

    Guaranteed jobs come first.
    """
    waiting = [job for job in ledger.ready_jobs.values() if startable(ledger, job)]
    ordered = _jobs_within_start_target(ledger, waiting, guaranteed_ids, now)
    placed_first = {job.job_id for job in ordered}
    fleet_cpus = queue_order.fleet_cpus(ledger)
    for guaranteed in (True, False):
        for priority in range(len(wire_names.URGENCIES)):
            same_rank = [
                job
                for job in waiting
                if job.priority == priority
                and job.job_id not in placed_first
                and (job.job_id in guaranteed_ids) == guaranteed
            ]
            ordered += queue_order.order_by_targets(ledger, same_rank, fleet_cpus, now)
    if ledger.zone_hooks is not None:
        return ledger.zone_hooks.evacuation_order(ordered, guaranteed_ids, now)
    return ordered


def _jobs_within_start_target(
    ledger: Ledger, waiting: list[Job], guaranteed_ids: set[str], now: float
) -> list[Job]:
    """Return the guaranteed jobs that can still meet the start target, smallest first per priority.

    A large job, or one that has missed the target already, would make the jobs behind it miss the
    target as well.
    """
    start_target_s = ledger.start_attainment.within_s
    eligible = [
        job for job in waiting if job.job_id in guaranteed_ids and now - job.since <= start_target_s
    ]
    eligible.sort(
        key=lambda job: (job.priority, job.waiting() * job.request.cpus, job.since, job.job_id)
    )
    return eligible
