"""Conditions for starting or adopting a task, and the quota that a team has left.

Scheduling passes, backfill, rescheduling, preemption and the answers that carry starts all use
these functions.
"""

from __future__ import annotations

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Binding, Job
from salthead.cluster.resources import EPSILON
from salthead.protocol.messages import TaskStatus


def startable(ledger: Ledger, job: Job) -> bool:
    """Return whether waiting tasks of the job may be placed now.

    A task must not run twice. No task is therefore placed while the job has an orphan task, since
    that may be any of the waiting tasks. Nor is one placed while an earlier leader may have started
    a waiting task on a machine that is not reconciled.
    """
    return (
        not job.failed
        and job.job_id not in ledger.orphan_task_counts
        and job.waiting() > 0
        and ledger.may_schedule(job)
    )


def should_still_run(binding: Binding) -> bool:
    """Return whether a bound task is still to run: not stopped, cancelled, ended or done."""
    job = binding.job
    return (
        job is not None
        and binding.stop_grace_s is None
        and not job.terminal_phase
        and not job.cancel_requested
        and not job.dependency_cancelled
        and not job.done[binding.index]
    )


def may_adopt(job: Job, index: int, task: TaskStatus) -> bool:
    """Return whether a running task without a binding may be bound, and so may continue."""
    if (
        job.terminal_phase
        or job.dependency_cancelled
        or job.cancel_requested
        or not 0 <= index < job.spec.task_count
    ):
        return False
    if job.done[index] or index in job.bindings:
        return False
    return not job.gang or not (job.failed or (job.bindings and job.attempt != task.attempt))


def remaining_quota(ledger: Ledger, job: Job, respect_reservations: bool = True) -> int:
    """Return how many more tasks of the job its team's limit allows.

    ``respect_reservations``: subtract the quota that is reserved for gangs ahead of the job.
    """
    if ledger.unknown_jobs:
        return 0  # the team of an orphan task is not known yet
    usage, limit = ledger.allocated_by_team[job.team], ledger.team_limits[job.team]
    task_count = float(job.spec.task_count)
    for n in range(2):
        if job.request[n] > 0:
            # Tasks of any one team may occupy all machines that are not reconciled.
            silent = 0.0 if ledger.ready else ledger.failover.unreconciled_capacity()[n]
            free = (
                limit[n]
                - usage[n]
                - silent
                - (job.quota_reserved_ahead[n] if respect_reservations else 0.0)
            )
            if free + EPSILON < job.request[n]:
                return 0  # before the division, which gives NaN for unbounded unreconciled capacity
            task_count = min(task_count, (free + EPSILON) // job.request[n])
    return max(0, int(task_count))
