"""Machines that a new leader has not reconciled yet, and the limits that follow from them.

A registered machine may run any task that an earlier leader started until it sends a heartbeat with
this term's fencing token, or its worker's lease has certainly expired. Until then its capacity
counts against every team's quota, and no job that it could be running is started elsewhere.

Unknown means the worst case: a machine of unknown type has unbounded capacity.
"""

from __future__ import annotations

import logging

from salthead.cluster.machine_registry import MachineRegistry
from salthead.cluster.model import UP, Job, Machine
from salthead.cluster.resources import EPSILON, UNBOUNDED_RESOURCES, MachineKind, Resources
from salthead.event_log import event

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 2.0


class Failover:
    """The unreconciled machines of one term."""

    def __init__(self, registry: MachineRegistry, fencing_token: int, now: float) -> None:
        self.registry = registry
        self.fencing_token = fencing_token
        self.term_started_at = now
        self.logged_at = now
        # CPUs and GPUs of all unreconciled machines; None: to be computed.
        self._capacity_total: tuple[float, float] | None = None
        # Capacity of a single machine of each kind that has unreconciled machines.
        self._capacity_by_kind: dict[MachineKind, Resources] = {}

    def invalidate_capacity(self) -> None:
        """Drop the cached capacity, since machines or machine types have been added."""
        self._capacity_total = None

    def unreconciled_machines(self) -> list[Machine]:
        """Return the machines that may run any task that an earlier leader started."""
        return [
            machine
            for machine in self.registry.machines.values()
            if machine.registered and not machine.reconciled and machine.phase == UP
        ]

    def sweep(self, now: float) -> bool:
        """Refresh the cached capacity; return whether every machine is reconciled."""
        self._capacity_total = None
        unreconciled = self.unreconciled_machines()
        if unreconciled and now - self.logged_at >= LOG_INTERVAL_S:
            self.logged_at = now
            event(
                log,
                "failover_waiting",
                fencing_token=self.fencing_token,
                for_s=now - self.term_started_at,
                machines=len(unreconciled),
                first=unreconciled[0].name,
                **self.by_reason(),
            )
        return not unreconciled

    def by_reason(self) -> dict[str, int]:
        """Count the unreconciled machines by what is known of them."""
        counts = {"type_unknown": 0, "answered": 0, "silent": 0}
        for machine in self.unreconciled_machines():
            if machine.machine_type not in self.registry.machine_types:
                counts["type_unknown"] += 1
            else:
                counts["silent" if machine.links.acknowledged_sequence < 0 else "answered"] += 1
        return counts

    def unreconciled_capacity(self) -> tuple[float, float]:
        """Return the CPUs and GPUs that any team's tasks may occupy on unreconciled machines.

        The sum is cached until the next sweep. Whatever makes it larger must call
        ``invalidate_capacity``; a machine that is reconciled only makes it smaller. When new
        machine types did not invalidate it, a sum of zero stayed valid for half a second, and
        placement started tasks a second time (``days/types-unknown.toml``: ``ran_twice``).
        """
        if self._capacity_total is None:
            unreconciled = self.unreconciled_machines()
            capacities = [self._max_capacity(machine) for machine in unreconciled]
            self._capacity_total = (
                sum(capacity.cpus for capacity in capacities),
                sum(capacity.gpus for capacity in capacities),
            )
            self._capacity_by_kind = {
                m.kind: capacity for m, capacity in zip(unreconciled, capacities, strict=True)
            }
        return self._capacity_total

    def _max_capacity(self, machine: Machine) -> Resources:
        """Return the machine's capacity, unbounded while its type is unknown."""
        type_known = machine.machine_type in self.registry.machine_types
        return machine.capacity if type_known else UNBOUNDED_RESOURCES

    def may_be_running(self, job: Job) -> bool:
        """Return whether an unreconciled machine may already be running a task of the job.

        Earlier leaders started tasks only on registered machines that their job allows and that
        they fit on.
        """
        self.unreconciled_capacity()
        return any(
            (job.spec.spot or not spot)
            and (job.allowed_types is None or type_index in job.allowed_types)
            and (job.zone is None or job.zone == zone)
            and all(c + EPSILON >= n for c, n in zip(capacity, job.request, strict=True))
            for (type_index, zone, spot), capacity in self._capacity_by_kind.items()
        )
