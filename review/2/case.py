"""Requests without an answer are carried out late: the end of a lease that is being led under."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
ROOT = FOLDER.parents[1]
sys.path[:0] = [str(ROOT / "review" / "lib"), str(ROOT / "target" / "deps")]

from cluster import BROKEN, HELD, PRAIRIE, Cluster, CouldNotRun, main, millis  # noqa: E402
from state import NO_ANSWER, State  # noqa: E402

LATE_S = 8.0  # how late the second request is carried out; the pages' days have 2 to 12 s


class Late(State):
    """Gives no answer to two requests of the first controller, and carries them out late."""

    note: Any
    armed = False
    held_txn: Any = None
    held_delete = ""
    delete_sent_at = 0.0
    carried_out_at: float | None = None
    txn_done = False

    async def intercept(
        self, node: str, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        if self.armed and node == "saltlick-0":
            if path == "/txn" and body["apply"][0].get("set") == "lead" and not self.held_txn:
                self.held_txn = body
                self.note(
                    "no answer", request="POST /txn (lead)", tether=body["apply"][0]["tether"]
                )
                return NO_ANSWER
            if method == "DELETE" and not self.held_delete:
                # The transaction is carried out now, more than two seconds after it was sent.
                status, answer = await self.execute("POST", "/txn", {}, self.held_txn)
                self.note("carried out late", request="POST /txn (lead)", status=status)
                self.txn_done = status == 200
                self.held_delete, self.delete_sent_at = path, time.monotonic()
                self.note("no answer", request=f"DELETE {path}")
                return NO_ANSWER
            if (
                self.held_delete
                and self.carried_out_at is None
                and path == f"{self.held_delete}/extend"
                and time.monotonic() - self.delete_sent_at > LATE_S
            ):
                answer = await self.execute(method, path, query, body)
                asyncio.get_running_loop().call_later(0.05, self.carry_out)
                return answer
        return await self.execute(method, path, query, body)

    def carry_out(self) -> None:
        self.carried_out_at = time.monotonic()
        self._end_lease(int(self.held_delete.split("/")[2]))
        late = millis(self.carried_out_at - self.delete_sent_at)
        self.note("carried out late", request=f"DELETE {self.held_delete}", late_ms=late)


async def case() -> int:
    state = Late(PRAIRIE["state"])
    async with Cluster(FOLDER, PRAIRIE, state) as c:
        state.note = c.note
        state.armed = c.trouble
        heard: list[tuple[float, int, int]] = []

        def note_heard(worker: Any, status: int, body: Any) -> None:
            if status == 200:
                heard.append((c.now(), worker.node, body.get("baton", 0)))
                c.note(
                    "report answered",
                    worker=worker.name,
                    node=c.names[worker.node],
                    baton=body.get("baton"),
                )

        c.fleet.heard = note_heard
        c.start(0)
        if c.trouble:
            await c.until("the late transaction", lambda: state.txn_done, 15.0)
        else:
            await c.until("a leader", lambda: c.leader() == 0, 15.0)
        c.start(1)
        c.start(2)
        await c.ready([0, 1, 2])
        spec = c.job(90.0)
        uid = spec["uid"]
        await c.submit(0, spec)
        await c.until(
            "the job runs",
            lambda: any(w.tasks for w in c.fleet.machines.values()),
            30.0,
        )
        if c.trouble:
            await c.until("the late end", lambda: state.carried_out_at is not None, 30.0)
            await c.until("the next leader", lambda: c.leader() in (1, 2), 9.0)
            c.note("elected", node=c.names[c.leader()])
            await asyncio.sleep(0.15)  # the user cancels a moment later
        else:
            await asyncio.sleep(LATE_S)
        told_at = 1e9
        answers: list[tuple[float, int, str]] = []
        ends = time.monotonic() + 8.0

        async def cancel(n: int) -> None:
            nonlocal told_at
            while time.monotonic() < ends:
                _, status, answer = await c.ask(n, "POST", f"/work/{uid}/cancel")
                if status == 200:
                    told_at = min(told_at, c.now())
                    return
                await asyncio.sleep(0.1)

        async def look(n: int) -> None:
            while time.monotonic() < ends:
                sent, status, answer = await c.ask(n, "GET", f"/work/{uid}", timeout=2.0)
                if status == 200:
                    answers.append((sent, n, answer["phase"]))
                await asyncio.sleep(0.1)

        await asyncio.gather(cancel(1), cancel(2), *(look(n) for n in range(3)))
        if told_at == 1e9:
            raise CouldNotRun("the cancellation was not confirmed")
        older = [a for a in answers if a[0] > told_at and a[2] != "aborted"]
        for sent, n, phase in older:
            c.note(
                "BROKEN went_back",
                node=c.names[n],
                sent_ms=millis(sent),
                phase=phase,
                told_aborted_ms=millis(told_at),
            )
        print(f"{len(older)} questions answered otherwise after the user was told aborted")
        return BROKEN if older else HELD


main(FOLDER, case)
