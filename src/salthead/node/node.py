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
from salthead.bookkeeping import records
from salthead.bookkeeping.store import (
    TROUBLES,
    Conflict,
    Refused,
    Store,
    drop,
    put,
)
from salthead.coordination import lease
from salthead.coordination.zone_leases import ZoneLease
from salthead.errors import Later
from salthead.evidence.gate import Action, Fact, permits
from salthead.leader.peer_calls import ask_reach
from salthead.leader.term import Term
from salthead.node.election import Election
from salthead.node.job_lookups import JobLookups
from salthead.node.sockets import Sockets
from salthead.node.submissions import Submissions
from salthead.policy import NO_POLICY, Policy
from salthead.protocol import names
from salthead.protocol.messages import (
    MachineType,
    MachineTypes,
    Report,
    Submission,
    shape,
    status_body,
)
from salthead.settings import Settings
from salthead.transport.client import Caller, Unanswered

log = logging.getLogger("salthead.node")

# A worker whose leader hangs tries the next node after its time-out of 4 s and 1 s more.
REDIRECT_WINDOW_S = 6.0
LAG_EVERY_S, LAG_MOST_S = 0.25, 0.5
# The load balancer's probes are about this far apart.
REACH_S = 1.0
FINALS_KEPT = 20_000
AWAITS_TOLD = 20
NOTHING_IN_DOUBT = int(Fact.NOTHING_IN_DOUBT)


