"""Safety invariants, checked at every instant; violations are listed in ``broken``.

An entry begins with the name of the invariant and the job or task: ``ran_twice req-1/0``.
"""

from __future__ import annotations

from builders.platform import LIMITS
from salthead.protocol.messages import Submission
from standins.jobs import Jobs, job_id_of
from standins.worker import Worker

TERMINAL_PHASES = ("done", "aborted")
# An answer to a worker that was in transit when the user was told arrives within 4 s or is dropped.
MAX_IN_TRANSIT_S = 4.5


class Rules(Jobs):
    """Checks of each task start, each answer to a user, and the tasks on machines."""

    def __init__(self, seed: int, max_machines: int, areas: dict[str, str]) -> None:
        super().__init__(seed, max_machines, areas)
        self.broken: list[str] = []

    # -- starts

    def before_start(self, worker: Worker, task_id: str) -> None:
        """Check and count a task that a worker is about to start."""
        self.starts += 1
        job_id = job_id_of(task_id)
        self.first_start_at.setdefault(job_id, self.now())
        spec = self.specs[job_id]
        on_machines = self.on_machines()
        self._check_dependencies(task_id, spec)
        self._check_first_run(task_id, job_id, on_machines)
        self._check_place(worker, task_id, spec, on_machines)
        self._check_team_limit(spec, on_machines)
        if job_id in self.cancelled and self.now() > self.cancelled[job_id] + MAX_IN_TRANSIT_S:
            self.broken.append(f"ran_cancelled {task_id}: started")

    def _check_dependencies(self, task_id: str, spec: Submission) -> None:
        early = [job_id for job_id in spec.depends_on or [] if not self.job_done(job_id)]
        if early:
            self.broken.append(f"too_early {task_id}: {early} not done")

    def _check_first_run(
        self, task_id: str, job_id: str, on_machines: list[tuple[Worker, str]]
    ) -> None:
        if any(other == task_id for _, other in on_machines):
            self.broken.append(f"ran_twice {task_id}")
        outcome = self.state.keys.get(f"over/{job_id}")
        if outcome is not None and outcome[0]["phase"] == "done":
            self.broken.append(f"ran_twice {task_id}: its job was recorded as done")

    def _check_place(
        self,
        worker: Worker,
        task_id: str,
        spec: Submission,
        on_machines: list[tuple[Worker, str]],
    ) -> None:
        if (
            (worker.spot and not spec.spot)
            or (spec.machine_types is not None and worker.machine_type not in spec.machine_types)
            or (spec.zone is not None and worker.zone != spec.zone)
        ):
            self.broken.append(f"wrong_place {task_id}")
        prefix = job_id_of(task_id) + "/"
        peers = [other for other, name in on_machines if name.startswith(prefix)]
        if spec.single_zone and any(peer.zone != worker.zone for peer in peers):
            self.broken.append(f"wrong_place {task_id}: zones")
        in_zone = sum(peer.zone == worker.zone for peer in peers)
        if spec.spread_zones and in_zone >= (spec.task_count + 1) // 2:
            self.broken.append(f"wrong_place {task_id}: not apart")

    def _check_team_limit(self, spec: Submission, on_machines: list[tuple[Worker, str]]) -> None:
        specs = (self.specs[job_id_of(other)] for _, other in on_machines)
        allocated = spec.vcpus + sum(other.vcpus for other in specs if other.team == spec.team)
        if allocated > team_cpus_max(spec.team) + 1e-6:
            self.broken.append(f"quota {spec.team}: {allocated}")

    # -- answers

    def check_phase(self, job_id: str, phase: str, requested_at: float) -> None:
        """Check the phase in an answer of any controller to a request sent at ``requested_at``."""
        if job_id not in self.specs:
            self.broken.append(f"invented {job_id}")
            return
        final, final_at = self.terminal_phases.get(job_id, ("", 0.0))
        self._check_cancellation(job_id, phase)
        if final and phase != final and (final_at < requested_at or phase in TERMINAL_PHASES):
            self.broken.append(f"went_back {job_id}: {final} to {phase}")
        if phase == "done" and not self.job_done(job_id):
            self.broken.append(f"not_done {job_id}")
        if phase in TERMINAL_PHASES and not final:
            self.terminal_phases[job_id] = (phase, self.now())
            if phase == "aborted":
                # The first such answer counts, whichever controller gave it to whichever user.
                self.cancelled[job_id] = self.now()
        if not final:
            self.last_phases[job_id] = phase

    def _check_cancellation(self, job_id: str, phase: str) -> None:
        dependencies = self.all_dependencies(job_id)
        if phase in ("queued", "running") and self._cancelled_long_ago(dependencies):
            self.broken.append(f"orphaned {job_id}")
        if phase == "aborted" and not self.cancel_requested & {job_id, *dependencies}:
            self.broken.append(f"went_back {job_id}: nobody cancelled it or what it needs")

    def _cancelled_long_ago(self, job_ids: set[str]) -> bool:
        """Return whether any job was reported cancelled longer ago than ``cancel_s``."""
        told_at = [self.cancelled[job_id] for job_id in job_ids if job_id in self.cancelled]
        return bool(told_at) and self.now() > min(told_at) + LIMITS["workers"]["cancel_s"]

    def check_unknown_job(self, job_id: str, requested_at: float) -> None:
        """Check that a job whose request at ``requested_at`` got 404 was not accepted before."""
        if self.accepted.get(job_id, requested_at) < requested_at:
            self.broken.append(f"forgotten {job_id}")

    # -- tasks on machines

    def check_cancelled_tasks(self) -> None:
        """Check that no task outlives its job's cancellation by more than ``cancel_s``."""
        for worker, task_id in self.on_machines():
            job_id = job_id_of(task_id)
            entry = f"ran_cancelled {task_id} on {worker.name}"
            late = self._cancelled_long_ago({job_id, *self.all_dependencies(job_id)})
            if late and entry not in self.broken:
                self.broken.append(entry)


def team_cpus_max(name: str) -> float:
    """Return the CPU limit of a team."""
    team = next(team for team in LIMITS["teams"] if team["name"] == name)
    return float(team["cpus_max"])
