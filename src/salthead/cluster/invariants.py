"""What must hold of a ledger whatever happens, checked while it runs.

Decisions are made elsewhere and never rest on these checks. One that fails shows a fault in them:
it is logged with its evidence, counted, and the start concerned is not sent. In tests it raises.
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

AUDIT_INTERVAL_S = 30.0  # between sums over the bookings of teams
SWEEPS_PER_AUDIT = 60  # looks, two a second, in which each machine is looked at once
AUDIT_TOLERANCE = 1e-3  # what rounding may add up to over many bookings


class Invariant(StrEnum):
    """What must hold."""

    BOUND_ONCE = "bound_once"  # a task has one machine at the most
    NOT_TERMINAL = (
        "not_over"  # nothing of a job that is over or cancelled, nor a done task, is bound
    )
    WITHIN_LIMIT = "within_limit"  # bookings and silent room are within the limit at each grant
    START_BOUND = "start_bound"  # no start is sent of what its job does not know to be there
    TOTALS_AGREE = "sums_agree"  # bookings of teams and machines are the sums of what is bound


class InvariantBrokenError(SaltheadError, AssertionError):
    """Raised instead of logged where ``Invariants.strict`` is set."""


class CheckedLedger(Protocol):
    """What the checks read of a ledger."""

    fencing_token: int
    term_started_at: float
    team_names: Interner
    team_limits: list[tuple[float, float]]
    usage: list[list[float]]
    jobs: dict[str, Job]
    machines: dict[str, Machine]
    unknown_jobs: set[str]

    def unreconciled_capacity(self) -> tuple[float, float]:
        """CPUs and GPUs that tasks of any team may be taking on unreconciled machines."""


class Invariants:
    """The checks of one ledger."""

    strict = False  # set by tests

    def __init__(self, ledger: CheckedLedger) -> None:
        self.ledger = ledger
        self.teams_audited_at = ledger.term_started_at
        self.unaudited: list[Machine] = []

    def _broken(self, which: Invariant, **evidence: object) -> bool:
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
        """Before a task is bound. ``granted``: by a decision of this leader to start it.

        What an earlier leader started is bound as it is found, whatever the limit.
        """
        found = {"task": f"{job.job_id}/{index}", "machine": machine.name, "granted": granted}
        before = job.bindings.get(index)
        if before is not None or (job.job_id, index) in machine.bindings:
            there = before.machine.name if before is not None else machine.name
            return self._broken(Invariant.BOUND_ONCE, bound_to=there, **found)
        if (
            job.terminal_phase
            or job.cancel_requested
            or job.dependency_cancelled
            or job.done[index]
        ):
            done = bool(job.done[index])
            return self._broken(
                Invariant.NOT_TERMINAL, terminal_phase=job.terminal_phase, done=done, **found
            )
        return not granted or self._within_limit(job, found)

    def _within_limit(self, job: Job, found: dict[str, object]) -> bool:
        ledger = self.ledger
        silent = ledger.unreconciled_capacity()
        usage, most = ledger.usage[job.team], ledger.team_limits[job.team]
        fits = all(
            not job.request[n] or usage[n] + silent[n] + job.request[n] <= most[n] + EPSILON * 10
            for n in range(2)
        )
        if fits and not ledger.unknown_jobs:
            return True
        return self._broken(
            Invariant.WITHIN_LIMIT,
            team=job.spec.team,
            booked=usage[0],
            silent=silent[0],
            needed=job.request.cpus,
            limit=most[0],
            unknown_jobs=len(ledger.unknown_jobs),
            **found,
        )

    def may_send_start(self, binding: Binding) -> bool:
        """Before an answer carries a start."""
        if binding.rejected:
            return False  # logged when it was bound, or when its start was refused before
        job = binding.job
        if job is not None and job.bindings.get(binding.index) is binding:
            return True
        binding.rejected = True
        return self._broken(
            Invariant.START_BOUND,
            task=binding.task_id,
            attempt=binding.attempt,
            machine=binding.machine.name,
        )

    def audit(self, now: float) -> None:
        """Compare bookings with their sums: a part of the machines each time, teams now and then.

        All machines at once would hold a leader with a small share of a core up for a second.
        """
        if not self.unaudited:
            self.unaudited = list(self.ledger.machines.values())
        part = len(self.ledger.machines) // SWEEPS_PER_AUDIT + 1
        for machine in self.unaudited[-part:]:
            self._audit_machine(machine)
        del self.unaudited[-part:]
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
            self._broken(Invariant.TOTALS_AGREE, machine=machine.name, sum=total, booked=booked)

    def _audit_teams(self) -> None:
        ledger = self.ledger
        totals = [[0.0, 0.0] for _ in ledger.usage]
        for job in ledger.jobs.values():
            for n in range(2):
                totals[job.team][n] += job.request[n] * len(job.bindings)
        for machine in ledger.machines.values():
            for orphan in machine.orphans.values():
                for n in range(2 if orphan.team >= 0 else 0):
                    totals[orphan.team][n] += orphan.request[n]
        for team, (total, usage) in enumerate(zip(totals, ledger.usage, strict=True)):
            if any(abs(a - b) > AUDIT_TOLERANCE for a, b in zip(total, usage, strict=True)):
                name = ledger.team_names[team]
                self._broken(Invariant.TOTALS_AGREE, team=name, sum=total, booked=usage)
