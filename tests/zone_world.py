"""Simulated world in which a zone can fail, with a checker that samples the tasks on machines."""

from __future__ import annotations

import asyncio

from builders.platform import LIMITS
from history import History, Present
from standins import Worker, World

SAMPLE_S = 0.05


def max_partial_s() -> float:
    """Return for how many seconds a gang may be incomplete.

    Members get their commands with their next heartbeats; those of an ended attempt stop at their
    next heartbeat, by themselves, or when their worker's lease expires.
    """
    workers = LIMITS["workers"]
    return float(workers["lease_s"] + 3.0 * workers["report_s"] + 2.0)


class ZoneWorld(World):
    """World with two zones of equal capacity."""

    def watch_zones(self, machines_per_zone: int) -> None:
        """Set the capacity of the zones, and start to sample the tasks on machines."""
        self.max_machines = 2 * machines_per_zone
        self.max_machines_in_zone = {"north": machines_per_zone, "south": machines_per_zone}
        teams = {team["name"]: team["cpus_max"] for team in LIMITS["teams"]}
        self.history = History(self.specs, teams, max_partial_s())
        self.sampling = asyncio.create_task(self._sample_periodically())

    def snapshot(self) -> None:
        """Pass the tasks that are on machines now to the checker."""
        present = {
            Present(worker.name, worker.zone, task_id, attempt)
            for worker in self.cloud.hosts.values()
            for (task_id, attempt), task in worker.tasks.items()
            if task["phase"] != "exited"
        }
        self.history.ended = self.done
        self.history.observe(self.now(), present)

    async def _sample_periodically(self) -> None:
        while True:
            self.snapshot()
            await asyncio.sleep(SAMPLE_S)

    def before_start(self, worker: Worker, task_id: str) -> None:
        """Check a start, after a snapshot in which tasks that ended before it are gone."""
        self.snapshot()
        super().before_start(worker, task_id)

    def in_zone(self, zone: str) -> list[Worker]:
        """Return the zone's machines."""
        return [worker for worker in self.cloud.hosts.values() if worker.zone == zone]

    def lose_machines(self, zone: str, dead: bool) -> None:
        """Remove or disconnect the zone's machines; none can be provisioned there."""
        self.max_machines_in_zone[zone] = 0
        for worker in self.in_zone(zone):
            if dead:
                self.cloud.hosts.pop(worker.name).terminate()
            else:
                worker.cut = True

    def return_machines(self, zone: str, max_machines: int) -> None:
        """Reconnect the zone's machines, and allow ``max_machines`` there."""
        self.max_machines_in_zone[zone] = max_machines
        for worker in self.in_zone(zone):
            worker.cut = False
