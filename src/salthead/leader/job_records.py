"""The jobs of one term, and their done tasks: read from the state service, and followed there."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from salthead.cluster import dependencies
from salthead.cluster.model import Job
from salthead.event_log import event
from salthead.protocol import wire_names
from salthead.protocol.messages import MalformedMessageError, Submission
from salthead.state_store import records
from salthead.state_store.client import RETRYABLE_ERRORS, CompactedError
from salthead.transport.client import UnansweredError

if TYPE_CHECKING:
    from salthead.leader.term import Term

log = logging.getLogger(__name__)

# Between looks at what became of awaited jobs.
DEPENDENCY_CHECK_INTERVAL_S = 0.2


class JobRecords:
    """The records of jobs for one term, and what changes of them."""

    def __init__(self, term: Term) -> None:
        self.term = term
        self.context = term.context
        self.ledger = term.context.ledger
        self.now = term.context.now
        self.since = 0  # the epoch up to which the records are known
        self.incomplete: dict[str, None] = {}  # jobs whose record is continued, not read in full

    async def load(self) -> None:
        """Read all that earlier leaders left."""
        ledger = self.ledger
        jobs, self.since = await self.context.state_store.list_prefix(records.JOBS)
        parts, _ = await self.context.state_store.list_prefix(records.DONE_TASKS)
        machine_registry, _ = await self.context.state_store.list_prefix(records.MACHINE_REGISTRY)
        now = self.now()
        self.term.pages.parts, self.term.pages.machine_registry = self.term.pages.new_pages()
        # After the jobs: a record and what continues it are written together.
        rows, _ = await self.context.state_store.list_prefix(records.DEPENDENCIES)
        rest = {key: value for key, (value, _) in rows.items()}
        for key, (value, revision) in jobs.items():
            self.take_row(key, value, revision, rest, loading=True)
        self.term.pages.leftovers = {
            key: job_id for key in rest if (job_id := key.split("/")[1]) not in ledger.jobs
        }
        self.load_parts(
            {key: value for key, (value, _) in parts.items()},
            {key: revision for key, (_, revision) in parts.items()},
        )
        for key, (value, revision) in machine_registry.items():
            self.term.pages.machine_registry.load(key, value, revision)
            for name, (machine_type, zone, spot, endpoint) in value.items():
                machine = ledger.add_machine(
                    name, machine_type, zone, bool(spot), now, registered=True
                )
                machine.endpoint = machine.endpoint or str(endpoint or "")
        await self.term.zone_lease_delegations.load()
        ledger.loaded = True
        event(
            log,
            "records_loaded",
            fencing_token=ledger.fencing_token,
            revision=self.since,
            jobs=len(ledger.jobs),
            machines=len(ledger.machines),
            machine_types=len(ledger.machine_types),
            leases_from=ledger.leases.counted_from,
        )

    def load_parts(self, pages: dict[str, dict[str, Any]], revisions: dict[str, int]) -> None:
        """Done tasks as earlier terms saved them, whichever version wrote them."""
        ledger = self.ledger
        again: set[str] = set()
        for key, content in pages.items():
            self.term.pages.parts.load(key, content, revisions[key])
            # A stretch may stand on two pages, if a writer ended between them: what either names
            # is done.
            for name, item in content.items():
                job_id, done = self.term.pages.stretches.read(name, item)
                job = ledger.jobs.get(job_id)
                if job is not None:
                    ledger.load_done(job, done)
                    if not self.term.pages.stretches.own(item):
                        again.add(job_id)
        again |= {records.done_item_from(name)[0] for name in self.term.pages.parts.twice}
        for name in list(self.term.pages.parts.where):
            if records.done_item_from(name)[0] not in ledger.jobs:
                self.term.pages.parts.drop(name)
        for job_id in again & ledger.jobs.keys():
            # Written by another size, or twice: once more, as this version writes it.
            job = ledger.jobs[job_id]
            self.set_parts(job, [n for n in range(job.spec.task_count) if job.done[n]])
            own = set(self.term.pages.stretches.names(job_id, job.spec.task_count))
            for name in [
                n for n in self.term.pages.parts.where if records.done_item_from(n)[0] == job_id
            ]:
                if name not in own:
                    self.term.pages.parts.drop(name)

    def set_parts(self, job: Job, changed: Iterable[int]) -> None:
        """Put the items that hold these tasks on the pages, as they are now."""
        at: dict[int, None] = dict.fromkeys(
            self.term.pages.stretches.base(index) for index in changed
        )
        ahead: list[str] = []
        for base in sorted(at, reverse=True):
            # The first cut of a stretch, whose name every version knows, comes after the others:
            # it may hold them all as yet.
            end = min(self.term.pages.stretches.end(base), job.spec.task_count)
            name = self.term.pages.stretches.name(job.job_id, base)
            first = base % self.term.pages.stretches.size == 0
            self.term.pages.parts.set(
                name,
                self.term.pages.stretches.item(base, (n for n in range(base, end) if job.done[n])),
                ahead if first else (),
            )
            ahead = [] if first else [*ahead, name]

    def take_row(
        self,
        key: str,
        value: Any,
        revision: int,
        rest: dict[str, Any] | None = None,
        loading: bool = False,
    ) -> None:
        """A job's record. ``rest`` has what continues it, if that was read."""
        try:
            spec = records.job_from(value)
            if spec.more:
                if rest is None:
                    self.incomplete[spec.job_id] = None
                    return
                spec.depends_on = (spec.depends_on or []) + [
                    job_id
                    for n in range(spec.more)
                    for job_id in records.dependencies_from(
                        rest.get(records.dependencies_key(spec.job_id, n))
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
        return (
            revision > self.context.revision
            and job_id not in self.term.controller.terminal_outcomes
        )

    async def watch_loop(self) -> None:
        """Jobs that any controller accepted."""
        while True:
            try:
                events, self.since = await self.context.state_store.watch(
                    records.JOBS, self.since, 10.0
                )
                for event in events:
                    if "set" in event:
                        self.take_row(event["set"], event.get("value"), event.get("stamp", 0))
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
        found = self.term.controller.terminal_outcomes.get(job_id)
        if found is None or (found[0] == wire_names.DONE and found[2] is None):
            found = await self.term.controller.job_reader.ended(job_id)
        if found is not None:
            self.incomplete.pop(job_id, None)
            if job_id in unresolved:
                dependencies.resolve(self.ledger, job_id, found[0], found[2], self.now())
            return
        row = await self.context.state_store.get(records.job_key(job_id))
        if row is None:
            raise UnansweredError(f"no record of {job_id}")
        if job_id not in self.ledger.jobs:
            spec = await self.term.controller.job_reader.whole(records.job_from(row.value))
            self.incomplete.pop(job_id, None)
            self.ledger.add_job(
                spec, self.now(), accepted_this_term=row.revision > self.context.revision
            )
