"""Reconciliation of the tasks in a heartbeat with the bindings of its machine."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from salthead import metrics
from salthead.cluster.allocations import ReleaseReason
from salthead.cluster.ledger import Ledger
from salthead.cluster.machine_health import mark_unresponsive, record_task_error
from salthead.cluster.model import Binding, Job, Machine
from salthead.cluster.orphans import OrphanKey
from salthead.cluster.recent_starts import TaskKey
from salthead.cluster.start_rules import may_adopt, should_still_run
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

# Commands per answer, which keeps it well under 64 KiB. The others follow in the next answer.
MAX_COMMANDS = 400
# A machine is unresponsive if this many answers carried the same start and none was executed.
MAX_UNEXECUTED_STARTS = 3

MACHINE_REGISTERED = int(Precondition.MACHINE_REGISTERED)
TOKEN_ACCEPTED = int(Precondition.TOKEN_ACCEPTED)
OUTCOME_DURABLE = int(Precondition.OUTCOME_DURABLE)


def commands_for(
    ledger: Ledger, machine: Machine, heartbeat: Heartbeat, now: float, direct: bool
) -> list[Command]:
    """Reconcile the ledger with the tasks of a heartbeat; return the commands that follow."""
    reconciliation = TaskReconciliation(ledger, machine, now)
    reconciliation.process_tasks(heartbeat.tasks)
    reconciliation.release_missing(direct)
    # Place tasks on freed capacity now, so that this answer carries their starts and not the one a
    # heartbeat interval later.
    if machine.has_freed_capacity:
        machine.has_freed_capacity = False
        ledger.events.capacity_freed(machine, now)
    if not direct:
        reconciliation.add_starts()
    return reconciliation.commands[:MAX_COMMANDS]


def stops_of_ended_jobs(ledger: Ledger, heartbeat: Heartbeat) -> list[Command]:
    """Return stops of the listed tasks whose jobs have ended or are cancelled, as far as loaded.

    They go with each answer that renews a lease, also to a heartbeat whose content does not count
    otherwise. A stop names its attempt, so one for an outdated list has no effect.
    """
    if not ledger.loaded:
        return []
    commands: list[Command] = [
        StopCommand(task.task_id, task.attempt, 0.0)
        for task in heartbeat.tasks
        if task.phase != wire_names.EXITED and _job_is_over(ledger, task)
    ]
    return commands[:MAX_COMMANDS]


def _job_is_over(ledger: Ledger, task: TaskStatus) -> bool:
    try:
        job_id, _ = split_task_id(task.task_id)
    except MalformedMessageError:
        return False
    job = ledger.jobs.get(job_id)
    return job is None or bool(
        job.terminal_phase or job.cancel_requested or job.dependency_cancelled
    )


def _record_image(ledger: Ledger, binding: Binding) -> None:
    """Record that the machine of a task that has started has the task's image."""
    spec = binding.job.spec if binding.job else None
    if spec is not None and spec.image:
        machine_type = ledger.machine_types.get(binding.machine.machine_type)
        cache_gb = machine_type.local_gb if machine_type else 0.0
        binding.machine.record_image(spec.image, spec.image_gb, cache_gb)


