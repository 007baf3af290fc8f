"""The two HTTP interfaces of a controller: for users, workers and operators, and for its peers.

This module alone chooses status codes: the rest of the controller returns typed answers or raises
errors.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from salthead import metrics
from salthead.controller.controller import Controller
from salthead.controller.job_status import STATUS_TIMEOUT_S
from salthead.errors import InvalidJobError, UnavailableError
from salthead.event_log import event
from salthead.leader.term import Term
from salthead.protocol import wire_names
from salthead.protocol.messages import (
    JOB_ID,
    ErrorAnswer,
    JobStatus,
    LeaderRedirect,
    MalformedMessageError,
    ReadyAnswer,
)
from salthead.protocol.peer_messages import (
    WithholdVoteAnswer,
    decode_connectivity_query,
    decode_job_query,
    decode_withhold_vote,
)
from salthead.protocol.validation import decode_heartbeat, decode_submission, submitted_job_id
from salthead.state_store.messages import ConflictError, LeaseExpiredError, RequestRefusedError
from salthead.transport.client import UnansweredError
from salthead.transport.http import PrefixRoutes, Reply, Request, Route, Router

log = logging.getLogger(__name__)

# Errors answered with 503: the result is not known now, and a retry may succeed.
UNDECIDED_ERRORS = (
    UnavailableError,
    RequestRefusedError,
    UnansweredError,
    LeaseExpiredError,
    ConflictError,
)
MAX_ERROR_CHARS = 200
# A user waits 2 s for the status of a job.
USER_POLL_DEADLINE_S = 1.8
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"

StatusLookup = Callable[[str], Awaitable[JobStatus | None]]


def _error_reply(status: int, reason: object) -> Reply:
    return Reply(status, ErrorAnswer(str(reason)[:MAX_ERROR_CHARS]))


async def _poll_reply(job_id: str, lookup: StatusLookup, deadline_s: float) -> Reply:
    """Answer a question by a lookup that ends when whoever asks has given up."""
    try:
        async with asyncio.timeout(deadline_s):
            return await _job_reply(job_id, lookup)
    except TimeoutError:
        return _error_reply(HTTPStatus.SERVICE_UNAVAILABLE, "not known in time")


async def _job_reply(job_id: str, lookup: StatusLookup) -> Reply:
    """Return the answer for one job: its status, 404 if it is unknown, or 503."""
    if not JOB_ID.match(job_id):
        return _error_reply(HTTPStatus.NOT_FOUND, "no such job")
    try:
        status = await lookup(job_id)
    except UNDECIDED_ERRORS as error:
        return _error_reply(HTTPStatus.SERVICE_UNAVAILABLE, error)
    if status is None:
        return _error_reply(HTTPStatus.NOT_FOUND, "no such job")
    return Reply(HTTPStatus.OK, status)


async def _submit_reply(controller: Controller, request: Request, forwarded: bool) -> Reply:
    try:
        submission = decode_submission(request.body, forwarded)
        status, created = await controller.submissions.submit(submission, forwarded)
    except MalformedMessageError as error:
        return await _malformed_reply(controller, request, error)
    except InvalidJobError as error:
        return _error_reply(HTTPStatus.UNPROCESSABLE_ENTITY, error)
    except UNDECIDED_ERRORS as error:
        return _error_reply(HTTPStatus.SERVICE_UNAVAILABLE, error)
    return Reply(HTTPStatus.CREATED if created else HTTPStatus.OK, status)


async def _malformed_reply(
    controller: Controller, request: Request, error: MalformedMessageError
) -> Reply:
    """Answer a malformed submission: with the status if it repeats one that was accepted.

    An earlier version may have accepted what this one refuses.
    """
    job_id = submitted_job_id(request.body)
    if job_id is not None:
        try:
            status = await controller.submissions.accepted_status(job_id)
        except UNDECIDED_ERRORS as undecided:
            return _error_reply(HTTPStatus.SERVICE_UNAVAILABLE, undecided)
        if status is not None:
            return Reply(HTTPStatus.OK, status)
    event(log, "submission_refused", error=error)
    return _error_reply(HTTPStatus.BAD_REQUEST, error)


class ClientHandlers:
    """Handlers of requests from users, workers, operators and the load balancer."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller

    def router(self) -> Router:
        """Return the router for the address ``client_listen``."""
        return Router(
            self.controller.now,
            {
                wire_names.HEARTBEAT_PATH: Route("POST", "report", self.heartbeat),
                wire_names.READY_PATH: Route("GET", "up", self.ready),
                wire_names.JOBS_PATH: Route("POST", "submit", self.submit),
                wire_names.OVERVIEW_PATH: Route("GET", "overview", self.overview),
                wire_names.METRICS_PATH: Route("GET", "metrics", self.metrics),
            },
            PrefixRoutes(
                wire_names.JOBS_PATH,
                {
                    "": Route("GET", "poll", self.poll),
                    wire_names.CANCEL_SUFFIX: Route("POST", "cancel", self.cancel),
                },
            ),
        )

    def heartbeat(self, request: Request) -> Reply:
        """Handle POST /hello: a worker's heartbeat, answered with commands."""
        try:
            heartbeat = decode_heartbeat(request.body)
        except MalformedMessageError as error:
            self.controller.log_throttled("report", error)
            return _error_reply(HTTPStatus.BAD_REQUEST, error)
        if request.connections is not None and request.stream is not None:
            request.connections.heartbeat_received(
                heartbeat.worker, (heartbeat.incarnation, heartbeat.sequence), request.stream
            )
        try:
            answer = self.controller.heartbeats.handle(heartbeat, request.remote_ip)
        except UnavailableError as error:
            return _error_reply(HTTPStatus.SERVICE_UNAVAILABLE, error)
        if isinstance(answer, LeaderRedirect):
            return Reply(HTTPStatus.MISDIRECTED_REQUEST, answer)
        return Reply(HTTPStatus.OK, answer)

    def ready(self, request: Request) -> Reply:
        """Handle GET /up: whether this controller can take requests of users."""
        if self.controller.ready():
            return Reply(HTTPStatus.OK, ReadyAnswer(up=True))
        return _error_reply(HTTPStatus.SERVICE_UNAVAILABLE, "machine types not known, or cut off")

    async def submit(self, request: Request) -> Reply:
        """Handle POST /work: a new job, or a repeated submission of one."""
        return await _submit_reply(self.controller, request, forwarded=False)

    def poll(self, request: Request) -> Reply | Awaitable[Reply]:
        """Handle GET /work/ID: a job's status, from memory where that is certain."""
        status = self.controller.job_status.from_memory(request.parameter)
        if status is not None:
            return Reply(HTTPStatus.OK, status)
        return _poll_reply(request.parameter, self.controller.job_status.poll, USER_POLL_DEADLINE_S)

    async def cancel(self, request: Request) -> Reply:
        """Handle POST /work/ID/cancel."""
        return await _job_reply(request.parameter, self.controller.job_status.cancel)

    async def overview(self, request: Request) -> Reply:
        """Handle GET /overview: queue and fleet, for operators."""
        try:
            return Reply(HTTPStatus.OK, await self.controller.overview())
        except UNDECIDED_ERRORS as error:
            return _error_reply(HTTPStatus.SERVICE_UNAVAILABLE, error)

    def metrics(self, request: Request) -> Reply:
        """Handle GET /metrics: the metrics in the Prometheus text format."""
        return Reply(HTTPStatus.OK, metrics.exposition(), METRICS_CONTENT_TYPE)


