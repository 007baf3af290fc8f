"""How long starts take: the usual ones of a zone and class, and those of a recovering zone."""

from __future__ import annotations

from ddsketch import DDSketch

RELATIVE_ERROR = 0.05
USUAL_QUANTILE = 0.9  # of the usual starts: a slower one is out of the ordinary
TYPICAL_QUANTILE = 0.5  # of the starts that are judged
MIN_STARTS = 5  # below this many nothing is usual yet
# A sketch of one class keeps about 100 buckets; classes beyond these are not told apart.
MAX_JOB_CLASSES = 200


class StartTimes:
    """Seconds from the decision to the start, by zone and class of jobs, as quantile sketches."""

    def __init__(self) -> None:
        self.sketches: dict[tuple[int, str], DDSketch] = {}

    def add(self, zone: int, job_class: str, seconds: float) -> None:
        """Note one start."""
        key = (zone, job_class)
        sketch = self.sketches.get(key)
        if sketch is None:
            if len(self.sketches) >= MAX_JOB_CLASSES:
                return
            sketch = self.sketches[key] = DDSketch(RELATIVE_ERROR)
        sketch.add(max(seconds, 0.001))

    def quantile(self, zone: int, job_class: str, quantile: float) -> float | None:
        """A quantile of the zone's starts of a class; None while there are too few."""
        sketch = self.sketches.get((zone, job_class))
        if sketch is None or sketch.count < MIN_STARTS:
            return None
        found = sketch.get_quantile_value(quantile)
        return None if found is None else float(found)

    def usual_s(self, zone: int, job_class: str) -> float | None:
        """What all but the slowest usual starts take; None while nothing is known."""
        return self.quantile(zone, job_class, USUAL_QUANTILE)


def slow_classes(recent: StartTimes, usual: StartTimes, zone: int, factor: float) -> list[str]:
    """Classes whose recent starts in a zone are slower than its usual ones by more than a factor.

    Each class is held against its own figures: images differ by more than any factor.
    """
    found = []
    for where, job_class in recent.sketches:
        typical = recent.quantile(where, job_class, TYPICAL_QUANTILE)
        limit = usual.usual_s(zone, job_class)
        if where == zone and typical is not None and limit is not None and typical > factor * limit:
            found.append(job_class)
    return sorted(found)
