"""Packing of many small items into a few values of the state service.

Each changed key counts against the service's rate limit, however small its value. Written key by
key, the registry of a few hundred machines and the done tasks of a hundred jobs would take longer
than the fleet takes to boot, and would delay submissions and outcomes meanwhile. Packed into values
of nearly the permitted size, they take a few changes.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple, TypeVar

import msgspec

from salthead.protocol.messages import MalformedMessageError

Item = TypeVar("Item")


def batches(items: Sequence[Item], max_size: int) -> Iterator[Sequence[Item]]:
    """Yield the items in batches of at most ``max_size``."""
    for offset in range(0, len(items), max_size):
        yield items[offset : offset + max_size]


# Share of a value's permitted size that is filled; the rest is for separators and growth in place.
FILL_SHARE = 0.8


class PageContent(NamedTuple):
    """The items of a page, and the page's change count when they were copied."""

    change_count: int
    items: dict[str, Any]


PageBatch = dict[int, PageContent]  # by page number


class Pages:
    """Named items on numbered pages, each of which is one stored value.

    A page may be loaded only once: to read the pages again, create a new object.

    A loaded page may exceed the permitted size if it was written before the limit was lowered. It
    can be read, but the service would refuse every write of it, so when it changes, items are moved
    to other pages first.
    """

    def __init__(self, prefix: str, value_kb: float) -> None:
        self.prefix = prefix
        self.max_bytes = int(value_kb * 1024 * FILL_SHARE)
        self.pages: dict[int, dict[str, Any]] = {}
        self.sizes: dict[int, int] = {}
        self.page_of: dict[str, int] = {}
        # By page: how often it has changed, to find out whether it changed during a write.
        self.change_counts: dict[int, int] = {}
        self.dirty: dict[int, None] = {}  # pages to be written, in order
        # By page: the revision that a write replaces, so that a request that timed out here but is
        # executed late can't overwrite a newer page.
        self.revisions: dict[int, int] = {}
        # By page that items have left: the pages that they moved to, which are written in the same
        # transaction or earlier.
        self.prerequisites: dict[int, set[int]] = {}
        self.duplicates: set[str] = set()  # names that were loaded from more than one page

    @staticmethod
    def _encoded_bytes(name: str, item: Any) -> int:
        """Return the number of bytes that an item takes in the JSON text of its page.

        Raises MalformedMessageError if the item can't be encoded.
        """
        try:
            # 6 for the quotes around the name, and for the separators ": " and ", ".
            return len(msgspec.json.encode(item)) + len(name) + 6
        except TypeError as error:
            raise MalformedMessageError(f"item {name[:60]!r}") from error

    def load(self, key: str, value: Any, revision: int) -> None:
        """Load a stored page, or ignore a key or value that is not of a page."""
        tail = key.removeprefix(self.prefix)
        if not tail.isdigit() or type(value) is not dict:
            return
        page = int(tail)
        self.revisions[page] = revision
        self.pages[page], self.sizes[page] = {}, 0
        for name, item in value.items():
            other = self.page_of.get(name)
            if other is not None:
                # A writer moved the item and stopped before it wrote the old page, or an earlier
                # version, which knows of one page only, wrote it again. The page that was written
                # last holds the item.
                self.duplicates.add(name)
                older = page if self.revisions[other] >= revision else other
                self._write_after(older, page if older == other else other)
                self.change_counts[older] = self.change_counts.get(older, 0) + 1
                if older == page:
                    continue
                self._remove(name)
            self._add(page, name, item)

    def _add(self, page: int, name: str, item: Any) -> None:
        self.pages.setdefault(page, {})[name] = item
        self.sizes[page] = self.sizes.get(page, 0) + self._encoded_bytes(name, item)
        self.page_of[name] = page

    def _mark_dirty(self, page: int) -> None:
        self.change_counts[page] = self.change_counts.get(page, 0) + 1
        self.dirty.setdefault(page)

    def _move_excess(self, page: int) -> None:
        """Move items to other pages until the page has the permitted size."""
        content = self.pages.get(page, {})
        while self.sizes.get(page, 0) > self.max_bytes and len(content) > 1:
            name = next(iter(content))
            item = content[name]
            self._remove(name)
            other = self._page_for(self._encoded_bytes(name, item))
            self._add(other, name, item)
            self._mark_dirty(other)
            self._mark_dirty(page)
            self._write_after(page, other)

    def _write_after(self, page: int, other: int) -> None:
        """Mark a page dirty, to be written no earlier than the page that its item moves to."""
        self.dirty.pop(page, None)
        self.dirty[page] = None
        self.prerequisites.setdefault(page, set()).add(other)

    def _page_for(self, size: int) -> int:
        page = next((n for n in self.pages if self.sizes[n] + size <= self.max_bytes), -1)
        return (
            page
            if page >= 0
            else next(n for n in range(len(self.pages) + 1) if n not in self.pages)
        )

    def _remove(self, name: str) -> int:
        page = self.page_of.pop(name)
        self.sizes[page] -= self._encoded_bytes(name, self.pages[page].pop(name))
        return page

    def set(self, name: str, item: Any, after: Iterable[str] = ()) -> None:
        """Set an item; its page is written no earlier than the pages of the items ``after``.

        Those items have taken over content that this one no longer holds.
        """
        size = self._encoded_bytes(name, item)
        old = self._remove(name) if name in self.page_of else None
        if old is not None and (self.sizes[old] + size <= self.max_bytes or not self.pages[old]):
            page = old
        else:
            page = self._page_for(size)
        self._add(page, name, item)
        self._mark_dirty(page)
        if old is not None and old != page:
            self._mark_dirty(old)
            self._write_after(old, page)
        for other in after:
            if self.page_of[other] != page:
                self._write_after(page, self.page_of[other])

    def drop(self, name: str) -> None:
        """Remove an item and mark its page dirty."""
        if name in self.page_of:
            self._mark_dirty(self._remove(name))

    def batch(self, max_pages: int, max_kb: float) -> PageBatch:
        """Return the next pages to write in one transaction, with their change counts."""
        batch: PageBatch = {}
        bytes_left = int(max_kb * 1024)
        for page in list(self.dirty):
            self._move_excess(page)
        progress = True
        while progress:
            progress = False
            for page in self.dirty:
                size = self.sizes.get(page, 0)
                if len(batch) >= max_pages or (batch and bytes_left < size):
                    return batch
                if page not in batch and not self._must_wait(page, batch):
                    items = dict(self.pages.get(page, {}))
                    batch[page] = PageContent(self.change_counts[page], items)
                    bytes_left -= size
                    progress = True
            if not batch and self.dirty:
                # Pages wait for each other in a cycle. To break it, one is written first, and the
                # items that move between them are on no stored page until the next write.
                page = next(iter(self.dirty))
                self.prerequisites.pop(page, None)
                progress = True
        return batch

    def _must_wait(self, page: int, batch: Iterable[int]) -> bool:
        """Return whether a page that must be written first is dirty and not in the batch."""
        return any(
            other in self.dirty and other not in batch for other in self.prerequisites.get(page, ())
        )

    def key(self, page: int) -> str:
        """Return the key of a page."""
        return f"{self.prefix}{page:06d}"

    def written(self, batch: PageBatch, revision: int) -> None:
        """Mark the pages of a batch as written; those that have changed since stay dirty."""
        for page, (change_count, items) in batch.items():
            self.revisions[page] = revision if items else 0
            for others in self.prerequisites.values():
                others.discard(page)
            if self.change_counts[page] == change_count:
                self.dirty.pop(page, None)
                self.prerequisites.pop(page, None)
                if not items:
                    self.pages.pop(page, None)
                    self.sizes.pop(page, None)
