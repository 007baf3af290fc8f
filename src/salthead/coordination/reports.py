"""What a worker's report changes in the ledger, and the orders that answer it."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Any

from salthead.coordination import strays
from salthead.coordination.model import BOOTING, LOST, UP, Binding, Job, Machine
from salthead.evidence.gate import Action, Fact, lacking, permits
from salthead.protocol import names
from salthead.protocol.messages import (
    Malformed,
    Report,
    TaskReport,
    reap_order,
    split_task_id,
    start_order,
    stop_order,
)

if TYPE_CHECKING:
    from salthead.coordination.ledger import Ledger

log = logging.getLogger("salthead.reports")

# Keeps an answer to a worker well under 64 KiB; the rest follows in the next answer.
MAX_ORDERS = 400
# Errors of different jobs in a row, with nothing completed between, that condemn a machine.
SICK_ERRORS = 2
# A job that fails on this many machines and completes nowhere is taken to be at fault itself.
JOB_AT_FAULT = 3
ERROR_PAUSE_S, ERROR_MOST_S = 5.0, 30.0
# Answers with the same start of which none was executed, before a machine is unresponsive.
UNHEARD_ANSWERS = 3

TaskKey = tuple[str, int]  # job and task number

JOBS_KNOWN, MACHINE_THERE = int(Fact.JOBS_KNOWN), int(Fact.MACHINE_THERE)
SESSION_OPEN, ANSWERS_HEARD = int(Fact.SESSION_OPEN), int(Fact.ANSWERS_HEARD)
IN_ROSTER, TOKEN_ACCEPTED = int(Fact.IN_ROSTER), int(Fact.TOKEN_ACCEPTED)
OUTCOME_DURABLE = int(Fact.OUTCOME_DURABLE)


def handle(
    ledger: Ledger,
    report: Report,
    now: float,
    direct: bool = False,
) -> list[dict[str, Any]] | None:
    """Orders for the worker, or None when the report must not be answered with 200.

    A ``direct`` report is the answer to a call of ours. It renews no lease and carries no
    orders back, and it may have been made while an answer with starts was under way, so
    what it does not show may still begin.
    """
    machine = ledger.machines.get(report.worker)
    # Made after an answer of this term was accepted: a report of an earlier term, or of
    # before the worker's first answer, may be a copy that comes late.
    current = report.fencing_token == ledger.token
    if (
        machine is not None
        and machine.unchanged
        and not machine.freed
        and current
        and not direct
        and report.tasks == machine.shown
        and report.session == machine.session
        and report.sequence > machine.sequence
        and machine.joined
        and report.warning_s is None
        and machine.warn_at is None
        and not ledger.deposed_by
    ):
        # Nearly all reports of a busy fleet are like this: all that an answer requires holds, as at
        # the last one, nothing is new and nothing is wanted. Inlined from what follows, since at
        # 570 machines half of what a leader did for reports was to find that out.
        links = machine.links
        if report.sequence == links.answered_sequence + 1 and ledger.other_controllers:
            links.answers_at = links.answered_at
            links.unheard_answers = 0
        links.answered_session, links.answered_sequence = report.session, report.sequence
        links.answered_at = links.reports_at = machine.answered = machine.heard = now
        machine.sequence = report.sequence
        if ledger.zone_hooks is not None:
            ledger.zone_hooks.heard(machine)
        if ledger.shared_silence is not None:
            ledger.shared_silence.heard(machine)
        return []
    if report.fencing_token > ledger.token:
        ledger.deposed_by = max(ledger.deposed_by, report.fencing_token)
    if machine is not None and not direct:
        _note_answers(ledger, machine, report, current, now)
    missing = lacking(
        Action.ANSWER_REPORT, _answer_facts(ledger, machine, report, current or direct, now)
    )
    if missing:
        ledger.withheld.note(Action.ANSWER_REPORT, missing, now)
        return None
    if machine is None:
        if not current or not ledger.loaded:
            # The worker is told the token and reports again under it. Nothing is noted: a
            # machine that an earlier leader returned looks just like this in a late copy, and
            # one that is not in the roster was never started anything.
            return []
        machine = ledger.add_machine(
            report.worker, report.machine_type, report.zone, report.spot, now
        )
        log.info("machine %s reports unexpectedly", machine.name)
    if not direct:
        machine.answered = now
        machine.links.answered(report.session, report.sequence, now)
    newer = (report.session, report.sequence) > (machine.session, machine.sequence)
    if not newer or not ledger.loaded:
        # Not loaded: keep the worker alive, look at its tasks next time.
        return []
    if not current:
        # Its tasks may be those of long ago: an exit reaped since, a task that is elsewhere
        # now. A machine that comes up may enter the roster meanwhile.
        machine.seen = True
        machine.endpoint = machine.endpoint or report.endpoint
        return []
    _take_in(ledger, machine, report, now)
    if machine.unchanged and not machine.freed and report.tasks == machine.shown:
        return []  # nothing is new, and nothing is wanted
    orders = _orders(ledger, machine, report, now, direct)
    machine.shown = report.tasks
    machine.unchanged = (
        not orders
        and not machine.strays
        and all(binding.phase and binding.stop is None for binding in machine.bindings.values())
        and all(task.phase != names.EXITED for task in report.tasks)
    )
    return orders


def _note_answers(
    ledger: Ledger, machine: Machine, report: Report, current: bool, now: float
) -> None:
    """What a worker's own report shows of the answers to those before it."""
    lost = machine.links.report_came(
        report.session, report.sequence, current, ledger.other_controllers, now
    )
    if lost and not machine.joined and ledger.shared_silence is not None:
        # None of our answers renewed its lease, nor will one of them. Counted from the last of
        # them, deaf machines held up a takeover for two leases (33 s and 46 s of 15 s and 21 s).
        machine.answered = -math.inf


