"""Simulated users who submit, poll and cancel jobs."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any

from builders.submissions import submission_fields
from salthead.controller.controller import Controller
from salthead.errors import InvalidJobError
from salthead.protocol.messages import MalformedMessageError, Submission, encode
from standins.rules import TERMINAL_PHASES
from standins.service_rules import ServiceRules

ATTEMPTS, RETRY_S = 200, 1.0
POLL_INTERVAL_S = 3.0
MAX_ANSWER_S = 75.0  # counted from the end of the faults


class Users(ServiceRules):
    """User requests to controllers, with checks of the answers."""

    check_task: asyncio.Task[None]  # runs the periodic checks

    async def ask_until_decided(
        self, work: Callable[[Controller], Coroutine[Any, Any, Any]]
    ) -> Any:
        """Call random running controllers until one gives a definite answer, and return it."""
        for _ in range(ATTEMPTS):
            running = [name for name, one in self.controllers.items() if one is not None]
            if running:
                name = self.rng.choice(running)
                controller = self.controllers[name]
                assert controller is not None
                with contextlib.suppress(*self.versions[name].undecided_errors):
                    return await work(controller)
            await asyncio.sleep(RETRY_S)
        raise AssertionError("no controller gave a definite answer")

    async def submit(self, job: Submission) -> int:
        """Submit a job, with retries, and return the status of the definite answer."""
        self.specs[job.job_id] = job
        requested_at = self.now()
        try:
            status, answer = await self.ask_until_decided(
                lambda controller: self._submit_to(controller, job)
            )
        except MalformedMessageError:
            return 400
        except InvalidJobError:
            return 422
        self.last_phases.setdefault(job.job_id, "queued")
        self.accepted.setdefault(job.job_id, self.now())
        self.check_phase(job.job_id, answer["phase"], requested_at)
        return int(status)

    def _submit_to(self, controller: Controller, job: Submission) -> Coroutine[Any, Any, Any]:
        version = self.version_of(controller)
        return version.submit(controller, encode(submission_fields(job)))

    async def cancel(self, job_id: str) -> str:
        """Cancel a job, with retries, and return the phase in the definite answer."""
        self.cancel_requested.add(job_id)
        requested_at = self.now()
        answer = await self.ask_until_decided(lambda one: self.version_of(one).cancel(one, job_id))
        self.check_phase(job_id, answer["phase"], requested_at)
        return str(answer["phase"])

    async def poll(self, job_id: str) -> str | None:
        """Poll a job, with retries, and return its phase; None for 404."""
        requested_at = self.now()
        answer = await self.ask_until_decided(lambda one: self.version_of(one).poll(one, job_id))
        if self.now() - max(requested_at, self.faults_end_at) > MAX_ANSWER_S:
            self.broken.append(f"forgotten {job_id}: not answered")
        if answer is None:
            self.check_unknown_job(job_id, requested_at)
            return None
        self.check_phase(job_id, answer["phase"], requested_at)
        return str(answer["phase"])

    async def ask(self, name: str, job_id: str, action: str = "poll") -> str:
        """Send one request to one controller.

        Return the phase in its answer, ``none`` for 404, ``later`` for 503 and ``refused`` for an
        invalid request.
        """
        controller = self.controllers[name]
        if controller is None:
            return "later"
        requested_at = self.now()
        if action == "cancel":
            self.cancel_requested.add(job_id)
        try:
            answer = await self._send_request(controller, job_id, action)
        except (MalformedMessageError, InvalidJobError) as error:
            if job_id in self.accepted:
                self.broken.append(f"forgotten {job_id}: a repeat is refused, {error}")
            return "refused"
        except self.versions[name].undecided_errors:
            return "later"
        if answer is None:
            self.check_unknown_job(job_id, requested_at)
            return "none"
        self.check_phase(job_id, answer["phase"], requested_at)
        return str(answer["phase"])

    async def _send_request(
        self, controller: Controller, job_id: str, action: str
    ) -> dict[str, Any] | None:
        version = self.version_of(controller)
        if action == "submit":
            _, status = await self._submit_to(controller, self.specs[job_id])
            return status  # type: ignore[no-any-return]
        if action == "cancel":
            return await version.cancel(controller, job_id)
        return await version.poll(controller, job_id)

    async def poll_until_terminal(self, limit_s: float = 400.0) -> None:
        """Poll all accepted jobs until each is in a terminal phase."""
        ends_at = self.now() + limit_s
        while self.now() < ends_at:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.check_task.done():
                self.check_task.result()  # raises if the checker itself has failed
            for job_id in list(self.last_phases):
                await self.poll(job_id)
            if all(phase in TERMINAL_PHASES for phase in self.last_phases.values()):
                return
        raise AssertionError(f"not over: {self.last_phases}")
