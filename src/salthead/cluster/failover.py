"""What a new leader can't know until each machine of the machine registry is accounted for.

A machine that an earlier leader had in the machine registry may run anything until it sends a
heartbeat under this term's token, or its worker's lease must be over. Until then it counts against
every team, and no job that it could be running is started anywhere else.

What is not known counts as the unfavourable case: a machine of a type that is not known, not yet or
not any more, has room for anything.
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
    """The machines that one term has not accounted for, and what follows from them."""

    def __init__(self, registry: MachineRegistry, fencing_token: int, now: float) -> None:
        self.registry = registry
        self.fencing_token = fencing_token
        self.term_started_at = now
        self.logged_at = now
        self._capacity_total: tuple[float, float] | None = None
        self._kinds: dict[MachineKind, Resources] = {}

    def invalidate_capacity(self) -> None:
        """What was summed may have grown: machines or their types have become known."""
        self._capacity_total = None

    def unreconciled_machines(self) -> list[Machine]:
        """Machines that may run anything an earlier leader started."""
        return [
            machine
            for machine in self.registry.machines.values()
            if machine.registered and not machine.reconciled and machine.phase == UP
        ]

    def sweep(self, now: float) -> bool:
        """What time has changed; whether all machines are accounted for."""
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
        """How many machines are not accounted for, by what is known of them."""
        found = {"type_unknown": 0, "answered": 0, "silent": 0}
        for machine in self.unreconciled_machines():
            if machine.machine_type not in self.registry.machine_types:
                found["type_unknown"] += 1
            else:
                found["silent" if machine.links.acknowledged_sequence < 0 else "answered"] += 1
        return found

    def unreconciled_capacity(self) -> tuple[float, float]:
        """CPUs and GPUs that tasks of any team may be taking on those.

        As of the last look at the latest. Between looks a machine can only be accounted for;
        whatever makes the sum larger calls ``invalidate_capacity``. Before, a type that became
        known did not: what had been summed as nothing stood for half a second, in which placement
        took every task of every job for startable (``days/types-unknown.toml``: ``ran_twice``).
        """
        if self._capacity_total is None:
            unreconciled = self.unreconciled_machines()
            capacities = [self._capacity(machine) for machine in unreconciled]
            self._capacity_total = (
                sum(capacity.cpus for capacity in capacities),
                sum(capacity.gpus for capacity in capacities),
            )
            self._kinds = {
                m.kind: capacity for m, capacity in zip(unreconciled, capacities, strict=True)
            }
        return self._capacity_total

    def _capacity(self, machine: Machine) -> Resources:
        """What the machine may hold: anything while its type is unknown."""
        known = machine.machine_type in self.registry.machine_types
        return machine.capacity if known else UNBOUNDED_RESOURCES

    def could_run(self, job: Job) -> bool:
        """Whether one of them may be running a task of the job that an earlier leader started.

        An earlier leader started tasks only on machines of the machine registry that their job
        allows and that they fit on.
        """
        self.unreconciled_capacity()
        return any(
            (job.spec.spot or not spot)
            and (job.allowed_types is None or type_index in job.allowed_types)
            and (job.zone is None or job.zone == zone)
            and all(c + EPSILON >= n for c, n in zip(capacity, job.request, strict=True))
            for (type_index, zone, spot), capacity in self._kinds.items()
        )
