"""Elections with requests that get no answer and are carried out late, on fake time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from helpers import LIMITS, spec
from salthead.controller.controller import Controller
from salthead.leases.leader_lease import leader_ttl
from salthead.state_store.held_lease import HeldLease, RevocationReason
from salthead.state_store.messages import LeaseExpiredError
from salthead.transport.client import UnansweredError
from standins import World, run
from standins.network import Call

LEASE_S = LIMITS["workers"]["lease_s"]
TTL_S = leader_ttl(LEASE_S)
# A worker's lease has to outlast the time without a leader, one time-out of 4 s and a heartbeat.
MAX_WITHOUT_LEADER_S = LEASE_S - 4.0 - LIMITS["workers"]["report_s"]
MAX_REVOCATION_DELAY_S = 12.0
CHECK_INTERVAL_S = 0.01
ASK_INTERVAL_S = 0.05
# The transaction is executed after the leader's key was read again and before the next time.
TRANSACTION_DELAY_S = 0.6


class LeadershipChecker:
    """Checks at short intervals which controllers act as the leader."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.broken: list[str] = []
        self.led_at = world.now()

    async def loop(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Note when more than one leads, one leads without its key, or none leads for too long."""
        now = self.world.now()
        self.world.state.expire_leases()
        leaders = [one for one in self.world.controllers.values() if one and one.leading()]
        if len(leaders) > 1:
            self.broken.append(f"{now:.2f}: {len(leaders)} leaders")
        for leader in leaders:
            if self._token_in_key() != self._token(leader):
                self.broken.append(f"{now:.2f}: {leader.settings.member} leads without its key")
        if leaders:
            self.led_at = now
        elif now - self.led_at > MAX_WITHOUT_LEADER_S:
            self.broken.append(f"{now:.2f}: no leader since {self.led_at:.2f}")

    def _token_in_key(self) -> int | None:
        row = self.world.state.keys.get("lead")
        return None if row is None else row[0]["token"]

    def _token(self, leader: Controller) -> int | None:
        return leader.term.fencing_token if leader.term is not None else None


def written_keys(call: Call) -> list[str]:
    """Return the keys that a transaction writes."""
    return [operation["set"] for operation in call.body["apply"] if "set" in operation]


class LateRequests:
    """Makes requests of one controller stay unanswered and be executed late."""

    def __init__(self, member: str, revocation_delay_s: float, revocations: int) -> None:
        self.member = member
        self.revocation_delay_s = revocation_delay_s
        self.revocations_left = revocations
        self.transactions_left = 0
        self.revoked_at: list[float] = []

    def delay_s(self, world: World, call: Call) -> float | None:
        """Return how late a call is executed without an answer, or None if it is answered."""
        if call.source != self.member or call.target != "state":
            return None
        if call.path == "/txn" and self.transactions_left and "lead" in written_keys(call):
            self.transactions_left -= 1
            return TRANSACTION_DELAY_S
        if call.method == "DELETE" and self.revocations_left:
            self.revocations_left -= 1
            self.revoked_at.append(world.now())
            return self.revocation_delay_s
        return None


async def ask_all(world: World, job_id: str, until: float) -> None:
    """Ask all controllers about a job at short intervals."""
    while world.now() < until:
        await asyncio.gather(*(world.ask(name, job_id) for name in world.names))
        await asyncio.sleep(ASK_INTERVAL_S)


async def cancel_at(world: World, name: str, job_id: str, at: float) -> None:
    """Cancel a job through one controller from a given time on, until it is confirmed."""
    await asyncio.sleep(max(0.0, at - world.now()))
    while await world.ask(name, job_id, "cancel") != "aborted":
        await asyncio.sleep(ASK_INTERVAL_S)


async def run_users(world: World, late: LateRequests) -> LeadershipChecker:
    """Check leaders and answers until all late revocations have been executed."""
    checker = LeadershipChecker(world)
    loop = asyncio.create_task(checker.loop())
    while not late.revoked_at:
        await asyncio.sleep(CHECK_INTERVAL_S)
    first_executed_at = late.revoked_at[0] + late.revocation_delay_s
    await world.submit(spec("req-1", task_count=2, estimated_run_s=60.0))
    ends_at = first_executed_at + MAX_REVOCATION_DELAY_S + TTL_S
    other = next(name for name in world.names if name != late.member)
    await asyncio.gather(
        ask_all(world, "req-1", ends_at), cancel_at(world, other, "req-1", first_executed_at + 0.1)
    )
    assert not loop.done(), "the checks went on to the end"
    loop.cancel()
    return checker


@pytest.mark.parametrize("unanswered", [1, 1000], ids=["first_unanswered", "all_unanswered"])
@pytest.mark.parametrize("delay_s", [2.0, 3.1, 4.2, 5.3, 6.4, 7.5, 8.6, 9.7, 10.8, 12.0])
def test_no_term_begins_under_a_lease_whose_revocation_was_sent(
    delay_s: float, unanswered: int
) -> None:
    # Guards against two leaders and older answers (went_back): a controller led under the lease of
    # a campaign that it had revoked without an answer, until the revocation was carried out.
    async def scenario() -> tuple[World, LeadershipChecker]:
        world = World()
        late = LateRequests("n0", delay_s, unanswered)
        late.transactions_left = 1
        world.late_unanswered_s = lambda call: late.delay_s(world, call)
        for name in ("n1", "n2"):
            await world.crash(name)
        while "lead" not in world.state.keys:
            await asyncio.sleep(CHECK_INTERVAL_S)
        assert len(late.revoked_at) == 1, "the key is there, and its lease's revocation unanswered"
        for name in ("n1", "n2"):
            world.boot(name)
        return world, await run_users(world, late)

    world, checker = run(scenario)
    assert checker.broken == [] and world.broken == []


@pytest.mark.parametrize("unanswered", [1, 1000], ids=["first_unanswered", "all_unanswered"])
@pytest.mark.parametrize("delay_s", [2.0, 4.2, 6.4, 8.6, 12.0])
def test_an_ended_term_does_not_begin_again_under_its_lease(
    delay_s: float, unanswered: int
) -> None:
    # Guards against a leader that goes on under the lease that it revoked at the end of its term.
    async def scenario() -> tuple[World, LeadershipChecker]:
        world = World()
        while (leader := world.leader()) is None or leader.term is None:
            await asyncio.sleep(CHECK_INTERVAL_S)
        late = LateRequests(leader.settings.member, delay_s, unanswered)
        world.late_unanswered_s = lambda call: late.delay_s(world, call)
        leader.term.ledger.newer_fencing_token = leader.term.fencing_token + 1
        return world, await run_users(world, late)

    world, checker = run(scenario)
    assert checker.broken == [] and world.broken == []


def test_a_lease_is_not_renewed_once_its_revocation_was_sent() -> None:
    # Guards against a lease that is kept alive while its end is on its way.
    async def scenario() -> None:
        world = World()
        leader = await wait_for_leader(world)
        lease = await HeldLease.request(leader.state_store, TTL_S, world.now)
        await lease.renew(timeout=1.0)
        world.late_unanswered_s = lambda call: 2.0 if call.method == "DELETE" else None
        with pytest.raises(UnansweredError):
            await lease.revoke(RevocationReason.TERM_ENDED)
        assert lease.lease_id in world.state.leases
        with pytest.raises(LeaseExpiredError):
            await lease.renew(timeout=1.0)

    run(scenario)


def loses_campaign_answers(member: str, delay_s: float) -> Callable[[Call], float | None]:
    """Return a rule that executes all campaigns of one controller late and without an answer."""

    def delay(call: Call) -> float | None:
        is_campaign = call.path == "/txn" and "lead" in written_keys(call)
        return delay_s if call.source == member and is_campaign else None

    return delay


async def wait_for_leader(world: World) -> Controller:
    while (leader := world.leader()) is None:
        await asyncio.sleep(CHECK_INTERVAL_S)
    return leader


def test_a_lost_campaign_without_an_answer_does_not_keep_a_peer_from_withholding_its_vote() -> None:
    # Guards against tasks lost in an outage: a controller whose campaign had no answer refused to
    # withhold its vote for as long as the winner of that election led.
    async def scenario() -> World:
        world = World()
        world.late_unanswered_s = loses_campaign_answers("n1", 2.0)
        leader = await wait_for_leader(world)
        assert leader.settings.member != "n1"
        await world.submit(spec("req-1", task_count=2, estimated_run_s=60.0))
        await asyncio.sleep(15.0)
        assert len(world.on_machines()) == 2
        world.state.down = True
        await asyncio.sleep(3.0 * LEASE_S)
        assert leader.leading() and len(world.on_machines()) == 2 and world.starts == 2
        world.state.recover()
        await world.poll_until_terminal()
        return world

    world = run(scenario)
    assert world.broken == [] and world.starts == 2


def test_a_controller_that_won_without_an_answer_can_withhold_its_vote() -> None:
    # Guards against a leader that resigns and campaigns again at once: it could not withhold its
    # own vote, since the answer to the campaign that it had won was lost.
    async def scenario() -> None:
        world = World()
        for name in ("n1", "n2"):
            await world.crash(name)
        world.late_unanswered_s = loses_campaign_answers("n0", 0.0)
        leader = await wait_for_leader(world)
        assert leader.leader_stickiness.withhold_vote(world.now())

    run(scenario)
