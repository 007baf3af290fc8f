"""Job records of one term: loaded from the state service, then watched for changes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from salthead.leader.context import TermContext
from salthead.leader.controller_interface import JobLookup, ReadRecords
from salthead.leader.done_task_pages import DoneTaskPages
from salthead.leader.machine_registry_records import MachineRegistryRecords
from salthead.leader.save_loop import SaveLoop
from salthead.protocol import wire_names
from salthead.protocol.messages import MalformedMessageError, Submission
from salthead.protocol.terminal_outcome import TerminalOutcome
from salthead.state_store import records
from salthead.state_store.messages import RETRYABLE_ERRORS, CompactedError, decode_logged_change
from salthead.state_store.request_stats import RequestClass
from salthead.transport.client import UnansweredError

DEPENDENCY_CHECK_INTERVAL_S = 0.2
WATCH_TIMEOUT_S = 10.0


class JobRecords:
    """Loads the records of earlier terms, and adds to the ledger the jobs accepted since."""

    def __init__(
        self,
        context: TermContext,
        save_loop: SaveLoop,
        machine_registry: MachineRegistryRecords,
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
        self.known_epoch = 0  # the epoch of the state service up to which changes are known
        # Jobs whose record has continuation values that have not been read.
        self.incomplete: dict[str, None] = {}

    async def load(self, read: ReadRecords) -> None:
        """Load the jobs, done tasks and registered machines of earlier terms."""
        jobs = await read(records.JOBS)
        self.known_epoch = jobs.epoch
        done_tasks = (await read(records.DONE_TASKS)).rows
        machines = (await read(records.MACHINE_REGISTRY)).rows
        now = self.now()
        self.done_tasks.clear()
        self.machine_registry.clear()
        # Read after the jobs: a record and its continuation values are written in one transaction,
        # so none is missing for a job that was listed.
        rows = (await read(records.DEPENDENCIES)).rows
        continuations = {key: value for key, (value, _) in rows.items()}
        for key, (value, revision) in jobs.rows.items():
            self.apply_row(key, value, revision, continuations, loading=True)
        self.save_loop.stale_dependencies = {
            key: job_id
            for key in continuations
            if (job_id := key.split("/")[1]) not in self.ledger.jobs
        }
        self.done_tasks.load(
            {key: value for key, (value, _) in done_tasks.items()},
            {key: revision for key, (_, revision) in done_tasks.items()},
        )
        self.machine_registry.load(machines, now)

    def apply_row(
        self,
        key: str,
        value: Any,
        revision: int,
        continuations: dict[str, Any] | None = None,
        loading: bool = False,
    ) -> None:
        """Add the job of a record to the ledger unless it is over.

        ``continuations`` has the continuation values by key, or is None if they were not read.
        """
        try:
            spec = self._decode(value, continuations)
        except MalformedMessageError as error:
            self.context.log_throttled("job record", f"{key}: {error}")
            return
        if spec is None:
            return
        # A job whose record is loaded counts as active even if it has a terminal outcome in the
        # cache: an outcome derived from a dependency may be reported before it is written.
        if loading or self._is_active(spec.job_id, revision):
            self.ledger.add_job(
                spec, self.now(), accepted_this_term=revision > self.context.revision
            )

    def _decode(self, value: Any, continuations: Mapping[str, Any] | None) -> Submission | None:
        """Decode a job's record with its continuation values.

        Return None, and mark the job as incomplete, if it has continuation values that were not
        read. Raises MalformedMessageError if a value is malformed or missing.
        """
        spec = records.decode_job(value)
        if not spec.more:
            return spec
        if continuations is None:
            self.incomplete[spec.job_id] = None
            return None
        continued = [
            job_id
            for n in range(spec.more)
            for job_id in records.decode_dependencies(
                continuations.get(records.dependencies_key(spec.job_id, n))
            )
        ]
        spec.depends_on = (spec.depends_on or []) + continued
        return spec

    def add_job(self, spec: Submission, revision: int) -> None:
        """Add a job whose record this controller has written at ``revision``."""
        if self._is_active(spec.job_id, revision):
            self.ledger.add_job(spec, self.now(), accepted_this_term=True)

    def _is_active(self, job_id: str, revision: int) -> bool:
        """Return whether a record from a watch event or a late answer is of a job that is not over.

        Records from before this term were read when it began; a job among them that is not in the
        ledger has ended, though this controller may not have read its outcome. Without this check
        the late answer to a submission started a job again that an earlier leader had ended.
        ``terminal_outcomes`` holds many more outcomes of this term than are written within the
        timeout of an answer.
        """
        return revision > self.context.revision and job_id not in self.terminal_outcomes

    async def watch_loop(self) -> None:
        """Add the jobs that any controller accepts, by watching their records."""
        while True:
            try:
                entries, self.known_epoch = await self.context.state_store.watch(
                    records.JOBS, self.known_epoch, WATCH_TIMEOUT_S
                )
                for entry in entries:
                    change = decode_logged_change(entry)
                    if change.key is not None:
                        self.apply_row(change.key, change.value, change.revision)
            except CompactedError:
                try:
                    rows, self.known_epoch = await self.context.state_store.list_prefix(
                        records.JOBS, RequestClass.LEADER
                    )
                    for key, (value, revision) in rows.items():
                        self.apply_row(key, value, revision)
                except RETRYABLE_ERRORS as error:
                    self.context.log_throttled("job list", error)
                    await self.context.sleep_with_jitter(1.0)
            except RETRYABLE_ERRORS as error:
                self.context.log_throttled("job watch", error)
                await self.context.sleep_with_jitter(0.5)

    async def resolve_loop(self) -> None:
        """Resolve dependencies that the ledger does not know, and read incomplete records."""
        while True:
            for job_id in [*self.incomplete, *self.ledger.dependency_graph.unresolved]:
                try:
                    await self.resolve(job_id)
                except RETRYABLE_ERRORS as error:
                    self.context.log_throttled("awaited job", error)
                    await self.context.sleep_with_jitter(0.5)
            await self.context.sleep_with_jitter(DEPENDENCY_CHECK_INTERVAL_S)

    async def resolve(self, job_id: str) -> None:
        """Resolve a dependency to its outcome, or read the record of a job that is not over.

        Raises UnansweredError if the job has neither an outcome nor a record.
        """
        unresolved = self.ledger.dependency_graph.unresolved
        outcome = self.terminal_outcomes.get(job_id)
        if outcome is None or (outcome.phase == wire_names.DONE and outcome.ended_at is None):
            outcome = await self.job_lookup.read_outcome(job_id, RequestClass.LEADER)
        if outcome is not None:
            self.incomplete.pop(job_id, None)
            if job_id in unresolved:
                self.ledger.resolve_dependency(job_id, outcome.phase, outcome.ended_at, self.now())
            return
        row = await self.context.state_store.get(records.job_key(job_id), RequestClass.LEADER)
        if row is None:
            raise UnansweredError(f"no record of {job_id}")
        if job_id not in self.ledger.jobs:
            spec = await self.job_lookup.read_dependencies(
                records.decode_job(row.value), RequestClass.LEADER
            )
            self.incomplete.pop(job_id, None)
            self.ledger.add_job(
                spec, self.now(), accepted_this_term=row.revision > self.context.revision
            )
