"""What the queue asks of the fleet: which jobs are ready soon, and how long machines serve it."""

from __future__ import annotations

from salthead.autoscaling.fleet_supply import min_boot_s
from salthead.autoscaling.scale_in import MIN_CHARGE_S
from salthead.cluster.estimates import left_s
from salthead.cluster.ledger import Ledger
from salthead.cluster.model import BOOTING, Job
from salthead.scheduling import queue_order

# A queue that takes longer than a boot counts once it has lasted for this part of a boot, while no
# more than this share of the fleet is still booting.
BACKLOG_BOOTS, MAX_BOOTING_SHARE = 0.5, 0.25


def serving_span_s(ledger: Ledger, queue: list[Job], now: float) -> float:
    """For how long a machine is to have work from the queue, in seconds, to be worth provisioning.

    Work that the fleet gets to before a new machine would be up needs no new machine. Nor is one
    worth its least charge for less work than that, unless the queue stays longer than a boot. Seen
    on loss, moana-buoys-fleet: 12,000 tasks waited for up to a minute, with deadlines of fifty
    seconds, beside 1,700 CPUs that were not provisioned.
    """
    boot_s = min_boot_s(ledger)
    work = sum(
        job.waiting() * job.request.cpus * ledger.run_s(job) for job in queue if not job.gang
    )
    fleet_cpus = queue_order.fleet_cpus(ledger)
    booting = sum([m.capacity.cpus for m in ledger.machines.values() if m.phase == BOOTING])
    # One array that comes, or a fleet that begins to boot, has a long queue, too: machines for that
    # came too late, and then too many of them were terminated.
    if work <= boot_s * fleet_cpus or booting > MAX_BOOTING_SHARE * fleet_cpus:
        ledger.pending.long_since = None
        return max(MIN_CHARGE_S, boot_s)
    if ledger.pending.long_since is None:
        ledger.pending.long_since = now
    lasts = now - ledger.pending.long_since >= BACKLOG_BOOTS * boot_s
    return boot_s if lasts else max(MIN_CHARGE_S, boot_s)


def soon_ready_jobs(ledger: Ledger, now: float) -> list[Job]:
    """Jobs whose dependencies should all be done by the time that a new machine could be up."""
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
    """In how many seconds the last of a job's tasks should end, all of which have a machine."""
    run_s = ledger.run_s(job)
    return max(
        (
            left_s(run_s, now - binding.started) if binding.started else run_s
            for binding in job.bindings.values()
        ),
        default=0.0,
    )