class TaskReconciliation:
    """Compares the tasks of one heartbeat with the bindings of its machine."""

    def __init__(self, ledger: Ledger, machine: Machine, now: float) -> None:
        self.ledger = ledger
        self.machine = machine
        self.now = now
        self.commands: list[Command] = []
        self.listed: set[TaskKey] = set()  # bound tasks that the heartbeat lists as not exited
        self.listed_orphans: set[OrphanKey] = set()

    def process_tasks(self, tasks: Iterable[TaskStatus]) -> None:
        """Process each task that the heartbeat lists."""
        for task in tasks:
            try:
                key = split_task_id(task.task_id)
            except MalformedMessageError:
                continue
            binding = self.machine.bindings.get(key)
            if binding is not None and binding.attempt != task.attempt:
                binding = None
            if task.phase == wire_names.EXITED:
                self._process_exit(binding, key, task)
                continue
            if binding is None:
                binding = self._adopt(key, task)
            if binding is None:
                self._add_orphan(key, task)
                continue
            self.listed.add(key)
            if binding.phase != task.phase:
                self._update_phase(binding, task.phase)
            if binding.stop_grace_s is not None:
                self._repeat_stop(binding, binding.stop_grace_s, task)

    def release_missing(self, direct: bool) -> None:
        """Release tasks that are certainly not on the machine, as the heartbeat does not list them.

        After a ``direct`` heartbeat, a task that was not listed before may still start.
        """
        for key, binding in list(self.machine.bindings.items()):
            if key in self.listed or self.machine.bindings.get(key) is not binding:
                continue
            if binding.phase:
                self.ledger.allocations.release(binding, self.now, ReleaseReason.NOT_SHOWN)
            elif not direct:
                self._release_unstarted(binding)
        for orphan_key in list(self.machine.orphans):
            if orphan_key not in self.listed_orphans:
                self.ledger.orphans.drop(self.machine, orphan_key)

    def _release_unstarted(self, binding: Binding) -> None:
        # A worker has one heartbeat in flight at a time and drops late answers. A heartbeat that is
        # newer than every answer with the start and does not list the task therefore proves that
        # the task has not started.
        if binding.stop_grace_s is None:
            if binding.start_sends < MAX_UNEXECUTED_STARTS:
                return
            why = f"{binding.start_sends} starts of {binding.task_id} not executed"
            mark_unresponsive(self.ledger, self.machine, self.now, why)
        self.ledger.allocations.release(binding, self.now, ReleaseReason.NEVER_STARTED)

    def add_starts(self) -> None:
        """Add start commands for bound tasks that no heartbeat has listed yet."""
        machine, ledger = self.machine, self.ledger
        held = ledger.confirmed_preconditions()
        held |= MACHINE_REGISTERED if machine.registered else 0
        held |= TOKEN_ACCEPTED if machine.reconciled else 0
        if not permits(Action.START, held):
            return
        for key, binding in machine.bindings.items():
            if binding.phase or binding.stop_grace_s is not None:
                continue
            if len(self.commands) >= MAX_COMMANDS:
                break
            if not should_still_run(binding):
                # The task was reported done elsewhere after it was bound, for example by a gang's
                # earlier attempt. The next heartbeat, which will not list it, releases it.
                ledger.allocations.request_stop(binding, 0.0)
            elif ledger.invariants.may_send_start(binding):
                self._add_start(key, binding)

    def _add_start(self, key: TaskKey, binding: Binding) -> None:
        """Add a start, once an earlier attempt that exited here may be reaped before it."""
        starts = self.machine.recent_starts
        if starts.other_may_be_copied(key, binding.attempt, self.now):
            return
        starts.record(key, binding.attempt, self.now)
        binding.start_sends += 1
        self.commands.append(StartCommand(binding.task_id, binding.attempt))

    # -- running tasks --------------------------------------------------------------------

    def _repeat_stop(self, binding: Binding, grace_s: float, task: TaskStatus) -> None:
        if task.phase != wire_names.FLUSHING or grace_s == 0.0:
            self.commands.append(StopCommand(task.task_id, task.attempt, grace_s))
            binding.stop_sent = True

    def _add_orphan(self, key: TaskKey, task: TaskStatus) -> None:
        orphan_key = (*key, task.attempt)
        self.listed_orphans.add(orphan_key)
        self.ledger.orphans.add(self.machine, orphan_key)
        self.commands.append(StopCommand(task.task_id, task.attempt, 0.0))

    def _update_phase(self, binding: Binding, phase: str) -> None:
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
            _record_image(self.ledger, binding)

    def _adopt(self, key: TaskKey, task: TaskStatus) -> Binding | None:
        """Bind a running task that an earlier leader started; return None if it is an orphan."""
        job_id, index = key
        job = self.ledger.jobs.get(job_id)
        if job is None or not may_adopt(job, index, task):
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

    def _process_exit(self, binding: Binding | None, key: TaskKey, task: TaskStatus) -> None:
        """Process an exited task, and reap it so that later heartbeats do not list it."""
        if binding is not None:
            self._process_bound_exit(binding, task)
        else:
            self._process_unbound_exit(key, task)
        if self._may_reap(key, task):
            self.commands.append(ReapCommand(task.task_id, task.attempt))

    def _process_bound_exit(self, binding: Binding, task: TaskStatus) -> None:
        job, machine, ledger, cause = binding.job, binding.machine, self.ledger, task.cause
        assert job is not None
        if cause == wire_names.DONE:
            self._record_completion(job, binding)
        elif cause == wire_names.ERROR:
            record_task_error(ledger, job, machine, self.now)
        elif cause in (wire_names.FULL, wire_names.IN_USE, wire_names.UNKNOWN):
            event(log, "start_refused", task=task.task_id, machine=machine.name, cause=cause)
            interval_s = ledger.limits.workers.heartbeat_interval_s
            job.error_backoff_until = max(job.error_backoff_until, self.now + interval_s)
        if job.gang and cause == wire_names.HALTED and task.saved:
            # Its checkpoint is saved, and its peers have saved theirs or are about to exit: no work
            # is lost by waiting for them.
            job.failed = True
        ledger.allocations.release(binding, self.now, ReleaseReason.EXITED, cause)

    def _record_completion(self, job: Job, binding: Binding) -> None:
        machine, spec = binding.machine, job.spec
        machine.error_jobs.clear()
        machine.error_until = 0.0
        if binding.started and not job.gang:
            run_s = self.now - binding.started
            self.ledger.estimates.record_run(spec.job_class, spec.estimated_run_s, run_s)
        self.ledger.job_table.mark_done(job, binding.index)

    def _process_unbound_exit(self, key: TaskKey, task: TaskStatus) -> None:
        """Process the exit of a task without a binding; it counts as done if it completed."""
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
        """Return whether to reap an exited task.

        Not while a copy of its start may arrive, which would run it again; if it is done, not
        before its result is durable.
        """
        if self.machine.recent_starts.may_be_copied(key, task.attempt, self.now):
            return False
        if task.cause != wire_names.DONE:
            return True
        job_id, index = key
        job = self.ledger.jobs.get(job_id)
        durable = job is None or bool(job.terminal_phase) or index in job.saved
        return permits(Action.REAP_RESULT, OUTCOME_DURABLE if durable else 0)
