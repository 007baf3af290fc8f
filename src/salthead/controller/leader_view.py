"""A controller's view of which controller leads."""

from __future__ import annotations

from salthead.leader.term import Term


class LeaderView:
    """The leader as last read from the state service, and this controller's own term."""

    def __init__(self) -> None:
        self.member: str | None = None  # the leader, None if unknown
        self.fencing_token = 0  # of the leader that was last followed
        self.term: Term | None = None  # until its loops have ended, even if its lease has

    def leading(self) -> Term | None:
        """Return the term while this controller is entitled to act as the leader, else None."""
        term = self.term
        return term if term is not None and term.valid() else None
