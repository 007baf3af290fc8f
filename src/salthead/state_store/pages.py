"""Many small items in a few values of the state service.

Each change of a key counts against the service's limit, however small the value. The machine
registry of a few hundred machines and the done tasks of a hundred jobs, written key by key, would
take longer than the fleet takes to boot, and hold up submissions and outcomes meanwhile. Packed
into values of nearly the permitted size, they take a few changes.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from salthead.protocol.messages import MalformedMessageError

# Of a value's permitted size, what is used: the rest is for separators and for growth in place.
FILL_SHARE = 0.8


class PageContent(NamedTuple):
    """The items of a page, and its count of changes at the time."""

    changes: int
    items: dict[str, Any]


PageBatch = dict[int, PageContent]  # by the number of the page


class Pages:
    """Items by name on numbered pages, one page a value. Loading a page twice harms nothing.

    A loaded page may be larger than what is permitted now: it was written before the limit was
    lowered, and can be read, but not be written again. When it changes, it moves items to other
    pages first, or the service would refuse it for ever.
    """

    def __init__(self, prefix: str, value_kb: float) -> None:
        self.prefix = prefix
        self.max_bytes = int(value_kb * 1024 * FILL_SHARE)
        self.pages: dict[int, dict[str, Any]] = {}
        self.sizes: dict[int, int] = {}
        self.page_of: dict[str, int] = {}
        self.changes: dict[int, int] = {}  # of each page, to tell what a write covered
        self.dirty: dict[int, None] = {}  # pages that the service does not have, in order
        # A write names the revision of the page that it replaces: one that was given up on and is
        # carried out late must not put an older page over a newer one.
        self.revisions: dict[int, int] = {}
        # Pages that an item has moved to, by the page that it left: they are written no later.
        self.written_first: dict[int, set[int]] = {}
        self.duplicates: set[str] = set()  # names that were found on more than one page

    @staticmethod
    def _size(name: str, item: Any) -> int:
        try:
            return len(msgspec.json.encode(item)) + len(name) + 6
        except TypeError as error:
            raise MalformedMessageError(f"item {name[:60]!r}") from error

    def load(self, key: str, value: Any, revision: int) -> None:
        """A page as it stands in the service."""
        tail = key.removeprefix(self.prefix)
        if not tail.isdigit() or type(value) is not dict:
            return
        page = int(tail)
        self.revisions[page] = revision
        self.pages[page], self.sizes[page] = {}, 0
        for name, item in value.items():
            other = self.page_of.get(name)
            if other is not None:
                # Moved by a writer that ended before it cleaned up, or written once more by a
                # version that knew of one page only: the page that was written last has it.
                self.duplicates.add(name)
                older = page if self.revisions[other] >= revision else other
                self._write_after(older, page if older == other else other)
                self.changes[older] = self.changes.get(older, 0) + 1
                if older == page:
                    continue
                self._remove(name)
            self._add(page, name, item)

    def _add(self, page: int, name: str, item: Any) -> None:
        self.pages.setdefault(page, {})[name] = item
        self.sizes[page] = self.sizes.get(page, 0) + self._size(name, item)
        self.page_of[name] = page

    def _touch(self, page: int) -> None:
        self.changes[page] = self.changes.get(page, 0) + 1
        self.dirty.setdefault(page)

    def _move_excess(self, page: int) -> None:
        """Move items of a page that is too large for the service to other pages."""
        content = self.pages.get(page, {})
        while self.sizes.get(page, 0) > self.max_bytes and len(content) > 1:
            name = next(iter(content))
            item = content[name]
            self._remove(name)
            other = self._page_for(self._size(name, item))
            self._add(other, name, item)
            self._touch(other)
            self._touch(page)
            self._write_after(page, other)

    def _write_after(self, page: int, other: int) -> None:
        """A page that an item leaves is written after the one that it moves to."""
        self.dirty.pop(page, None)
        self.dirty[page] = None
        self.written_first.setdefault(page, set()).add(other)

    def _page_for(self, size: int) -> int:
        page = next((n for n in self.pages if self.sizes[n] + size <= self.max_bytes), -1)
        return (
            page
            if page >= 0
            else next(n for n in range(len(self.pages) + 1) if n not in self.pages)
        )

    def _remove(self, name: str) -> int:
        page = self.page_of.pop(name)
        self.sizes[page] -= self._size(name, self.pages[page].pop(name))
        return page

    def set(self, name: str, item: Any, after: Iterable[str] = ()) -> None:
        """Set an item. The items ``after`` which it comes take over what it holds no longer."""
        size = self._size(name, item)
        old = self._remove(name) if name in self.page_of else None
        if old is not None and (self.sizes[old] + size <= self.max_bytes or not self.pages[old]):
            page = old
        else:
            page = self._page_for(size)
        self._add(page, name, item)
        self._touch(page)
        if old is not None and old != page:
            self._touch(old)
            self._write_after(old, page)
        for other in after:
            if self.page_of[other] != page:
                self._write_after(page, self.page_of[other])

    def drop(self, name: str) -> None:
        """Remove an item; its page is to be written."""
        if name in self.page_of:
            self._touch(self._remove(name))

    def batch(self, max_pages: int, max_kb: float) -> PageBatch:
        """The next pages to write in one transaction, with their change counts."""
        found: PageBatch = {}
        left = int(max_kb * 1024)
        for page in list(self.dirty):
            self._move_excess(page)
        more = True
        while more:
            more = False
            for page in self.dirty:
                size = self.sizes.get(page, 0)
                if len(found) >= max_pages or (found and left < size):
                    return found
                if page not in found and not self._waits(page, found):
                    found[page] = PageContent(self.changes[page], dict(self.pages.get(page, {})))
                    left -= size
                    more = True
            if not found and self.dirty:
                # Pages that wait for each other: what is between them stands on none for a while.
                page = next(iter(self.dirty))
                self.written_first.pop(page, None)
                more = True
        return found

    def _waits(self, page: int, found: Iterable[int]) -> bool:
        return any(
            other in self.dirty and other not in found for other in self.written_first.get(page, ())
        )

    def key(self, page: int) -> str:
        """The key of a page."""
        return f"{self.prefix}{page:06d}"

    def written(self, batch: PageBatch, revision: int) -> None:
        """These pages were written; what has changed since stays to be written."""
        for page, (change, content) in batch.items():
            self.revisions[page] = revision if content else 0
            for others in self.written_first.values():
                others.discard(page)
            if self.changes[page] == change:
                self.dirty.pop(page, None)
                self.written_first.pop(page, None)
                if not content:
                    self.pages.pop(page, None)
                    self.sizes.pop(page, None)
