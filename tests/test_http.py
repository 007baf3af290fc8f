"""The HTTP server over loopback: status codes, size limits, and answers during outages."""

from __future__ import annotations

import socket
from typing import Any

import cbor2
import msgspec
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.iostream import IOStream
from tornado.testing import AsyncHTTPTestCase, gen_test

from helpers import FLAVORS, settings
from salthead.controller.controller import Controller
from salthead.controller.handlers import ClientHandlers
from salthead.protocol.messages import Submission, encode
from salthead.state_store import records
from salthead.state_store.messages import ConflictError, Put, RequestRefusedError, VersionedValue

JOB: dict[str, Any] = {
    "uid": "req-7",
    "breed": "b",
    "crew": "blue",
    "shape": "array",
    "urgency": "normal",
    "pieces": 2,
    "vcpus": 2.0,
    "ram_gb": 4.0,
    "accelerators": 0.0,
    "kit": "img-1",
    "image_gb": 1.0,
    "same_place": False,
    "apart": False,
    "borrowed": False,
    "guess_s": 5.0,
    "cairn_s": 0.0,
    "stow_s": 0.0,
}


class FakeStateStore:
    """A minimal state store: rows by key, or an outage."""

    def __init__(self) -> None:
        self.rows: dict[str, Any] = {}
        self.down = False
        self.last_response_at = float("inf")

    async def get(self, key: str, *_: Any, **__: Any) -> Any:
        if self.down:
            raise RequestRefusedError(503, key)
        return VersionedValue(self.rows[key], 1) if key in self.rows else None

    async def transaction(self, conditions: dict[str, int], operations: list[Put], **_: Any) -> int:
        if self.down:
            raise RequestRefusedError(503, "txn")
        failed = [key for key in conditions if key in self.rows]
        if failed:
            raise ConflictError(failed)
        for change in operations:
            self.rows[change.key] = change.value
        return 1


