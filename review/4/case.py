"""Users cancel the first job of a short pipeline while answers of the state service are slow."""

import asyncio
import sys
import time
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parents[1] / "lib2")]

from scene import MEMBERS, MOANA, Scene, job, run  # noqa: E402
from state import Treatment  # noqa: E402

PIPELINES, APART_S = 12, 2.4
READ_S, WATCH_S = 0.3, 0.5  # of the slow answers
CANCEL_AFTER_S = (0.5, 0.62)  # after the second job was accepted


async def play(scene: Scene) -> None:
    cancel_s = scene.site["workers"]["cancel_s"]
    leader = await scene.start_all()
    others = [member for member in MEMBERS if member != leader]
    told: dict[str, float] = {}
    started: set[str] = set()

    def treat(controller, method, path, body):
        if path == "/changes":
            return Treatment(answer_after_s=WATCH_S)
        if method == "GET":
            return Treatment(answer_after_s=READ_S)
        return None

    def note_task(what, worker, key, why):
        scene._note_task(what, worker, key, why)
        job_id = key[0].rpartition("/")[0]
        if what == "on" and job_id in told:
            scene.note(f"{key[0]} is on {worker.name} {scene.now() - told[job_id]:.2f} s after its "
                       "user was told that it is cancelled")

    scene.fleet.on_task = note_task
    if scene.trouble:
        scene.state.treat = treat
        scene.note("from now on answers to reads and watches are slow")

    async def pipeline(n: int) -> None:
        first, second = f"req-{2 * n:06d}", f"req-{2 * n + 1:06d}"
        status, _ = await scene.submit(others, job(first, run_s=70.0, guess_s=70.0))
        assert status in (200, 201), status
        status, _ = await scene.submit([leader, *others], job(second, awaits=[first]))
        assert status in (200, 201), status
        await asyncio.sleep(scene.rng.uniform(*CANCEL_AFTER_S))
        status, answer = await scene.cancel(others, first)
        if answer["phase"] == "aborted":
            told[first] = scene.now()

    users = []
    for n in range(1, PIPELINES + 1):
        users.append(asyncio.ensure_future(pipeline(n)))
        await asyncio.sleep(APART_S)
    await asyncio.gather(*users)
    scene.state.treat = lambda *_: None
    scene.note("answers are quick again")
    late: set[str] = set()
    while scene.now() < max(told.values()) + cancel_s + 2.0:
        await asyncio.sleep(0.2)
        for job_id in [job_id for job_id in told if job_id not in late]:
            after_s = scene.now() - told[job_id]
            if after_s > cancel_s and (names := scene.on_machines(job_id)):
                late.add(job_id)
                scene.breach(f"ran_cancelled: {job_id} is on {names[0]} {after_s:.1f} s after its "
                             f"user was told that it is cancelled; cancel_s is {cancel_s:g}")


run(str(Path(__file__).parent), MOANA, play)
