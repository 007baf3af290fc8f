"""A list of all keys with a prefix, read in pages."""

from __future__ import annotations

from typing import Any

from salthead.protocol.messages import shape
from salthead.state_store.messages import ListedRow, VersionedValue, required_int

MAX_ROWS_PER_PAGE = 500


class Listing:
    """The rows of a prefix that have been read, and what to read next."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.rows: dict[str, VersionedValue] = {}
        self.page_count = 0
        self.epoch = 0  # of the first page: a watch from there misses no change
        self.complete = False
        self.waited_s = 0.0  # of all its pages, for their turn
        self._last_key = ""

    def next_query(self) -> dict[str, Any]:
        """Return the query of the next page."""
        query: dict[str, Any] = {"prefix": self.prefix, "most": MAX_ROWS_PER_PAGE}
        if self._last_key:
            query["from"] = self._last_key
        return query

    def add_page(self, body: dict[str, Any]) -> None:
        """Add the rows of a page; raises MalformedMessageError or UnansweredError."""
        if not self.page_count:
            self.epoch = required_int(body, "epoch")
        rows = shape(body.get("rows") or [], list[ListedRow])
        for row in rows:
            self.rows[row.key] = VersionedValue(row.value, row.revision)
            self._last_key = row.key
        self.page_count += 1
        self.complete = not body.get("truncated")
