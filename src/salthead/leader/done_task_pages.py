"""The stored pages of done tasks, loaded from earlier terms and saved for the next."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from salthead.cluster.model import Job
from salthead.leader.context import TermContext
from salthead.leader.page_writer import write_pages
from salthead.state_store import records
from salthead.state_store.done_tasks import DoneTaskLayout, parse_item_name
from salthead.state_store.pages import Pages


class DoneTaskPages:
    """The stored record of which tasks of unfinished jobs are done."""

    def __init__(self, context: TermContext) -> None:
        self.context = context
        self.ledger = context.ledger
        self.layout = DoneTaskLayout(context.limits.state.value_kb, context.state_limits.value_kb)
        self.pages = self._empty_pages()

    def _empty_pages(self) -> Pages:
        return Pages(records.DONE_TASKS, self.context.state_limits.value_kb)

    def clear(self) -> None:
        """Discard the pages before they are loaded again."""
        self.pages = self._empty_pages()

    def load(self, pages: dict[str, dict[str, Any]], revisions: dict[str, int]) -> None:
        """Load the done tasks that earlier terms saved, in the layout of any version."""
        to_rewrite = self._load_items(pages, revisions)
        to_rewrite |= {parse_item_name(name)[0] for name in self.pages.duplicates}
        for name in list(self.pages.page_of):
            if parse_item_name(name)[0] not in self.ledger.jobs:
                self.pages.drop(name)
        for job_id in to_rewrite & self.ledger.jobs.keys():
            self._rewrite(self.ledger.jobs[job_id])

    def _load_items(self, pages: dict[str, dict[str, Any]], revisions: dict[str, int]) -> set[str]:
        """Load the items of all pages; return the jobs that have items with another segment size.

        An item holds the done tasks of one segment of a job, or of a part of the segment.
        """
        other_size: set[str] = set()
        for key, content in pages.items():
            self.pages.load(key, content, revisions[key])
            # An item may be on two pages if a writer stopped between writing them. A task that
            # either of them lists is done.
            for name, item in content.items():
                job_id, done = self.layout.decode(name, item)
                job = self.ledger.jobs.get(job_id)
                if job is not None:
                    self.ledger.job_table.load_done(job, done)
                    if not self.layout.has_own_size(item):
                        other_size.add(job_id)
        return other_size

    def _rewrite(self, job: Job) -> None:
        """Replace the items of a job by those of the current layout."""
        self.put(job, [n for n in range(job.spec.task_count) if job.done[n]])
        current_names = set(self.layout.item_names(job.job_id, job.spec.task_count))
        for name in [n for n in self.pages.page_of if parse_item_name(n)[0] == job.job_id]:
            if name not in current_names:
                self.pages.drop(name)

    def put(self, job: Job, changed: Iterable[int]) -> None:
        """Update the items on the pages that hold the changed tasks."""
        layout = self.layout
        item_starts: dict[int, None] = dict.fromkeys(layout.item_start(index) for index in changed)
        prerequisites: list[str] = []
        for start in sorted(item_starts, reverse=True):
            # The stored first item of a segment, whose name every version reads, may still hold the
            # done tasks of the whole segment. It is replaced no earlier than the other items are
            # written; otherwise a leader that stops in between would lose their done tasks.
            end = min(layout.item_end(start), job.spec.task_count)
            name = layout.item_name(job.job_id, start)
            first = start % layout.segment_size == 0
            self.pages.set(
                name,
                layout.encode(start, (n for n in range(start, end) if job.done[n])),
                prerequisites if first else (),
            )
            prerequisites = [] if first else [*prerequisites, name]

    def remove(self, job: Job) -> None:
        """Remove the items of a job that is over from the pages."""
        for name in self.layout.item_names(job.job_id, job.spec.task_count):
            self.pages.drop(name)

    async def save(self) -> None:
        """Write the unsaved done tasks of unfinished jobs."""
        covered: list[tuple[Job, list[int]]] = []
        for job in self.ledger.ready_jobs.values():
            if job.terminal_phase or not job.unsaved:
                continue
            covered.append((job, list(job.unsaved)))
            self.put(job, job.unsaved)
        while self.pages.dirty:
            await write_pages(self.context, self.pages)
        for job, done in covered:
            self.ledger.job_table.mark_saved(job, done)
