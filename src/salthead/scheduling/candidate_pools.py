"""Power of two choices: two machines at random, and the one with the lower fullest dimension."""

from __future__ import annotations

import random
from collections.abc import Iterable

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Job, Machine


def pick(machines: list[Machine], rng: random.Random) -> Machine:
    """Two at random, the lower fullest dimension wins."""
    if len(machines) == 1:
        return machines[0]
    one, other = rng.sample(machines, 2)
    return one if one.fullest() <= other.fullest() else other


class CandidatePools:
    """What a job's tasks are drawn from: its candidates, those that have its image first.

    Without that filter a fetch, often longer than the task, precedes the first task of each
    image on each machine, and the start misses a guarantee that free room could have kept.

    Machines of a type that is the only one for another class come last. Small tasks scatter over
    them as over any, and then that class waits until a whole machine has drained.
    """

    def __init__(self, ledger: Ledger, job: Job, candidates: Iterable[Machine]) -> None:
        self.request = job.request
        self.pools: list[list[Machine]] = [[], [], [], []]
        image = job.spec.image
        for machine in candidates:
            last = 0 if job.constrained or machine.machine_type not in ledger.scarce else 2
            far = 0 if image and image in machine.images else 1
            self.pools[last + far].append(machine)

    def zones(self) -> set[int]:
        """Zones of all machines that can be drawn."""
        return {machine.zone for pool in self.pools for machine in pool}

    def pick(self, rng: random.Random) -> Machine | None:
        """A machine of the first pool that has any."""
        for pool in self.pools:
            if pool:
                return pick(pool, rng)
        return None

    def used(self, machine: Machine) -> None:
        """Drop the machine if one more task does not fit any more."""
        if not machine.fits(self.request):
            for pool in self.pools:
                if machine in pool:
                    pool.remove(machine)

    def close(self, zone: int) -> None:
        """Draw no machine of a zone any more."""
        self.pools = [[m for m in pool if m.zone != zone] for pool in self.pools]
