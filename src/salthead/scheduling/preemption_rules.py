"""The rules of preemption: which tasks a job may have stopped, and what their stop costs."""

from __future__ import annotations

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Binding, Job
from salthead.protocol import wire_names
from salthead.scheduling import queue_order

# Boots for which a job within its guarantee waits for provisioned machines before others' work is
# stopped.
PATIENCE_BOOTS = 3.0
MIN_TASK_CPUS = 0.1  # for the lost work of tasks that ask for hardly any CPU


def save_grace_s(job: Job) -> float:
    """The grace in which a task of the job writes a checkpoint; 0 for jobs that write none."""
    return job.spec.checkpoint_save_s if job.spec.checkpoint_interval_s > 0 else 0.0


def lost_cpu_s(binding: Binding, now: float, restart_s: float) -> float:
    """CPU-seconds that stopping the task, with its gang if it has one, throws away, roughly.

    ``restart_s`` is the time between a stop and the next start: without it a gang that had just
    been placed looked cheaper to stop than a few small tasks that had run for a while.
    """
    job = binding.job
    assert job is not None
    members = list(job.bindings.values()) if job.gang else [binding]
    lost = 0.0
    for member in members:
        run = max(0.0, now - member.started) if member.started else 0.0
        if job.spec.checkpoint_interval_s > 0 and not (member.phase and run <= 0):
            run = min(run, job.spec.checkpoint_save_s)
        lost += (run + restart_s) * max(member.request.cpus, MIN_TASK_CPUS)
    return lost


def may_preempt(
    ledger: Ledger,
    job: Job,
    priority: int,
    victim: Binding,
    guaranteed_ids: set[str],
    now: float,
) -> bool:
    """Whether the job, which preempts with this priority, may have the task stopped.

    These are the three rules of the protocol, and one restraint of ours: for a guarantee, work is
    stopped only once machines provisioned for the job could have been up several times over, and a
    gang only once. Short tasks end by themselves sooner than a stop, a heartbeat and a start take;
    stopping them at once threw so much work away that guarantees were kept no more often, and gangs
    and guaranteed jobs preempted each other every few seconds.
    """
    other = victim.job
    if other is None or other is job or other.complete:
        return False
    if other.priority > priority:
        return True
    if job.job_id not in guaranteed_ids or other.team == job.team or other.job_id in guaranteed_ids:
        return False
    machine_type = ledger.machine_types.get(victim.machine.machine_type)
    if (
        machine_type is None
        or now - job.since < PATIENCE_BOOTS * machine_type.boot_s
        or (other.gang and other.preempted)
    ):
        return False
    usage, guarantee = ledger.usage[other.team], ledger.guarantees[other.team]
    return usage[0] > guarantee[0] or usage[1] > guarantee[1]


def preempting_priority(ledger: Ledger, job: Job, now: float) -> int:
    """The priority with which a job preempts others.

    One that it inherits from a job after it counts only once half of the wait that its targets
    allow is gone. Seen on rollout, moana-buoys-next: steps of pipelines with a minute to spare
    stopped 9,000 tasks of 33,000, most of them of work that was late for it.
    """
    own = wire_names.URGENCIES.index(job.spec.urgency)
    if job.priority == own or queue_order.start_due(ledger, job, now):
        return job.priority
    return own


def could_preempt(ledger: Ledger, job: Job, guaranteed_ids: set[str]) -> bool:
    """Whether any task runs that the job might preempt; spares the search through all machines."""
    if any(ledger.bound_by_priority[job.priority + 1 :]):
        return True
    return job.job_id in guaranteed_ids and any(
        usage[n] > guarantee[n]
        for team, (usage, guarantee) in enumerate(zip(ledger.usage, ledger.guarantees, strict=True))
        if team != job.team
        for n in range(2)
    )
