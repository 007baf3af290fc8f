"""The jobs that the last scheduling pass left waiting."""

from __future__ import annotations

from dataclasses import dataclass, field

from salthead.cluster.model import Job


@dataclass
class PendingQueue:
    """Jobs with tasks that wait, in the order of the last pass: who is offered freed room."""

    jobs: list[Job] = field(default_factory=list)
    min_cpus: float = 0.0  # of the smallest task in the queue
    constrained: bool = False  # whether a job is queued that fits on scarce types alone
    long_since: float | None = None  # since when the fleet can't keep up with it
