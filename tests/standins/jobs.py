"""Jobs of the simulated world: submissions, answers to users, and progress of tasks."""

from __future__ import annotations

from salthead.protocol.messages import Submission
from standins.hosts import Hosts
from standins.worker import Worker


def job_id_of(task_id: str) -> str:
    """Return the identifier of a task's job."""
    return task_id.rpartition("/")[0]


class Jobs(Hosts):
    """Jobs by identifier, and their tasks on machines."""

    def __init__(self, seed: int, max_machines: int, areas: dict[str, str]) -> None:
        super().__init__(seed, max_machines, areas)
        self.specs: dict[str, Submission] = {}
        self.cancel_requested: set[str] = set()  # jobs that a user asked to cancel
        self.accepted: dict[str, float] = {}  # time of the first answer that says so
        self.cancelled: dict[str, float] = {}  # time of the first answer that says so
        # The first terminal phase in an answer to a user, and its time.
        self.terminal_phases: dict[str, tuple[str, float]] = {}
        self.last_phases: dict[str, str] = {}  # the last phase in an answer to a user
        self.done: set[str] = set()  # identifiers of completed tasks
        self.first_start_at: dict[str, float] = {}  # start of each job's first task
        self.starts = 0

    def all_dependencies(self, job_id: str) -> set[str]:
        """Return the transitive dependencies of a job."""
        needed: set[str] = set()
        to_visit = list(self.specs[job_id].depends_on or [])
        while to_visit:
            dependency = to_visit.pop()
            if dependency not in needed:
                needed.add(dependency)
                to_visit += self.specs[dependency].depends_on or []
        return needed

    def job_done(self, job_id: str) -> bool:
        """Return whether all tasks of a job have completed."""
        return all(f"{job_id}/{n}" in self.done for n in range(self.specs[job_id].task_count))

    def run_s(self, task_id: str) -> float:
        """Return the run time of a task in seconds: its job's estimate."""
        return self.specs[job_id_of(task_id)].estimated_run_s

    def gang_is_complete(self, task_id: str, attempt: int) -> bool:
        """Return whether all tasks of this gang attempt are on machines; True for an array."""
        job_id = job_id_of(task_id)
        spec = self.specs[job_id]
        if spec.shape != "gang":
            return True
        present = {
            other
            for worker in self.cloud.hosts.values()
            if not worker.hung
            for (other, number) in worker.tasks
            if number == attempt
        }
        return all(f"{job_id}/{n}" in present for n in range(spec.task_count))

    def complete_task(self, worker: Worker, task_id: str, attempt: int) -> None:
        """Complete a task, or all running tasks of its gang attempt together."""
        job_id = job_id_of(task_id)
        gang = self.specs[job_id].shape == "gang"
        for other in list(self.cloud.hosts.values()) if gang else [worker]:
            for (name, number), task in other.tasks.items():
                peer = gang and name.startswith(job_id + "/")
                if number == attempt and (name == task_id or peer) and task["phase"] == "running":
                    task |= {"phase": "exited", "cause": "done"}
                    self.done.add(name)
                    other.changed.set()
