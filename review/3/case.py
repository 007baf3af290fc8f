"""A cancellation meets the end of its job, and the answers to two transactions are lost."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
ROOT = FOLDER.parents[1]
sys.path[:0] = [str(ROOT / "review" / "lib"), str(ROOT / "target" / "deps")]

from cluster import BROKEN, HELD, MOANA, Cluster, CouldNotRun, main, millis  # noqa: E402
from state import NO_ANSWER, State  # noqa: E402

LOST = 2  # transactions whose answers are lost, one after the other
LOOK_S = 14.0  # for how long the users ask


class LosesAnswers(State):
    """Carries out the transactions that end one job, and loses the answers to two of them."""

    note: Any
    ends = ""  # the key of the job's outcome, once answers are to be lost
    lost = 0

    async def intercept(
        self, node: str, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        answer = await self.execute(method, path, query, body)
        if path == "/txn" and self.ends and self.lost < LOST:
            if any(c.get("set") == self.ends for c in body["apply"]):
                self.lost += 1
                self.note("answer lost", node=node, status=answer[0], key=self.ends)
                return NO_ANSWER
        return answer


async def case() -> int:
    state = LosesAnswers(MOANA["state"])
    async with Cluster(FOLDER, MOANA, state) as c:
        state.note = c.note
        for n in range(3):
            c.start(n)
        await c.ready([0, 1, 2])
        await c.until("a leader", lambda: c.leader() is not None, 20.0)
        leader = c.leader()
        other = (leader + 1) % 3
        # The first job runs for a known time; the second needs it.
        first = c.job(20.0)
        uid, needs = first["uid"], c.job(5.0, awaits=[first["uid"]])
        await c.submit(leader, first)
        await c.submit(leader, needs)

        def task() -> Any:
            for worker in c.fleet.machines.values():
                for (piece, _), t in worker.tasks.items():
                    if piece == f"{uid}/0" and t["phase"] == "running":
                        return worker, t
            return None

        await c.until("the first job runs", lambda: task() is not None, 40.0)
        worker, running = task()
        await asyncio.sleep(2.0)  # its reports show it as running
        # It ends shortly after a report, so that the report of its end waits for the half second
        # that the protocol sets, and the user cancels just then.
        seen = worker.last_report_at
        await c.until("a report", lambda: worker.last_report_at > seen, 5.0)
        running["until"] = time.monotonic() + 0.1
        await c.until("the task has ended", lambda: task() is None, 5.0)
        if c.trouble:
            state.ends = f"over/{uid}"

        async def cancel() -> None:
            while True:
                _, status, _ = await c.ask(other, "POST", f"/work/{uid}/cancel")
                if status == 200:
                    return
                await asyncio.sleep(1.0)

        async def look(n: int, until: float) -> None:
            while time.monotonic() < until:
                sent, status, answer = await c.ask(n, "GET", f"/work/{needs['uid']}", timeout=2.0)
                if status == 200:
                    answers.append((sent, c.now(), n, answer["phase"]))
                await asyncio.sleep(0.2)

        answers: list[tuple[float, float, int, str]] = []
        ends = time.monotonic() + LOOK_S
        cancelling = asyncio.create_task(cancel())
        await asyncio.gather(*(look(n, ends) for n in range(3)))
        cancelling.cancel()
        told = [a for a in answers if a[3] == "aborted"]
        if c.trouble and not told:
            raise CouldNotRun("nobody was told that the job is cancelled")
        first_told = min((a[1] for a in told), default=1e9)
        older = [a for a in answers if a[3] != "aborted" and a[0] > first_told]
        for sent, _, n, phase in older:
            c.note(
                "BROKEN went_back",
                node=c.names[n],
                sent_ms=millis(sent),
                phase=phase,
                told_aborted_ms=millis(first_told),
            )
        print(f"{len(told)} answers aborted, {len(older)} later questions answered otherwise")
        return BROKEN if older else HELD


main(FOLDER, case)
