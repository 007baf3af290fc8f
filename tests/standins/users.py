"""Users of the stand-in world: they submit jobs, ask about them and cancel them."""

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
MAX_ANSWER_S = 75.0  # after the troubles


class Users(ServiceRules):
    """Asks controllers as users do, and checks what they answer."""

    watching: asyncio.Task[None]  # the checks of what is on machines

    async def user(self, work: Callable[[Controller], Coroutine[Any, Any, Any]]) -> Any:
        """Ask some controller that is up until one decides; returns its answer."""
        for _ in range(ATTEMPTS):
            running = [name for name, one in self.controllers.items() if one is not None]
            if running:
                name = self.rng.choice(running)
                controller = self.controllers[name]
                assert controller is not None
                with contextlib.suppress(*self.versions[name].undecided_errors):
                    return await work(controller)
            await asyncio.sleep(RETRY_S)
        raise AssertionError("no node ever decided")

    async def submit(self, job: Submission) -> int:
        """Submit a job until it is decided; return the status of the answer."""
        self.specs[job.job_id] = job
        began = self.now()
        try:
            status, answer = await self.user(lambda controller: self._submit_to(controller, job))
        except MalformedMessageError:
            return 400
        except InvalidJobError:
            return 422
        self.told.setdefault(job.job_id, "queued")
        self.accepted.setdefault(job.job_id, self.now())
        self.hear(job.job_id, answer["phase"], began)
        return int(status)

    def _submit_to(self, controller: Controller, job: Submission) -> Coroutine[Any, Any, Any]:
        version = self.version_of(controller)
        return version.submit(controller, encode(submission_fields(job)))

    async def cancel(self, job_id: str) -> str:
        """Cancel a job until that is decided; return the phase that is told."""
        self.asked.add(job_id)
        began = self.now()
        answer = await self.user(lambda one: self.version_of(one).cancel(one, job_id))
        self.hear(job_id, answer["phase"], began)
        return str(answer["phase"])

    async def poll(self, job_id: str) -> str | None:
        """Ask for a job's phase until it is told; None is 404."""
        began = self.now()
        answer = await self.user(lambda one: self.version_of(one).poll(one, job_id))
        if self.now() - max(began, self.trouble_until) > MAX_ANSWER_S:
            self.broken.append(f"forgotten {job_id}: not answered")
        if answer is None:
            self.told_unknown(job_id, began)
            return None
        self.hear(job_id, answer["phase"], began)
        return str(answer["phase"])

    async def ask(self, name: str, job_id: str, what: str = "poll") -> str:
        """Ask one controller once: the phase that it tells, ``none`` for 404, ``later`` for 503."""
        controller = self.controllers[name]
        if controller is None:
            return "later"
        began = self.now()
        if what == "cancel":
            self.asked.add(job_id)
        try:
            answer = await self._ask(controller, job_id, what)
        except (MalformedMessageError, InvalidJobError) as error:
            if job_id in self.accepted:
                self.broken.append(f"forgotten {job_id}: a repeat is refused, {error}")
            return "refused"
        except self.versions[name].undecided_errors:
            return "later"
        if answer is None:
            self.told_unknown(job_id, began)
            return "none"
        self.hear(job_id, answer["phase"], began)
        return str(answer["phase"])

    async def _ask(self, controller: Controller, job_id: str, what: str) -> dict[str, Any] | None:
        version = self.version_of(controller)
        if what == "submit":
            _, status = await self._submit_to(controller, self.specs[job_id])
            return status  # type: ignore[no-any-return]
        if what == "cancel":
            return await version.cancel(controller, job_id)
        return await version.poll(controller, job_id)

    async def until_over(self, limit_s: float = 400.0) -> None:
        """Poll all accepted jobs until each is done or cancelled."""
        ends_at = self.now() + limit_s
        while self.now() < ends_at:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.watching.done():
                self.watching.result()  # the checker itself has failed
            for job_id in list(self.told):
                await self.poll(job_id)
            if all(phase in TERMINAL_PHASES for phase in self.told.values()):
                return
        raise AssertionError(f"not over: {self.told}")
