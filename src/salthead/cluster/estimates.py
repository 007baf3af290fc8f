"""Run times of tasks, arrival rates of jobs and attainment of the start-time objective."""

from __future__ import annotations

from collections.abc import Iterable

from salthead.settings import Objective


class Estimates:
    """Measured and estimated run times of completed tasks, to correct estimates by job class."""

    PRIOR_S = 300.0  # weight of the prior that estimates are right, in seconds of run time

    def __init__(self) -> None:
        # Total run times by job class, in seconds.
        self.measured: dict[str, float] = {}
        self.estimated: dict[str, float] = {}

    def record_run(self, job_class: str, estimated_run_s: float, run_s: float) -> None:
        """Record the run time of a completed task; a task without an estimate is ignored."""
        if estimated_run_s <= 0 or run_s <= 0:
            return
        self.measured[job_class] = self.measured.get(job_class, 0.0) + run_s
        self.estimated[job_class] = self.estimated.get(job_class, 0.0) + estimated_run_s

    def factor(self, job_class: str) -> float:
        """Return the ratio of measured to estimated run time of a class."""
        measured = self.measured.get(job_class, 0.0)
        estimated = self.estimated.get(job_class, 0.0)
        return (measured + self.PRIOR_S) / (estimated + self.PRIOR_S)

    def run_s(self, job_class: str, estimated_run_s: float) -> float:
        """Return the expected run time of a task: its estimate, corrected by its class."""
        return max(1.0, estimated_run_s * self.factor(job_class))


# Expected remaining run time of a task that has exceeded its estimate, as a share of its run time
# so far.
OVERDUE_RUN_SHARE = 0.5


def remaining_run_s(run_s: float, age_s: float) -> float:
    """Return the expected remaining run time of a task that has run for ``age_s`` of ``run_s``.

    A task that has exceeded its estimate is not assumed to end soon. When the fleet plan counted on
    capacity that overdue gangs would free, two other gangs waited 100 s for it while the fleet was
    scaled in.
    """
    return run_s - age_s if age_s < run_s else age_s * OVERDUE_RUN_SHARE


class Arrivals:
    """Moving average of the interval between job arrivals."""

    WEIGHT = 0.1  # weight of the newest interval in the moving average
    # Arrivals count as stopped after this many mean intervals. If jobs arrive independently, one
    # interval in 3,000 is as long.
    STOPPED_INTERVALS = 8.0

    def __init__(self, now: float) -> None:
        self.last_arrival_at = now
        self.mean_interval_s: float | None = None

    def record_arrival(self, now: float) -> None:
        """Record that a job has arrived."""
        interval_s, self.last_arrival_at = now - self.last_arrival_at, now
        old = interval_s if self.mean_interval_s is None else self.mean_interval_s
        self.mean_interval_s = old + self.WEIGHT * (interval_s - old)

    def stopped(self, now: float) -> bool:
        """Return whether no job has arrived for much longer than the mean interval."""
        return (
            self.mean_interval_s is not None
            and now - self.last_arrival_at > self.STOPPED_INTERVALS * max(self.mean_interval_s, 1.0)
        )


class StartAttainment:
    """Moving share of jobs within guarantees that started within the target time."""

    WEIGHT = 0.05  # weight of the newest job in the moving average

    def __init__(self, within_s: float, share: float) -> None:
        self.within_s = within_s
        self.target_share = share
        self.attained_share = share

    @classmethod
    def of(cls, objectives: Iterable[Objective]) -> StartAttainment:
        """Return the attainment of the first objective on work within guarantees, if any."""
        for objective in objectives:
            if objective.kind == "guarantee":
                return cls(objective.within_s, objective.share)
        return cls(0.0, 1.0)

    def record_attainment(self, in_time: bool) -> None:
        """Record whether a job started in time."""
        self.attained_share += self.WEIGHT * (float(in_time) - self.attained_share)

    def spare(self) -> float:
        """Return the margin above the target share: 0 if it is just met or missed, 1 at most."""
        if self.target_share >= 1.0:
            return 0.0
        return min(
            1.0, max(0.0, (self.attained_share - self.target_share) / (1.0 - self.target_share))
        )
