"""What the graph of awaited jobs means for the jobs of the ledger."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from salthead.coordination.model import Job
from salthead.protocol import names

if TYPE_CHECKING:
    from salthead.coordination.ledger import Ledger

log = logging.getLogger("salthead.waiting")


def join(ledger: Ledger, job: Job) -> None:
    """Find the job's place among those that wait for others."""
    spec, awaits = job.spec, job.spec.awaits or []
    job.since = job.submitted
    due = (math.inf, math.inf)
    if spec.due_s is not None:
        times = [
            aim.times
            for aim in ledger.limits.objectives
            if aim.kind == "deadline" and aim.breed == spec.breed
        ]
        due = (
            job.submitted + spec.due_s * min(times, default=1.0),
            job.submitted + spec.due_s * max(times, default=1.0),
        )
    ledger.pipelines.add(
        job.uid, awaits, job.rank, spec.breed, ledger.estimates.run_s(spec.breed, spec.guess_s), due
    )
    job.awaiting = bool(ledger.pipelines.nodes[job.uid].open)
    if not job.awaiting:
        ledger.live[job.uid] = job
        _count_from(ledger, job)
    if any(
        known.doomed or known.over == names.ABORTED
        for uid in awaits
        if (known := ledger.jobs.get(uid)) is not None
    ):
        _doom(ledger, [job.uid, *ledger.pipelines.aborted(job.uid)])
    _inherit(ledger)


def _count_from(ledger: Ledger, job: Job) -> None:
    ended = ledger.pipelines.ended
    job.since = max(
        [
            job.submitted,
            *(at for uid in job.spec.awaits or [] if (at := ended.get(uid)) is not None),
        ]
    )


def _ready(ledger: Ledger, uids: list[str]) -> None:
    """All that these await is durably done."""
    for uid in uids:
        job = ledger.jobs[uid]
        job.awaiting = False
        ledger.live[uid] = job
        _count_from(ledger, job)
        log.info("job %s is ready", uid)
    if uids:
        ledger.on_change()


def _doom(ledger: Ledger, uids: list[str]) -> None:
    """A job that these need was cancelled, durably: their end follows from that."""
    for uid in uids:
        job = ledger.jobs[uid]
        job.doomed = True
        ledger.live.pop(uid, None)
        ledger.doomed[uid] = None
        for binding in list(job.bindings.values()):
            ledger.want_stop(binding, 0.0)
    if uids:
        log.info("%d jobs end with one that they need: %s", len(uids), ", ".join(uids[:5]))
        ledger.on_doomed()
        ledger.on_change()


def ended(ledger: Ledger, job: Job, phase: str, now: float) -> None:
    """A job's outcome is durable: what awaits it is ready, or ends with it."""
    ledger.doomed.pop(job.uid, None)
    if phase == names.DONE:
        node = ledger.pipelines.nodes.get(job.uid)
        for uid in node.after if node is not None else ():
            ledger.jobs[uid].fresh = True  # until now nobody could start it
        _ready(ledger, ledger.pipelines.done(job.uid, now))
    else:
        _doom(ledger, ledger.pipelines.aborted(job.uid))
    _inherit(ledger)


def settle(ledger: Ledger, uid: str, phase: str, at: float | None, now: float) -> None:
    """What a record says of a job that others await, and that ended before this term.

    ``at`` is the time of day; clocks differ within their bound, so it is no later than now.
    """
    if phase == names.DONE:
        ended = now if at is None else min(now, at - ledger.wall_ahead)
        _ready(ledger, ledger.pipelines.done(uid, ended))
    else:
        _doom(ledger, ledger.pipelines.aborted(uid))
    _inherit(ledger)


def _inherit(ledger: Ledger) -> None:
    """Ranks and due times that have changed with the graph."""
    for uid, node in ledger.pipelines.take_moved():
        job = ledger.jobs.get(uid)
        if job is None:
            continue
        job.due = node.inherited_due
        ledger.ranks[job.rank] -= len(job.bindings)
        job.rank = node.inherited_rank
        ledger.ranks[job.rank] += len(job.bindings)


def revise_runs(ledger: Ledger) -> None:
    """Where estimates of run times have moved by more than a tenth, so do due times."""
    for breed, uids in ledger.pipelines.breeds.items():
        factor = ledger.estimates.factor(breed)
        if abs(factor - ledger.factors.get(breed, 1.0)) > 0.1 * factor:
            ledger.factors[breed] = factor
            ledger.pipelines.revise(
                (uid, ledger.estimates.run_s(breed, ledger.jobs[uid].spec.guess_s)) for uid in uids
            )
    _inherit(ledger)
