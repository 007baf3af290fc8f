"""One controller: its loops, and what it answers."""

from __future__ import annotations

import asyncio
import logging
import random
import time
import uuid
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from salthead import metrics
from salthead.controller.connectivity import Connectivity
from salthead.controller.election import Election
from salthead.controller.job_reader import JobReader
from salthead.controller.machine_types import MachineTypesLoop
from salthead.controller.socket_budget import SocketBudget
from salthead.controller.submissions import Submissions
from salthead.controller.zone_lease_delegate import ZoneLeaseDelegate
from salthead.errors import UnavailableError
from salthead.event_log import event
from salthead.failure_detection.preconditions import Action, Precondition, permits
from salthead.leader.overview import Overview
from salthead.leader.term import Term
from salthead.leases import leader_lease
from salthead.policy import NO_POLICY, Policy
from salthead.protocol import wire_names
from salthead.protocol.messages import (
    ErrorAnswer,
    Heartbeat,
    HeartbeatAnswer,
    JobStatus,
    LeaderRedirect,
    MachineType,
    MalformedMessageError,
    Submission,
    shape,
)
from salthead.settings import Settings
from salthead.state_store import records
from salthead.state_store.client import (
    RequestRefusedError,
    StateStore,
)
from salthead.transport.client import Caller, UnansweredError

log = logging.getLogger(__name__)

LAG_CHECK_INTERVAL_S, MAX_LAG_S = 0.25, 0.5
MAX_REMEMBERED_OUTCOMES = 20_000
MAX_LISTED_DEPENDENCIES = 20
OUTCOMES_DETERMINATE = int(Precondition.OUTCOMES_DETERMINATE)


