"""Job records of one term: loaded from the state service, then watched for changes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from contextlib import AbstractContextManager
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
from salthead.state_store.messages import (
    RETRYABLE_ERRORS,
    CompactedError,
    LoggedChange,
    VersionedValue,
    decode_logged_change,
)
from salthead.state_store.request_stats import RequestClass
from salthead.transport.client import UnansweredError

DEPENDENCY_CHECK_INTERVAL_S = 0.2
WATCH_TIMEOUT_S = 10.0


def _last_writes(entries: Iterable[Any]) -> list[LoggedChange]:
    """Return the last write of each key that the entries of a change log do not remove again."""
    writes: dict[str, LoggedChange] = {}
    for entry in entries:
        change = decode_logged_change(entry)
        if change.key is not None:
            writes[change.key] = change
        elif change.removed_key is not None:
            writes.pop(change.removed_key, None)
    return list(writes.values())


class JobRecords:
    """Loads the records of earlier terms, and adds to the ledger the jobs accepted since.

    A job can end between a read of its record and the answer. Each read after the load, with what
    it adds, is therefore in a block of ``reading``, and ``add_job`` is the only way into the
    ledger.
    """

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

    # -- records of earlier terms ---------------------------------------------------------

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
        for key, row in jobs.rows.items():
            self._load_job(key, row, continuations)
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

    def _load_job(self, key: str, row: VersionedValue, continuations: Mapping[str, Any]) -> None:
        """Add a job that was listed when the term began.

        It counts as active even if it has a terminal outcome in the cache: an outcome derived from
        a dependency may be reported before it is written.
        """
        spec = self._decode(key, row.value, continuations)
        if spec is not None:
            self.ledger.add_job(
                spec, self.now(), accepted_this_term=row.revision > self.context.revision
            )

    def _decode(
        self, key: str, value: Any, continuations: Mapping[str, Any] | None
    ) -> Submission | None:
        """Decode a job's record with its continuation values.

        Return None for a malformed record, which is logged, and for one with continuation values if
        ``continuations`` is None, since they were not read: ``resolve_loop`` then reads them.
        """
        try:
            spec = records.decode_job(value)
            if not spec.more:
                return spec
            if continuations is None:
                if spec.job_id not in self.ledger.jobs:
                    self.incomplete[spec.job_id] = None
                return None
            return records.with_continuations(spec, continuations)
        except MalformedMessageError as error:
            self.context.log_throttled("job record", f"{key}: {error}")
            return None

    # -- jobs accepted since ----------------------------------------------------------------

    def reading(self) -> AbstractContextManager[None]:
        """Return a context in which records are read, or written by this controller, and added."""
        return self.ledger.job_table.ended_jobs.kept_during_read()

    def add_job(self, spec: Submission, revision: int) -> None:
        """Add a job whose record was written at ``revision``, unless it has ended since.

        Records from before this term were read when it began; a job among them that is not in the
        ledger has ended. One that ended in this term is refused by the ledger.
        """
        if self.ledger.loaded and revision > self.context.revision:
            self.ledger.add_job(spec, self.now(), accepted_this_term=True)

    def _add_record(self, key: str, value: Any, revision: int) -> None:
        spec = self._decode(key, value, None)
        if spec is not None:
            self.add_job(spec, revision)

    async def read_job(self, job_id: str, request_class: RequestClass) -> None:
        """Read the record of a job, and add the job unless it has ended.

        Raises UnansweredError if there is no record.
        """
        with self.reading():
            row = await self.context.state_store.get(records.job_key(job_id), request_class)
            if row is None:
                raise UnansweredError(f"no record of {job_id}")
            if job_id not in self.ledger.jobs:
                spec = await self.job_lookup.read_dependencies(
                    records.decode_job(row.value), request_class
                )
                self.add_job(spec, row.revision)
            self.incomplete.pop(job_id, None)

    async def watch_loop(self) -> None:
        """Add the jobs that any controller accepts, by watching their records."""
        while True:
            try:
                await self._watch()
            except CompactedError:
                try:
                    await self._list()
                except RETRYABLE_ERRORS as error:
                    self.context.log_throttled("job list", error)
                    await self.context.sleep_with_jitter(1.0)
            except RETRYABLE_ERRORS as error:
                self.context.log_throttled("job watch", error)
                await self.context.sleep_with_jitter(0.5)

    async def _watch(self) -> None:
        """Add the jobs written since the known epoch, once there are any."""
        with self.reading():
            entries, self.known_epoch = await self.context.state_store.watch(
                records.JOBS, self.known_epoch, WATCH_TIMEOUT_S
            )
            # A record that is removed again may be of a job that ended before this read.
            for change in _last_writes(entries):
                self._add_record(str(change.key), change.value, change.revision)

    async def _list(self) -> None:
        """Add all jobs that have a record, and watch from there."""
        with self.reading():
            rows, self.known_epoch = await self.context.state_store.list_prefix(
                records.JOBS, RequestClass.LEADER
            )
            for key, (value, revision) in rows.items():
                self._add_record(key, value, revision)

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
        outcome = self.terminal_outcomes.get(job_id)
        if outcome is None or (outcome.phase == wire_names.DONE and outcome.ended_at is None):
            outcome = await self.job_lookup.read_outcome(job_id, RequestClass.LEADER)
        if outcome is None:
            await self.read_job(job_id, RequestClass.LEADER)
            return
        self.incomplete.pop(job_id, None)
        if job_id in self.ledger.dependency_graph.unresolved:
            self.ledger.resolve_dependency(job_id, outcome.phase, outcome.ended_at, self.now())
