"""Graph of dependencies between jobs, with the priority and due times that they inherit.

The graph does no I/O. It is updated when a job is added or ends, and costs nothing per heartbeat or
per scheduling pass.

A job is *ready* when every job that it depends on has the durable outcome ``done``. A dependency is
*unresolved* while neither the ledger nor a record read in this term tells its outcome; its
dependents wait. When the outcome ``aborted`` is durable, all direct and indirect dependents count
as cancelled, even before their own outcomes are written.

All traversals are iterative, since the length of a chain of dependencies is not limited.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Iterator, Set
from dataclasses import dataclass, field


@dataclass(slots=True)
class DependencyNode:
    """One job in the graph."""

    priority: int  # its own, not inherited
    job_class: str
    run_s: float  # expected run time of a task, as of the last update
    due: tuple[float, float]  # its own due time, and the latest completion that still counts
    unfinished: set[str] = field(default_factory=set)  # dependencies that are not known to be done
    dependents: dict[str, None] = field(default_factory=dict)  # used as an ordered set
    inherited_priority: int = 0
    inherited_due: tuple[float, float] = (math.inf, math.inf)


class DependencyGraph:
    """Jobs that have not ended, linked to their dependencies and dependents."""

    MAX_REMEMBERED_DONE = 20_000

    def __init__(self) -> None:
        self.nodes: dict[str, DependencyNode] = {}
        # Dependents by the id of a dependency whose outcome is not known yet.
        self.unresolved: dict[str, dict[str, None]] = {}
        # Completion times of the last MAX_REMEMBERED_DONE jobs.
        self.done_at: dict[str, float] = {}
        self.changed: dict[str, None] = {}  # jobs whose inherited priority or due times changed
        # Jobs with unfinished dependencies, by class: a new estimate of their run time changes the
        # due times of those dependencies.
        self.job_classes: dict[str, dict[str, None]] = {}

    def add(
        self,
        job_id: str,
        depends_on: Iterable[str],
        priority: int,
        job_class: str,
        run_s: float,
        due: tuple[float, float],
    ) -> None:
        """Add a job that has not ended.

        A dependency that is neither in the graph nor known to be done becomes unresolved.
        """
        node = self.nodes[job_id] = DependencyNode(
            priority, job_class, run_s, due, inherited_priority=priority, inherited_due=due
        )
        for other in self.unresolved.pop(job_id, {}):
            node.dependents[other] = None
        for other in depends_on:
            if other not in self.done_at:
                self._link(other, job_id)
        if node.dependents:
            self._update_inherited([job_id])
        if node.unfinished:
            self.job_classes.setdefault(job_class, {})[job_id] = None
            self._update_inherited(other for other in node.unfinished if other in self.nodes)

    def mark_done(self, job_id: str, at: float) -> list[str]:
        """Record that a job's outcome ``done`` is durable; return the jobs that became ready."""
        self._remember_done(job_id, at)
        ready = []
        for other in self._remove(job_id):
            node = self.nodes[other]
            node.unfinished.discard(job_id)
            if not node.unfinished:
                self._remove_from_class(other)
                ready.append(other)
        return ready

    def _remove_from_class(self, job_id: str) -> None:
        job_class = self.nodes[job_id].job_class
        waiting = self.job_classes.get(job_class, {})
        waiting.pop(job_id, None)
        if not waiting:
            self.job_classes.pop(job_class, None)

    def _remember_done(self, job_id: str, at: float) -> None:
        self.done_at[job_id] = at
        if len(self.done_at) > self.MAX_REMEMBERED_DONE:
            self.done_at.pop(next(iter(self.done_at)))

    def mark_aborted(self, job_id: str) -> list[str]:
        """Record that a job's outcome ``aborted`` is durable.

        Return and remove all jobs that this cancels, direct and indirect dependents.
        """
        cancelled: dict[str, None] = {}
        queue = deque(self._remove(job_id))
        while queue:
            other = queue.popleft()
            if other not in cancelled and other in self.nodes:
                cancelled[other] = None
                queue.extend(self.nodes[other].dependents)
        dependencies = {p: None for other in cancelled for p in self.nodes[other].unfinished}
        for other in cancelled:
            for p in self.nodes[other].unfinished:
                self._unlink(p, other)
            self._remove_from_class(other)
            del self.nodes[other]
        self._update_inherited(p for p in dependencies if p in self.nodes)
        return list(cancelled)

    def _link(self, dependency: str, job_id: str) -> None:
        self.nodes[job_id].unfinished.add(dependency)
        node = self.nodes.get(dependency)
        if node is not None:
            node.dependents[job_id] = None
        else:
            self.unresolved.setdefault(dependency, {})[job_id] = None

    def _unlink(self, dependency: str, job_id: str) -> None:
        node = self.nodes.get(dependency)
        if node is not None:
            node.dependents.pop(job_id, None)
        elif dependency in self.unresolved:
            self.unresolved[dependency].pop(job_id, None)
            if not self.unresolved[dependency]:
                del self.unresolved[dependency]

    def _remove(self, job_id: str) -> list[str]:
        """Remove a job that has ended; return its direct dependents."""
        if job_id in self.nodes:
            self._remove_from_class(job_id)
        node = self.nodes.pop(job_id, None)
        dependents = self.unresolved.pop(job_id, {}) if node is None else node.dependents
        if node is not None and node.unfinished:
            for dependency in node.unfinished:
                self._unlink(dependency, job_id)
            self._update_inherited(p for p in node.unfinished if p in self.nodes)
        return list(dependents)

    def has_dependents(self, job_id: str) -> bool:
        """Return whether another job depends directly on this one."""
        node = self.nodes.get(job_id)
        return node is not None and bool(node.dependents)

    def has_unresolved_dependency(self, job_id: str) -> bool:
        """Return whether the job depends, directly or indirectly, on an unresolved job."""
        return self.needs(job_id, self.unresolved.keys())

    def needs(self, job_id: str, among: Set[str]) -> bool:
        """Return whether the job depends, directly or indirectly, on one of ``among``."""
        if not among:
            return False
        seen = {job_id}
        queue = deque([job_id])
        while queue:
            node = self.nodes.get(queue.popleft())
            for dependency in node.unfinished if node is not None else ():
                if dependency in among:
                    return True
                if dependency not in seen:
                    seen.add(dependency)
                    queue.append(dependency)
        return False

    def update_run_times(self, run_times: Iterable[tuple[str, float]]) -> None:
        """Set the expected run times of jobs, and recompute the due times that follow from them."""
        dependencies: dict[str, None] = {}
        for job_id, run_s in run_times:
            node = self.nodes.get(job_id)
            if node is not None and node.run_s != run_s:
                node.run_s = run_s
                dependencies.update((p, None) for p in node.unfinished if p in self.nodes)
        self._update_inherited(dependencies)

    def _update_inherited(self, job_ids: Iterable[str]) -> None:
        """Recompute what these jobs inherit from their dependents.

        A change is propagated to their own dependencies.
        """
        queue = deque(job_ids)
        queued = set(queue)
        while queue:
            job_id = queue.popleft()
            queued.discard(job_id)
            node = self.nodes[job_id]
            priority, due, last = node.priority, *node.due
            for other in node.dependents:
                dependent = self.nodes[other]
                priority = min(priority, dependent.inherited_priority)
                due = min(due, dependent.inherited_due[0] - dependent.run_s)
                last = min(last, dependent.inherited_due[1] - dependent.run_s)
            if (priority, (due, last)) == (node.inherited_priority, node.inherited_due):
                continue
            node.inherited_priority, node.inherited_due = priority, (due, last)
            self.changed[job_id] = None
            for dependency in node.unfinished:
                if dependency in self.nodes and dependency not in queued:
                    queued.add(dependency)
                    queue.append(dependency)

    def take_changed(self) -> Iterator[tuple[str, DependencyNode]]:
        """Yield the jobs whose inherited priority or due times changed since the last call."""
        changed, self.changed = self.changed, {}
        for job_id in changed:
            node = self.nodes.get(job_id)
            if node is not None:
                yield job_id, node
