"""What one term keeps on pages in the state service: done tasks, and the machine registry of
machines."""

from __future__ import annotations

import contextlib
from itertools import islice
from typing import TYPE_CHECKING, Any

from salthead.cluster.model import UP, Job
from salthead.state_store import records
from salthead.state_store.client import RETRYABLE_ERRORS, ConflictError, delete, put
from salthead.state_store.pages import Pages

if TYPE_CHECKING:
    from salthead.leader.term import Term

# Tasks of an unfinished job are saved at most this often; their ends are kept by the worker.
SAVE_INTERVAL_S = 2.0
BATCH_KB = 56.0  # of a transaction's 64 KiB


class SavedPages:
    """The loops that bring the pages in the state service in line with the ledger."""

    def __init__(self, term: Term) -> None:
        self.term = term
        self.context = term.context
        self.stretches = records.Stretches(
            term.context.limits.state.value_kb, term.context.state_limits.value_kb
        )
        self.parts, self.machine_registry = self.new_pages()
        self.registry_write_due_at = -1e9
        self.leftovers: dict[str, str] = {}  # keys that continue records of jobs that are over

    def new_pages(self) -> tuple[Pages, Pages]:
        """Empty pages of done tasks and of the machine registry."""
        kb = self.context.state_limits.value_kb
        return Pages(records.DONE_TASKS, kb), Pages(records.MACHINE_REGISTRY, kb)

    def tidy(self, job: Job) -> None:
        """What else is kept of a job that is over goes, when there is time for it."""
        for name in self.stretches.names(job.job_id, job.spec.task_count):
            self.parts.drop(name)
        self.leftovers |= {
            records.dependencies_key(job.job_id, n): job.job_id for n in range(job.spec.more)
        }

    async def save_loop(self) -> None:
        """Done tasks of jobs that go on; outcomes do not wait for these."""
        while True:
            await self.context.sleep_with_jitter(SAVE_INTERVAL_S)
            try:
                await self.clear_leftovers()
                await self.save_parts()
            except (ConflictError, *RETRYABLE_ERRORS) as error:
                self.context.log_throttled("save", error)
                await self.context.sleep_with_jitter(0.5)

    async def save_parts(self) -> None:
        """Write the done tasks of jobs that go on."""
        covered: list[tuple[Job, list[int]]] = []
        for job in self.context.ledger.ready_jobs.values():
            if job.terminal_phase or not job.unsaved:
                continue
            covered.append((job, list(job.unsaved)))
            self.term.job_records.set_parts(job, job.unsaved)
        while self.parts.dirty:
            await self.write_pages(self.parts)
        for job, done in covered:
            self.context.ledger.saved(job, done)

    async def clear_leftovers(self) -> None:
        """Drop what continued the records of jobs that are over."""
        while self.leftovers:
            keys = list(islice(self.leftovers, self.context.state_limits.txn_ops))
            # On condition that there is no such job: it may have been accepted since the list was
            # read, or its record may have come late.
            with contextlib.suppress(ConflictError):
                await self.context.transaction(
                    {records.job_key(self.leftovers[key]): 0 for key in keys},
                    [delete(key) for key in keys],
                    bulk=True,
                )
            for key in keys:
                del self.leftovers[key]

    async def write_pages(self, pages: Pages) -> dict[int, tuple[int, dict[str, Any]]]:
        """One transaction of what the service lacks of these pages."""
        batch = pages.batch(self.context.state_limits.txn_ops, BATCH_KB)
        if batch:
            try:
                revision = await self.context.transaction(
                    {pages.key(page): pages.revisions.get(page, 0) for page in batch},
                    [
                        put(pages.key(page), content) if content else delete(pages.key(page))
                        for page, (_, content) in batch.items()
                    ],
                    bulk=True,
                )
            except ConflictError:
                # An earlier try took effect after all; what it wrote is replaced.
                for page in batch:
                    row = await self.context.state_store.get(pages.key(page))
                    pages.revisions[page] = row.revision if row is not None else 0
                raise
            pages.written(batch, revision)
        return batch

    async def registry_loop(self) -> None:
        """A machine is in the machine registry, durably, before the first start is sent to it."""
        while True:
            ledger = self.context.ledger
            for machine in ledger.unregistered:
                if machine.phase == UP or machine.seen_in_earlier_term:
                    self.machine_registry.set(
                        machine.name,
                        [
                            ledger.type_names[machine.machine_type],
                            ledger.zones[machine.zone],
                            machine.spot,
                            machine.endpoint,
                        ],
                    )
            # Those that are gone wait for the next one to come, or for a while.
            fresh = any(
                self.machine_registry.where.get(machine.name) in self.machine_registry.dirty
                for machine in ledger.unregistered
            )
            if fresh or (
                self.machine_registry.dirty and self.context.now() >= self.registry_write_due_at
            ):
                try:
                    batch = await self.write_pages(self.machine_registry)
                    self.registry_write_due_at = self.context.now() + SAVE_INTERVAL_S
                    for _, content in batch.values():
                        for name in content:
                            found = ledger.machines.get(name)
                            if found is not None and not found.registered:
                                ledger.mark_registered(found)
                                found.has_freed_capacity = True
                    self.term.wake()
                except (ConflictError, *RETRYABLE_ERRORS) as error:
                    self.context.log_throttled("roster", error)
            await self.context.sleep_with_jitter(0.1)
