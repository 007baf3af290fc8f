"""Division of changes into batches that fit into a transaction."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import TypeVar

Item = TypeVar("Item")


def batches(items: Sequence[Item], max_size: int) -> Iterator[Sequence[Item]]:
    """Yield the items in batches of at most ``max_size``."""
    for offset in range(0, len(items), max_size):
        yield items[offset : offset + max_size]
