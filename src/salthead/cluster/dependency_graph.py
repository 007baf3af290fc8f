"""Jobs that wait for others: who waits for whom, and what a job inherits from those after it.

Pure, and an index: a job's end wakes what waits for it, and nothing here costs anything per
heartbeat or per pass. A job is *ready* when the outcome of every job that it awaits is durable and
``done``. An awaited job is *unsure* when neither the ledger nor a record read in this term says
what became of it; what needs an unsure job waits. An outcome ``aborted`` is the one fact from which
the end of all that needs the job follows, so those are *cancelled by dependency* from then on,
whatever is written of them. Nothing recurses: a chain may be as long as users like.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Iterator, Set
from dataclasses import dataclass, field


@dataclass(slots=True)
class DependencyNode:
    """One job in the graph."""

    priority: int  # its own
    job_class: str
    run_s: float  # a task's, as expected when this was last worked out
    due: tuple[float, float]  # its own: the time it is due, and the last that still counts
    unfinished: set[str] = field(default_factory=set)  # what it still awaits
    dependents: dict[str, None] = field(default_factory=dict)  # what awaits it
    inherited_priority: int = 0
    inherited_due: tuple[float, float] = (math.inf, math.inf)


class DependencyGraph:
    """The jobs that depend on others, as a graph."""

    def __init__(self) -> None:
        self.nodes: dict[str, DependencyNode] = {}
        # Awaited jobs of which nothing is known yet, and what awaits them.
        self.unresolved: dict[str, dict[str, None]] = {}
        self.ended: dict[str, float] = {}  # jobs done in this term, and when
        self.moved: dict[str, None] = {}  # jobs whose inherited rank or due time has changed
        self.job_classes: dict[
            str, dict[str, None]
        ] = {}  # jobs on whose run time others' times rest

    def add(
        self,
        job_id: str,
        depends_on: Iterable[str],
        priority: int,
        job_class: str,
        run_s: float,
        due: tuple[float, float],
    ) -> None:
        """A job that is not over. What it awaits and is neither here nor done is unsure."""
        node = self.nodes[job_id] = DependencyNode(
            priority, job_class, run_s, due, inherited_priority=priority, inherited_due=due
        )
        for other in self.unresolved.pop(job_id, {}):
            node.dependents[other] = None
        for other in depends_on:
            if other in self.ended:
                continue
            node.unfinished.add(other)
            known = self.nodes.get(other)
            if known is not None:
                known.dependents[job_id] = None
            else:
                self.unresolved.setdefault(other, {})[job_id] = None
        if node.dependents:
            self._update([job_id])
        if node.unfinished:
            self.job_classes.setdefault(job_class, {})[job_id] = None
            self._update(other for other in node.unfinished if other in self.nodes)

    def done(self, job_id: str, at: float) -> list[str]:
        """A job's ``done`` is durable; what became ready by that."""
        self._note(job_id, at)
        ready = []
        for other in self._leave(job_id):
            node = self.nodes[other]
            node.unfinished.discard(job_id)
            if not node.unfinished:
                self._not_waiting(other)
                ready.append(other)
        return ready

    def _not_waiting(self, job_id: str) -> None:
        job_class = self.nodes[job_id].job_class
        waiting = self.job_classes.get(job_class, {})
        waiting.pop(job_id, None)
        if not waiting:
            self.job_classes.pop(job_class, None)

    MAX_REMEMBERED_ENDED = 20_000

    def _note(self, job_id: str, at: float) -> None:
        self.ended[job_id] = at
        if len(self.ended) > self.MAX_REMEMBERED_ENDED:
            self.ended.pop(next(iter(self.ended)))

    def aborted(self, job_id: str) -> list[str]:
        """A job's ``aborted`` is durable; what is cancelled by that, directly or through others."""
        cancelled: dict[str, None] = {}
        queue = deque(self._leave(job_id))
        while queue:
            other = queue.popleft()
            if other not in cancelled and other in self.nodes:
                cancelled[other] = None
                queue.extend(self.nodes[other].dependents)
        before = {p: None for other in cancelled for p in self.nodes[other].unfinished}
        for other in cancelled:
            for p in self.nodes[other].unfinished:
                self._unlink(p, other)
            self._not_waiting(other)
            del self.nodes[other]
        self._update(p for p in before if p in self.nodes)
        return list(cancelled)

    def _unlink(self, before: str, job_id: str) -> None:
        known = self.nodes.get(before)
        if known is not None:
            known.dependents.pop(job_id, None)
        elif before in self.unresolved:
            self.unresolved[before].pop(job_id, None)
            if not self.unresolved[before]:
                del self.unresolved[before]

    def _leave(self, job_id: str) -> list[str]:
        """Take a job that is over out; what awaited it."""
        if job_id in self.nodes:
            self._not_waiting(job_id)
        node = self.nodes.pop(job_id, None)
        after = self.unresolved.pop(job_id, {}) if node is None else node.dependents
        if node is not None and node.unfinished:
            for before in node.unfinished:
                self._unlink(before, job_id)
            self._update(before for before in node.unfinished if before in self.nodes)
        return list(after)

    def has_dependents(self, job_id: str) -> bool:
        """Whether another job awaits this one."""
        node = self.nodes.get(job_id)
        return node is not None and bool(node.dependents)

    def has_unresolved_dependency(self, job_id: str) -> bool:
        """Whether the job needs, directly or through others, one of which nothing is known."""
        return self.needs(job_id, self.unresolved.keys())

    def needs(self, job_id: str, among: Set[str]) -> bool:
        """Whether the job needs, directly or through others, one of these."""
        if not among:
            return False
        seen = {job_id}
        queue = deque([job_id])
        while queue:
            node = self.nodes.get(queue.popleft())
            for before in node.unfinished if node is not None else ():
                if before in among:
                    return True
                if before not in seen:
                    seen.add(before)
                    queue.append(before)
        return False

    def revise(self, runs: Iterable[tuple[str, float]]) -> None:
        """Estimates have moved."""
        before: dict[str, None] = {}
        for job_id, run_s in runs:
            node = self.nodes.get(job_id)
            if node is not None and node.run_s != run_s:
                node.run_s = run_s
                before.update((p, None) for p in node.unfinished if p in self.nodes)
        self._update(before)

    def _update(self, job_ids: Iterable[str]) -> None:
        """The backward pass: work out anew what these inherit, and whatever hangs on it."""
        queue = deque(job_ids)
        waiting = set(queue)
        while queue:
            job_id = queue.popleft()
            waiting.discard(job_id)
            node = self.nodes[job_id]
            priority, due, last = node.priority, *node.due
            for other in node.dependents:
                after = self.nodes[other]
                priority = min(priority, after.inherited_priority)
                due = min(due, after.inherited_due[0] - after.run_s)
                last = min(last, after.inherited_due[1] - after.run_s)
            if (priority, (due, last)) == (node.inherited_priority, node.inherited_due):
                continue
            node.inherited_priority, node.inherited_due = priority, (due, last)
            self.moved[job_id] = None
            for before in node.unfinished:
                if before in self.nodes and before not in waiting:
                    waiting.add(before)
                    queue.append(before)

    def take_moved(self) -> Iterator[tuple[str, DependencyNode]]:
        """Jobs whose inherited urgency or due time has changed since the last call."""
        moved, self.moved = self.moved, {}
        for job_id in moved:
            node = self.nodes.get(job_id)
            if node is not None:
                yield job_id, node
