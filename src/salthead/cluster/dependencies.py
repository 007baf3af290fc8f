"""What the graph of awaited jobs means for the jobs of the ledger."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from salthead.cluster.model import Job
from salthead.protocol import wire_names

if TYPE_CHECKING:
    from salthead.cluster.ledger import Ledger

log = logging.getLogger(__name__)


def add_job(ledger: Ledger, job: Job) -> None:
    """Find the job's place among those that wait for others."""
    spec, depends_on = job.spec, job.spec.depends_on or []
    job.since = job.submitted
    due = (math.inf, math.inf)
    if spec.deadline_s is not None:
        times = [
            objective.times
            for objective in ledger.limits.objectives
            if objective.kind == "deadline" and objective.job_class == spec.job_class
        ]
        due = (
            job.submitted + spec.deadline_s * min(times, default=1.0),
            job.submitted + spec.deadline_s * max(times, default=1.0),
        )
    ledger.dependency_graph.add(
        job.job_id,
        depends_on,
        job.priority,
        spec.job_class,
        ledger.estimates.run_s(spec.job_class, spec.estimated_run_s),
        due,
    )
    job.blocked_on_dependencies = bool(ledger.dependency_graph.nodes[job.job_id].unfinished)
    if not job.blocked_on_dependencies:
        ledger.ready_jobs[job.job_id] = job
        _count_from(ledger, job)
    if any(
        known.dependency_cancelled or known.terminal_phase == wire_names.ABORTED
        for job_id in depends_on
        if (known := ledger.jobs.get(job_id)) is not None
    ):
        _cancel_dependents(ledger, [job.job_id, *ledger.dependency_graph.aborted(job.job_id)])
    _inherit(ledger)


def _count_from(ledger: Ledger, job: Job) -> None:
    ended = ledger.dependency_graph.ended
    job.since = max(
        [
            job.submitted,
            *(at for job_id in job.spec.depends_on or [] if (at := ended.get(job_id)) is not None),
        ]
    )


def _ready(ledger: Ledger, job_ids: list[str]) -> None:
    """All that these await is durably done."""
    for job_id in job_ids:
        job = ledger.jobs[job_id]
        job.blocked_on_dependencies = False
        ledger.ready_jobs[job_id] = job
        _count_from(ledger, job)
        log.info("job %s is ready", job_id)
    if job_ids:
        ledger.events.changed()


def _cancel_dependents(ledger: Ledger, job_ids: list[str]) -> None:
    """A job that these need was cancelled, durably: their end follows from that."""
    for job_id in job_ids:
        job = ledger.jobs[job_id]
        job.dependency_cancelled = True
        ledger.ready_jobs.pop(job_id, None)
        ledger.pending_aborts[job_id] = None
        for binding in list(job.bindings.values()):
            ledger.request_stop(binding, 0.0)
    if job_ids:
        log.info("%d jobs end with one that they need: %s", len(job_ids), ", ".join(job_ids[:5]))
        ledger.events.aborts_pending()
        ledger.events.changed()


def ended(ledger: Ledger, job: Job, phase: str, now: float) -> None:
    """A job's outcome is durable: what awaits it is ready, or ends with it."""
    ledger.pending_aborts.pop(job.job_id, None)
    if phase == wire_names.DONE:
        node = ledger.dependency_graph.nodes.get(job.job_id)
        for job_id in node.dependents if node is not None else ():
            ledger.jobs[job_id].accepted_this_term = True  # until now nobody could start it
        _ready(ledger, ledger.dependency_graph.done(job.job_id, now))
    else:
        _cancel_dependents(ledger, ledger.dependency_graph.aborted(job.job_id))
    _inherit(ledger)


def resolve(ledger: Ledger, job_id: str, phase: str, at: float | None, now: float) -> None:
    """What a record says of a job that others await, and that ended before this term.

    ``at`` is the time of day; clocks differ within their bound, so it is no later than now.
    """
    if phase == wire_names.DONE:
        ended = now if at is None else min(now, at - ledger.wall_ahead)
        _ready(ledger, ledger.dependency_graph.done(job_id, ended))
    else:
        _cancel_dependents(ledger, ledger.dependency_graph.aborted(job_id))
    _inherit(ledger)


def _inherit(ledger: Ledger) -> None:
    """Ranks and due times that have changed with the graph."""
    for job_id, node in ledger.dependency_graph.take_moved():
        job = ledger.jobs.get(job_id)
        if job is None:
            continue
        job.due = node.inherited_due
        ledger.bound_by_priority[job.priority] -= len(job.bindings)
        job.priority = node.inherited_priority
        ledger.bound_by_priority[job.priority] += len(job.bindings)


def revise_runs(ledger: Ledger) -> None:
    """Where estimates of run times have moved by more than a tenth, so do due times."""
    for job_class, job_ids in ledger.dependency_graph.job_classes.items():
        factor = ledger.estimates.factor(job_class)
        if abs(factor - ledger.factors.get(job_class, 1.0)) > 0.1 * factor:
            ledger.factors[job_class] = factor
            ledger.dependency_graph.revise(
                (
                    job_id,
                    ledger.estimates.run_s(job_class, ledger.jobs[job_id].spec.estimated_run_s),
                )
                for job_id in job_ids
            )
    _inherit(ledger)