class Node:
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
        self.kept = self.limits.state.kept()
        self.store = Store(
            settings.endpoints.state, self.kept.rps, self.kept.write_rps, self.now, dial
        )
        self.sockets = Sockets(self.limits.quota.max_connections, len(settings.seeds))
        self.cloud = dial(settings.endpoints.cloud, Sockets.CLOUD)
        self.peers = {seed.member: dial(seed.endpoint, Sockets.PEER) for seed in settings.seeds}
        self.workers = dial("", self.sockets.workers)
        self.machine_types: dict[str, MachineType] = {}
        self.leader: str | None = None  # the member that leads, as last read
        self.leader_token = 0
        self.zone_lease = ZoneLease(lease.leader_ttl(self.limits.workers.lease_s))
        self.submissions = Submissions(self)
        self.lookups = JobLookups(self)
        self.term: Term | None = None
        self.abstention = lease.Abstention(
            lease.leader_ttl(self.limits.workers.lease_s), self.now()
        )
        # Outcomes never change: phase, tasks, and when that was if it is known.
        self.finals: OrderedDict[str, tuple[str, int, float | None]] = OrderedDict()
        # Jobs that were accepted, and what they await: that never changes either.
        self.accepted: OrderedDict[str, list[str]] = OrderedDict()
        self.trouble: dict[str, float] = {}
        self.lag = 0.0
        self.submitting = 0
        self.reached = now()  # when another node last answered
        self.others_served = -1e9  # when another node last said that the state service serves it
        # Workers that this node sent to the leader, and when; who came last stands last.
        self.redirected: OrderedDict[str, float] = OrderedDict()

    # -- small helpers ------------------------------------------------------------------

    def note(self, kind: str, error: object) -> None:
        """Log each kind of trouble once in a while, and count it always."""
        metrics.TROUBLE.labels(kind).inc()
        now = self.now()
        if now - self.trouble.get(kind, -1e9) > 10.0:
            self.trouble[kind] = now
            log.warning("%s: %s", kind, error)

    async def rest(self, seconds: float) -> None:
        """A pause with jitter, so that nodes do not ask in step."""
        await asyncio.sleep(seconds * self.rng.uniform(0.8, 1.2))

    def final(self, job_id: str, phase: str, task_count: int, at: float | None = None) -> None:
        """Remember a job's outcome."""
        if at is not None or job_id not in self.finals:
            self.finals[job_id] = (phase, task_count, at)
        if len(self.finals) > FINALS_KEPT:
            self.finals.popitem(last=False)

    def remember(self, spec: Submission) -> None:
        """Remember that a job was accepted, and what it depends on."""
        self.accepted[spec.job_id] = spec.depends_on or []
        if len(self.accepted) > FINALS_KEPT:
            self.accepted.popitem(last=False)

    def leading(self) -> Term | None:
        """The term, while this node is entitled to act for the controllers."""
        term = self.term
        return term if term is not None and term.valid() else None

    # -- loops --------------------------------------------------------------------------

    async def run(self) -> None:
        """All loops of the node, until it is killed."""
        async with asyncio.TaskGroup() as group:
            group.create_task(Election(self).loop())
            group.create_task(self.machine_types_loop())
            group.create_task(self.lag_loop())
            group.create_task(self.reach_loop())
            group.create_task(self.keep_loop())

    async def lag_loop(self) -> None:
        """How late this process's own timers are: the sign that it is asked too much."""
        while True:
            due = self.now() + LAG_EVERY_S
            await asyncio.sleep(LAG_EVERY_S)
            self.lag = self.now() - due

    async def reach_loop(self) -> None:
        """Whether this node reaches the state service or any other node, and they the service."""
        while True:
            await self.rest(REACH_S)
            if self.store.answered >= self.now() - REACH_S:
                continue
            try:
                await self.store.get(records.LEAD, timeout=REACH_S, urgent=True)
            except (Refused, Unanswered):
                await asyncio.gather(
                    *(self.reach(peer) for peer in self.peers.values()), return_exceptions=True
                )

    async def reach(self, peer: Caller) -> None:
        """Ask a peer whether it is there, and whether the state service serves it."""
        found = await ask_reach(peer)
        if found is None:
            return
        self.reached = self.now()
        if found.state_service_s is not None and found.state_service_s < 2.0 * REACH_S:
            self.others_served = self.now()

    def knocks_body(self) -> dict[str, Any]:
        """What a peer is told of this node's reach."""
        return {"knocks": self.redirected_count(), "served_s": self.now() - self.store.answered}

    def refused_alone(self) -> bool:
        """Whether the state service serves others, but not this node: it can take no job."""
        now = self.now()
        return (
            now - self.store.answered > 2.0 * REACH_S and now - self.others_served < 4.0 * REACH_S
        )

    async def keep_loop(self) -> None:
        """Behind a cut from the leader, with the state service in reach: keep workers' leases."""
        ttl = self.zone_lease.ttl
        key, answer = records.KEEP + self.settings.member, records.KEPT + self.settings.member
        written = True  # an earlier process of this member may have left its wish behind
        missed = 0
        while True:
            await self.rest(ttl / 8.0)
            peer = self.peers.get(self.leader or "")
            if self.term is not None or peer is None:
                missed = 0
            else:
                try:
                    await peer.call("POST", names.PEER_REDIRECTED, timeout=ttl / 8.0)
                    missed = 0
                except Unanswered:
                    missed += 1
            try:
                if missed >= 2:
                    wish = self.zone_lease.ask(
                        self.leader_token, uuid.uuid4().hex[:12], self.settings.area, self.now()
                    )
                    written = True
                    await self.store.txn({}, [put(key, wish)], urgent=True)
                    for _ in range(4):
                        await self.rest(ttl / 24.0)
                        row = await self.store.get(answer, urgent=True)
                        if row is not None and self.zone_lease.allowed(row[0]):
                            break
                elif written:
                    self.zone_lease.stop()
                    row = await self.store.get(key, urgent=True)
                    if row is not None:
                        # On condition of its stamp: carried out late, it must not take away a
                        # later wish, by which the next leader knows of what was allowed.
                        await self.store.txn({key: row[1]}, [drop(key)], urgent=True)
                    written = False
            except (Conflict, *TROUBLES) as error:
                self.note("keep", error)

    def keeps(self, report: Report) -> bool:
        """Whether to answer a worker in the name of a leader that it can't reach."""
        now = self.now()
        back = self.zone_lease.came_back(report.worker, now)
        return (
            self.leader not in (None, self.settings.member)
            and self.zone_lease.valid(self.leader_token, now)
            and report.zone == self.settings.area
            and report.fencing_token <= self.leader_token
            # A worker may be here by chance. A second one, or one that was sent on before and is
            # here again, can't reach it, and their leases may not last for another round.
            and (back or self.redirected_count() > 0)
        )

    def cut_off(self) -> bool:
        """Whether this node lost the state service and all others, though workers and users may
        reach it: what it knows of the lead is old, and it can decide nothing."""
        patience = 2.0 * lease.leader_ttl(self.limits.workers.lease_s)
        return self.now() - max(self.store.answered, self.reached) > patience

    def up(self) -> bool:
        """Whether the load balancer may send users here."""
        return bool(self.machine_types) and not self.cut_off() and not self.refused_alone()

    def overloaded(self) -> bool:
        """Whether submissions are shed, so that reports and decisions keep their turn.

        More submissions in progress than the state service takes writes in a second can't be
        answered in time anyway.
        """
        return self.lag > LAG_MOST_S or self.submitting >= max(4.0, self.kept.write_rps)

    async def machine_types_loop(self) -> None:
        """Machine types: from the cloud, or as an earlier leader stored them."""
        while True:
            try:
                answer = await self.cloud.call("GET", names.FLAVORS, timeout=3.0)
                if answer.status != 200:
                    raise Refused(answer.status, "flavors")
                self.take_machine_types(shape(answer.body, MachineTypes).machine_types)
                await self.rest(60.0)
                continue
            except (Conflict, *TROUBLES) as error:
                self.note("cloud flavors", error)
            if not self.machine_types:
                try:
                    rows, _ = await self.store.rows(records.MORE_FLAVORS)
                    found = records.machine_types_from({key: row[0] for key, row in rows.items()})
                    if found is None and (row := await self.store.get(records.FLAVORS)) is not None:
                        found = row[0]
                    if found is not None:
                        self.take_machine_types(shape(found, MachineTypes).machine_types)
                except (Conflict, *TROUBLES) as error:
                    self.note("stored flavors", error)
            await self.rest(2.0)

    def take_machine_types(self, machine_types: list[MachineType]) -> None:
        """Take machine types in, for checks and for the term."""
        self.machine_types = {machine_type.name: machine_type for machine_type in machine_types}
        if self.term is not None:
            self.term.ledger.set_machine_types(machine_types)
            self.term.wake()

    async def promise(self, member: str) -> bool:
        """Promise a leader that lost the state service not to stand for a while.

        Only when this node can't reach the service either: where the leader alone is refused,
        another node has to take over, since outcomes could not be written otherwise.
        """
        if self.term is not None or self.leader != member:
            return False
        try:
            await self.store.get(records.LEAD, timeout=0.5, urgent=True)
            return False
        except (Refused, Unanswered):
            pass
        return self.term is None and self.abstention.promise(self.now())

    async def lead(self, token: int, stamp: int, tether: int, sent: float, ttl: float) -> None:
        """Lead until the lease has ended."""
        log.info("%s leads with token %d", self.settings.member, token)
        term = Term(self, token, stamp, tether, lease.LeaseClock(ttl))
        term.clock.renewed(sent)
        self.term = term
        metrics.LEADING.set(1)
        metrics.TOKEN.set(token)
        try:
            await term.run()
        finally:
            self.term = None
            metrics.LEADING.set(0)
            log.info("%s leads no more (token %d)", self.settings.member, token)

    # -- what workers ask ---------------------------------------------------------------

    def redirect(self, who: str) -> tuple[int, dict[str, Any]]:
        """The answer to a report of a node that may not act on it."""
        self.note_redirected(who)
        if self.leader not in (None, self.settings.member) and not self.cut_off():
            return 421, {"herder": self.leader}
        return 503, {"error": "no leader"}

    def note_redirected(self, who: str) -> None:
        """A worker came here although another node leads."""
        self.redirected[who] = self.now()
        self.redirected.move_to_end(who)

    def redirected_count(self) -> int:
        """How many workers came here lately although another node leads.

        Asked at reports, so it looks only at those that have left since it was asked last.
        """
        since = self.now() - REDIRECT_WINDOW_S
        while self.redirected and next(iter(self.redirected.values())) < since:
            self.redirected.popitem(last=False)
        return len(self.redirected)

    def on_report(self, report: Report, who: str = "") -> tuple[int, dict[str, Any]]:
        """Status and body for a worker's report."""
        term = self.leading()
        if term is None:
            if self.keeps(report):
                self.note_redirected(who or report.worker)
                return 200, {"baton": self.leader_token, "orders": []}
            return self.redirect(who or report.worker)
        orders = term.on_report(report)
        if orders is None:
            return 503, {"error": "not for this report"}
        if not term.valid():
            # It ran out while this was worked out, on a machine with little processor time: a 200
            # now would be given by one that is not entitled to. What was ordered stays bound.
            return self.redirect(who or report.worker)
        return 200, {"baton": term.token, "orders": orders}

    # -- what users ask -----------------------------------------------------------------

    async def submit(
        self,
        job: Submission,
        forwarded: bool = False,
    ) -> tuple[int, dict[str, Any]]:
        """POST /work: status and body, or one of the errors that mean 4xx or 503."""
        if self.overloaded():
            raise Later("overloaded")
        self.submitting += 1
        try:
            return await self.submissions.accept(job, forwarded)
        finally:
            self.submitting -= 1

    def told(self, term: Term, job_id: str) -> dict[str, Any]:
        """What a user is told of a job of this term."""
        ledger = term.ledger
        return status_body(
            job_id,
            *ledger.phase_of(ledger.jobs[job_id]),
            depends_on=ledger.awaited_by(job_id, AWAITS_TOLD),
        )

    def status_in_term(self, term: Term, job_id: str) -> dict[str, Any] | None:
        """A job's status as this node's term knows it; None where only a read can tell."""
        job = term.ledger.jobs.get(job_id)
        if job is None:
            return None
        held = term.ledger.facts()
        unsure = job.awaiting and term.ledger.pipelines.is_unsure(job_id)
        if not unsure and not term.outcomes.doubtful(job):
            held |= NOTHING_IN_DOUBT
        return self.told(term, job_id) if permits(Action.TELL_STATUS, held) else None

    async def poll_here(self, term: Term, job_id: str) -> dict[str, Any] | None:
        """A job's status at the leader; None when it was never accepted."""
        return self.status_in_term(term, job_id) or await self.lookups.read(job_id)

    def status_in_memory(self, job_id: str) -> dict[str, Any] | None:
        """A job's status where this node can tell it without asking anybody, else None."""
        known = self.finals.get(job_id)
        if known is not None:
            return status_body(job_id, known[0], known[1] if known[0] == names.DONE else 0)
        term = self.leading()
        return None if term is None else self.status_in_term(term, job_id)

    async def poll(self, job_id: str) -> dict[str, Any] | None:
        """GET /work/ID; None is 404."""
        found = self.status_in_memory(job_id)
        if found is None and self.leading() is None:
            found = await self.ask_leader(names.PEER_POLL, job_id, 0.8)
        return found if found is not None else await self.lookups.read(job_id)

    async def cancel(self, job_id: str) -> dict[str, Any] | None:
        """POST /work/ID/cancel; None is 404."""
        known = self.finals.get(job_id)
        if known is not None:
            return {"uid": job_id, "phase": known[0]}
        term = self.leading()
        if term is not None:
            return await term.cancel(job_id)
        found = await self.ask_leader(names.PEER_CANCEL, job_id, 3.0)
        if found is not None:
            return found
        # Only the leader may decide it, but what is decided, or unknown, anyone can read.
        read = await self.lookups.read(job_id)
        if read is None or read["phase"] in (names.DONE, names.ABORTED):
            return read
        raise Later("no leader")

    async def overview(self) -> dict[str, Any]:
        """Queue and fleet, from the leader wherever it is."""
        term = self.leading()
        if term is not None:
            return term.views.overview()
        peer = self.peers.get(self.leader or "")
        if peer is None:
            raise Later("no leader")
        answer = await peer.call("POST", names.PEER_OVERVIEW, timeout=2.0)
        if answer.status != 200:
            raise Later("no leader")
        return answer.body

    async def ask_leader(self, path: str, job_id: str, timeout: float) -> dict[str, Any] | None:
        """Ask the leader about a job; None if it does not answer."""
        peer = self.peers.get(self.leader or "")
        if peer is None:
            return None
        try:
            answer = await peer.call("POST", path, {"uid": job_id}, timeout=timeout)
        except Unanswered as error:
            self.note("leader", error)
            return None
        if answer.status != 200 or answer.body.get("uid") != job_id:
            return None
        phase = answer.body.get("phase")
        if phase in (names.DONE, names.ABORTED):
            self.final(job_id, phase, int(answer.body.get("pieces", answer.body.get("done", 0))))
        return answer.body
