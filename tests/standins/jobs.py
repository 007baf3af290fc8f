"""The jobs of a stand-in world: what users asked for and were told, and what has run."""

from __future__ import annotations

from salthead.protocol.messages import Submission
from standins.hosts import Hosts
from standins.worker import Worker


def job_id_of(task_id: str) -> str:
    """Return the job of a task."""
    return task_id.rpartition("/")[0]


class Jobs(Hosts):
    """Jobs by their identifiers, and their tasks on machines."""

    def __init__(self, seed: int, most: int, areas: dict[str, str]) -> None:
        super().__init__(seed, most, areas)
        self.specs: dict[str, Submission] = {}
        self.asked: set[str] = set()  # jobs that somebody asked to cancel
        self.accepted: dict[str, float] = {}  # when a user was first told so
        self.cancelled: dict[str, float] = {}  # when a user was first told so
        self.final: dict[str, tuple[str, float]] = {}  # the first terminal state told, and when
        self.told: dict[str, str] = {}  # the last state told
        self.done: set[str] = set()  # tasks
        self.begun: dict[str, float] = {}  # when the first task of each job started
        self.starts = 0

    def needed(self, job_id: str) -> set[str]:
        """Return all jobs that a job depends on, directly or through others."""
        needed: set[str] = set()
        to_visit = list(self.specs[job_id].depends_on or [])
        while to_visit:
            dependency = to_visit.pop()
            if dependency not in needed:
                needed.add(dependency)
                to_visit += self.specs[dependency].depends_on or []
        return needed

    def job_done(self, job_id: str) -> bool:
        """Return whether all tasks of a job have run to their end."""
        return all(f"{job_id}/{n}" in self.done for n in range(self.specs[job_id].task_count))

    def run_s(self, task_id: str) -> float:
        """Return for how long a task runs: as long as its job's estimate says."""
        return self.specs[job_id_of(task_id)].estimated_run_s

    def gang_whole(self, task_id: str, attempt: int) -> bool:
        """Return whether all tasks of the task's gang are on machines; True for an array's."""
        job_id = job_id_of(task_id)
        spec = self.specs[job_id]
        if spec.shape != "gang":
            return True
        here = {
            other
            for worker in self.cloud.hosts.values()
            if not worker.hung
            for (other, number) in worker.tasks
            if number == attempt
        }
        return all(f"{job_id}/{n}" in here for n in range(spec.task_count))

    def complete(self, worker: Worker, task_id: str, attempt: int) -> None:
        """A task is done; a gang's tasks are done together."""
        job_id = job_id_of(task_id)
        gang = self.specs[job_id].shape == "gang"
        for other in list(self.cloud.hosts.values()) if gang else [worker]:
            for (name, number), task in other.tasks.items():
                peer = gang and name.startswith(job_id + "/")
                if number == attempt and (name == task_id or peer) and task["phase"] == "running":
                    task |= {"phase": "exited", "cause": "done"}
                    self.done.add(name)
                    other.changed.set()
