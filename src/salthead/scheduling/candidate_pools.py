"""Sampling of candidate machines: the power of two choices, by pools of preference."""

from __future__ import annotations

import random
from collections.abc import Iterable

from salthead.cluster.ledger import Ledger
from salthead.cluster.model import Job, Machine

# Added up, they are the index of a machine's pool.
WITHOUT_IMAGE, SCARCE_TYPE = 1, 2


def pick_of_two(machines: list[Machine], rng: random.Random) -> Machine:
    """The less loaded one, by its fullest dimension, of two machines that are drawn at random."""
    if len(machines) == 1:
        return machines[0]
    one, other = rng.sample(machines, 2)
    return one if one.fullest() <= other.fullest() else other


class CandidatePools:
    """The candidates of one job, in pools by preference: those that have its image come first.

    Without that preference an image is pulled before its first task on each machine. That often
    takes longer than the task, and the start misses a guarantee that free room could have kept.

    Machines of scarce types come last. Small tasks scatter over them as over any other, and then a
    class of jobs that fits on no other type waits until a whole machine has drained.
    """

    def __init__(self, ledger: Ledger, job: Job, candidates: Iterable[Machine]) -> None:
        self.request = job.request
        self.pools: list[list[Machine]] = [[], [], [], []]
        image = job.spec.image
        for machine in candidates:
            scarce = not job.constrained and machine.machine_type in ledger.scarce
            has_image = image and image in machine.images
            pool = (SCARCE_TYPE if scarce else 0) + (0 if has_image else WITHOUT_IMAGE)
            self.pools[pool].append(machine)

    def zones(self) -> set[int]:
        """The zones of all machines that can be picked."""
        return {machine.zone for pool in self.pools for machine in pool}

    def pick(self, rng: random.Random) -> Machine | None:
        """A machine of the first pool that is not empty; None if all are empty."""
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