class PeerHandlers:
    """Handlers of requests from the other controllers."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller

    def router(self) -> Router:
        """Return the router for the address ``cluster_listen``."""
        return Router(
            self.controller.now,
            {
                wire_names.PEER_SUBMIT_PATH: Route("POST", "peer submit", self.submit),
                wire_names.PEER_STATUS_PATH: Route("POST", "peer poll", self.poll),
                wire_names.PEER_CANCEL_PATH: Route("POST", "peer cancel", self.cancel),
                wire_names.PEER_WITHHOLD_VOTE_PATH: Route(
                    "POST", "peer promise", self.withhold_vote
                ),
                wire_names.PEER_CONNECTIVITY_PATH: Route(
                    "POST", "peer redirected", self.connectivity
                ),
                wire_names.PEER_OVERVIEW_PATH: Route("POST", "peer overview", self.overview),
            },
        )

    async def submit(self, request: Request) -> Reply:
        """Handle a submission that another controller can't write to the state service."""
        return await _submit_reply(self.controller, request, forwarded=True)

    def poll(self, request: Request) -> Reply | Awaitable[Reply]:
        """Handle a poll that another controller forwards to the leader."""
        return self._reply_as_leader(request, self._poll)

    def cancel(self, request: Request) -> Reply | Awaitable[Reply]:
        """Handle a cancellation that another controller forwards to the leader."""
        return self._reply_as_leader(request, self._cancel)

    def _poll(self, term: Term, job_id: str) -> Reply | Awaitable[Reply]:
        status = self.controller.job_status.from_term(term, job_id)
        if status is not None:
            return Reply(HTTPStatus.OK, status)
        return _poll_reply(job_id, self.controller.job_reader.read_status, STATUS_TIMEOUT_S)

    @staticmethod
    def _cancel(term: Term, job_id: str) -> Awaitable[Reply]:
        return _job_reply(job_id, term.cancel)

    def _reply_as_leader(
        self, request: Request, reply: Callable[[Term, str], Reply | Awaitable[Reply]]
    ) -> Reply | Awaitable[Reply]:
        try:
            job_id = decode_job_query(request.body)
        except MalformedMessageError as error:
            return _error_reply(HTTPStatus.BAD_REQUEST, error)
        term = self.controller.leading()
        if term is None:
            return _error_reply(HTTPStatus.SERVICE_UNAVAILABLE, "not the leader")
        return reply(term, job_id)

    async def withhold_vote(self, request: Request) -> Reply:
        """Handle the request of a leader that lost the state service to withhold this vote.

        Answered with 409 if this controller may campaign.
        """
        try:
            member = decode_withhold_vote(request.body)
        except MalformedMessageError as error:
            return _error_reply(HTTPStatus.BAD_REQUEST, error)
        withheld = await self.controller.election.withhold_vote(member)
        status = HTTPStatus.OK if withheld else HTTPStatus.CONFLICT
        return Reply(status, WithholdVoteAnswer(withheld))

    def connectivity(self, request: Request) -> Reply:
        """Handle a request for the report on this controller's links and redirected workers."""
        try:
            to_leader = decode_connectivity_query(request.body)
        except MalformedMessageError as error:
            return _error_reply(HTTPStatus.BAD_REQUEST, error)
        return Reply(HTTPStatus.OK, self.controller.connectivity.report(to_leader))

    def overview(self, request: Request) -> Reply:
        """Handle a request for the overview that another controller forwards to the leader."""
        term = self.controller.leading()
        if term is None:
            return _error_reply(HTTPStatus.SERVICE_UNAVAILABLE, "not the leader")
        return Reply(HTTPStatus.OK, term.views.overview())
