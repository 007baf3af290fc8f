"""Many small items in a few values of the state service.

Each change of a key counts against the service's limit, however small the value. The roster of a
few hundred machines and the done tasks of a hundred jobs, written key by key, would take longer
than the fleet takes to boot, and hold up submissions and outcomes meanwhile. Packed into values
of nearly the permitted size, they take a few changes.
"""

from __future__ import annotations

from typing import Any

import msgspec

# Of a value's permitted size, what is used: the rest is for separators and for growth in place.
FILL = 0.8


class Pages:
    """Items by name on numbered pages, one page a value. Loading a page twice harms nothing."""

    def __init__(self, prefix: str, value_kb: float) -> None:
        self.prefix = prefix
        self.most = int(value_kb * 1024 * FILL)
        self.pages: dict[int, dict[str, Any]] = {}
        self.sizes: dict[int, int] = {}
        self.where: dict[str, int] = {}
        self.changes: dict[int, int] = {}  # of each page, to tell what a write covered
        self.dirty: dict[int, None] = {}  # pages that the service does not have, in order
        # A write names the stamp of the page that it replaces: one that was given up on and is
        # carried out late must not put an older page over a newer one.
        self.stamps: dict[int, int] = {}

    @staticmethod
    def _size(name: str, item: Any) -> int:
        return len(msgspec.json.encode(item)) + len(name) + 6

    def load(self, key: str, value: Any, stamp: int) -> None:
        """A page as it stands in the service."""
        tail = key.removeprefix(self.prefix)
        if not tail.isdigit() or type(value) is not dict:
            return
        page = int(tail)
        self.stamps[page] = stamp
        self.pages[page], self.sizes[page] = {}, 0
        for name, item in value.items():
            if name in self.where:  # moved by a writer that ended before it cleaned up
                self._touch(page)
                continue
            self._add(page, name, item)

    def _add(self, page: int, name: str, item: Any) -> None:
        self.pages.setdefault(page, {})[name] = item
        self.sizes[page] = self.sizes.get(page, 0) + self._size(name, item)
        self.where[name] = page

    def _touch(self, page: int) -> None:
        self.changes[page] = self.changes.get(page, 0) + 1
        self.dirty.setdefault(page)

    def _remove(self, name: str) -> int:
        page = self.where.pop(name)
        self.sizes[page] -= self._size(name, self.pages[page].pop(name))
        return page

    def set(self, name: str, item: Any) -> None:
        size = self._size(name, item)
        old = self._remove(name) if name in self.where else None
        if old is not None and (self.sizes[old] + size <= self.most or not self.pages[old]):
            page = old
        else:
            page = next((n for n in self.pages if self.sizes[n] + size <= self.most), -1)
            if page < 0:
                page = next(n for n in range(len(self.pages) + 1) if n not in self.pages)
        self._add(page, name, item)
        self._touch(page)
        if old is not None and old != page:
            # The page that an item leaves is written after the one that it moves to.
            self.dirty.pop(old, None)
            self._touch(old)

    def drop(self, name: str) -> None:
        if name in self.where:
            self._touch(self._remove(name))

    def batch(self, most: int, kb: float) -> dict[int, tuple[int, dict[str, Any]]]:
        """The next pages to write in one transaction, with their change counts."""
        found: dict[int, tuple[int, dict[str, Any]]] = {}
        left = int(kb * 1024)
        for page in self.dirty:
            left -= self.sizes.get(page, 0)
            if len(found) >= most or (found and left < 0):
                break
            found[page] = (self.changes[page], dict(self.pages.get(page, {})))
        return found

    def key(self, page: int) -> str:
        return f"{self.prefix}{page:06d}"

    def written(self, batch: dict[int, tuple[int, dict[str, Any]]], epoch: int) -> None:
        for page, (change, content) in batch.items():
            self.stamps[page] = epoch if content else 0
            if self.changes[page] == change:
                self.dirty.pop(page, None)
                if not content:
                    self.pages.pop(page, None)
                    self.sizes.pop(page, None)
