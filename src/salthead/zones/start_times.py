"""Start times of tasks by zone and class of jobs, and the comparison with a baseline."""

from __future__ import annotations

from ddsketch import DDSketch

RELATIVE_ERROR = 0.05  # of the quantiles
BASELINE_QUANTILE = 0.9  # of the baseline's starts
RECENT_QUANTILE = 0.5  # of the starts that are compared with it
MIN_STARTS = 5  # fewer starts give no quantile
# Sketches that are kept, each of about 100 buckets; starts of further classes are not recorded.
MAX_SKETCHES = 200


class StartTimes:
    """Quantile sketches of the seconds from placement to start, by zone and class of jobs."""

    def __init__(self) -> None:
        self.sketches: dict[tuple[int, str], DDSketch] = {}

    def add(self, zone: int, job_class: str, seconds: float) -> None:
        """Record the time that one start took."""
        key = (zone, job_class)
        sketch = self.sketches.get(key)
        if sketch is None:
            if len(self.sketches) >= MAX_SKETCHES:
                return
            sketch = self.sketches[key] = DDSketch(RELATIVE_ERROR)
        sketch.add(max(seconds, 0.001))

    def quantile(self, zone: int, job_class: str, quantile: float) -> float | None:
        """Return a quantile in seconds of a class in a zone; None if it has too few starts."""
        sketch = self.sketches.get((zone, job_class))
        if sketch is None or sketch.count < MIN_STARTS:
            return None
        value = sketch.get_quantile_value(quantile)
        return None if value is None else float(value)

    def baseline_s(self, zone: int, job_class: str) -> float | None:
        """Return the baseline quantile of a class in a zone; None if it has too few starts."""
        return self.quantile(zone, job_class, BASELINE_QUANTILE)


def slow_classes(recent: StartTimes, baseline: StartTimes, zone: int, factor: float) -> list[str]:
    """Return the classes whose recent starts in a zone exceed the baseline by more than a factor.

    Each class is compared with its own baseline, since the sizes of images differ too much for a
    common one.
    """
    slow = []
    for recent_zone, job_class in recent.sketches:
        recent_s = recent.quantile(recent_zone, job_class, RECENT_QUANTILE)
        baseline_s = baseline.baseline_s(zone, job_class)
        if (
            recent_zone == zone
            and recent_s is not None
            and baseline_s is not None
            and recent_s > factor * baseline_s
        ):
            slow.append(job_class)
    return sorted(slow)
