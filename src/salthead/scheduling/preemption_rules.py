"""Rules of preemption: which tasks a job may preempt, and how much work that loses."""

from __future__ import annotations

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Binding, Job
from salthead.protocol import wire_names
from salthead.scheduling import queue_order

# Boot times for which a guaranteed job waits for provisioned machines before it preempts others.
PREEMPTION_DELAY_BOOTS = 3.0
MIN_TASK_CPUS = 0.1  # least CPUs by which a task's lost work is weighted


def save_grace_s(job: Job) -> float:
    """Return the grace period for writing a checkpoint, in seconds; 0 if the job writes none."""
    return job.spec.checkpoint_save_s if job.spec.checkpoint_interval_s > 0 else 0.0


def lost_cpu_s(binding: Binding, now: float, restart_s: float) -> float:
    """Estimate the CPU-seconds that are lost by stopping the task, or its whole gang.

    ``restart_s`` is the time between a stop and the next start. Without it, a gang that has just
    been placed looks cheaper to stop than a few small tasks that have run for a while.
    """
    job = binding.job
    assert job is not None
    members = list(job.bindings.values()) if job.gang else [binding]
    total_cpu_s = 0.0
    for member in members:
        run_s = max(0.0, now - member.started) if member.started else 0.0
        if job.spec.checkpoint_interval_s > 0 and not (member.phase and run_s <= 0):
            run_s = min(run_s, job.spec.checkpoint_save_s)
        total_cpu_s += (run_s + restart_s) * max(member.request.cpus, MIN_TASK_CPUS)
    return total_cpu_s


def may_preempt(
    ledger: Ledger,
    job: Job,
    priority: int,
    victim: Binding,
    guaranteed_ids: set[str],
    now: float,
) -> bool:
    """Return whether the job, which preempts with this priority, may preempt the task.

    Beyond the three rules of the protocol, preemption for a guarantee is limited: it starts only
    once machines provisioned for the job could have booted several times over, and a gang is
    preempted for it at most once. Short tasks end sooner than a stop, a heartbeat and a start take.
    Stopping them at once lost so much work that guarantees were met no more often, and gangs and
    guaranteed jobs preempted each other every few seconds.
    """
    victim_job = victim.job
    if victim_job is None or victim_job is job or victim_job.complete:
        return False
    if victim_job.priority > priority:
        return True
    if (
        job.job_id not in guaranteed_ids
        or victim_job.team == job.team
        or victim_job.job_id in guaranteed_ids
    ):
        return False
    machine_type = ledger.machine_types.get(victim.machine.machine_type)
    if (
        machine_type is None
        or now - job.since < PREEMPTION_DELAY_BOOTS * machine_type.boot_s
        or (victim_job.gang and victim_job.preempted)
    ):
        return False
    usage, guarantee = ledger.allocated_by_team[victim_job.team], ledger.guarantees[victim_job.team]
    return usage[0] > guarantee[0] or usage[1] > guarantee[1]


def preempting_priority(ledger: Ledger, job: Job, now: float) -> int:
    """Return the priority with which a job preempts others.

    A priority inherited from a dependent job counts only once half of the wait that the job's
    targets allow has passed. Otherwise pipeline steps with a minute to spare preempt work that then
    misses its own targets: 9,000 of 33,000 tasks in one run.
    """
    own_priority = wire_names.URGENCIES.index(job.spec.urgency)
    if job.priority == own_priority or queue_order.start_due(ledger, job, now):
        return job.priority
    return own_priority


def could_preempt(ledger: Ledger, job: Job, guaranteed_ids: set[str]) -> bool:
    """Return whether any task may be running that the job could preempt.

    This cheap check avoids a search through all machines.
    """
    if any(ledger.bound_by_priority[job.priority + 1 :]):
        return True
    return job.job_id in guaranteed_ids and any(
        usage[n] > guarantee[n]
        for team, (usage, guarantee) in enumerate(
            zip(ledger.allocated_by_team, ledger.guarantees, strict=True)
        )
        if team != job.team
        for n in range(2)
    )
