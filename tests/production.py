"""Access to the version in production, taken from the git history, next to the current version.

``deploy/service.toml`` names its commit. Its sources are extracted to ``target/`` as a package of
another name, so that one process can import both versions and connect them in the simulated world.
Without the git history the tests that need that version fail with an error that says so.

    python3 tests/production.py        regenerates tests/fixtures/production.json from that commit
"""

from __future__ import annotations

import functools
import importlib
import io
import json
import re
import subprocess
import sys
import tarfile
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

ROOT = Path(__file__).resolve().parent.parent
FIXTURES = ROOT / "tests" / "fixtures" / "production.json"
PRODUCTION_PACKAGE = "salthead_production"


def commit() -> str:
    """Return the commit of the version in production."""
    service = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    return str(service["production"])


def extract_sources() -> Path:
    """Extract the package in production under another name; return the folder for ``sys.path``."""
    folder = ROOT / "target" / "production" / commit()
    if not (folder / "whole").exists():
        with tarfile.open(fileobj=io.BytesIO(_archive())) as tar:
            for member in tar.getmembers():
                if member.isfile() and member.name.endswith(".py"):
                    _write_module(tar, member, folder)
        (folder / "whole").touch()
    return folder


def _archive() -> bytes:
    """Return the sources of the version in production as a tar file."""
    archived = subprocess.run(
        ["git", "-C", str(ROOT), "archive", commit(), "src/salthead"], capture_output=True
    )
    if archived.returncode != 0:
        raise RuntimeError(
            f"the git history lacks {commit()}, the version in production: "
            f"{archived.stderr.decode().strip()}; fetch the full history"
        )
    return archived.stdout


def _write_module(tar: tarfile.TarFile, member: tarfile.TarInfo, folder: Path) -> None:
    """Write a module with its imports changed to the package's other name."""
    path = folder / PRODUCTION_PACKAGE / Path(member.name).relative_to("src/salthead")
    path.parent.mkdir(parents=True, exist_ok=True)
    file = tar.extractfile(member)
    assert file is not None
    text = file.read().decode()
    path.write_text(re.sub(r"\b(from|import) salthead\b", rf"\1 {PRODUCTION_PACKAGE}", text))


@dataclass(frozen=True)
class Version:
    """Uniform access to one salthead version, for the simulated world and the tests."""

    package: str

    def module(self, name: str) -> Any:
        """Import a module of this version."""
        return importlib.import_module(f"{self.package}.{name}")

    @property
    def controller(self) -> Any:
        """The controller class."""
        if self.package == PRODUCTION_PACKAGE:
            return self.module("service").Node
        return self.module("controller.controller").Controller

    @property
    def settings(self) -> Any:
        """The settings class."""
        return self.module("settings").Settings

    @property
    def unanswered(self) -> type[Exception]:
        """The error class of a call without an answer."""
        name = "Unanswered" if self.package == PRODUCTION_PACKAGE else "UnansweredError"
        return getattr(self.module("transport.client"), name)  # type: ignore[no-any-return]

    @property
    def undecided_errors(self) -> tuple[type[Exception], ...]:
        """The error classes for which a controller answers 503."""
        if self.package == PRODUCTION_PACKAGE:
            return self.module("transport.server").CANT_NOW  # type: ignore[no-any-return]
        return self.module("controller.handlers").UNDECIDED_ERRORS  # type: ignore[no-any-return]

    @property
    def messages(self) -> Any:
        """The module of the messages."""
        return self.module("protocol.messages")

    @property
    def validation(self) -> Any:
        """The module that decodes submissions and heartbeats."""
        return self.module(
            "protocol.messages" if self.package == PRODUCTION_PACKAGE else "protocol.validation"
        )

    def handle_heartbeat(self, controller: Any, message: bytes) -> tuple[int, dict[str, Any]]:
        """Return the status and the body of the answer to an encoded heartbeat."""
        if self.package == PRODUCTION_PACKAGE:
            return controller.on_report(  # type: ignore[no-any-return]
                self.messages.decode_report(message)
            )
        try:
            answer = controller.heartbeats.handle(self.validation.decode_heartbeat(message))
        except self.module("errors").UnavailableError as error:
            return 503, {"error": str(error)}
        redirect = isinstance(answer, self.messages.LeaderRedirect)
        return 421 if redirect else 200, msgspec.to_builtins(answer)

    async def submit(
        self, controller: Any, submission: bytes, forwarded: bool = False
    ) -> tuple[int, dict[str, Any]]:
        """Return the status and the body of the answer to an encoded submission."""
        job = self.validation.decode_submission(submission)
        if self.package == PRODUCTION_PACKAGE:
            return await controller.submit(job, forwarded)  # type: ignore[no-any-return]
        status, created = await controller.submissions.submit(job, forwarded)
        return 201 if created else 200, msgspec.to_builtins(status)

    async def poll(self, controller: Any, job_id: str) -> dict[str, Any] | None:
        """Return the status of a job; None for 404."""
        owner = controller if self.package == PRODUCTION_PACKAGE else controller.job_status
        return msgspec.to_builtins(await owner.poll(job_id))  # type: ignore[no-any-return]

    async def cancel(self, controller: Any, job_id: str) -> dict[str, Any] | None:
        """Cancel a job and return its status; None for 404."""
        owner = controller if self.package == PRODUCTION_PACKAGE else controller.job_status
        return msgspec.to_builtins(await owner.cancel(job_id))  # type: ignore[no-any-return]

    async def poll_at_leader(
        self, controller: Any, term: Any, job_id: str
    ) -> dict[str, Any] | None:
        """Return the leader's answer to a peer that polls a job; None for 404."""
        if self.package == PRODUCTION_PACKAGE:
            status = await controller.poll_here(term, job_id)
        else:
            status = await controller.job_status.as_leader(term, job_id)
        return msgspec.to_builtins(status)  # type: ignore[no-any-return]

    def withhold_vote(self, controller: Any, member: str) -> Any:
        """Return an awaitable that tells whether the controller withholds its vote."""
        if self.package == PRODUCTION_PACKAGE:
            return controller.promise(member)
        return controller.election.withhold_vote(member)

    def connectivity_report(self, controller: Any, to_leader: bool) -> dict[str, Any]:
        """Return the connectivity report that a controller sends to a peer."""
        if self.package == PRODUCTION_PACKAGE:
            return controller.knocks_body()  # type: ignore[no-any-return]
        report = controller.connectivity.report(to_leader)
        return msgspec.to_builtins(report)  # type: ignore[no-any-return]

    def fencing_token(self, term: Any) -> int:
        """Return the fencing token of a term."""
        return int(term.token if self.package == PRODUCTION_PACKAGE else term.fencing_token)

    @property
    def records(self) -> Any:
        """The module that encodes the records in the state service."""
        return self.module(
            "bookkeeping.records" if self.package == PRODUCTION_PACKAGE else "state_store.records"
        )

    @property
    def pages(self) -> Any:
        """The class of paged records."""
        package = "bookkeeping" if self.package == PRODUCTION_PACKAGE else "state_store"
        return self.module(f"{package}.pages").Pages


