"""When a worker that is not answered any more certainly has no tasks left."""

from __future__ import annotations

import math
from collections.abc import Mapping

from salthead.cluster.machine_registry import MachineRegistry
from salthead.cluster.model import Job, Machine
from salthead.leases.leader_lease import certainly_expired_at
from salthead.protocol import wire_names
from salthead.settings import WorkerTimings


class WorkerLeases:
    """The leases of all workers, as one leader has to count them. Times are steady, in seconds."""

    def __init__(
        self,
        workers: WorkerTimings,
        registry: MachineRegistry,
        jobs: Mapping[str, Job],
        now: float,
    ) -> None:
        self.workers = workers
        self.registry = registry
        self.jobs = jobs
        # An earlier leader may have answered workers until it lost the lead, and this one answers
        # them before it has read the machine registry: no lease is counted from before this.
        self.counted_from = now
        # Zones whose workers another controller may be answering for this leader, and until when.
        self.delegated_until: dict[int, float] = {}

    def expires_at(self, machine: Machine) -> float:
        """When the machine's worker has no tasks any more unless it is answered again."""
        delegated_until = self.delegated_until.get(machine.zone, -math.inf)
        answered = max(machine.acknowledged_at, self.counted_from, delegated_until)
        return certainly_expired_at(answered, self.workers.lease_s)

    def delegate_zone(self, area: str, until: float) -> bool:
        """Count no lease of a zone from before ``until``; False if its tasks may not live on.

        A cancelled job's tasks have to be gone in time, and nothing but the end of their leases
        stops those behind a cut.
        """
        zone = self.registry.zones.get(area)
        if zone is None:
            return False
        if self.workers.cancel_s < 2.0 * self.workers.lease_s:
            return False  # a cancel just after a permission would come too late for the leases
        self.delegated_until[zone] = max(until, self.delegated_until.get(zone, -math.inf))
        return not self._has_to_end(zone)

    def _has_to_end(self, zone: int) -> bool:
        """Whether anything in the zone is cancelled, or not this leader's to keep."""
        return any(
            (job.cancel_requested or job.terminal_phase == wire_names.ABORTED)
            and binding.machine.zone == zone
            for job in self.jobs.values()
            if job.cancel_requested or job.terminal_phase
            for binding in job.bindings.values()
        ) or any(m.orphans for m in self.registry.machines.values() if m.zone == zone)
