"""One controller: its loops, and what it answers."""

from __future__ import annotations

import asyncio
import logging
import math
import random
import time
import uuid
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any

import msgspec

from salthead import metrics
from salthead.bookkeeping import records
from salthead.bookkeeping.store import (
    TROUBLES,
    Conflict,
    Refused,
    Row,
    Store,
    drop,
    put,
)
from salthead.coordination import lease
from salthead.coordination.zone_leases import ZoneLease
from salthead.election import Election
from salthead.policy import NO_POLICY, Policy
from salthead.protocol import names
from salthead.protocol.messages import (
    JOB_ID,
    MachineType,
    MachineTypes,
    Report,
    Submission,
    shape,
    status_body,
)
from salthead.settings import Settings
from salthead.sockets import Sockets
from salthead.term import Term
from salthead.transport.client import Caller, Unanswered

log = logging.getLogger("salthead.service")

# A worker whose leader hangs tries the next node after its time-out of 4 s and 1 s more.
REDIRECT_WINDOW_S = 6.0
LAG_EVERY_S, LAG_MOST_S = 0.25, 0.5
# The load balancer's probes are about this far apart.
REACH_S = 1.0
FINALS_KEPT = 20_000
# A submission has 5 s; what was looked up by then is known when it comes again.
LOOK_UP_S = 3.0
# Single reads in a walk over what a job needs, before all active jobs are read at once.
LOOK_UPS = 12
AWAITS_TOLD = 20


class Later(Exception):
    """Can't be decided now; the client is told when to come back."""


class Rejected(Exception):
    """422: the job can never run."""