def _answer_facts(
    ledger: Ledger, machine: Machine | None, report: Report, heeds: bool, now: float
) -> int:
    """What is confirmed about a worker whose report asks for an answer.

    ``heeds``: it has shown this term's token, or it answers a call of ours.
    """
    held = ledger.facts()
    if now - ledger.took_over <= ledger.blind_s:
        # Which jobs were cancelled may not be known here yet. In an outage of the state service
        # that may go on for longer than their tasks may be kept alive by answers.
        held |= JOBS_KNOWN
    if report.worker not in ledger.recently_gone:
        held |= MACHINE_THERE
    if machine is None:
        return held | SESSION_OPEN | ANSWERS_HEARD
    if report.session >= machine.min_session:
        held |= SESSION_OPEN
    if heeds or machine.joined or _may_hear(ledger, machine, now):
        held |= ANSWERS_HEARD
    return held


def _may_hear(ledger: Ledger, machine: Machine, now: float) -> bool:
    """Whether a worker that has not shown the token may hear the answer to this report.

    Its lease has to be counted from some last answer, or it would hold up a takeover: one that
    still does not know the token after a whole lease gets no more, nor one that neither answers
    nor direct calls reach. Such calls are repeated, and one that is answered ends that.
    """
    machine.first_answered_at = min(machine.first_answered_at, now)
    if ledger.shared_silence is not None and machine.links.unreachable():
        return False
    return now - machine.first_answered_at <= ledger.limits.workers.lease_s


def _take_in(ledger: Ledger, machine: Machine, report: Report, now: float) -> None:
    """News of a machine, its tasks aside."""
    if report.session > machine.session and machine.session > 0:
        _new_session(ledger, machine, report, now)
    if machine.phase in (BOOTING, LOST):
        _came_up(ledger, machine, now)
    machine.session, machine.sequence = report.session, report.sequence
    machine.heard = now
    if ledger.zone_hooks is not None:
        ledger.zone_hooks.heard(machine)
    if ledger.shared_silence is not None:
        ledger.shared_silence.heard(machine)
    if not machine.joined:
        machine.joined = True
        machine.freed = True
        ledger.on_change()
    warned = None if report.warning_s is None else now + report.warning_s
    if warned is not None and machine.warn_at is None:
        log.info("machine %s will be taken in %.1f s", machine.name, report.warning_s)
    machine.warn_at = warned
    if report.endpoint:
        machine.endpoint = report.endpoint


def _new_session(ledger: Ledger, machine: Machine, report: Report, now: float) -> None:
    """The worker's lease has ended, and with it all that it ran."""
    log.info("machine %s: session %d", machine.name, report.session)
    if machine.joined and now - machine.heard < 0.5 * ledger.limits.workers.lease_s:
        why = "its lease ended though its reports were answered"
        _mark_unresponsive(ledger, machine, now, why)
    ledger.lose_tasks(machine, now, f"{machine.name} lost its lease")


def _came_up(ledger: Ledger, machine: Machine, now: float) -> None:
    log.info("machine %s up, %.1f s after its hire", machine.name, now - machine.hired_at)
    ledger.set_phase(machine, UP)
    machine.freed = True
    ledger.on_change()


