"""How long tasks run, learned from those that were seen to complete."""

from __future__ import annotations


class Estimates:
    """How owners' estimates of run time compare to what was seen, by class of job."""

    PRIOR_S = 300.0  # seconds of run time for which the owners are simply believed

    def __init__(self) -> None:
        self.seen: dict[str, float] = {}
        self.said: dict[str, float] = {}

    def learn(self, job_class: str, estimated_run_s: float, run_s: float) -> None:
        """Note that a task with this estimate ran for so long."""
        if estimated_run_s <= 0 or run_s <= 0:
            return
        self.seen[job_class] = self.seen.get(job_class, 0.0) + run_s
        self.said[job_class] = self.said.get(job_class, 0.0) + estimated_run_s

    def factor(self, job_class: str) -> float:
        """By how much the estimates of a class are wrong."""
        seen, said = self.seen.get(job_class, 0.0), self.said.get(job_class, 0.0)
        return (seen + self.PRIOR_S) / (said + self.PRIOR_S)

    def run_s(self, job_class: str, estimated_run_s: float) -> float:
        """How long a task should run, by its estimate and what was seen of its class."""
        return max(1.0, estimated_run_s * self.factor(job_class))


# One that has outlived its estimate goes on for this part of what it has run.
OVERDUE_RUN_SHARE = 0.5


def left_s(run_s: float, age_s: float) -> float:
    """How long a task goes on that is thought to run for ``run_s`` and has run for ``age_s``.

    One that has outlived its estimate is not about to end: nothing is known but that it runs
    long. Seen on busy, prairie-ledger-fleet: the plan counted on the room of gangs that were
    overdue, and two others waited for it for 100 s in a fleet that was being given back.
    """
    return run_s - age_s if age_s < run_s else age_s * OVERDUE_RUN_SHARE


class Arrivals:
    """How far apart jobs come, and whether they have stopped coming."""

    WEIGHT = 0.1  # of one gap
    # Where jobs come independently, a gap this many times the mean is one in 3,000.
    STOPPED = 8.0

    def __init__(self, now: float) -> None:
        self.last = now
        self.interval_s: float | None = None

    def record_arrival(self, now: float) -> None:
        """Note that a job has come."""
        interval_s, self.last = now - self.last, now
        old = interval_s if self.interval_s is None else self.interval_s
        self.interval_s = old + self.WEIGHT * (interval_s - old)

    def stopped(self, now: float) -> bool:
        """Whether none has come for far longer than usual."""
        return self.interval_s is not None and now - self.last > self.STOPPED * max(
            self.interval_s, 1.0
        )


class StartAttainment:
    """How much of the work within guarantees has lately found its machines as fast as aimed for."""

    WEIGHT = 0.05  # of one job

    def __init__(self, within_s: float, share: float) -> None:
        self.within_s = within_s
        self.target_share = share
        self.share = share

    def record_attainment(self, in_time: bool) -> None:
        """Note whether a job began in time."""
        self.share += self.WEIGHT * (float(in_time) - self.share)

    def spare(self) -> float:
        """How far the aim is surpassed: 0 where it is missed or just met, 1 where none is late."""
        if self.target_share >= 1.0:
            return 0.0
        return min(1.0, max(0.0, (self.share - self.target_share) / (1.0 - self.target_share)))
