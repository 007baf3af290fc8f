"""Keeping the lead of one term, through the state service or the peers, and giving it up."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from salthead.bookkeeping.store import TROUBLES, NoLease
from salthead.coordination.lease import promise_s
from salthead.protocol import names
from salthead.transport.client import Caller, Unanswered

if TYPE_CHECKING:
    from salthead.leader.term import Term

log = logging.getLogger("salthead.lead")


class Lead:
    """The loops that renew the lease of a term, and that end the term when it should not lead."""

    def __init__(self, term: Term) -> None:
        self.term = term
        self.renewal_failed = False
        self.promised = False

    async def renew_loop(self) -> None:
        """Renew the lease until it has ended or somebody else leads."""
        ttl = self.term.clock.ttl
        while True:
            if self.term.ledger.deposed_by:
                log.warning("a worker has seen token %d", self.term.ledger.deposed_by)
                return
            sent = self.term.now()
            try:
                await self.term.store.extend(self.term.tether, timeout=ttl / 4)
                self.term.clock.renewed(sent)
                self.renewal_failed = False
                await asyncio.sleep(ttl / 5)
            except NoLease:
                log.warning("the lease of token %d has ended", self.term.token)
                return
            except TROUBLES as error:
                self.renewal_failed = True
                self.term.node.note("renew", error)
                await self.term.node.rest(ttl / 12)

    async def promise_loop(self) -> None:
        """While renewals fail, ask all peers for their promise not to stand."""
        peers = self.term.node.peers
        every = promise_s(self.term.clock.ttl) / 5
        while True:
            await asyncio.sleep(every)
            if not peers or len(peers) + 1 < self.term.limits.initial_size:
                continue  # somebody unknown could stand
            if not self.renewal_failed or not self.term.valid():
                self.promised = False
                continue
            sent = self.term.now()
            given = await asyncio.gather(
                *(self.ask_promise(peer, every * 2) for peer in peers.values())
            )
            counts = all(given) and self.term.clock.promised_by_all(sent, self.term.now())
            if counts != self.promised:
                self.promised = counts
                log.info(
                    "state service lost; %s by all peers",
                    "promised the lead" if counts else "not promised the lead",
                )

    async def resign_loop(self) -> None:
        """Give the lead up when the workers reach another node, but not this one.

        A leader that is cut off from the workers alone would keep its lease while theirs end.
        """
        grace_s = 3.0 * self.term.limits.workers.report_s
        while True:
            await self.term.node.rest(1.0)
            now = self.term.now()
            heard, silent = self.term.ledger.hearing(now)
            if silent <= heard or now - self.term.ledger.took_over < grace_s + 1.0:
                continue
            redirected = await asyncio.gather(
                *(self.ask_redirected(peer) for peer in self.term.node.peers.values())
            )
            if max(redirected, default=0) > heard:
                log.warning(
                    "resigning: %d of %d workers heard, %d report elsewhere",
                    heard,
                    heard + silent,
                    max(redirected),
                )
                # Longer than an election, so that a node that hears the workers wins it.
                self.term.node.abstention.promise(self.term.now())
                return

    async def ask_redirected(self, peer: Caller) -> int:
        """How many workers report to a peer, which sends them here."""
        try:
            answer = await peer.call("POST", names.PEER_REDIRECTED, timeout=1.0)
        except Unanswered:
            return 0
        redirected = answer.body.get("knocks")
        return redirected if answer.status == 200 and type(redirected) is int else 0

    async def ask_promise(self, peer: Caller, timeout: float) -> bool:
        """Whether a peer promises not to stand."""
        try:
            answer = await peer.call(
                "POST",
                names.PEER_PROMISE,
                {"member": self.term.node.settings.member},
                timeout=timeout,
            )
        except Unanswered:
            return False
        return answer.status == 200 and answer.body.get("promise") is True
