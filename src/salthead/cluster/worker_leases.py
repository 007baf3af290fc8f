"""Worker leases: their certain expiry, and renewals before the records are loaded."""

from __future__ import annotations

import logging
import math
from collections.abc import Mapping

from salthead import metrics
from salthead.cluster.machine_registry import MachineRegistry
from salthead.cluster.model import Job, Machine
from salthead.event_log import event
from salthead.leases.leader_lease import certainly_expired_at
from salthead.protocol import wire_names
from salthead.settings import WorkerTimings

log = logging.getLogger(__name__)


class WorkerLeases:
    """The leases of all workers as one leader counts them, in seconds of monotonic time."""

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
        # No lease is counted from an earlier time: an earlier leader may have answered workers
        # until it lost its lease, and this leader answers them before it has read the machine
        # registry.
        self.counted_from = now
        # By zone: until when another controller may answer the zone's workers for this leader.
        self.delegated_until: dict[int, float] = {}

    def expires_at(self, machine: Machine) -> float:
        """Return when the worker's lease has certainly expired unless it is answered again."""
        delegated_until = self.delegated_until.get(machine.zone, -math.inf)
        answered = max(machine.acknowledged_at, self.counted_from, delegated_until)
        return certainly_expired_at(answered, self.workers.lease_s)

    def delegate_zone(self, area: str, until: float) -> bool:
        """Assume that another controller extends a zone's leases to ``until``; return if it may.

        The leases then count as last extended at ``until`` or later. A later end that is already
        assumed stays.

        False if the zone is unknown, if the time limit of cancellations is less than two lease
        durations, or if a task in the zone has to stop: a cancelled job's tasks have a time limit,
        and only the expiry of the lease stops a task behind a network partition. In the first two
        cases nothing is assumed.
        """
        zone = self.registry.zones.get(area)
        if zone is None:
            return False
        if self.workers.cancel_s < 2.0 * self.workers.lease_s:
            return False  # leases extended just before a cancel could outlast its time limit
        self.delegated_until[zone] = max(until, self.delegated_until.get(zone, -math.inf))
        return not self._has_tasks_to_stop(zone)

    def _has_tasks_to_stop(self, zone: int) -> bool:
        """Return whether the zone has tasks of cancelled jobs or orphan tasks."""
        return any(
            (job.cancel_requested or job.terminal_phase == wire_names.ABORTED)
            and binding.machine.zone == zone
            for job in self.jobs.values()
            if job.cancel_requested or job.terminal_phase
            for binding in job.bindings.values()
        ) or any(m.orphans for m in self.registry.machines.values() if m.zone == zone)


class UnloadedHeartbeats:
    """Events and counts of one term's answers to heartbeats before it has loaded the records."""

    def __init__(self, fencing_token: int) -> None:
        self.fencing_token = fencing_token
        self.logged: set[bool] = set()

    def record(self, worker: str, answered: bool, until: float, now: float) -> None:
        """Count a heartbeat, and log the first one that is answered and the first one that is not.

        ``until``: when this leader stops answering heartbeats unless it has loaded the records.
        """
        metrics.UNLOADED_HEARTBEATS.labels("acknowledged" if answered else "refused").inc()
        if answered not in self.logged:
            self.logged.add(answered)
            event(
                log,
                "unloaded_heartbeat",
                fencing_token=self.fencing_token,
                worker=worker,
                acknowledged=answered,
                at=now,
                until=until,
            )
