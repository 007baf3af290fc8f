"""Health of machines: overdue heartbeats, failing tasks, and workers that answers do not reach."""

from __future__ import annotations

import logging

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import UP, Job, Machine
from salthead.event_log import event

log = logging.getLogger(__name__)

# Number of jobs that must fail on a machine, with no task completed in between, to quarantine it.
QUARANTINE_FAILED_JOBS = 2
# A job that fails on this many machines without completing a task is considered faulty itself.
FAULTY_JOB_MACHINES = 3
# After a task error, a machine takes no work for the step times its number of failed jobs, at most
# for the maximum.
ERROR_PAUSE_STEP_S, MAX_ERROR_PAUSE_S = 5.0, 30.0

# A machine's heartbeat is overdue when its last one is older than this many intervals.
OVERDUE_HEARTBEAT_INTERVALS = 3.0
# Time that workers may take to find a new leader, on top of one heartbeat interval.
LEADER_DISCOVERY_S = 1.0


def heartbeats_expected(ledger: Ledger, now: float) -> bool:
    """Return whether every healthy machine has had time to find this leader."""
    interval_s = ledger.limits.workers.heartbeat_interval_s
    return now - ledger.term_started_at > LEADER_DISCOVERY_S + interval_s


def count_responsive_machines(ledger: Ledger, now: float) -> tuple[int, int]:
    """Return how many machines that are up have a recent heartbeat, and how many do not."""
    up = [machine for machine in ledger.machines.values() if machine.phase == UP]
    cutoff = now - OVERDUE_HEARTBEAT_INTERVALS * ledger.limits.workers.heartbeat_interval_s
    on_time = sum(1 for machine in up if _heard_at(ledger, machine) >= cutoff)
    return on_time, len(up) - on_time


def _heard_at(ledger: Ledger, machine: Machine) -> float:
    """Return when a machine was last heard; before the records are loaded, in any heartbeat."""
    return machine.last_heartbeat_at if ledger.loaded else machine.links.last_received_at


def mark_unresponsive(ledger: Ledger, machine: Machine, now: float, why: str) -> None:
    """Give a machine no work: its heartbeats arrive, but answers do not reach it."""
    if machine.unresponsive_since is None:
        event(log, "machine_unresponsive", machine=machine.name, why=why)
        machine.unresponsive_since = now
        machine.unresponsive_times += 1
        ledger.events.changed()


def mark_responsive(ledger: Ledger, machine: Machine, now: float) -> None:
    """Give an unresponsive machine that answered a call work again, after a doubling pause."""
    if machine.unresponsive_since is not None:
        event(log, "machine_responsive", machine=machine.name)
        machine.unresponsive_since = None
        machine.trusted_again_at = (
            now
            + min(  # bounded by a lease: a longer pause would delay jobs by minutes
                ledger.limits.workers.heartbeat_interval_s * 2.0**machine.unresponsive_times,
                ledger.limits.workers.lease_s,
            )
        )
        machine.has_freed_capacity = True


def record_task_error(ledger: Ledger, job: Job, machine: Machine, now: float) -> None:
    """Back off the machine and the job after a task error; quarantine a machine that is at fault.

    Jobs that fail on many machines do not count against a machine.
    """
    if ledger.zone_hooks is not None:
        ledger.zone_hooks.failed(machine)
    job.error_machines.add(machine.name)
    machine.error_jobs.add(job.job_id)
    machine.error_until = now + min(MAX_ERROR_PAUSE_S, ERROR_PAUSE_STEP_S * len(machine.error_jobs))
    job.error_backoff_until = max(
        job.error_backoff_until, now + min(30.0, 1.0 * len(job.error_machines))
    )
    failed_jobs = [
        job_id
        for job_id in machine.error_jobs
        if (other := ledger.jobs.get(job_id)) is None
        or other.n_done > 0
        or len(other.error_machines) < FAULTY_JOB_MACHINES
    ]
    event(
        log,
        "task_failed",
        job=job.job_id,
        machine=machine.name,
        jobs_failed_there=len(machine.error_jobs),
    )
    if len(failed_jobs) >= QUARANTINE_FAILED_JOBS and not machine.quarantine_reason:
        machine.quarantine_reason = "fails its tasks"
