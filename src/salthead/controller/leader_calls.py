"""Calls to the leader by a controller that does not lead, for users and operators."""

from __future__ import annotations

from typing import Any

from salthead.controller.context import ControllerContext
from salthead.controller.job_cache import JobCache
from salthead.controller.leader_view import LeaderView
from salthead.errors import UnavailableError
from salthead.protocol import wire_names
from salthead.protocol.messages import JobStatus, MalformedMessageError, shape
from salthead.protocol.peer_messages import JobQuery
from salthead.transport.client import Answer, UnansweredError

OVERVIEW_TIMEOUT_S = 2.0


class LeaderCalls:
    """Calls to the leader that this controller knows."""

    def __init__(
        self, context: ControllerContext, leader_view: LeaderView, job_cache: JobCache
    ) -> None:
        self.context = context
        self.leader_view = leader_view
        self.job_cache = job_cache

    async def query_or_cancel_job(self, path: str, job_id: str, timeout: float) -> JobStatus | None:
        """Poll or cancel a job at the leader, by ``path``; None without a usable answer."""
        peer = self.context.peers.get(self.leader_view.member or "")
        if peer is None:
            return None
        try:
            answer = await peer.call("POST", path, JobQuery(job_id), timeout=timeout)
            status = self._decode_status(answer)
        except (UnansweredError, MalformedMessageError) as error:
            self.context.log_throttled("leader", error)
            return None
        if status is None or status.job_id != job_id:
            return None
        self._remember_outcome(status)
        return status

    def _remember_outcome(self, status: JobStatus) -> None:
        """Cache the outcome of a job that has ended, with the number of its tasks if it is done.

        The answer to a cancellation has no counts: that of a job which was done before does not say
        how many tasks it had.
        """
        if status.phase == wire_names.ABORTED:
            self.job_cache.remember_outcome(status.job_id, status.phase, 0)
        elif status.phase == wire_names.DONE and status.done:
            self.job_cache.remember_outcome(status.job_id, status.phase, status.done)

    @staticmethod
    def _decode_status(answer: Answer) -> JobStatus | None:
        return shape(answer.body, JobStatus) if answer.status == 200 else None

    async def overview(self) -> dict[str, Any]:
        """Return the leader's overview of queue and fleet.

        Raises UnavailableError if no leader is known or it refuses, and UnansweredError.
        """
        peer = self.context.peers.get(self.leader_view.member or "")
        if peer is None:
            raise UnavailableError("no leader")
        answer = await peer.call("POST", wire_names.PEER_OVERVIEW_PATH, timeout=OVERVIEW_TIMEOUT_S)
        if answer.status != 200:
            raise UnavailableError("no leader")
        return answer.body
