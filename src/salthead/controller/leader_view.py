"""Which controller leads, as far as this one knows."""

from __future__ import annotations

from salthead.leader.term import Term


class LeaderView:
    """The leader as last read from the state service, and the term of this controller's own."""

    def __init__(self) -> None:
        self.member: str | None = None  # that leads, as last read
        self.fencing_token = 0  # of another member that leads
        self.term: Term | None = None  # while this controller leads, or its lease is running out

    def leading(self) -> Term | None:
        """The term, while this controller is entitled to act as the leader."""
        term = self.term
        return term if term is not None and term.valid() else None
