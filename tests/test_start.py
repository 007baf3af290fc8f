"""Start of a controller: the choice of sources, and a process that answers requests."""

from __future__ import annotations

import asyncio
import contextlib
import http.client
import os
import random
import subprocess
import sys
import time
from pathlib import Path

import cbor2
import pytest
import run

from local_setup import end_other_tasks, free_port, settings_file

START_S = 30.0


@pytest.mark.parametrize(
    ("built", "source_newer", "expected"),
    [(False, False, "src"), (True, False, "app"), (True, True, "src")],
)
def test_the_built_copy_is_used_while_no_source_is_newer(
    built: bool, source_newer: bool, expected: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    sources, copy = tmp_path / "src", tmp_path / "app"
    (sources / "package").mkdir(parents=True)
    module = sources / "package" / "module.py"
    module.write_text("")
    if built:
        copy.mkdir()
        os.utime(copy, (1000.0, 1000.0))
    age = 1001.0 if source_newer else 999.0
    os.utime(module, (age, age))
    monkeypatch.setattr(run, "SOURCES", sources)
    monkeypatch.setattr(run, "BUILT", copy)
    assert run.package_folder().name == expected


def test_a_controller_process_answers(tmp_path: Path) -> None:
    # Without cloud and state service it can serve little, but it answers at once.
    client, cluster, nobody = (f"127.0.0.1:{free_port()}" for _ in range(3))
    settings = tmp_path / "n0.toml"
    settings_file(settings, 0, [(client, cluster)], nobody, nobody)
    with subprocess.Popen(
        [sys.executable, str(run.ROOT / "run.py"), "--config", str(settings)],
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        try:
            end = time.monotonic() + START_S
            while True:
                try:
                    connection = http.client.HTTPConnection(client, timeout=5.0)
                    connection.request("GET", "/up")
                    break
                except OSError:
                    assert process.poll() is None and time.monotonic() < end
                    time.sleep(0.05)
            answer = connection.getresponse()
            assert answer.status == 503 and answer.headers["Retry-After"]
            assert cbor2.loads(answer.read())["error"]
            connection.request("GET", "/work/nonsense")
            assert connection.getresponse().status == 404
        finally:
            process.kill()


def test_tasks_that_lose_a_cancellation_are_ended_all_the_same() -> None:
    # asyncio.run cancels each task only once, so a task that swallows a cancellation made a run of
    # test_zone_loopback.py hang at its end.
    async def ignore_cancellations() -> None:
        for _ in range(3):
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(60.0)

    async def scenario() -> bool:
        task = asyncio.create_task(ignore_cancellations())
        await asyncio.sleep(0.01)
        await end_other_tasks()
        return task.done()

    assert asyncio.run(scenario())


def test_no_port_is_returned_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a controller that can't listen, since two were given the same port.
    first = free_port()
    ports = iter(range(first, first + 1000))
    monkeypatch.setattr(random.SystemRandom, "randrange", lambda *_: next(ports))
    assert free_port() != first
