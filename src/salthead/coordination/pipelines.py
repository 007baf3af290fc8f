"""Jobs that wait for others: who waits for whom, and what a job inherits from those after it.

Pure, and an index: a job's end wakes what waits for it, and nothing here costs anything per report
or per pass. A job is *ready* when the outcome of every job that it awaits is durable and ``done``.
An awaited job is *unsure* when neither the ledger nor a record read in this term says what became
of it; what needs an unsure job waits. An outcome ``aborted`` is the one fact from which the end of
all that needs the job follows, so those are *doomed* from then on, whatever is written of them.
Nothing recurses: a chain may be as long as users like.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Iterator, Set
from dataclasses import dataclass, field


@dataclass(slots=True)
class Node:
    """One job in the graph."""

    rank: int  # its own
    breed: str
    run_s: float  # a task's, as expected when this was last worked out
    due: tuple[float, float]  # its own: the time it is due, and the last that still counts
    open: set[str] = field(default_factory=set)  # what it still awaits
    after: dict[str, None] = field(default_factory=dict)  # what awaits it
    inherited_rank: int = 0
    inherited_due: tuple[float, float] = (math.inf, math.inf)


class Pipelines:
    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        # Awaited jobs of which nothing is known yet, and what awaits them.
        self.unsure: dict[str, dict[str, None]] = {}
        self.ended: dict[str, float] = {}  # jobs done in this term, and when
        self.moved: dict[str, None] = {}  # jobs whose inherited rank or due time has changed
        self.breeds: dict[str, dict[str, None]] = {}  # jobs on whose run time others' times rest

    def add(
        self,
        uid: str,
        awaits: Iterable[str],
        rank: int,
        breed: str,
        run_s: float,
        due: tuple[float, float],
    ) -> None:
        """A job that is not over. What it awaits and is neither here nor done is unsure."""
        node = self.nodes[uid] = Node(
            rank, breed, run_s, due, inherited_rank=rank, inherited_due=due
        )
        for other in self.unsure.pop(uid, {}):
            node.after[other] = None
        for other in awaits:
            if other in self.ended:
                continue
            node.open.add(other)
            known = self.nodes.get(other)
            if known is not None:
                known.after[uid] = None
            else:
                self.unsure.setdefault(other, {})[uid] = None
        if node.after:
            self._update([uid])
        if node.open:
            self.breeds.setdefault(breed, {})[uid] = None
            self._update(other for other in node.open if other in self.nodes)

    def done(self, uid: str, at: float) -> list[str]:
        """A job's ``done`` is durable; what became ready by that."""
        self._note(uid, at)
        ready = []
        for other in self._leave(uid):
            node = self.nodes[other]
            node.open.discard(uid)
            if not node.open:
                self._not_waiting(other)
                ready.append(other)
        return ready

    def _not_waiting(self, uid: str) -> None:
        breed = self.nodes[uid].breed
        waiting = self.breeds.get(breed, {})
        waiting.pop(uid, None)
        if not waiting:
            self.breeds.pop(breed, None)

    ENDED_KEPT = 20_000

    def _note(self, uid: str, at: float) -> None:
        self.ended[uid] = at
        if len(self.ended) > self.ENDED_KEPT:
            self.ended.pop(next(iter(self.ended)))

    def aborted(self, uid: str) -> list[str]:
        """A job's ``aborted`` is durable; what is doomed by that, directly or through others."""
        doomed: dict[str, None] = {}
        line = deque(self._leave(uid))
        while line:
            other = line.popleft()
            if other not in doomed and other in self.nodes:
                doomed[other] = None
                line.extend(self.nodes[other].after)
        before = {p: None for other in doomed for p in self.nodes[other].open}
        for other in doomed:
            for p in self.nodes[other].open:
                self._unlink(p, other)
            self._not_waiting(other)
            del self.nodes[other]
        self._update(p for p in before if p in self.nodes)
        return list(doomed)

    def _unlink(self, before: str, uid: str) -> None:
        known = self.nodes.get(before)
        if known is not None:
            known.after.pop(uid, None)
        elif before in self.unsure:
            self.unsure[before].pop(uid, None)
            if not self.unsure[before]:
                del self.unsure[before]

    def _leave(self, uid: str) -> list[str]:
        """Take a job that is over out; what awaited it."""
        if uid in self.nodes:
            self._not_waiting(uid)
        node = self.nodes.pop(uid, None)
        after = self.unsure.pop(uid, {}) if node is None else node.after
        if node is not None and node.open:
            for before in node.open:
                self._unlink(before, uid)
            self._update(before for before in node.open if before in self.nodes)
        return list(after)

    def awaited(self, uid: str) -> bool:
        """Whether another job awaits this one."""
        node = self.nodes.get(uid)
        return node is not None and bool(node.after)

    def is_unsure(self, uid: str) -> bool:
        """Whether the job needs, directly or through others, one of which nothing is known."""
        return self.needs(uid, self.unsure.keys())

    def needs(self, uid: str, among: Set[str]) -> bool:
        """Whether the job needs, directly or through others, one of these."""
        if not among:
            return False
        seen = {uid}
        line = deque([uid])
        while line:
            node = self.nodes.get(line.popleft())
            for before in node.open if node is not None else ():
                if before in among:
                    return True
                if before not in seen:
                    seen.add(before)
                    line.append(before)
        return False

    def revise(self, runs: Iterable[tuple[str, float]]) -> None:
        """Estimates have moved."""
        before: dict[str, None] = {}
        for uid, run_s in runs:
            node = self.nodes.get(uid)
            if node is not None and node.run_s != run_s:
                node.run_s = run_s
                before.update((p, None) for p in node.open if p in self.nodes)
        self._update(before)

    def _update(self, uids: Iterable[str]) -> None:
        """The backward pass: work out anew what these inherit, and whatever hangs on it."""
        line = deque(uids)
        waiting = set(line)
        while line:
            uid = line.popleft()
            waiting.discard(uid)
            node = self.nodes[uid]
            rank, due, last = node.rank, *node.due
            for other in node.after:
                after = self.nodes[other]
                rank = min(rank, after.inherited_rank)
                due = min(due, after.inherited_due[0] - after.run_s)
                last = min(last, after.inherited_due[1] - after.run_s)
            if (rank, (due, last)) == (node.inherited_rank, node.inherited_due):
                continue
            node.inherited_rank, node.inherited_due = rank, (due, last)
            self.moved[uid] = None
            for before in node.open:
                if before in self.nodes and before not in waiting:
                    waiting.add(before)
                    line.append(before)

    def take_moved(self) -> Iterator[tuple[str, Node]]:
        moved, self.moved = self.moved, {}
        for uid in moved:
            node = self.nodes.get(uid)
            if node is not None:
                yield uid, node
