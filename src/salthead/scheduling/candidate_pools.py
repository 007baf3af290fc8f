"""Sampling of candidate machines: the power of two choices within pools of preference."""

from __future__ import annotations

import random
from collections.abc import Iterable

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Job, Machine

# Bits of a pool's index. Pools with a lower index are preferred.
IMAGE_MISSING_BIT, SCARCE_TYPE_BIT = 1, 2


def pick_of_two(machines: list[Machine], rng: random.Random) -> Machine:
    """Draw two machines at random and return the one whose fullest dimension is less full."""
    if len(machines) == 1:
        return machines[0]
    first, second = rng.sample(machines, 2)
    return first if first.max_utilization() <= second.max_utilization() else second


class CandidatePools:
    """The candidate machines of one job, in pools by order of preference.

    Machines that already have the job's image come first: pulling an image often takes longer than
    the task itself, and the start then misses a guarantee that the free capacity could have met.

    Machines of scarce types come last: small tasks would spread over them, and jobs that fit on no
    other type would have to wait until a whole machine has drained.
    """

    def __init__(self, ledger: Ledger, job: Job, candidates: Iterable[Machine]) -> None:
        self.request = job.request
        self.pools: list[list[Machine]] = [[], [], [], []]
        image = job.spec.image
        for machine in candidates:
            scarce = not job.constrained and machine.machine_type in ledger.scarce_types
            has_image = image and image in machine.images
            pool = (SCARCE_TYPE_BIT if scarce else 0) + (0 if has_image else IMAGE_MISSING_BIT)
            self.pools[pool].append(machine)

    def zones(self) -> set[int]:
        """Return the zones of all machines that can be picked."""
        return {machine.zone for pool in self.pools for machine in pool}

    def pick(self, rng: random.Random) -> Machine | None:
        """Return a machine of the first pool that is not empty, or None if all are empty."""
        for pool in self.pools:
            if pool:
                return pick_of_two(pool, rng)
        return None

    def drop_if_full(self, machine: Machine) -> None:
        """Drop the machine if one more task does not fit on it."""
        if not machine.fits(self.request):
            for pool in self.pools:
                if machine in pool:
                    pool.remove(machine)

    def exclude_zone(self, zone: int) -> None:
        """Drop all machines of a zone."""
        self.pools = [[m for m in pool if m.zone != zone] for pool in self.pools]