class HttpTest(AsyncHTTPTestCase):
    def get_app(self) -> HTTPServerConnectionDelegate:  # type: ignore[override]
        self.state_store = FakeStateStore()
        self.controller = Controller(settings(), state_store=self.state_store)  # type: ignore[arg-type]
        self.controller.machine_types.update({found.name: found for found in FLAVORS})
        return ClientHandlers(self.controller).router()

    def ask(self, method: str, path: str, body: bytes | None = None) -> tuple[int, Any, Any]:
        answer = self.fetch(path, method=method, body=body)
        return answer.code, cbor2.loads(answer.body) if answer.body else None, answer.headers

    def test_submissions(self) -> None:
        table = [
            (JOB, 201),
            (JOB, 200),
            (JOB | {"uid": "x"}, 400),
            (JOB | {"shape": "daemon", "uid": "req-8"}, 400),
            (JOB | {"crew": "green", "uid": "req-9"}, 422),
            (JOB | {"vcpus": 33.0, "uid": "req-10"}, 422),
            (JOB | {"builds": ["none"], "uid": "req-11"}, 422),
            (JOB | {"shape": "gang", "pieces": 40, "uid": "req-12"}, 422),
            (JOB | {"accelerators": 3.0, "uid": "req-13"}, 422),
            # A job that was accepted before is not refused, whatever the settings are now.
            (JOB | {"crew": "green"}, 200),
        ]
        for body, status in table:
            got, answer, _ = self.ask("POST", "/work", encode(body))
            assert got == status, (body, got, answer)
        assert self.ask("POST", "/work", b"\xff")[0] == 400
        assert self.ask("POST", "/work", encode(JOB | {"kit": "k" * 70_000}))[0] == 400

    def test_what_cant_be_decided_is_answered_at_once_with_a_time_to_come_back(self) -> None:
        self.state_store.down = True
        for method, path, body in (
            ("POST", "/work", encode(JOB)),
            ("GET", "/work/req-7", None),
            ("POST", "/work/req-7/cancel", encode({})),
        ):
            status, _, headers = self.ask(method, path, body)
            assert status == 503 and int(headers["Retry-After"]) >= 1, path
        self.state_store.down = False
        self.controller.machine_types.clear()
        assert self.ask("POST", "/work", encode(JOB))[0] == 503
        assert self.ask("GET", "/up")[0] == 503

    def test_submissions_are_shed_first(self) -> None:
        for lag, submitting, status in ((0.6, 0, 503), (0.0, 40, 503), (0.1, 39, 201)):
            self.controller.load.lag_s = lag
            self.controller.load.submissions_in_progress = submitting
            got, _, headers = self.ask("POST", "/work", encode(JOB))
            assert got == status, (lag, submitting)
            assert status == 201 or "Retry-After" in headers
            self.state_store.rows.clear()
        self.controller.load.lag_s = 9.0
        assert self.ask("GET", "/work/req-7")[0] == 404, "polls are answered"
        heartbeat = encode({"saltlick": "h", "tenure": 1, "tally": 1, "pieces": []})
        self.controller.leader_view.member = "n2"
        assert self.ask("POST", "/hello", heartbeat)[0] == 421, "reports are answered"

    def test_polls_and_cancels(self) -> None:
        spec = msgspec.convert(JOB, Submission)
        self.state_store.rows[records.job_key("req-7")] = records.job_value(spec)
        self.state_store.rows[records.outcome_key("req-6")] = records.outcome_value(spec, "done")
        table = [
            ("GET", "/work/req-7", 200, "queued"),
            ("GET", "/work/req-6", 200, "done"),
            ("GET", "/work/req-5", 404, None),
            ("GET", "/work/nonsense", 404, None),
            ("POST", "/work/req-6/cancel", 200, "done"),
            ("POST", "/work/req-7/cancel", 503, None),  # only the leader decides
            ("POST", "/work/req-5/cancel", 404, None),
            ("GET", "/nowhere", 404, None),
            ("GET", "/up", 200, None),
        ]
        for method, path, status, phase in table:
            got, answer, _ = self.ask(method, path, encode({}) if method == "POST" else None)
            assert got == status, (path, got)
            assert answer.get("phase") == phase, path
        self.state_store.down = True
        assert self.ask("GET", "/work/req-6")[0] == 200, "an outcome never changes"

    def test_reports_to_a_node_that_does_not_lead(self) -> None:
        heartbeat = encode({"saltlick": "h", "tenure": 1, "tally": 1, "pieces": []})
        assert self.ask("POST", "/hello", heartbeat)[0] == 503
        self.controller.leader_view.member = "n2"
        status, answer, _ = self.ask("POST", "/hello", heartbeat)
        assert (status, answer) == (421, {"herder": "n2"})

    def test_metrics_page(self) -> None:
        self.ask("GET", "/up")
        answer = self.fetch("/metrics")
        assert answer.code == 200 and b"salthead_request_seconds_bucket" in answer.body

    @gen_test
    async def test_a_connection_that_stays_gets_the_heads_that_one_that_ends_gets(self) -> None:
        async def ask(stream: IOStream, path: str, *headers: str) -> tuple[list[str], bytes]:
            lines = [f"GET {path} HTTP/1.1", "Host: here", *headers, "", ""]
            await stream.write("\r\n".join(lines).encode())
            head = (await stream.read_until(b"\r\n\r\n")).decode().split("\r\n")
            length = next(int(line.split()[1]) for line in head if "Content-Length" in line)
            return sorted(head), await stream.read_bytes(length)

        async def connect() -> IOStream:
            stream = IOStream(socket.socket())
            await stream.connect(("127.0.0.1", self.get_http_port()))
            return stream

        staying = await connect()
        self.controller.machine_types.clear()
        for path, status in (
            ("/up", 503),
            ("/work/nonsense", 404),
            ("/nowhere", 404),
            ("/metrics", 200),
            ("/hello", 405),
            ("/up", 503),
        ):
            ending = await connect()
            head, body = await ask(staying, path)
            other_head, other_body = await ask(ending, path, "Connection: close")
            assert f" {status} " in next(line for line in head if line.startswith("HTTP"))
            if path != "/metrics":  # its values change between the two requests
                assert body == other_body
                assert [*head, "Connection: close"] == [
                    *(line for line in other_head if line != "Connection: close"),
                    "Connection: close",
                ]
            assert "Connection: close" in other_head
            assert await ending.read_until_close() == b"", "it is closed, as was asked"
        staying.close()
