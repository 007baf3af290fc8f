"""A checker of what was on machines: at every instant it is shown, and over time."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from salthead.protocol.messages import Submission


class Present(NamedTuple):
    """One task that is on a machine, as its worker sees it."""

    worker: str
    zone: str
    task_id: str
    attempt: int

    @property
    def job_id(self) -> str:
        """The task's job."""
        return self.task_id.rpartition("/")[0]


@dataclass
class History:
    """Checks snapshots in the order of their times, and keeps the order of placements."""

    specs: dict[str, Submission]
    limits: dict[str, float]  # CPUs by team
    partial_most_s: float  # for which a gang that gathers, or ends, may be incomplete
    broken: list[str] = field(default_factory=list)
    placements: list[tuple[float, str, str]] = field(default_factory=list)  # when, job, zone
    ended: set[str] = field(default_factory=set)  # tasks that are done
    _before: set[Present] = field(default_factory=set)
    _partial_since: dict[tuple[str, int], float] = field(default_factory=dict)

    def observe(self, at: float, present: set[Present]) -> None:
        """Take one snapshot in."""
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
                self._break(at, f"team {team} above its limit: {used}")
        for job_id, tasks in by_job.items():
            self._check_job(at, self.specs[job_id], tasks)
        self._check_partial(at, by_job)

    def _break(self, at: float, what: str) -> None:
        self.broken.append(f"{at:.2f} {what}")

    def _check_job(self, at: float, spec: Submission, tasks: list[Present]) -> None:
        if len({one.task_id for one in tasks}) < len(tasks):
            self._break(at, f"{spec.job_id}: a task runs twice")
        if spec.shape == "gang" and len({one.attempt for one in tasks}) > 1:
            self._break(at, f"{spec.job_id}: members of two attempts")
        by_zone: dict[str, int] = defaultdict(int)
        for one in tasks:
            by_zone[one.zone] += 1
        if spec.single_zone and len(by_zone) > 1:
            self._break(at, f"{spec.job_id}: in two zones")
        if spec.spread_zones and max(by_zone.values()) > (spec.task_count + 1) // 2:
            self._break(at, f"{spec.job_id}: more than half in one zone")

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
            elif at - self._partial_since[key] > self.partial_most_s:
                self._break(
                    at, f"{key[0]}: partly placed for {at - self._partial_since[key]:.1f} s"
                )
                self._partial_since[key] = at


@dataclass
class AnswerHistory:
    """Checks what users were told and what the state service recorded of each job's outcome."""

    cancel_s: float
    broken: list[str] = field(default_factory=list)
    _final: dict[str, tuple[str, float]] = field(default_factory=dict)  # and when it was told first
    _records: dict[str, str] = field(default_factory=dict)

    def recorded(self, at: float, job_id: str, phase: str) -> None:
        """The state service has taken an outcome in."""
        if self._records.setdefault(job_id, phase) != phase:
            self.broken.append(f"{at:.2f} {job_id}: two outcomes recorded")

    def told(self, asked_at: float, at: float, job_id: str, phase: str) -> None:
        """A user who asked at ``asked_at`` was told a phase."""
        final, since = self._final.get(job_id, ("", at))
        if phase in ("done", "aborted"):
            if final and phase != final:
                self.broken.append(f"{at:.2f} {job_id}: two final answers")
            self._final.setdefault(job_id, (phase, at))
        elif final and asked_at > since:
            self.broken.append(f"{at:.2f} {job_id}: an older answer")

    def present(self, at: float, task_ids: set[str]) -> None:
        """These tasks are on machines."""
        for task_id in sorted(task_ids):
            phase, since = self._final.get(task_id.rpartition("/")[0], ("", at))
            if phase == "aborted" and at > since + self.cancel_s:
                self.broken.append(f"{at:.2f} {task_id}: there after its job was cancelled")
