"""Which tasks may start now, and how much of a team's limit is left: every path asks here.

Scheduling passes, backfill, rescheduling, preemption and the answers that carry starts share these
conditions.
"""

from __future__ import annotations

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Binding, Job
from salthead.cluster.resources import EPSILON


def startable(ledger: Ledger, job: Job) -> bool:
    """Whether tasks of the job that have no machine may be given one now.

    An orphan task of the job may be any of them; what an earlier leader started may be on a machine
    that is not accounted for.
    """
    return (
        not job.failed
        and job.job_id not in ledger.orphan_jobs
        and job.waiting() > 0
        and ledger.may_schedule(job)
    )


def should_still_run(binding: Binding) -> bool:
    """Whether a task that has a machine is still to run there."""
    job = binding.job
    return (
        job is not None
        and binding.stop_grace_s is None
        and not job.terminal_phase
        and not job.cancel_requested
        and not job.dependency_cancelled
        and not job.done[binding.index]
    )


def quota_left(ledger: Ledger, job: Job, heed: bool = True) -> int:
    """How many more tasks of the job its team's limit allows; ``heed`` what is kept of it."""
    if ledger.unknown_jobs:
        return 0  # an orphan task's team is not known yet
    usage, most = ledger.usage[job.team], ledger.team_limits[job.team]
    left = float(job.spec.task_count)
    for n in range(2):
        if job.request[n] > 0:
            # Any team may be using all of the machines that are not reconciled.
            silent = 0.0 if ledger.ready else ledger.failover.unreconciled_capacity()[n]
            free = most[n] - usage[n] - silent - (job.quota_reserved_ahead[n] if heed else 0.0)
            if free + EPSILON < job.request[n]:
                return 0  # of an unlimited silent room a division would make no number
            left = min(left, (free + EPSILON) // job.request[n])
    return max(0, int(left))
