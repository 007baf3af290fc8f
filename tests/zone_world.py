"""A stand-in world of which a zone can be lost, and that shows a checker what is on machines."""

from __future__ import annotations

import asyncio

from builders.platform import LIMITS
from history import History, Present
from standins import Worker, World

SAMPLE_S = 0.05


def partial_most_s() -> float:
    """For how long a gang may be incomplete: its members are told at their next heartbeats, and
    those
    of an attempt that is over end at theirs, by themselves, or with their lease."""
    workers = LIMITS["workers"]
    return float(workers["lease_s"] + 3.0 * workers["report_s"] + 2.0)


class ZoneWorld(World):
    """Two zones with equally many machines at the most."""

    def watch_zones(self, most: int) -> None:
        """Begin to show the checker what is on machines, twenty times a second."""
        self.max_machines = 2 * most
        self.max_machines_in_zone = {"north": most, "south": most}
        teams = {team["name"]: team["cpus_max"] for team in LIMITS["teams"]}
        self.history = History(self.specs, teams, partial_most_s())
        self.sampling = asyncio.create_task(self._sample_always())

    def snapshot(self) -> None:
        """Show the checker what is on machines now."""
        present = {
            Present(worker.name, worker.zone, task_id, attempt)
            for worker in self.cloud.hosts.values()
            for (task_id, attempt), task in worker.tasks.items()
            if task["phase"] != "exited"
        }
        self.history.ended = self.done
        self.history.observe(self.now(), present)

    async def _sample_always(self) -> None:
        while True:
            self.snapshot()
            await asyncio.sleep(SAMPLE_S)

    def before_start(self, worker: Worker, task_id: str) -> None:
        """A start is about to happen: what ended before it has ended."""
        self.snapshot()
        super().before_start(worker, task_id)

    def in_zone(self, zone: str) -> list[Worker]:
        """The zone's machines."""
        return [worker for worker in self.cloud.hosts.values() if worker.zone == zone]

    def lose_machines(self, zone: str, dead: bool) -> None:
        """The zone's machines lose power, or reach nobody; none can be provisioned there."""
        self.max_machines_in_zone[zone] = 0
        for worker in self.in_zone(zone):
            if dead:
                self.cloud.hosts.pop(worker.name).terminate()
            else:
                worker.cut = True

    def return_machines(self, zone: str, most: int) -> None:
        """The zone's machines reach everybody again, and can be provisioned."""
        self.max_machines_in_zone[zone] = most
        for worker in self.in_zone(zone):
            worker.cut = False
