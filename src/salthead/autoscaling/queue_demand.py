"""The demand side of a fleet plan: backlog of the queue, and jobs that will soon be ready."""

from __future__ import annotations

from salthead.autoscaling.fleet_supply import min_boot_s
from salthead.autoscaling.scale_in import MIN_CHARGE_S
from salthead.cluster.estimates import remaining_run_s
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import BOOTING, Job
from salthead.scheduling import queue_order

# A backlog must have been long for this many boot times, since an array that has just arrived makes
# the queue long too.
MIN_BACKLOG_BOOTS = 0.5
# While a larger share of the fleet's CPUs is booting, the backlog does not count as long, since
# machines for it have been provisioned already.
MAX_BOOTING_SHARE = 0.25


def min_busy_s_to_provision(ledger: Ledger, queue: list[Job], now: float) -> float:
    """Return for how many seconds the queue must keep a machine busy to justify provisioning it.

    Work that the fleet gets to before a new machine has booted needs no new machine. Nor does work
    that is shorter than the minimum charge, unless the backlog has been long for
    ``MIN_BACKLOG_BOOTS`` boot times; it is long if the fleet needs more than one boot time to work
    it off. If the minimum charge always applied, thousands of short tasks would miss their
    deadlines: in one run, 12,000 tasks with deadlines of 50 s waited for up to a minute, while
    1,700 CPUs were not provisioned.
    """
    boot_s = min_boot_s(ledger)
    work = sum(
        job.waiting() * job.request.cpus * ledger.run_s(job) for job in queue if not job.gang
    )
    fleet_cpus = queue_order.fleet_cpus(ledger)
    booting = sum([m.capacity.cpus for m in ledger.machines.values() if m.phase == BOOTING])
    # The queue is also long just after an array has arrived or while many machines are booting.
    # Machines provisioned for that come up too late, and too many of them are terminated later.
    if work <= boot_s * fleet_cpus or booting > MAX_BOOTING_SHARE * fleet_cpus:
        ledger.pending.backlog_since = None
        return max(MIN_CHARGE_S, boot_s)
    if ledger.pending.backlog_since is None:
        ledger.pending.backlog_since = now
    persistent = now - ledger.pending.backlog_since >= MIN_BACKLOG_BOOTS * boot_s
    return boot_s if persistent else max(MIN_CHARGE_S, boot_s)


def soon_ready_jobs(ledger: Ledger, now: float) -> list[Job]:
    """Return jobs whose dependencies should all end before a new machine could have booted."""
    boot_s = min_boot_s(ledger)
    ready_soon = []
    for job_ids in ledger.dependency_graph.job_classes.values():
        for job_id in job_ids:
            dependencies = [
                ledger.ready_jobs.get(dependency)
                for dependency in ledger.dependency_graph.nodes[job_id].unfinished
            ]
            if all(
                dependency is not None
                and not dependency.waiting()
                and remaining_s(ledger, dependency, now) <= boot_s
                for dependency in dependencies
            ):
                ready_soon.append(ledger.jobs[job_id])
    return ready_soon


def remaining_s(ledger: Ledger, job: Job, now: float) -> float:
    """Return the expected seconds until a job ends, all of whose tasks have a machine."""
    run_s = ledger.run_s(job)
    return max(
        (
            remaining_run_s(run_s, now - binding.started) if binding.started else run_s
            for binding in job.bindings.values()
        ),
        default=0.0,
    )
