"""The command line against a controller on loopback: output, exit codes and errors."""

from __future__ import annotations

import asyncio
import json
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from helpers import FLAVORS, settings, spec
from salthead.cli import main
from salthead.cli.client import ServiceClient
from salthead.cli.job_options import JOB_OPTIONS, JobOption
from salthead.controller.controller import Controller
from salthead.controller.handlers import ClientHandlers
from salthead.state_store import records
from test_http import FakeStateStore

FLAGS = ["--breed", "b", "--crew", "blue", "--kit", "img-1", "--uid", "req-5"]


@pytest.fixture(scope="module")
def address() -> Iterator[str]:
    loop = asyncio.new_event_loop()
    ready = threading.Event()
    found: dict[str, Any] = {}

    async def serve() -> None:
        state_store = FakeStateStore()
        controller = Controller(settings(), state_store=state_store)  # type: ignore[arg-type]
        state_store.rows[records.outcome_key("req-1")] = records.outcome_value(spec(), "done")
        state_store.rows[records.outcome_key("req-2")] = records.outcome_value(
            spec("req-2"), "aborted"
        )
        state_store.rows[records.job_key("req-3")] = records.job_value(spec("req-3"))
        controller.machine_types.update({found.name: found for found in FLAVORS})
        sock, port = bind_unused_port(address="127.0.0.1")
        server = HTTPServer(ClientHandlers(controller).router())
        server.add_socket(sock)
        found["address"] = f"127.0.0.1:{port}"
        ready.set()

    def work() -> None:
        loop.run_until_complete(serve())
        loop.run_forever()

    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    assert ready.wait(10)
    yield found["address"]
    loop.call_soon_threadsafe(loop.stop)
    thread.join(10)


def call(address: str, *words: str) -> Result:
    return CliRunner().invoke(
        main, [words[0], "--controller", address, "--timeout", "0", *words[1:]]
    )


@pytest.mark.parametrize(
    ("words", "code", "says"),
    [
        (["status", "req-1"], 0, "req-1: done, 2 done"),
        (["status", "req-1", "--wait"], 0, "req-1: done"),
        (["status", "req-2", "--wait"], 5, "req-2: aborted"),
        (["status", "req-3"], 0, "req-3: queued"),
        (["status", "req-4"], 4, "no such job"),
        (["cancel", "req-2"], 0, "aborted"),
        (["cancel", "req-3"], 3, "HTTP status 503"),
        (["submit", *FLAGS], 0, "req-5: queued"),
        (["submit", *FLAGS, "--crew", "green", "--uid", "req-6"], 1, "unknown team"),
        (["submit", *FLAGS, "--vcpus", "99"], 0, "req-5"),  # already accepted
        (["submit", "--crew", "blue"], 1, "breed"),
        (
            ["submit", *FLAGS, "--uid", "req-8", "--awaits", "req-3", "--awaits", "req-1"],
            0,
            "req-8: queued",
        ),
        (["submit", *FLAGS, "--uid", "req-9", "--awaits", "req-2"], 0, "req-9: aborted"),
        (["submit", *FLAGS, "--uid", "req-10", "--awaits", "req-4"], 1, "never accepted"),
        (["submit", *FLAGS, "--shape", "ring"], 2, "ring"),
        (["overview"], 3, "HTTP status 503"),
    ],
)
def test_words(address: str, words: list[str], code: int, says: str) -> None:
    result = call(address, *words)
    assert result.exit_code == code, result.output
    assert says in result.output
    assert "Traceback" not in result.output


def test_json_and_a_job_file(address: str, tmp_path: Path) -> None:
    path = tmp_path / "job.toml"
    path.write_text('breed = "b"\ncrew = "blue"\nkit = "img-1"\npieces = 3\nuid = "req-77"\n')
    result = call(address, "submit", "--file", str(path), "--json", "--pieces", "4")
    assert json.loads(result.output) == {"uid": "req-77", "phase": "queued"}
    path.write_text("pieces = ")
    assert call(address, "submit", "--file", str(path)).exit_code == 1
    path.write_text('crew = "blue"\ntask_count = 3\n')
    result = call(address, "submit", "--file", str(path))
    assert result.exit_code == 1 and result.output.count("\n") == 1
    assert "unknown field 'task_count'" in result.output


@pytest.mark.parametrize("option", JOB_OPTIONS, ids=lambda option: option.field)
def test_each_option_and_its_old_name_set_the_same_field(
    option: JobOption, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent: list[dict[str, Any]] = []

    def ask(client: ServiceClient, method: str, path: str, body: Any = None) -> Any:
        sent.append(body)
        return 201, {"uid": "req-7", "phase": "queued"}

    monkeypatch.setattr(ServiceClient, "ask", ask)
    word = {"shape": "gang", "urgency": "prod", "uid": "req-7"}.get(option.field, "7")
    words = [] if option.switch else [word]
    identity = [] if option.field == "uid" else ["--id", "req-7"]
    flags = [flag for flag in (option.flag, option.old_flag) if flag is not None]
    for flag in flags:
        result = call("127.0.0.1:1", "submit", *identity, flag, *words)
        assert result.exit_code == 0, result.output
    assert len(sent) == len(flags) and sent[0] == sent[-1]
    expected = True if option.switch else [word] if option.repeated else word
    assert str(sent[0][option.field]).removesuffix(".0") == str(expected)
    shown = CliRunner().invoke(main, ["submit", "--help"]).output
    assert option.flag in shown
    assert option.old_flag is None or f"{option.old_flag} " not in shown


def test_nobody_there_is_one_line() -> None:
    sock, port = bind_unused_port(address="127.0.0.1")
    sock.close()
    result = call(f"127.0.0.1:{port}", "status", "req-1")
    assert result.exit_code == 3
    assert result.output.count("\n") == 1 and result.output.startswith("Error: ")


def test_a_bad_address_is_a_usage_error() -> None:
    assert call("nowhere", "status", "req-1").exit_code == 2
