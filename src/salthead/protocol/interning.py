"""Names become dense indices where they come in; inside, only indices are compared."""

from __future__ import annotations


class Interner:
    """Names and their dense indices."""

    def __init__(self, known: list[str] | None = None) -> None:
        self.names: list[str] = []
        self.index: dict[str, int] = {}
        for name in known or []:
            self.intern(name)

    def intern(self, name: str) -> int:
        """The index of a name, a new one if need be."""
        found = self.index.get(name)
        if found is None:
            found = self.index[name] = len(self.names)
            self.names.append(name)
        return found

    def get(self, name: str) -> int | None:
        """The index of a name that is known."""
        return self.index.get(name)

    def __getitem__(self, index: int) -> str:
        return self.names[index]

    def __len__(self) -> int:
        return len(self.names)