def _orders(
    ledger: Ledger, machine: Machine, report: Report, now: float, direct: bool
) -> list[dict[str, Any]]:
    """Bring the ledger in line with the tasks that a report shows, and say what is to be done."""
    orders, seen, seen_strays = _take_tasks(ledger, machine, report, now)
    _release_missing(ledger, machine, seen, now, direct)
    for stray_key in list(machine.strays):
        if stray_key not in seen_strays:
            strays.drop(ledger, machine, stray_key)
    # Room that this report freed is filled by this answer, not a report period later.
    if machine.freed:
        machine.freed = False
        ledger.on_room(machine, now)
    if not direct:
        orders += _starts(ledger, machine, MAX_ORDERS - len(orders))
    return orders[:MAX_ORDERS]


def _take_tasks(
    ledger: Ledger, machine: Machine, report: Report, now: float
) -> tuple[list[dict[str, Any]], set[TaskKey], set[strays.StrayKey]]:
    """Orders for the tasks that a report shows; those that are bound to the machine, and strays."""
    orders: list[dict[str, Any]] = []
    seen: set[TaskKey] = set()
    seen_strays: set[strays.StrayKey] = set()
    for task in report.tasks:
        try:
            job_id, index = split_task_id(task.task_id)
        except Malformed:
            continue
        key = (job_id, index)
        binding = machine.bindings.get(key)
        if binding is not None and binding.attempt != task.attempt:
            binding = None
        if task.phase == names.EXITED:
            if binding is not None:
                _exited(ledger, binding, task, now)
            else:
                _late_exit(ledger, job_id, index, task, now)
            if _may_reap(ledger, job_id, index, task):
                orders.append(reap_order(task.task_id, task.attempt))
            continue
        if binding is None:
            binding = _adopt(ledger, machine, job_id, index, task, now)
        if binding is None:
            stray_key = (job_id, index, task.attempt)
            seen_strays.add(stray_key)
            strays.add(ledger, machine, stray_key)
            orders.append(stop_order(task.task_id, task.attempt, 0.0))
            continue
        seen.add(key)
        if binding.phase != task.phase:
            _new_phase(ledger, binding, task.phase, now)
        if binding.stop is not None and (task.phase != names.FLUSHING or binding.stop == 0.0):
            orders.append(stop_order(task.task_id, task.attempt, binding.stop))
            binding.stop_sent = True
    return orders, seen, seen_strays


def _new_phase(ledger: Ledger, binding: Binding, phase: str, now: float) -> None:
    hooks = ledger.zone_hooks
    if hooks is not None and binding.phase in ("", names.FETCHING) and phase != names.FETCHING:
        hooks.started(binding, now)
    if phase == names.RUNNING and binding.job is not None:
        binding.started = now
        if binding.job.first_start is None:
            binding.job.first_start = now
    binding.phase = phase
    _image_seen(ledger, binding)


def _release_missing(
    ledger: Ledger, machine: Machine, seen: set[TaskKey], now: float, direct: bool
) -> None:
    """Release what is bound to the machine, not shown by its report, and so certainly not there."""
    for key, binding in list(machine.bindings.items()):
        if key in seen or machine.bindings.get(key) is not binding:
            continue
        if binding.phase:
            ledger.release(binding, now, f"not on {machine.name} any more")
        elif direct:
            continue
        elif binding.stop is not None or binding.start_sends >= UNHEARD_ANSWERS:
            # One report is in flight at a time and late answers are dropped, so a report
            # without the task, newer than the answers that ordered it, is proof.
            if binding.stop is None:
                _mark_unresponsive(
                    ledger,
                    machine,
                    now,
                    f"{binding.start_sends} starts of {binding.task_id} unheard",
                )
            ledger.release(binding, now, "never started")


def _starts(ledger: Ledger, machine: Machine, most: int) -> list[dict[str, Any]]:
    """Starts for what is bound to the machine and not seen on it yet."""
    orders: list[dict[str, Any]] = []
    held = ledger.facts()
    held |= (IN_ROSTER if machine.rostered else 0) | (TOKEN_ACCEPTED if machine.joined else 0)
    if not permits(Action.START, held):
        return orders
    for binding in machine.bindings.values():
        if not binding.phase and binding.stop is None and len(orders) < most:
            binding.start_sends += 1
            orders.append(start_order(binding.task_id, binding.attempt))
    return orders


def _mark_unresponsive(ledger: Ledger, machine: Machine, now: float, why: str) -> None:
    """Its reports arrive, but answers do not reach it: it gets no work until one does."""
    if machine.unresponsive_since is None:
        log.info("machine %s is unresponsive: %s", machine.name, why)
        machine.unresponsive_since = now
        machine.unresponsive_times += 1
        ledger.on_change()


