"""A simulated state service with a rate limit, and users that ask while leaders change."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from builders.submissions import submission
from salthead.state_store import records
from salthead.transport.client import Answer
from salthead.transport.limits import TokenBucket
from scenarios import boot_later, loaded_leader, spawn
from standins import World

ANSWER_WITHIN_S = 2.0
ASK_INTERVAL_S = 5.0
RESTART_S = 8.0
SETTLE_S = 25.0
# Of the ordinary deployment in Wellington.
RPS, WRITE_RPS = 60.0, 20.0
CHECK_S = 0.01
MAX_LOAD_S = 60.0
# The leader's key, the fencing token, and lists of records.
LEADERSHIP_PATHS = ("/keys/lead", "/keys/token", "/keys")


def is_for_leadership(path: str, body: Any) -> bool:
    """Return whether a request is for a lease, an election or the load of records."""
    if path == "/txn":
        return any(change.get("set") == "lead" for change in body["apply"])
    return path in LEADERSHIP_PATHS or path.startswith("/grants")


@dataclass
class Recovery:
    """What users, workers and the state service saw of one change of leader."""

    load_s: float = 0.0  # from the beginning of the term
    page_count: int = 0  # of records that the new leader reads
    answers: Counter[str] = field(default_factory=Counter)  # by "answered", "refused", "unanswered"
    refused_leadership: int = 0  # requests for leases, elections and loading that got 429
    sent: Counter[int] = field(default_factory=Counter)  # requests to the state service by second
    lost_leases: int = 0


class QuestionsWorld(World):
    """A world with many active jobs, and a state service that refuses requests beyond its rate."""

    def __init__(self, job_count: int) -> None:
        super().__init__(seed=4, rps=RPS, write_rps=WRITE_RPS)
        self.recovery = Recovery()
        self.job_ids = [f"req-{100000 + n}" for n in range(job_count)]
        for job_id in self.job_ids:
            self._add_job(job_id)
        self.bucket = TokenBucket(RPS, RPS, self.now)
        self.unlimited_handle = self.state.handle
        self.state.handle = self.handle_within_rate  # type: ignore[method-assign]

    def _add_job(self, job_id: str) -> None:
        spec = submission(job_id, task_count=1, vcpus=8.0, estimated_run_s=600.0)
        self.specs[job_id] = spec
        self.accepted[job_id] = self.now()
        self.last_phases[job_id] = "queued"
        self.state.epoch += 1
        self.state.keys[records.job_key(job_id)] = (
            records.job_value(spec),
            self.state.epoch,
            None,
        )

    async def handle_within_rate(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> Answer:
        """Answer a request, or refuse it beyond the rate."""
        self.recovery.sent[int(self.now())] += 1
        if not self.bucket.try_acquire():
            self.recovery.refused_leadership += is_for_leadership(path, body)
            return Answer(429, {})
        answer = await self.unlimited_handle(method, path, query, body)
        return self._page(answer, query) if path == "/keys" else answer

    def _page(self, answer: Answer, query: dict[str, str]) -> Answer:
        self.recovery.page_count += 1
        rows, most = answer.body["rows"], int(query["most"])
        return Answer(200, answer.body | {"rows": rows[:most], "truncated": len(rows) > most})

    async def _question(self, job_id: str) -> None:
        running = [name for name, one in self.controllers.items() if one is not None]
        try:
            async with asyncio.timeout(ANSWER_WITHIN_S):
                phase = await self.ask(self.rng.choice(running), job_id)
            result = "refused" if phase == "later" else "answered"
        except TimeoutError:
            result = "unanswered"
        self.recovery.answers[result] += 1

    async def ask_periodically(self, times_as_often: int) -> None:
        """Ask about each job at its interval."""
        interval_s = ASK_INTERVAL_S / times_as_often / len(self.job_ids)
        while True:
            for job_id in self.job_ids:
                spawn(self, self._question(job_id))
                await asyncio.sleep(interval_s)


async def change_leader(job_count: int, times_as_often: int, watched_s: float) -> QuestionsWorld:
    """Crash the leader while users ask, and watch the next one load the records."""
    world = QuestionsWorld(job_count)
    leader = await loaded_leader(world)
    await asyncio.sleep(SETTLE_S)
    users = asyncio.create_task(world.ask_periodically(times_as_often))
    await asyncio.sleep(1.0)
    world.recovery = Recovery()
    incarnations = {name: worker.incarnation for name, worker in world.cloud.hosts.items()}
    await world.crash(leader.settings.member)
    crashed_at = world.now()
    spawn(world, boot_later(world, leader.settings.member, RESTART_S))
    while (leader := world.leader()) is None:  # type: ignore[assignment]
        await asyncio.sleep(CHECK_S)
    began_at, world.recovery.page_count = world.now(), 0
    while world.now() - began_at < MAX_LOAD_S:
        new = world.leader()
        if new is not None and new.term is not None and new.term.ledger.loaded:
            break
        await asyncio.sleep(CHECK_S)
    world.recovery.load_s = world.now() - began_at
    pages = world.recovery.page_count
    await asyncio.sleep(max(0.0, crashed_at + watched_s - world.now()))
    users.cancel()
    world.recovery.page_count = pages
    world.recovery.lost_leases = sum(
        worker.incarnation - incarnations.get(name, worker.incarnation)
        for name, worker in world.cloud.hosts.items()
    )
    return world
