"""Keeping the lead of one term, through the state service or the peers, and giving it up."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from salthead import metrics
from salthead.event_log import event
from salthead.failure_detection.preconditions import Action, Precondition
from salthead.leader.context import TermContext
from salthead.leader.peer_calls import ask_connectivity, ask_to_withhold_vote
from salthead.leases.leader_lease import stickiness_s
from salthead.state_store.client import RETRYABLE_ERRORS, LeaseExpiredError
from salthead.transport.client import HttpClient

log = logging.getLogger(__name__)

LEASE_CHECK_INTERVAL_S = 0.25  # between looks at whether the lease is certain


class Leadership:
    """The loops that renew the lease of a term, and that end the term when it should not lead."""

    def __init__(
        self,
        context: TermContext,
        member: str,
        peers: Mapping[str, HttpClient],
        withhold_vote: Callable[[float], bool],
        handover_factor: float = 1.0,
    ) -> None:
        """``withhold_vote`` keeps this controller from campaigning for a while, from a given time.

        ``handover_factor``: how many times as many workers a peer has to hear to be handed the
        leadership.
        """
        self.context = context
        self.member = member
        self.peers = peers
        self.withhold_vote = withhold_vote
        self.handover_factor = handover_factor
        self.renewal_failed = False
        self.votes_withheld = False

    async def renew_loop(self) -> None:
        """Renew the lease until it has ended or somebody else leads."""
        ttl = self.context.clock.ttl
        while True:
            if self.context.ledger.newer_fencing_token:
                self._ending("deposed")
                return
            sent = self.context.now()
            try:
                await self.context.state_store.renew_lease(self.context.lease_id, timeout=ttl / 4)
                self.context.clock.renewed(sent)
                self.renewal_failed = False
                await asyncio.sleep(ttl / 5)
            except LeaseExpiredError:
                self._ending("lease_ended")
                return
            except RETRYABLE_ERRORS as error:
                self.renewal_failed = True
                self.context.log_throttled("renew", error)
                await self.context.sleep_with_jitter(ttl / 12)

    def _ending(self, why: str, **facts: int) -> None:
        ledger = self.context.ledger
        event(
            log,
            "lead_ending",
            logging.WARNING,
            fencing_token=self.context.fencing_token,
            why=why,
            certain=self.context.valid(),
            fencing_token_seen=ledger.newer_fencing_token,
            **facts,
        )

    async def stickiness_loop(self) -> None:
        """While renewals fail, ask all peers for their promise not to stand."""
        peers = self.peers
        every = stickiness_s(self.context.clock.ttl) / 5
        while True:
            await asyncio.sleep(every)
            if not peers or len(peers) + 1 < self.context.limits.initial_size:
                continue  # somebody unknown could stand
            if not self.renewal_failed or not self.context.valid():
                self.votes_withheld = False
                continue
            sent = self.context.now()
            given = await asyncio.gather(
                *(ask_to_withhold_vote(peer, self.member, every * 2) for peer in peers.values())
            )
            counts = all(given) and self.context.clock.votes_withheld_by_all(
                sent, self.context.now()
            )
            if counts != self.votes_withheld:
                self.votes_withheld = counts
                event(
                    log,
                    "votes_withheld",
                    fencing_token=self.context.fencing_token,
                    by_all_peers=counts,
                )

    async def show_loop(self) -> None:
        """Show this controller as leading only while its lease is certain.

        A leader that the state service refused alone had shown itself, and a stale picture of the
        fleet, for nine seconds after the next one had begun.
        """
        certain = True
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            if self.context.valid() == certain:
                continue
            certain = not certain
            metrics.LEADING.set(certain)
            event(
                log,
                "leader_lease_changed",
                logging.WARNING,
                certain=certain,
                fencing_token=self.context.fencing_token,
            )

    async def resign_loop(self) -> None:
        """Give the lead up when the workers reach another controller, but not this one.

        A leader that is cut off from the workers alone would keep its lease while theirs end.
        """
        grace_s = 3.0 * self.context.limits.workers.heartbeat_interval_s
        while True:
            await self.context.sleep_with_jitter(1.0)
            now = self.context.now()
            heard, silent = self.context.ledger.heartbeat_counts(now)
            if silent <= heard or now - self.context.ledger.term_started_at < grace_s + 1.0:
                continue
            found = await asyncio.gather(*(ask_connectivity(peer) for peer in self.peers.values()))
            elsewhere = max(
                (connectivity.redirected for connectivity in found if connectivity is not None),
                default=0,
            )
            held = (
                Precondition.PEER_HEARS_MORE_WORKERS
                if self.clearly_more(elsewhere, heard)
                else Precondition(0)
            )
            if self.context.permits(Action.RESIGN, held):
                self._ending(
                    "resigning", heard=heard, silent=silent, heartbeats_elsewhere=elsewhere
                )
                # Longer than an election, so that a controller that hears the workers wins it.
                self.withhold_vote(self.context.now())
                return

    def clearly_more(self, elsewhere: int, heard: int) -> bool:
        """Whether so many more workers report to a peer that it should lead.

        Two controllers that each hear about half of the workers would hand the lead back and forth
        by the noise of their counts. With a factor above 1 that takes a change of the links
        between: the peer hears that many times as many as this controller, and can't resign for the
        reverse.
        """
        return elsewhere > self.handover_factor * heard
