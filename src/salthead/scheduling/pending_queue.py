"""The pending queue: jobs with tasks that have no machine, in the order of their placement."""

from __future__ import annotations

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Job
from salthead.cluster.start_rules import startable
from salthead.protocol import wire_names
from salthead.scheduling import queue_order


def pending_jobs(ledger: Ledger, guaranteed_ids: set[str], now: float) -> list[Job]:
    """Jobs that may start tasks: guaranteed ones first, then by priority, then by their targets."""
    waiting = [job for job in ledger.ready_jobs.values() if startable(ledger, job)]
    ordered = _within_start_target(ledger, waiting, guaranteed_ids, now)
    placed_first = {job.job_id for job in ordered}
    rate = queue_order.fleet_cpus(ledger)
    for guaranteed in (True, False):
        for priority in range(len(wire_names.URGENCIES)):
            same_rank = [
                job
                for job in waiting
                if job.priority == priority
                and job.job_id not in placed_first
                and (job.job_id in guaranteed_ids) == guaranteed
            ]
            ordered += queue_order.by_targets(ledger, same_rank, rate, now)
    if ledger.zone_hooks is not None:
        return ledger.zone_hooks.evacuation_order(ordered, guaranteed_ids, now)
    return ordered


def _within_start_target(
    ledger: Ledger, waiting: list[Job], guaranteed_ids: set[str], now: float
) -> list[Job]:
    """Guaranteed jobs that can still start as fast as the users aim for, the smallest first.

    A large one, or one that has missed that target, would make all jobs behind it miss it as well.
    """
    start_target_s = ledger.start_attainment.within_s
    found = [
        job for job in waiting if job.job_id in guaranteed_ids and now - job.since <= start_target_s
    ]
    found.sort(
        key=lambda job: (job.priority, job.waiting() * job.request.cpus, job.since, job.job_id)
    )
    return found