class Controller:
    """One controller: what it knows, and what it answers."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random | None = None,
        now: Callable[[], float] = time.monotonic,
        dial: Callable[[str, int], Caller] = Caller,
        policy: Policy = NO_POLICY,
    ) -> None:
        self.settings = settings
        self.policy = policy
        self.limits = settings.settings
        self.rng = rng or random.Random()
        self.now = now
        self.run_id = uuid.uuid4().hex[:12]
        # The limits of the state service that all requests keep to.
        self.state_limits = self.limits.state.effective()
        self.state_store = StateStore(
            settings.endpoints.state,
            self.state_limits.rps,
            self.state_limits.write_rps,
            self.now,
            dial,
        )
        self.sockets = SocketBudget(self.limits.quota.max_connections, len(settings.seeds))
        self.cloud = dial(settings.endpoints.cloud, SocketBudget.CLOUD)
        self.peers = {
            seed.member: dial(seed.endpoint, SocketBudget.PEER) for seed in settings.seeds
        }
        self.workers = dial("", self.sockets.workers)
        self.machine_types: dict[str, MachineType] = {}
        self.leader: str | None = None  # the member that leads, as last read
        self.leader_fencing_token = 0
        self.zone_lease_delegate = ZoneLeaseDelegate(self)
        self.connectivity = Connectivity(self)
        self.submissions = Submissions(self)
        self.job_reader = JobReader(self)
        self.term: Term | None = None
        self.leader_stickiness = leader_lease.LeaderStickiness(
            leader_lease.leader_ttl(self.limits.workers.lease_s), self.now()
        )
        # Outcomes never change: phase, tasks, and when that was if it is known.
        self.terminal_outcomes: OrderedDict[str, tuple[str, int, float | None]] = OrderedDict()
        # Jobs that were accepted, and what they await: that never changes either.
        self.accepted: OrderedDict[str, list[str]] = OrderedDict()
        self.last_logged_at: dict[str, float] = {}
        self.lag = 0.0
        self.submitting = 0

    # -- small helpers ------------------------------------------------------------------

    def log_throttled(self, kind: str, error: object) -> None:
        """Log each kind of trouble once in a while, and count it always."""
        metrics.ERRORS.labels(kind).inc()
        now = self.now()
        if now - self.last_logged_at.get(kind, -1e9) > 10.0:
            self.last_logged_at[kind] = now
            log.warning("%s: %s", kind, error)

    async def sleep_with_jitter(self, seconds: float) -> None:
        """A pause with jitter, so that controllers do not ask in step."""
        await asyncio.sleep(seconds * self.rng.uniform(0.8, 1.2))

    def remember_outcome(
        self, job_id: str, phase: str, task_count: int, at: float | None = None
    ) -> None:
        """Remember a job's outcome."""
        if at is not None or job_id not in self.terminal_outcomes:
            self.terminal_outcomes[job_id] = (phase, task_count, at)
        if len(self.terminal_outcomes) > MAX_REMEMBERED_OUTCOMES:
            self.terminal_outcomes.popitem(last=False)

    def remember_accepted(self, spec: Submission) -> None:
        """Remember that a job was accepted, and what it depends on."""
        self.accepted[spec.job_id] = spec.depends_on or []
        if len(self.accepted) > MAX_REMEMBERED_OUTCOMES:
            self.accepted.popitem(last=False)

    def leading(self) -> Term | None:
        """The term, while this controller is entitled to act for the controllers."""
        term = self.term
        return term if term is not None and term.valid() else None

    # -- loops --------------------------------------------------------------------------

    async def run(self) -> None:
        """All loops of the controller, until it is killed."""
        async with asyncio.TaskGroup() as group:
            group.create_task(Election(self).loop())
            group.create_task(MachineTypesLoop(self).loop())
            group.create_task(self.lag_loop())
            group.create_task(self.connectivity.loop())
            group.create_task(self.zone_lease_delegate.loop())

    async def lag_loop(self) -> None:
        """How late this process's own timers are: the sign that it is asked too much."""
        while True:
            due = self.now() + LAG_CHECK_INTERVAL_S
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            self.lag = self.now() - due

    def connectivity_report(self, to_leader: bool = False) -> dict[str, Any]:
        """What a peer is told of this controller's reach."""
        return self.connectivity.report(to_leader)

    def up(self) -> bool:
        """Whether the load balancer may send users here."""
        return (
            bool(self.machine_types)
            and not self.connectivity.cut_off()
            and not self.connectivity.refused_alone()
        )

    def overloaded(self) -> bool:
        """Whether submissions are shed, so that heartbeats and decisions keep their turn.

        More submissions in progress than the state service takes writes in a second can't be
        answered in time anyway.
        """
        return self.lag > MAX_LAG_S or self.submitting >= max(4.0, self.state_limits.write_rps)

    async def withhold_vote(self, member: str) -> bool:
        """Promise a leader that lost the state service not to stand for a while.

        Only when this controller can't reach the service either: where the leader alone is refused,
        another controller has to take over, since outcomes could not be written otherwise.
        """
        if self.term is not None or self.leader != member:
            return False
        try:
            await self.state_store.get(records.LEADER, timeout=0.5, urgent=True)
            return False
        except (RequestRefusedError, UnansweredError):
            pass
        return self.term is None and self.leader_stickiness.withhold_vote(self.now())

    async def lead(
        self, fencing_token: int, revision: int, lease_id: int, sent: float, ttl: float
    ) -> None:
        """Lead until the lease has ended."""
        member = self.settings.member
        event(
            log,
            "lead_taken",
            member=member,
            fencing_token=fencing_token,
            revision=revision,
            asked_at=sent,
        )
        term = Term(self, fencing_token, revision, lease_id, leader_lease.LeaseClock(ttl))
        term.clock.renewed(sent)
        self.term = term
        metrics.LEADING.set(1)
        metrics.FENCING_TOKEN.set(fencing_token)
        try:
            await term.run()
        finally:
            self.term = None
            metrics.LEADING.set(0)
            event(
                log,
                "lead_ended",
                member=member,
                fencing_token=fencing_token,
                after_s=self.now() - sent,
            )

    # -- what workers ask ---------------------------------------------------------------

    def redirect_heartbeat(self, who: str) -> tuple[int, LeaderRedirect | ErrorAnswer]:
        """The answer to a heartbeat of a controller that may not act on it."""
        self.connectivity.record_redirected_worker(who)
        if (
            self.leader is not None
            and self.leader != self.settings.member
            and not self.connectivity.cut_off()
        ):
            return 421, LeaderRedirect(self.leader)
        return 503, ErrorAnswer("no leader")

    def handle_heartbeat(
        self, heartbeat: Heartbeat, who: str = ""
    ) -> tuple[int, HeartbeatAnswer | LeaderRedirect | ErrorAnswer]:
        """Status and body for a worker's heartbeat."""
        term = self.leading()
        if term is None:
            if self.zone_lease_delegate.may_acknowledge(heartbeat):
                self.connectivity.record_redirected_worker(who or heartbeat.worker)
                return 200, HeartbeatAnswer(self.leader_fencing_token)
            self.connectivity.record_redirected_heartbeat(heartbeat)
            return self.redirect_heartbeat(who or heartbeat.worker)
        commands = term.handle_heartbeat(heartbeat)
        if commands is None:
            return 503, ErrorAnswer("not for this report")
        if not term.valid():
            # It ran out while this was worked out, on a machine with little processor time: a 200
            # now would be given by one that is not entitled to. What was ordered stays bound.
            return self.redirect_heartbeat(who or heartbeat.worker)
        return 200, HeartbeatAnswer(term.fencing_token, commands)

    # -- what users ask -----------------------------------------------------------------

    async def submit(
        self,
        job: Submission,
        forwarded: bool = False,
    ) -> tuple[int, JobStatus]:
        """POST /work: status and body, or one of the errors that mean 4xx or 503."""
        if self.overloaded():
            raise UnavailableError("overloaded")
        self.submitting += 1
        try:
            return await self.submissions.accept(job, forwarded)
        finally:
            self.submitting -= 1

    def status_for_user(self, term: Term, job_id: str) -> JobStatus:
        """What a user is told of a job of this term."""
        ledger = term.ledger
        return JobStatus.with_progress(
            job_id,
            *ledger.phase_of(ledger.jobs[job_id]),
            depends_on=ledger.unfinished_dependencies(job_id, MAX_LISTED_DEPENDENCIES),
        )

    def status_in_term(self, term: Term, job_id: str) -> JobStatus | None:
        """A job's status as this controller's term knows it; None where only a read can tell."""
        job = term.ledger.jobs.get(job_id)
        if job is None:
            return None
        held = term.ledger.confirmed_preconditions()
        unresolved = (
            job.blocked_on_dependencies
            and term.ledger.dependency_graph.has_unresolved_dependency(job_id)
        )
        if not unresolved and not term.outcomes.is_indeterminate(job):
            held |= OUTCOMES_DETERMINATE
        return self.status_for_user(term, job_id) if permits(Action.REPORT_STATUS, held) else None

    async def poll_here(self, term: Term, job_id: str) -> JobStatus | None:
        """A job's status at the leader; None when it was never accepted."""
        return self.status_in_term(term, job_id) or await self.job_reader.read(job_id)

    def status_in_memory(self, job_id: str) -> JobStatus | None:
        """A job's status where this controller can tell it without asking anybody, else None."""
        known = self.terminal_outcomes.get(job_id)
        if known is not None:
            return JobStatus.with_progress(
                job_id, known[0], known[1] if known[0] == wire_names.DONE else 0
            )
        term = self.leading()
        return None if term is None else self.status_in_term(term, job_id)

    async def poll(self, job_id: str) -> JobStatus | None:
        """GET /work/ID; None is 404."""
        found = self.status_in_memory(job_id)
        if found is None and self.leading() is None:
            found = await self.ask_leader(wire_names.PEER_STATUS_PATH, job_id, 0.8)
        return found if found is not None else await self.job_reader.read(job_id)

    async def cancel(self, job_id: str) -> JobStatus | None:
        """POST /work/ID/cancel; None is 404."""
        known = self.terminal_outcomes.get(job_id)
        if known is not None:
            return JobStatus(job_id, known[0])
        term = self.leading()
        if term is not None:
            return await term.cancel(job_id)
        found = await self.ask_leader(wire_names.PEER_CANCEL_PATH, job_id, 3.0)
        if found is not None:
            return found
        # Only the leader may decide it, but what is decided, or unknown, anyone can read.
        read = await self.job_reader.read(job_id)
        if read is None or read.is_terminal:
            return read
        raise UnavailableError("no leader")

    async def overview(self) -> Overview | dict[str, Any]:
        """Queue and fleet, from the leader wherever it is."""
        term = self.leading()
        if term is not None:
            return term.views.overview()
        peer = self.peers.get(self.leader or "")
        if peer is None:
            raise UnavailableError("no leader")
        answer = await peer.call("POST", wire_names.PEER_OVERVIEW_PATH, timeout=2.0)
        if answer.status != 200:
            raise UnavailableError("no leader")
        return answer.body

    async def ask_leader(self, path: str, job_id: str, timeout: float) -> JobStatus | None:
        """Ask the leader about a job; None if it does not answer."""
        peer = self.peers.get(self.leader or "")
        if peer is None:
            return None
        try:
            answer = await peer.call("POST", path, {"uid": job_id}, timeout=timeout)
        except UnansweredError as error:
            self.log_throttled("leader", error)
            return None
        if answer.status != 200:
            return None
        try:
            status = shape(answer.body, JobStatus)
        except MalformedMessageError as error:
            self.log_throttled("leader", error)
            return None
        if status.job_id != job_id:
            return None
        if status.is_terminal:
            self.remember_outcome(job_id, status.phase, status.done or 0)
        return status
