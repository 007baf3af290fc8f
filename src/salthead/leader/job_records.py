"""The jobs of one term, and their done tasks: read from the state service, and followed there."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from salthead.leader.context import TermContext
from salthead.leader.controller_interface import JobLookup, TerminalOutcome
from salthead.leader.done_task_pages import DoneTaskPages
from salthead.leader.machine_registry import MachineRegistry
from salthead.leader.save_loop import SaveLoop
from salthead.protocol import wire_names
from salthead.protocol.messages import MalformedMessageError, Submission
from salthead.state_store import records
from salthead.state_store.client import RETRYABLE_ERRORS, CompactedError, logged_change
from salthead.transport.client import UnansweredError

# Between looks at what became of awaited jobs.
DEPENDENCY_CHECK_INTERVAL_S = 0.2


class JobRecords:
    """The records of jobs for one term, and what changes of them."""

    def __init__(
        self,
        context: TermContext,
        save_loop: SaveLoop,
        machine_registry: MachineRegistry,
        job_lookup: JobLookup,
        terminal_outcomes: Mapping[str, TerminalOutcome],
    ) -> None:
        self.context = context
        self.ledger = context.ledger
        self.now = context.now
        self.save_loop = save_loop
        self.done_tasks: DoneTaskPages = save_loop.done_tasks
        self.machine_registry = machine_registry
        self.job_lookup = job_lookup
        self.terminal_outcomes = terminal_outcomes
        self.since = 0  # the epoch up to which the records are known
        self.incomplete: dict[str, None] = {}  # jobs whose record is continued, not read in full

    async def load(self) -> None:
        """Read all that earlier leaders left of jobs and machines."""
        list_prefix = self.context.state_store.list_prefix
        jobs, self.since = await list_prefix(records.JOBS)
        done_tasks, _ = await list_prefix(records.DONE_TASKS)
        machines, _ = await list_prefix(records.MACHINE_REGISTRY)
        now = self.now()
        self.done_tasks.clear()
        self.machine_registry.clear()
        # After the jobs: a record and what continues it are written together.
        rows, _ = await list_prefix(records.DEPENDENCIES)
        continuations = {key: value for key, (value, _) in rows.items()}
        for key, (value, revision) in jobs.items():
            self.take_row(key, value, revision, continuations, loading=True)
        self.save_loop.leftovers = {
            key: job_id
            for key in continuations
            if (job_id := key.split("/")[1]) not in self.ledger.jobs
        }
        self.done_tasks.load(
            {key: value for key, (value, _) in done_tasks.items()},
            {key: revision for key, (_, revision) in done_tasks.items()},
        )
        self.machine_registry.load(machines, now)

    def take_row(
        self,
        key: str,
        value: Any,
        revision: int,
        continuations: dict[str, Any] | None = None,
        loading: bool = False,
    ) -> None:
        """A job's record. ``continuations`` has what continues it, if that was read."""
        try:
            spec = records.job_from(value)
            if spec.more:
                if continuations is None:
                    self.incomplete[spec.job_id] = None
                    return
                spec.depends_on = (spec.depends_on or []) + [
                    job_id
                    for n in range(spec.more)
                    for job_id in records.dependencies_from(
                        continuations.get(records.dependencies_key(spec.job_id, n))
                    )
                ]
        except MalformedMessageError as error:
            self.context.log_throttled("job record", f"{key}: {error}")
            return
        # What is loaded is not over, though its outcome may have been derived, and told, before it
        # is written.
        if loading or self._is_news(spec.job_id, revision):
            self.ledger.add_job(
                spec, self.now(), accepted_this_term=revision > self.context.revision
            )

    def add_job(self, spec: Submission, revision: int) -> None:
        """A job whose record this controller has written, with the revision of that write."""
        if self._is_news(spec.job_id, revision):
            self.ledger.add_job(spec, self.now(), accepted_this_term=True)

    def _is_news(self, job_id: str, revision: int) -> bool:
        """Whether a record that an event or an answer brings is of a job that is not over.

        Either may come late. What was written before this term was read when it began: what is not
        in the ledger by that had ended before, though this controller may never have read its
        outcome (a job that an earlier leader had ended was started again by the late answer to its
        submission). Of this term's own outcomes ``finals`` holds many more than are written in the
        time for which an answer is waited for.
        """
        return revision > self.context.revision and job_id not in self.terminal_outcomes

    async def watch_loop(self) -> None:
        """Jobs that any controller accepted."""
        while True:
            try:
                entries, self.since = await self.context.state_store.watch(
                    records.JOBS, self.since, 10.0
                )
                for entry in entries:
                    change = logged_change(entry)
                    if change.key is not None:
                        self.take_row(change.key, change.value, change.revision)
            except CompactedError:
                try:
                    rows, self.since = await self.context.state_store.list_prefix(records.JOBS)
                    for key, (value, revision) in rows.items():
                        self.take_row(key, value, revision)
                except RETRYABLE_ERRORS as error:
                    self.context.log_throttled("job list", error)
                    await self.context.sleep_with_jitter(1.0)
            except RETRYABLE_ERRORS as error:
                self.context.log_throttled("job watch", error)
                await self.context.sleep_with_jitter(0.5)

    async def await_loop(self) -> None:
        """What became of awaited jobs of which this term knows nothing, and long records."""
        while True:
            for job_id in [*self.incomplete, *self.ledger.dependency_graph.unresolved]:
                try:
                    await self.look_up(job_id)
                except RETRYABLE_ERRORS as error:
                    self.context.log_throttled("awaited job", error)
                    await self.context.sleep_with_jitter(0.5)
            await self.context.sleep_with_jitter(DEPENDENCY_CHECK_INTERVAL_S)

    async def look_up(self, job_id: str) -> None:
        """Find out what became of a job that another depends on."""
        unresolved = self.ledger.dependency_graph.unresolved
        found = self.terminal_outcomes.get(job_id)
        if found is None or (found[0] == wire_names.DONE and found[2] is None):
            found = await self.job_lookup.ended(job_id)
        if found is not None:
            self.incomplete.pop(job_id, None)
            if job_id in unresolved:
                self.ledger.resolve_dependency(job_id, found[0], found[2], self.now())
            return
        row = await self.context.state_store.get(records.job_key(job_id))
        if row is None:
            raise UnansweredError(f"no record of {job_id}")
        if job_id not in self.ledger.jobs:
            spec = await self.job_lookup.whole(records.job_from(row.value))
            self.incomplete.pop(job_id, None)
            self.ledger.add_job(
                spec, self.now(), accepted_this_term=row.revision > self.context.revision
            )