THIS = Version("salthead")


@functools.cache
def production() -> Version:
    """Extract the version in production and return it, ready for import."""
    folder = str(extract_sources())
    if folder not in sys.path:
        sys.path.append(folder)
    return Version(PRODUCTION_PACKAGE)


def fixtures() -> dict[str, Any]:
    """Return records and messages as the version in production encodes them."""
    old = production()
    records, messages = old.records, old.messages
    spec = messages.shape(
        {
            "uid": "req-000041",
            "breed": "b",
            "crew": "blue",
            "shape": "array",
            "urgency": "normal",
            "pieces": 900,
            "vcpus": 2.0,
            "ram_gb": 4.0,
            "guess_s": 20.0,
            "at": 1000.0,
            "due_s": 90.0,
            "builds": ["small"],
            "borrowed": True,
        },
        messages.Submission,
    )
    size = records.part_size(16.0)
    done = [n for n in range(900) if n % 2 == 0 or n > 870]
    parts = old.pages(records.PARTS, 16.0)
    for part in range(900 // size + 1):
        own = [n - part * size for n in done if n // size == part]
        parts.set(records.part_name(spec.uid, part), records.to_ranges(own))
    roster = old.pages(records.ROSTER, 16.0)
    for n in range(400):
        roster.set(f"host-{n:06d}", ["small", "north", n % 3 == 0, f"10.1.{n // 250}.{n % 250}:9"])
    return {
        "commit": commit(),
        "value_kb": 16.0,
        "done": done,
        "job": records.job_value(spec),
        "over": records.over_value(spec, "done"),
        "parts": {parts.key(n): page for n, page in parts.pages.items()},
        "roster": {roster.key(n): page for n, page in roster.pages.items()},
        "flavors": {
            "builds": [
                {"name": "small", "vcpus": 8, "ram_gb": 32, "rate": 1.0, "paddocks": ["north"]}
            ]
        },
        "status": messages.status_body("req-000041", "running", 3, 4),
    }


if __name__ == "__main__":
    sys.path[:0] = [str(ROOT / "target" / "deps")]
    FIXTURES.parent.mkdir(exist_ok=True)
    FIXTURES.write_text(json.dumps(fixtures(), separators=(",", ":"), sort_keys=True) + "\n")
    print(f"{FIXTURES.relative_to(ROOT)} from {commit()}")