def mark_responsive(ledger: Ledger, machine: Machine, now: float) -> None:
    """An unresponsive machine answered a call: it is tried again after a growing pause."""
    if machine.unresponsive_since is not None:
        log.info("machine %s responds again", machine.name)
        machine.unresponsive_since = None
        machine.trusted_again_at = (
            now
            + min(  # bounded, or jobs that it fits would wait for minutes
                ledger.limits.workers.report_s * 2.0**machine.unresponsive_times,
                ledger.limits.workers.lease_s,
            )
        )
        machine.freed = True


def _image_seen(ledger: Ledger, binding: Binding) -> None:
    spec = binding.job.spec if binding.job else None
    if spec is not None and spec.image and binding.phase in (names.RUNNING, names.GATHERING):
        machine_type = ledger.machine_types.get(binding.machine.machine_type)
        binding.machine.has_image(
            spec.image, spec.image_gb, machine_type.local_gb if machine_type else 0.0
        )


def _adopt(
    ledger: Ledger, machine: Machine, job_id: str, index: int, task: TaskReport, now: float
) -> Binding | None:
    """A task found on a machine that no binding explains: an earlier term started it."""
    job = ledger.jobs.get(job_id)
    if (
        job is None
        or job.over
        or job.dependency_cancelled
        or job.cancel_requested
        or (not 0 <= index < job.spec.task_count)
    ):
        return None
    if job.done[index] or index in job.bindings:
        return None
    if job.gang:
        if job.failed or (job.bindings and job.attempt != task.attempt):
            return None
        job.attempt = task.attempt
    binding = ledger.bind(job, index, machine, task.attempt, now)
    log.info("adopted %s attempt %d on %s", task.task_id, task.attempt, machine.name)
    return binding


def _exited(ledger: Ledger, binding: Binding, task: TaskReport, now: float) -> None:
    job, machine = binding.job, binding.machine
    assert job is not None
    cause = task.cause
    if cause == names.DONE:
        machine.error_jobs.clear()
        machine.error_until = 0.0
        if binding.started and not job.gang:
            ledger.estimates.learn(
                job.spec.job_class, job.spec.estimated_run_s, now - binding.started
            )
        ledger.mark_done(job, binding.index)
    elif cause == names.ERROR:
        errored(ledger, job, machine, now)
    elif cause in (names.FULL, names.IN_USE, names.UNKNOWN):
        log.info("start of %s refused by %s: %s", task.task_id, machine.name, cause)
        job.wait_until = max(job.wait_until, now + ledger.limits.workers.report_s)
    if job.gang and cause == names.HALTED and task.saved:
        # Saved: the others have saved too or are about to exit, nothing is lost by waiting.
        job.failed = True
    ledger.release(binding, now, f"{task.task_id} exited: {cause}")


def errored(ledger: Ledger, job: Job, machine: Machine, now: float) -> None:
    """Tell a sick machine from a job that fails everywhere."""
    if ledger.zone_hooks is not None:
        ledger.zone_hooks.failed(machine)
    job.error_machines.add(machine.name)
    machine.error_jobs.add(job.job_id)
    machine.error_until = now + min(ERROR_MOST_S, ERROR_PAUSE_S * len(machine.error_jobs))
    job.wait_until = max(job.wait_until, now + min(30.0, 1.0 * len(job.error_machines)))
    blamed = [
        job_id
        for job_id in machine.error_jobs
        if (other := ledger.jobs.get(job_id)) is None
        or other.n_done > 0
        or len(other.error_machines) < JOB_AT_FAULT
    ]
    log.info(
        "task of %s failed on %s (%d jobs failed there)",
        job.job_id,
        machine.name,
        len(machine.error_jobs),
    )
    if len(blamed) >= SICK_ERRORS and not machine.condemned:
        machine.condemned = "fails its tasks"


def _late_exit(ledger: Ledger, job_id: str, index: int, task: TaskReport, now: float) -> None:
    """An exit that no binding explains: done is done, whoever started it."""
    job = ledger.jobs.get(job_id)
    if job is None or job.over or not 0 <= index < job.spec.task_count:
        return
    if task.cause == names.DONE and not job.done[index]:
        ledger.mark_done(job, index)
        other = job.bindings.get(index)
        if other is not None:
            ledger.want_stop(other, 0.0)


def _may_reap(ledger: Ledger, job_id: str, index: int, task: TaskReport) -> bool:
    """Done tasks are reaped once that is durable, all others at once."""
    if task.cause != names.DONE:
        return True
    job = ledger.jobs.get(job_id)
    durable = job is None or bool(job.over) or index in job.saved
    return permits(Action.REAP_RESULT, OUTCOME_DURABLE if durable else 0)
