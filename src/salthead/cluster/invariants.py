"""Invariants of the ledger, checked at run time.

No decision relies on these checks: one that fails shows a bug elsewhere. The failure is logged with
its evidence and counted, and the start concerned is not sent. In tests it raises.
"""

from __future__ import annotations

import logging
from enum import StrEnum
from typing import Protocol

from salthead import metrics
from salthead.cluster.model import Binding, Job, Machine
from salthead.cluster.resources import EPSILON
from salthead.errors import SaltheadError
from salthead.event_log import event
from salthead.protocol.interning import Interner

log = logging.getLogger(__name__)

AUDIT_INTERVAL_S = 30.0  # time between two audits of the teams' usage
SWEEPS_PER_AUDIT = 60  # sweeps, at two a second, in which each machine is audited once
AUDIT_TOLERANCE = 1e-3  # accumulated rounding errors of many additions and subtractions


class Invariant(StrEnum):
    """An invariant, by its name in logs and metrics."""

    BOUND_ONCE = "bound_once"  # a task is bound to at most one machine
    # No done task is bound, and no task of a job that has ended or is cancelled.
    NOT_TERMINAL = "not_over"
    # At each new start, a team's usage and the unreconciled capacity are within its limit.
    WITHIN_LIMIT = "within_limit"
    START_BOUND = "start_bound"  # a start is sent only for a binding that its job lists
    # A lease is renewed without the records of earlier terms only for a limited time.
    RENEWAL_IN_TIME = "renewal_in_time"
    TOTALS_AGREE = "sums_agree"  # usage of teams and machines is the sum over their tasks


class InvariantBrokenError(SaltheadError, AssertionError):
    """Raised for a broken invariant if ``Invariants.strict`` is set."""


class CheckedLedger(Protocol):
    """The part of a ledger that the checks read."""

    fencing_token: int
    term_started_at: float
    team_names: Interner
    team_limits: list[tuple[float, float]]
    allocated_by_team: list[list[float]]
    jobs: dict[str, Job]
    machines: dict[str, Machine]
    unknown_jobs: set[str]
    loaded: bool
    unloaded_renewals_end_at: float

    def unreconciled_capacity(self) -> tuple[float, float]:
        """Return the CPUs and GPUs that any team's tasks may occupy on unreconciled machines."""


