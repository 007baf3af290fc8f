"""Queue of the jobs that the last scheduling pass left waiting."""

from __future__ import annotations

from dataclasses import dataclass, field

from salthead.cluster.model import Job


@dataclass
class PendingQueue:
    """Jobs with waiting tasks, in the order in which freed capacity is offered to them."""

    jobs: list[Job] = field(default_factory=list)
    min_cpus: float = 0.0  # smallest request of a task in the queue
    constrained: bool = False  # whether a queued job fits on scarce machine types only
    backlog_since: float | None = None  # since when the fleet can't keep up with the queue
