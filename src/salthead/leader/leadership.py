"""Renewal of the leader lease of one term, leader stickiness, and resignation."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from salthead import metrics
from salthead.cluster.machine_health import count_responsive_machines
from salthead.event_log import event
from salthead.failure_detection.preconditions import Action, Precondition
from salthead.leader.context import TermContext
from salthead.leader.peer_calls import ask_connectivity, ask_to_withhold_vote
from salthead.leases.leader_lease import vote_withheld_duration_s
from salthead.state_store.messages import RETRYABLE_ERRORS, LeaseExpiredError
from salthead.transport.client import HttpClient

log = logging.getLogger(__name__)

LEASE_CHECK_INTERVAL_S = 0.25


class Leadership:
    """The loops that renew the leader lease, and that end the term when it should not lead."""

    def __init__(
        self,
        context: TermContext,
        member: str,
        peers: Mapping[str, HttpClient],
        withhold_vote: Callable[[float], bool],
        handover_factor: float = 1.0,
    ) -> None:
        """Create the loops of a term.

        ``withhold_vote`` keeps this controller from campaigning for a while from the given time.
        A peer has to receive heartbeats from more than ``handover_factor`` times as many workers
        as this controller before the leadership is handed over.
        """
        self.context = context
        self.member = member
        self.peers = peers
        self.withhold_vote = withhold_vote
        self.handover_factor = handover_factor
        self.renewal_failed = False
        self.votes_withheld = False

    async def renew_loop(self) -> None:
        """Renew the lease until it has ended or another controller leads."""
        ttl = self.context.lease_clock.ttl
        while True:
            if self.context.ledger.newer_fencing_token:
                self._log_ending("deposed")
                return
            sent_at = self.context.now()
            try:
                await self.context.lease.renew(timeout=ttl / 4)
                self.context.lease_clock.record_renewal(sent_at)
                self.renewal_failed = False
                await asyncio.sleep(ttl / 5)
            except LeaseExpiredError:
                self._log_ending("lease_ended")
                return
            except RETRYABLE_ERRORS as error:
                self.renewal_failed = True
                self.context.log_throttled("renew", error)
                await self.context.sleep_with_jitter(ttl / 12)

    def _log_ending(self, why: str, **facts: int) -> None:
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
        """Ask all peers to promise not to campaign, as long as renewals of the lease fail."""
        peers = self.peers
        interval_s = vote_withheld_duration_s(self.context.lease_clock.ttl) / 5
        while True:
            await asyncio.sleep(interval_s)
            if not peers or len(peers) + 1 < self.context.limits.initial_size:
                continue  # a controller that is not among the peers could campaign
            if not self.renewal_failed or not self.context.valid():
                self.votes_withheld = False
                continue
            sent_at = self.context.now()
            promises = await asyncio.gather(
                *(
                    ask_to_withhold_vote(peer, self.member, interval_s * 2)
                    for peer in peers.values()
                )
            )
            withheld_by_all = all(promises) and self.context.lease_clock.extend_by_withheld_votes(
                sent_at, self.context.now()
            )
            if withheld_by_all != self.votes_withheld:
                self.votes_withheld = withheld_by_all
                event(
                    log,
                    "votes_withheld",
                    fencing_token=self.context.fencing_token,
                    by_all_peers=withheld_by_all,
                )

    async def lease_status_loop(self) -> None:
        """Keep the metric of the leader in line with whether the lease is certainly valid.

        A leader that alone was cut off from the state service reported itself as leading, with a
        stale view of the fleet, for nine seconds after its successor had started.
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
        """Resign when workers reach another controller, but not this one.

        A leader that is cut off from the workers only would otherwise renew its own lease while
        those of the workers expire.
        """
        grace_s = 3.0 * self.context.limits.workers.heartbeat_interval_s
        while True:
            await self.context.sleep_with_jitter(1.0)
            now = self.context.now()
            responsive, silent = count_responsive_machines(self.context.ledger, now)
            if silent <= responsive or now - self.context.ledger.term_started_at < grace_s + 1.0:
                continue
            responsive_elsewhere = await self._max_workers_at_a_peer()
            confirmed = (
                Precondition.PEER_HEARS_MORE_WORKERS
                if self.exceeds_handover_factor(responsive_elsewhere, responsive)
                else Precondition(0)
            )
            if self.context.permits(Action.RESIGN, confirmed):
                self._log_ending(
                    "resigning",
                    heard=responsive,
                    silent=silent,
                    heartbeats_elsewhere=responsive_elsewhere,
                )
                # This lasts longer than an election, so that a controller that receives the
                # workers' heartbeats wins it.
                self.withhold_vote(self.context.now())
                return

    async def _max_workers_at_a_peer(self) -> int:
        """Return the largest number of workers whose heartbeats a peer receives."""
        answers = await asyncio.gather(*(ask_connectivity(peer) for peer in self.peers.values()))
        return max(
            (answer.redirected_workers for answer in answers if answer is not None), default=0
        )

    def exceeds_handover_factor(self, responsive_at_peer: int, responsive: int) -> bool:
        """Return whether a peer hears so many more workers that it should lead.

        Two controllers that each hear about half of the workers would hand the leadership back
        and forth because their counts vary. With a factor above 1, the new leader can resign in
        turn only after the connectivity has changed.
        """
        return responsive_at_peer > self.handover_factor * responsive
