"""Interning of names to dense indices, which the scheduler compares instead of strings."""

from __future__ import annotations


class Interner:
    """Mapping of names to dense indices, in both directions."""

    def __init__(self, known: list[str] | None = None) -> None:
        self.names: list[str] = []
        self.index: dict[str, int] = {}
        for name in known or []:
            self.intern(name)

    def intern(self, name: str) -> int:
        """Return the index of a name; a new name gets the next index."""
        index = self.index.get(name)
        if index is None:
            index = self.index[name] = len(self.names)
            self.names.append(name)
        return index

    def get(self, name: str) -> int | None:
        """Return the index of a name; None if it is not known."""
        return self.index.get(name)

    def __getitem__(self, index: int) -> str:
        return self.names[index]

    def __len__(self) -> int:
        return len(self.names)
