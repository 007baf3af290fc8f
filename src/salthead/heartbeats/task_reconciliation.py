"""What the tasks that a heartbeat shows change in the ledger, and the commands that answer it."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from salthead import metrics
from salthead.cluster.ledger import Ledger
from salthead.cluster.machine_health import mark_unresponsive, record_task_error
from salthead.cluster.model import Binding, Job, Machine, ReleaseReason
from salthead.cluster.orphans import OrphanKey
from salthead.cluster.start_rules import should_still_run
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

log = logging.getLogger(__name__)

# Keeps an answer to a worker well under 64 KiB; the rest follows in the next answer.
MAX_COMMANDS = 400
# Answers with the same start of which none was executed, before a machine is unresponsive.
MAX_UNEXECUTED_STARTS = 3

TaskKey = tuple[str, int]  # job and task number

MACHINE_REGISTERED = int(Precondition.MACHINE_REGISTERED)
TOKEN_ACCEPTED = int(Precondition.TOKEN_ACCEPTED)
OUTCOME_DURABLE = int(Precondition.OUTCOME_DURABLE)


def commands_for(
    ledger: Ledger, machine: Machine, heartbeat: Heartbeat, now: float, direct: bool
) -> list[Command]:
    """Bring the ledger in line with the tasks that a heartbeat shows; the commands that follow."""
    found = TaskReconciliation(ledger, machine, now)
    found.take_tasks(heartbeat.tasks)
    found.release_missing(direct)
    # Room that this heartbeat freed is filled by this answer, not a heartbeat period later.
    if machine.has_freed_capacity:
        machine.has_freed_capacity = False
        ledger.events.room_freed(machine, now)
    if not direct:
        found.send_starts()
    return found.commands[:MAX_COMMANDS]


class TaskReconciliation:
    """The tasks of one heartbeat against what is bound to its machine."""

    def __init__(self, ledger: Ledger, machine: Machine, now: float) -> None:
        self.ledger = ledger
        self.machine = machine
        self.now = now
        self.commands: list[Command] = []
        self.seen: set[TaskKey] = set()  # shown, and bound to the machine
        self.seen_orphans: set[OrphanKey] = set()

    def take_tasks(self, tasks: Iterable[TaskStatus]) -> None:
        """Take in each task that the heartbeat shows."""
        for task in tasks:
            try:
                key = split_task_id(task.task_id)
            except MalformedMessageError:
                continue
            binding = self.machine.bindings.get(key)
            if binding is not None and binding.attempt != task.attempt:
                binding = None
            if task.phase == wire_names.EXITED:
                self._take_exit(binding, key, task)
                continue
            if binding is None:
                binding = self._adopt(key, task)
            if binding is None:
                self._take_orphan(key, task)
                continue
            self.seen.add(key)
            if binding.phase != task.phase:
                self._take_phase(binding, task.phase)
            if binding.stop_grace_s is not None:
                self._repeat_stop(binding, binding.stop_grace_s, task)

    def release_missing(self, direct: bool) -> None:
        """Release what the heartbeat does not show, and what is therefore certainly not there."""
        for key, binding in list(self.machine.bindings.items()):
            if key in self.seen or self.machine.bindings.get(key) is not binding:
                continue
            if binding.phase:
                self.ledger.allocations.release(binding, self.now, ReleaseReason.NOT_SHOWN)
            elif not direct:
                self._release_unstarted(binding)
        for orphan_key in list(self.machine.orphans):
            if orphan_key not in self.seen_orphans:
                self.ledger.orphans.drop(self.machine, orphan_key)

    def _release_unstarted(self, binding: Binding) -> None:
        # One heartbeat is in flight at a time and late answers are dropped, so a heartbeat without
        # the task, newer than the answers that ordered it, is proof.
        if binding.stop_grace_s is None:
            if binding.start_sends < MAX_UNEXECUTED_STARTS:
                return
            why = f"{binding.start_sends} starts of {binding.task_id} not executed"
            mark_unresponsive(self.ledger, self.machine, self.now, why)
        self.ledger.allocations.release(binding, self.now, ReleaseReason.NEVER_STARTED)

    def send_starts(self) -> None:
        """Starts for what is bound to the machine and not seen on it yet."""
        machine, ledger = self.machine, self.ledger
        held = ledger.confirmed_preconditions()
        held |= MACHINE_REGISTERED if machine.registered else 0
        held |= TOKEN_ACCEPTED if machine.reconciled else 0
        if not permits(Action.START, held):
            return
        for binding in machine.bindings.values():
            if binding.phase or binding.stop_grace_s is not None:
                continue
            if len(self.commands) >= MAX_COMMANDS:
                break
            if not should_still_run(binding):
                # Since it was bound its task was found done elsewhere, as one of a gang whose
                # earlier attempt had completed: the next heartbeat, without it, releases it.
                ledger.allocations.request_stop(binding, 0.0)
            elif ledger.invariants.may_send_start(binding):
                binding.start_sends += 1
                self.commands.append(StartCommand(binding.task_id, binding.attempt))

    # -- one task -------------------------------------------------------------------------

    def _repeat_stop(self, binding: Binding, grace_s: float, task: TaskStatus) -> None:
        if task.phase != wire_names.FLUSHING or grace_s == 0.0:
            self.commands.append(StopCommand(task.task_id, task.attempt, grace_s))
            binding.stop_sent = True

    def _take_orphan(self, key: TaskKey, task: TaskStatus) -> None:
        orphan_key = (*key, task.attempt)
        self.seen_orphans.add(orphan_key)
        self.ledger.orphans.add(self.machine, orphan_key)
        self.commands.append(StopCommand(task.task_id, task.attempt, 0.0))

    def _take_phase(self, binding: Binding, phase: str) -> None:
        hooks = self.ledger.zone_hooks
        if (
            hooks is not None
            and binding.phase in ("", wire_names.FETCHING)
            and phase != wire_names.FETCHING
        ):
            hooks.started(binding, self.now)
        if phase == wire_names.RUNNING and binding.job is not None:
            binding.started = self.now
            if binding.job.first_start is None:
                binding.job.first_start = self.now
        binding.phase = phase
        if phase in (wire_names.RUNNING, wire_names.GATHERING):
            self._image_seen(binding)

    def _image_seen(self, binding: Binding) -> None:
        spec = binding.job.spec if binding.job else None
        if spec is not None and spec.image:
            machine_type = self.ledger.machine_types.get(binding.machine.machine_type)
            cache_gb = machine_type.local_gb if machine_type else 0.0
            binding.machine.has_image(spec.image, spec.image_gb, cache_gb)

    def _adopt(self, key: TaskKey, task: TaskStatus) -> Binding | None:
        """Bind a task that no binding explains, since an earlier term started it; None for an
        orphan."""
        job_id, index = key
        job = self.ledger.jobs.get(job_id)
        if job is None or not _may_adopt(job, index, task):
            return None
        if job.gang:
            job.attempt = task.attempt
        machine, ledger = self.machine, self.ledger
        binding = ledger.allocations.bind(job, index, machine, task.attempt, self.now)
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

    # -- exits ----------------------------------------------------------------------------

    def _take_exit(self, binding: Binding | None, key: TaskKey, task: TaskStatus) -> None:
        """A task that has exited, and the command that removes it from the heartbeats."""
        if binding is not None:
            self._exited(binding, task)
        else:
            self._late_exit(key, task)
        if self._may_reap(key, task):
            self.commands.append(ReapCommand(task.task_id, task.attempt))

    def _exited(self, binding: Binding, task: TaskStatus) -> None:
        job, machine, ledger, cause = binding.job, binding.machine, self.ledger, task.cause
        assert job is not None
        if cause == wire_names.DONE:
            self._completed(job, binding)
        elif cause == wire_names.ERROR:
            record_task_error(ledger, job, machine, self.now)
        elif cause in (wire_names.FULL, wire_names.IN_USE, wire_names.UNKNOWN):
            event(log, "start_refused", task=task.task_id, machine=machine.name, cause=cause)
            interval_s = ledger.limits.workers.heartbeat_interval_s
            job.wait_until = max(job.wait_until, self.now + interval_s)
        if job.gang and cause == wire_names.HALTED and task.saved:
            # Saved: the others have saved too or are about to exit, nothing is lost by waiting.
            job.failed = True
        ledger.allocations.release(binding, self.now, ReleaseReason.EXITED, cause)

    def _completed(self, job: Job, binding: Binding) -> None:
        machine, spec = binding.machine, job.spec
        machine.error_jobs.clear()
        machine.error_until = 0.0
        if binding.started and not job.gang:
            run_s = self.now - binding.started
            self.ledger.estimates.record_run(spec.job_class, spec.estimated_run_s, run_s)
        self.ledger.job_table.mark_done(job, binding.index)

    def _late_exit(self, key: TaskKey, task: TaskStatus) -> None:
        """An exit that no binding explains: done is done, whoever started it."""
        job_id, index = key
        job = self.ledger.jobs.get(job_id)
        if job is None or job.terminal_phase or not 0 <= index < job.spec.task_count:
            return
        if task.cause == wire_names.DONE and not job.done[index]:
            self.ledger.job_table.mark_done(job, index)
            other = job.bindings.get(index)
            if other is not None:
                self.ledger.allocations.request_stop(other, 0.0)

    def _may_reap(self, key: TaskKey, task: TaskStatus) -> bool:
        """Done tasks are reaped once that is durable, all others at once."""
        if task.cause != wire_names.DONE:
            return True
        job_id, index = key
        job = self.ledger.jobs.get(job_id)
        durable = job is None or bool(job.terminal_phase) or index in job.saved
        return permits(Action.REAP_RESULT, OUTCOME_DURABLE if durable else 0)


def _may_adopt(job: Job, index: int, task: TaskStatus) -> bool:
    """Whether a task that is found running may be the job's, and may go on."""
    if (
        job.terminal_phase
        or job.dependency_cancelled
        or job.cancel_requested
        or not 0 <= index < job.spec.task_count
    ):
        return False
    if job.done[index] or index in job.bindings:
        return False
    return not job.gang or not (job.failed or (job.bindings and job.attempt != task.attempt))
