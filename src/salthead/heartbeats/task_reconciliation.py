"""What the tasks that a heartbeat shows change in the ledger, and the commands that answer it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from salthead import metrics
from salthead.cluster import orphans
from salthead.cluster.machine_health import errored, mark_unresponsive
from salthead.cluster.model import Binding, Machine, ReleaseReason
from salthead.cluster.start_rules import wanted
from salthead.event_log import event
from salthead.failure_detection.preconditions import Action, Precondition, permits
from salthead.protocol import wire_names
from salthead.protocol.messages import (
    Command,
    Heartbeat,
    MalformedMessageError,
    ReapCommand,
    StartCommand,
    StopCommand,
    TaskStatus,
    split_task_id,
)

if TYPE_CHECKING:
    from salthead.cluster.ledger import Ledger

log = logging.getLogger(__name__)

# Keeps an answer to a worker well under 64 KiB; the rest follows in the next answer.
MAX_COMMANDS = 400
# Answers with the same start of which none was executed, before a machine is unresponsive.
MAX_UNEXECUTED_STARTS = 3

TaskKey = tuple[str, int]  # job and task number

MACHINE_REGISTERED, TOKEN_ACCEPTED = (
    int(Precondition.MACHINE_REGISTERED),
    int(Precondition.TOKEN_ACCEPTED),
)
OUTCOME_DURABLE = int(Precondition.OUTCOME_DURABLE)


def commands_for(
    ledger: Ledger, machine: Machine, heartbeat: Heartbeat, now: float, direct: bool
) -> list[Command]:
    """Bring the ledger in line with the tasks that a heartbeat shows, and say what is to be
    done."""
    commands, seen, seen_orphans = _take_tasks(ledger, machine, heartbeat, now)
    _release_missing(ledger, machine, seen, now, direct)
    for orphan_key in list(machine.orphans):
        if orphan_key not in seen_orphans:
            orphans.drop(ledger, machine, orphan_key)
    # Room that this heartbeat freed is filled by this answer, not a heartbeat period later.
    if machine.has_freed_capacity:
        machine.has_freed_capacity = False
        ledger.events.room_freed(machine, now)
    if not direct:
        commands += _starts(ledger, machine, MAX_COMMANDS - len(commands))
    return commands[:MAX_COMMANDS]


def _take_tasks(
    ledger: Ledger, machine: Machine, heartbeat: Heartbeat, now: float
) -> tuple[list[Command], set[TaskKey], set[orphans.OrphanKey]]:
    """Orders for the tasks that a heartbeat shows; those that are bound to the machine, and orphan
    tasks."""
    commands: list[Command] = []
    seen: set[TaskKey] = set()
    seen_orphans: set[orphans.OrphanKey] = set()
    for task in heartbeat.tasks:
        try:
            job_id, index = split_task_id(task.task_id)
        except MalformedMessageError:
            continue
        key = (job_id, index)
        binding = machine.bindings.get(key)
        if binding is not None and binding.attempt != task.attempt:
            binding = None
        if task.phase == wire_names.EXITED:
            commands += _take_exit(ledger, binding, job_id, index, task, now)
            continue
        if binding is None:
            binding = _adopt(ledger, machine, job_id, index, task, now)
        if binding is None:
            orphan_key = (job_id, index, task.attempt)
            seen_orphans.add(orphan_key)
            orphans.add(ledger, machine, orphan_key)
            commands.append(StopCommand(task.task_id, task.attempt, 0.0))
            continue
        seen.add(key)
        if binding.phase != task.phase:
            _new_phase(ledger, binding, task.phase, now)
        if binding.stop_grace_s is not None and (
            task.phase != wire_names.FLUSHING or binding.stop_grace_s == 0.0
        ):
            commands.append(StopCommand(task.task_id, task.attempt, binding.stop_grace_s))
            binding.stop_sent = True
    return commands, seen, seen_orphans


def _take_exit(
    ledger: Ledger, binding: Binding | None, job_id: str, index: int, task: TaskStatus, now: float
) -> list[Command]:
    """A task that has exited, and the order that removes it from the heartbeats."""
    if binding is not None:
        _exited(ledger, binding, task, now)
    else:
        _late_exit(ledger, job_id, index, task, now)
    if _may_reap(ledger, job_id, index, task):
        return [ReapCommand(task.task_id, task.attempt)]
    return []


def _new_phase(ledger: Ledger, binding: Binding, phase: str, now: float) -> None:
    hooks = ledger.zone_hooks
    if (
        hooks is not None
        and binding.phase in ("", wire_names.FETCHING)
        and phase != wire_names.FETCHING
    ):
        hooks.started(binding, now)
    if phase == wire_names.RUNNING and binding.job is not None:
        binding.started = now
        if binding.job.first_start is None:
            binding.job.first_start = now
    binding.phase = phase
    _image_seen(ledger, binding)


def _release_missing(
    ledger: Ledger, machine: Machine, seen: set[TaskKey], now: float, direct: bool
) -> None:
    """Release what is bound to the machine, not shown by its heartbeat, and so certainly not
    there."""
    for key, binding in list(machine.bindings.items()):
        if key in seen or machine.bindings.get(key) is not binding:
            continue
        if binding.phase:
            ledger.release(binding, now, ReleaseReason.NOT_SHOWN)
        elif direct:
            continue
        elif binding.stop_grace_s is not None or binding.start_sends >= MAX_UNEXECUTED_STARTS:
            # One heartbeat is in flight at a time and late answers are dropped, so a heartbeat
            # without the task, newer than the answers that ordered it, is proof.
            if binding.stop_grace_s is None:
                mark_unresponsive(
                    ledger,
                    machine,
                    now,
                    f"{binding.start_sends} starts of {binding.task_id} unheard",
                )
            ledger.release(binding, now, ReleaseReason.NEVER_STARTED)


def _starts(ledger: Ledger, machine: Machine, most: int) -> list[Command]:
    """Starts for what is bound to the machine and not seen on it yet."""
    commands: list[Command] = []
    held = ledger.confirmed_preconditions()
    held |= (MACHINE_REGISTERED if machine.registered else 0) | (
        TOKEN_ACCEPTED if machine.reconciled else 0
    )
    if not permits(Action.START, held):
        return commands
    for binding in machine.bindings.values():
        if binding.phase or binding.stop_grace_s is not None or len(commands) >= most:
            continue
        if not wanted(binding):
            # Since it was bound its task was found done elsewhere, as one of a gang whose earlier
            # attempt had completed: released by the next heartbeat, which does not show it.
            ledger.request_stop(binding, 0.0)
        elif ledger.invariants.may_send_start(binding):
            binding.start_sends += 1
            commands.append(StartCommand(binding.task_id, binding.attempt))
    return commands


def _image_seen(ledger: Ledger, binding: Binding) -> None:
    spec = binding.job.spec if binding.job else None
    if (
        spec is not None
        and spec.image
        and binding.phase in (wire_names.RUNNING, wire_names.GATHERING)
    ):
        machine_type = ledger.machine_types.get(binding.machine.machine_type)
        binding.machine.has_image(
            spec.image, spec.image_gb, machine_type.local_gb if machine_type else 0.0
        )


def _adopt(
    ledger: Ledger, machine: Machine, job_id: str, index: int, task: TaskStatus, now: float
) -> Binding | None:
    """A task found on a machine that no binding explains: an earlier term started it."""
    job = ledger.jobs.get(job_id)
    if (
        job is None
        or job.terminal_phase
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
    metrics.TASKS_ADOPTED.inc()
    event(
        log,
        "task_adopted",
        task=task.task_id,
        attempt=task.attempt,
        machine=machine.name,
        incarnation=machine.incarnation,
        phase=task.phase,
        fencing_token=ledger.fencing_token,
    )
    return binding


def _exited(ledger: Ledger, binding: Binding, task: TaskStatus, now: float) -> None:
    job, machine = binding.job, binding.machine
    assert job is not None
    cause = task.cause
    if cause == wire_names.DONE:
        machine.error_jobs.clear()
        machine.error_until = 0.0
        if binding.started and not job.gang:
            ledger.estimates.learn(
                job.spec.job_class, job.spec.estimated_run_s, now - binding.started
            )
        ledger.mark_done(job, binding.index)
    elif cause == wire_names.ERROR:
        errored(ledger, job, machine, now)
    elif cause in (wire_names.FULL, wire_names.IN_USE, wire_names.UNKNOWN):
        log.info("start of %s refused by %s: %s", task.task_id, machine.name, cause)
        job.wait_until = max(job.wait_until, now + ledger.limits.workers.heartbeat_interval_s)
    if job.gang and cause == wire_names.HALTED and task.saved:
        # Saved: the others have saved too or are about to exit, nothing is lost by waiting.
        job.failed = True
    ledger.release(binding, now, ReleaseReason.EXITED, cause)


def _late_exit(ledger: Ledger, job_id: str, index: int, task: TaskStatus, now: float) -> None:
    """An exit that no binding explains: done is done, whoever started it."""
    job = ledger.jobs.get(job_id)
    if job is None or job.terminal_phase or not 0 <= index < job.spec.task_count:
        return
    if task.cause == wire_names.DONE and not job.done[index]:
        ledger.mark_done(job, index)
        other = job.bindings.get(index)
        if other is not None:
            ledger.request_stop(other, 0.0)


def _may_reap(ledger: Ledger, job_id: str, index: int, task: TaskStatus) -> bool:
    """Done tasks are reaped once that is durable, all others at once."""
    if task.cause != wire_names.DONE:
        return True
    job = ledger.jobs.get(job_id)
    durable = job is None or bool(job.terminal_phase) or index in job.saved
    return permits(Action.REAP_RESULT, OUTCOME_DURABLE if durable else 0)