class Node:
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
        if at is not None or job_id not in self.finals:
            self.finals[job_id] = (phase, task_count, at)
        if len(self.finals) > FINALS_KEPT:
            self.finals.popitem(last=False)

    def remember(self, spec: Submission) -> None:
        self.accepted[spec.job_id] = spec.depends_on or []
        if len(self.accepted) > FINALS_KEPT:
            self.accepted.popitem(last=False)

    def leading(self) -> Term | None:
        """The term, while this node is entitled to act for the controllers."""
        term = self.term
        return term if term is not None and term.valid() else None

    # -- loops --------------------------------------------------------------------------

    async def run(self) -> None:
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
        answer = await peer.call("POST", names.PEER_REDIRECTED, timeout=REACH_S)
        self.reached = self.now()
        served = answer.body.get("served_s")
        if type(served) is float and served < 2.0 * REACH_S:
            self.others_served = self.now()

    def knocks_body(self) -> dict[str, Any]:
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

    def check(self, job: Submission) -> None:
        """422 and 503 by what is known of teams and machine types."""
        team = next((team for team in self.limits.teams if team.name == job.team), None)
        if team is None:
            raise Rejected(f"unknown team {job.team[:60]}")
        many = job.task_count if job.shape == names.GANG else 1
        gpus = job.accelerators * many
        if job.vcpus * many > team.cpus_max + 1e-6 or gpus > team.gpus_max + 1e-6:
            raise Rejected("more than the team's limit")
        if not self.machine_types:
            raise Later("machine types not known yet")
        if not any(
            job.vcpus <= f.vcpus
            and job.accelerators <= f.accelerators
            and job.ram_gb <= f.ram_gb
            and (job.machine_types is None or f.name in job.machine_types)
            and (job.zone is None or job.zone in f.zones)
            for f in self.machine_types.values()
        ):
            raise Rejected("a task fits no allowed machine type")
        if job.machine_types is not None:  # only names that exist are kept
            job.machine_types = sorted(
                {name for name in job.machine_types if name in self.machine_types}
            )

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
            return await self.accept(job, forwarded)
        finally:
            self.submitting -= 1

    async def forward_submission(self, job: Submission) -> tuple[int, dict[str, Any]]:
        """Let another node accept a job that this one can't write: the service may refuse this
        node alone. A job has one id, so that two nodes may try to accept it."""
        for peer in self.peers.values() if self.refused_alone() else ():
            try:
                answer = await peer.call(
                    "POST", names.PEER_SUBMIT, msgspec.to_builtins(job), timeout=0.8
                )
            except Unanswered as error:
                self.note("pass on", error)
                continue
            if answer.status in (200, 201) and answer.body.get("uid") == job.job_id:
                return answer.status, answer.body
        raise Later("the state service does not answer")

    async def accept(
        self,
        job: Submission,
        forwarded: bool,
    ) -> tuple[int, dict[str, Any]]:
        known = self.finals.get(job.job_id)
        if known is not None:
            return 200, status_body(job.job_id, known[0], known[1] if known[0] == names.DONE else 0)
        term = self.leading()
        if term is not None and job.job_id in term.ledger.jobs:
            found = await self.poll_here(term, job.job_id)
            if found is not None:
                return 200, found
        dependency_cancelled = False
        try:
            self.check(job)
            if job.depends_on:
                dependency_cancelled = await self.check_awaits(job)
            # The time is noted before the record is made, for what it takes up in it.
            job.at = time.time()
            rows = records.job_rows(job, self.kept.value_kb, self.kept.txn_ops)
            reject: Rejected | None = None
        except records.TooLong as error:
            reject = Rejected(str(error))
        except Rejected as error:
            reject = error
        if reject is not None:
            # A repeat of a job that was accepted must not be refused, whatever changed since.
            if (found := await self.read(job.job_id)) is not None:
                return 200, found
            raise reject
        if dependency_cancelled:
            # What it needs was cancelled, so its outcome is known before it is written.
            rows = [
                (
                    records.over_key(job.job_id),
                    records.over_value(job, names.ABORTED, job.at, self.kept.value_kb),
                )
            ]
        try:
            await self.store.txn(
                {records.job_key(job.job_id): 0, records.over_key(job.job_id): 0},
                [put(key, value) for key, value in rows],
            )
        except (Refused, Unanswered):
            if forwarded:
                raise
            return await self.forward_submission(job)
        except Conflict:
            found = await self.read(job.job_id)
            if found is None:
                raise Later("in doubt") from None
            return 200, found
        log.debug("accepted %s: %d tasks", job.job_id, job.task_count)
        if dependency_cancelled:
            self.final(job.job_id, names.ABORTED, job.task_count, job.at)
            return 201, {"uid": job.job_id, "phase": names.ABORTED}
        job.more = len(rows) - 1
        self.remember(job)
        term = self.leading()
        if term is not None and term.ledger.loaded:
            term.job_records.add_job(job)
        return 201, {"uid": job.job_id, "phase": names.QUEUED}

    async def check_awaits(self, job: Submission) -> bool:
        """Whether a job that this one needs was cancelled; Rejected if one was never accepted."""
        depends_on = job.depends_on or []
        for job_id in depends_on:
            if job_id == job.job_id or not JOB_ID.match(job_id):
                raise Rejected(f"awaits: {job_id[:60]!r} is no job that was accepted")
        return await self.depends_on_cancelled(depends_on, self.now() + LOOK_UP_S, every=True)

    async def whole(self, spec: Submission) -> Submission:
        """A job with all that it awaits, where its record is continued in further values."""
        depends_on = list(spec.depends_on or [])
        for n in range(spec.more):
            row = await self.store.get(records.awaits_key(spec.job_id, n))
            if row is None:
                raise Unanswered("job record: a part is missing")
            depends_on += records.awaits_from(row[0])
        return msgspec.structs.replace(spec, depends_on=depends_on or None)

    async def depends_on_cancelled(
        self,
        depends_on: list[str],
        end: float = math.inf,
        every: bool = False,
    ) -> bool:
        """Whether one of these jobs, or any that they need, was cancelled.

        ``every``: each of them has to have been accepted, also beside one that was cancelled.
        Seen on troubles, prairie-ledger-next: the first was cancelled, and the next, which nobody
        had submitted, was not looked up.

        The durable outcome of the cancelled one decides; it needs no leader to be told. A job
        whose own outcome is known needs no look at what is before it. Rejected: one of them was
        never accepted.
        """
        seen, line = set(depends_on), deque(depends_on)
        named, cut = set(depends_on), False
        active: dict[str, Row] | None = None
        reads = 0
        while line:
            job_id = line.popleft()
            if cut and job_id not in named:
                break  # those that are named come first
            if self.now() > end:
                raise Later("still looking up the jobs that it awaits")
            found: str | None = None
            term = self.leading()
            if job_id in self.finals:
                found = self.finals[job_id][0]
            elif (
                term is not None
                and job_id not in term.outcomes.in_doubt
                and (job := term.ledger.jobs.get(job_id)) is not None
            ):
                found = job.over or (names.ABORTED if job.dependency_cancelled else None)
                self.remember(job.spec)
            else:
                if reads == LOOK_UPS:  # deep or wide: all jobs that are not over at once
                    active, _ = await self.store.rows(records.JOBS)
                reads += 1
                row = active.get(records.job_key(job_id)) if active is not None else None
                found = await self.look_up(job_id, row)
            if found == names.ABORTED:
                if not every:
                    return True
                cut = True
            for before in self.accepted.get(job_id, ()) if found is None else ():
                if before not in seen:
                    seen.add(before)
                    line.append(before)
        return cut

    async def look_up(self, job_id: str, row: Row | None) -> str | None:
        """A job's outcome, or None when it is not over and what it awaits is known."""
        if row is None:
            if (ended := await self.ended(job_id)) is not None:
                return ended[0]
            if job_id in self.accepted:
                return None
            row = await self.store.get(records.job_key(job_id))
        if row is None:  # it has ended since, or was never accepted
            if (ended := await self.ended(job_id)) is not None:
                return ended[0]
            raise Rejected(f"awaits: {job_id} was never accepted")
        if job_id not in self.accepted:
            self.remember(await self.whole(records.job_from(row[0])))
        return None

    async def ended(self, job_id: str) -> tuple[str, int, float | None] | None:
        """The outcome of a job, if it has one."""
        row = await self.store.get(records.over_key(job_id))
        if row is None:
            return None
        phase, spec = records.over_from(row[0])
        self.final(job_id, phase, spec.task_count, records.ended_at(row[0]))
        return self.finals[job_id]

    def told(self, term: Term, job_id: str) -> dict[str, Any]:
        ledger = term.ledger
        return status_body(
            job_id,
            *ledger.phase_of(ledger.jobs[job_id]),
            depends_on=ledger.awaited_by(job_id, AWAITS_TOLD),
        )

    async def read(self, job_id: str) -> dict[str, Any] | None:
        """A job's state by a consistent read; None when it was never accepted."""
        row = await self.store.get(records.job_key(job_id))
        if row is not None:
            spec = await self.whole(records.job_from(row[0]))
            self.remember(spec)
            try:
                cut = spec.depends_on is not None and await self.depends_on_cancelled(
                    spec.depends_on
                )
            except Rejected as error:
                raise Unanswered(str(error)) from None
            return status_body(job_id, names.ABORTED if cut else names.QUEUED)
        found = await self.ended(job_id)
        if found is None:
            return None
        phase, task_count, _ = found
        return status_body(job_id, phase, task_count if phase == names.DONE else 0)

    def status_in_term(self, term: Term, job_id: str) -> dict[str, Any] | None:
        """A job's status as this node's term knows it; None where only a read can tell."""
        job = term.ledger.jobs.get(job_id) if term.ledger.loaded else None
        if (
            job is None
            or term.outcomes.doubtful(job)
            or (job.awaiting and term.ledger.pipelines.is_unsure(job_id))
        ):
            return None
        return self.told(term, job_id)

    async def poll_here(self, term: Term, job_id: str) -> dict[str, Any] | None:
        """A job's status at the leader; None when it was never accepted."""
        return self.status_in_term(term, job_id) or await self.read(job_id)

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
        return found if found is not None else await self.read(job_id)

    async def cancel(self, job_id: str) -> dict[str, Any] | None:
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
        read = await self.read(job_id)
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
