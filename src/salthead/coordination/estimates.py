"""How long tasks run, learned from those that were seen to complete."""

from __future__ import annotations


class Estimates:
    """How owners' estimates of run time compare to what was seen, by class of job."""

    PRIOR_S = 300.0  # seconds of run time for which the owners are simply believed

    def __init__(self) -> None:
        self.seen: dict[str, float] = {}
        self.said: dict[str, float] = {}

    def learn(self, breed: str, guess_s: float, run_s: float) -> None:
        if guess_s <= 0 or run_s <= 0:
            return
        self.seen[breed] = self.seen.get(breed, 0.0) + run_s
        self.said[breed] = self.said.get(breed, 0.0) + guess_s

    def factor(self, breed: str) -> float:
        seen, said = self.seen.get(breed, 0.0), self.said.get(breed, 0.0)
        return (seen + self.PRIOR_S) / (said + self.PRIOR_S)

    def run_s(self, breed: str, guess_s: float) -> float:
        return max(1.0, guess_s * self.factor(breed))