class Invariants:
    """The checks of one ledger."""

    strict = False  # raise on a broken invariant; set by tests

    def __init__(self, ledger: CheckedLedger) -> None:
        self.ledger = ledger
        self.teams_audited_at = ledger.term_started_at
        self.unaudited: list[Machine] = []

    def _report_broken(self, which: Invariant, **evidence: object) -> bool:
        """Log and count a broken invariant; return False."""
        metrics.INVARIANTS_BROKEN.labels(which).inc()
        fencing_token = self.ledger.fencing_token
        event(
            log,
            "invariant_broken",
            logging.ERROR,
            which=which,
            fencing_token=fencing_token,
            **evidence,
        )
        if self.strict:
            raise InvariantBrokenError(f"{which}: {evidence}")
        return False

    def may_bind(self, job: Job, index: int, machine: Machine, granted: bool) -> bool:
        """Check that a task may be bound to a machine.

        ``granted`` means that this leader decided to start the task, so its team's limit applies. A
        task that an earlier leader started is bound even beyond the limit.
        """
        evidence = {"task": f"{job.job_id}/{index}", "machine": machine.name, "granted": granted}
        existing = job.bindings.get(index)
        if existing is not None or (job.job_id, index) in machine.bindings:
            bound_to = existing.machine.name if existing is not None else machine.name
            return self._report_broken(Invariant.BOUND_ONCE, bound_to=bound_to, **evidence)
        if (
            job.terminal_phase
            or job.cancel_requested
            or job.dependency_cancelled
            or job.done[index]
        ):
            done = bool(job.done[index])
            return self._report_broken(
                Invariant.NOT_TERMINAL, terminal_phase=job.terminal_phase, done=done, **evidence
            )
        return not granted or self._within_limit(job, evidence)

    def _within_limit(self, job: Job, evidence: dict[str, object]) -> bool:
        ledger = self.ledger
        silent = ledger.unreconciled_capacity()
        usage, limit = ledger.allocated_by_team[job.team], ledger.team_limits[job.team]
        fits = all(
            not job.request[n] or usage[n] + silent[n] + job.request[n] <= limit[n] + EPSILON * 10
            for n in range(2)
        )
        if fits and not ledger.unknown_jobs:
            return True
        return self._report_broken(
            Invariant.WITHIN_LIMIT,
            team=job.spec.team,
            booked=usage[0],
            silent=silent[0],
            needed=job.request.cpus,
            limit=limit[0],
            unknown_jobs=len(ledger.unknown_jobs),
            **evidence,
        )

    def may_send_start(self, binding: Binding) -> bool:
        """Check that an answer may carry the start of this binding."""
        if binding.rejected:
            return False  # already reported
        job = binding.job
        if job is not None and job.bindings.get(binding.index) is binding:
            return True
        binding.rejected = True
        return self._report_broken(
            Invariant.START_BOUND,
            task=binding.task_id,
            attempt=binding.attempt,
            machine=binding.machine.name,
        )

    def may_renew_lease(self, worker: str, now: float) -> bool:
        """Check that an answer may renew a worker's lease, by what this leader has loaded."""
        ledger = self.ledger
        if ledger.loaded or now < ledger.unloaded_renewals_end_at:
            return True
        return self._report_broken(
            Invariant.RENEWAL_IN_TIME,
            worker=worker,
            at=now,
            until=ledger.unloaded_renewals_end_at,
        )

    def audit(self, now: float) -> None:
        """Compare usage with the sum over tasks: a slice of the machines, and at times all teams.

        An audit of all machines at once would block a leader with a small share of a core for one
        second.
        """
        if not self.unaudited:
            self.unaudited = list(self.ledger.machines.values())
        slice_size = len(self.ledger.machines) // SWEEPS_PER_AUDIT + 1
        for machine in self.unaudited[-slice_size:]:
            self._audit_machine(machine)
        del self.unaudited[-slice_size:]
        if now - self.teams_audited_at >= AUDIT_INTERVAL_S:
            self.teams_audited_at = now
            self._audit_teams()

    def _audit_machine(self, machine: Machine) -> None:
        total = [0.0, 0.0, 0.0]
        for binding in (*machine.bindings.values(), *machine.orphans.values()):
            for n, amount in enumerate(binding.request):
                total[n] += amount
        allocated = machine.allocated
        booked = [allocated.cpus, allocated.gpus, allocated.memory_gb]
        if any(abs(a - b) > AUDIT_TOLERANCE for a, b in zip(total, booked, strict=True)):
            self._report_broken(
                Invariant.TOTALS_AGREE, machine=machine.name, sum=total, booked=booked
            )

    def _audit_teams(self) -> None:
        ledger = self.ledger
        totals = [[0.0, 0.0] for _ in ledger.allocated_by_team]
        for job in ledger.jobs.values():
            for n in range(2):
                totals[job.team][n] += job.request[n] * len(job.bindings)
        for machine in ledger.machines.values():
            for orphan in machine.orphans.values():
                for n in range(2 if orphan.team >= 0 else 0):
                    totals[orphan.team][n] += orphan.request[n]
        for team, (total, usage) in enumerate(zip(totals, ledger.allocated_by_team, strict=True)):
            if any(abs(a - b) > AUDIT_TOLERANCE for a, b in zip(total, usage, strict=True)):
                name = ledger.team_names[team]
                self._report_broken(Invariant.TOTALS_AGREE, team=name, sum=total, booked=usage)
