"""The queue of a pass: which jobs wait, those within their team's guarantee first."""

from __future__ import annotations

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Job
from salthead.cluster.start_rules import startable
from salthead.protocol import wire_names
from salthead.scheduling import queue_order


def queue(ledger: Ledger, within: set[str], now: float) -> list[Job]:
    """Jobs with tasks that have no machine: guarantees first, then urgency, then targets.

    Of those within guarantees, the ones that can still begin as fast as the users aim for come
    first, the smallest ahead: a large one, or one that has missed that, would make all that come
    after it miss it as well.
    """
    waiting = [job for job in ledger.ready_jobs.values() if startable(ledger, job)]
    start_target_s = ledger.start_attainment.within_s
    first = [job for job in waiting if job.job_id in within and now - job.since <= start_target_s]
    first.sort(
        key=lambda job: (job.priority, job.waiting() * job.request.cpus, job.since, job.job_id)
    )
    young = {job.job_id for job in first}
    rate = queue_order.fleet_cpus(ledger)
    for guaranteed in (True, False):
        for priority in range(len(wire_names.URGENCIES)):
            same = [
                job
                for job in waiting
                if job.priority == priority
                and job.job_id not in young
                and (job.job_id in within) == guaranteed
            ]
            first += queue_order.by_targets(ledger, same, rate, now)
    if ledger.zone_hooks is not None:
        return ledger.zone_hooks.evacuation_order(first, within, now)
    return first
