"""Checkers of the tasks on machines and of answers to users, at each snapshot and over time."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from salthead.protocol.messages import Submission


class Present(NamedTuple):
    """A task on a machine, by its worker's view."""

    worker: str
    zone: str
    task_id: str
    attempt: int

    @property
    def job_id(self) -> str:
        """Return the identifier of the task's job."""
        return self.task_id.rpartition("/")[0]


@dataclass
class History:
    """Checks of snapshots in chronological order, with a record of the placements."""

    specs: dict[str, Submission]
    limits: dict[str, float]  # CPUs by team
    max_partial_s: float  # longest time for which a starting or ending gang may be incomplete
    broken: list[str] = field(default_factory=list)
    placements: list[tuple[float, str, str]] = field(default_factory=list)  # time, job, zone
    ended: set[str] = field(default_factory=set)  # identifiers of completed tasks
    _before: set[Present] = field(default_factory=set)
    _partial_since: dict[tuple[str, int], float] = field(default_factory=dict)

    def observe(self, at: float, present: set[Present]) -> None:
        """Check one snapshot."""
        for one in sorted(present - self._before):
            self.placements.append((at, one.job_id, one.zone))
        self._before = present
        by_job: dict[str, list[Present]] = defaultdict(list)
        cpus: dict[str, float] = defaultdict(float)
        for one in present:
            by_job[one.job_id].append(one)
            cpus[self.specs[one.job_id].team] += self.specs[one.job_id].vcpus
        for team, used in cpus.items():
            if used > self.limits[team] + 1e-6:
                self._report(at, f"team {team} above its limit: {used}")
        for job_id, tasks in by_job.items():
            self._check_job(at, self.specs[job_id], tasks)
        self._check_partial(at, by_job)

    def _report(self, at: float, violation: str) -> None:
        self.broken.append(f"{at:.2f} {violation}")

    def _check_job(self, at: float, spec: Submission, tasks: list[Present]) -> None:
        if len({one.task_id for one in tasks}) < len(tasks):
            self._report(at, f"{spec.job_id}: a task runs twice")
        if spec.shape == "gang" and len({one.attempt for one in tasks}) > 1:
            self._report(at, f"{spec.job_id}: members of two attempts")
        by_zone: dict[str, int] = defaultdict(int)
        for one in tasks:
            by_zone[one.zone] += 1
        if spec.single_zone and len(by_zone) > 1:
            self._report(at, f"{spec.job_id}: in two zones")
        if spec.spread_zones and max(by_zone.values()) > (spec.task_count + 1) // 2:
            self._report(at, f"{spec.job_id}: more than half in one zone")

    def _check_partial(self, at: float, by_job: dict[str, list[Present]]) -> None:
        partial = {
            (job_id, tasks[0].attempt)
            for job_id, tasks in by_job.items()
            if self.specs[job_id].shape == "gang"
            and len(tasks) < self.specs[job_id].task_count
            and not any(one.task_id in self.ended for one in tasks)
        }
        self._partial_since = {
            key: self._partial_since.get(key, at) for key in partial | self._partial_since.keys()
        }
        for key in list(self._partial_since):
            if key not in partial:
                del self._partial_since[key]
            elif at - self._partial_since[key] > self.max_partial_s:
                self._report(
                    at, f"{key[0]}: partly placed for {at - self._partial_since[key]:.1f} s"
                )
                self._partial_since[key] = at


@dataclass
class AnswerHistory:
    """Checks of the answers to users against the recorded outcome of each job."""

    cancel_s: float
    broken: list[str] = field(default_factory=list)
    _final: dict[str, tuple[str, float]] = field(
        default_factory=dict
    )  # phase, time of the first answer
    _records: dict[str, str] = field(default_factory=dict)

    def record_outcome(self, at: float, job_id: str, phase: str) -> None:
        """Check an outcome that the state service has stored."""
        if self._records.setdefault(job_id, phase) != phase:
            self.broken.append(f"{at:.2f} {job_id}: two outcomes recorded")

    def record_answer(self, asked_at: float, at: float, job_id: str, phase: str) -> None:
        """Check a phase in the answer to a request that was sent at ``asked_at``."""
        final, since = self._final.get(job_id, ("", at))
        if phase in ("done", "aborted"):
            if final and phase != final:
                self.broken.append(f"{at:.2f} {job_id}: two final answers")
            self._final.setdefault(job_id, (phase, at))
        elif final and asked_at > since:
            self.broken.append(f"{at:.2f} {job_id}: an older answer")

    def check_present(self, at: float, task_ids: set[str]) -> None:
        """Check the tasks that are on machines."""
        for task_id in sorted(task_ids):
            phase, since = self._final.get(task_id.rpartition("/")[0], ("", at))
            if phase == "aborted" and at > since + self.cancel_s:
                self.broken.append(f"{at:.2f} {task_id}: there after its job was cancelled")
