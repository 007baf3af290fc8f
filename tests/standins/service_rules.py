"""Liveness invariants: no job keeps waiting while machines have capacity for it."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from builders.platform import MACHINE_TYPES
from salthead.protocol.messages import Submission
from standins.jobs import job_id_of
from standins.rules import Rules, team_cpus_max
from standins.worker import Worker

MAX_WAIT_S = 90.0
REPORT_ONCE_DELAY_S = 1e9  # keeps a job that was reported from being reported again


@dataclass
class Allocated:
    """Resources allocated to tasks on machines."""

    cpus_of: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    ram_of: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    cpus_of_team: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    tasks_of_job: defaultdict[str, int] = field(default_factory=lambda: defaultdict(int))


class ServiceRules(Rules):
    """Checks that jobs start where machines have capacity."""

    def __init__(self, seed: int, max_machines: int, areas: dict[str, str]) -> None:
        super().__init__(seed, max_machines, areas)
        self.faults_end_at = 0.0  # end of the last injected fault
        self.startable_since: dict[str, float] = {}  # jobs that could start, by identifier

    def check_waiting_jobs(self) -> None:
        """Check that no startable job waits longer than MAX_WAIT_S after the faults."""
        allocated = self._allocated()
        for job_id, phase in self.last_phases.items():
            spec = self.specs[job_id]
            at_once = spec.task_count if spec.shape == "gang" else 1
            places = sum(
                self._places_on(worker, spec, allocated) for worker in self.cloud.hosts.values()
            )
            cpus = allocated.cpus_of_team[spec.team] + spec.vcpus * at_once
            could_start = (
                self._waits(job_id, phase, allocated.tasks_of_job[job_id])
                and places >= at_once
                and not (spec.single_zone or spec.spread_zones)
                and cpus <= team_cpus_max(spec.team)
            )
            if not could_start:
                self.startable_since.pop(job_id, None)
            elif self.now() - self.startable_since.setdefault(job_id, self.now()) > MAX_WAIT_S:
                self.broken.append(f"left_waiting {job_id}: room for {places} of its tasks")
                self.startable_since[job_id] = self.now() + REPORT_ONCE_DELAY_S

    def _allocated(self) -> Allocated:
        allocated = Allocated()
        for worker, task_id in self.on_machines():
            job_id = job_id_of(task_id)
            spec = self.specs[job_id]
            allocated.cpus_of[worker.name] += spec.vcpus
            allocated.ram_of[worker.name] += spec.ram_gb
            allocated.cpus_of_team[spec.team] += spec.vcpus
            allocated.tasks_of_job[job_id] += 1
        return allocated

    def _places_on(self, worker: Worker, spec: Submission, allocated: Allocated) -> int:
        """Return how many tasks of a job fit on a machine."""
        suitable = (
            worker.up
            and not worker.hung
            and (spec.spot or not worker.spot)
            and (spec.machine_types is None or worker.machine_type in spec.machine_types)
            and spec.zone in (None, worker.zone)
        )
        if not suitable:
            return 0
        machine_type = next(one for one in MACHINE_TYPES if one.name == worker.machine_type)
        by_cpus = (machine_type.vcpus - allocated.cpus_of[worker.name]) / spec.vcpus
        by_ram = (machine_type.ram_gb - allocated.ram_of[worker.name]) / spec.ram_gb
        return int(min(by_cpus, by_ram) + 1e-6)

    def _waits(self, job_id: str, phase: str, running_tasks: int) -> bool:
        """Return whether a job has tasks to start and all its dependencies are terminal."""
        spec = self.specs[job_id]
        ended = sum(f"{job_id}/{n}" in self.done for n in range(spec.task_count))
        return (
            phase in ("queued", "running")
            and job_id not in self.cancel_requested
            and all(dependency in self.terminal_phases for dependency in spec.depends_on or [])
            and ended + running_tasks < spec.task_count
        )

    def underserved_groups(self, within_s: float = 240.0) -> list[str]:
        """Return the groups (class, team, largest jobs) of which less than half began in time."""
        served: dict[str, list[bool]] = {}
        jobs = [
            spec
            for job_id, spec in self.specs.items()
            if job_id in self.accepted
            and not self.cancel_requested & {job_id, *self.all_dependencies(job_id)}
        ]
        for spec in jobs:
            in_time = self.first_start_at.get(spec.job_id, 1e9) - self._ready_at(spec) <= within_s
            for name in self._groups_of(spec, jobs):
                served.setdefault(name, []).append(in_time)
        return [name for name, answers in served.items() if 2 * sum(answers) < len(answers)]

    def _ready_at(self, spec: Submission) -> float:
        """Return the time from which a job was accepted and its dependencies had ended."""
        ended_at = [self.terminal_phases.get(one, ("", 1e9))[1] for one in spec.depends_on or []]
        return max([self.accepted[spec.job_id], *ended_at])

    def _groups_of(self, spec: Submission, jobs: list[Submission]) -> list[str]:
        names = [f"class {spec.job_class}", f"team {spec.team}"]
        sizes = sorted(
            other.task_count * other.vcpus for other in jobs if other.job_class == spec.job_class
        )
        if spec.task_count * spec.vcpus >= sizes[len(sizes) * 3 // 4]:
            names.append(f"largest of {spec.job_class}")
        return names
