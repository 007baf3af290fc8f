"""The loop of one term that follows the links to workers and to the other controllers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from salthead import metrics
from salthead.cluster.model import Machine
from salthead.failure_detection.link_diagnosis import LinkState, LinkView, link_views
from salthead.failure_detection.preconditions import action_name, precondition_names
from salthead.failure_detection.shared_silence import SharedSilence
from salthead.heartbeats import handling
from salthead.leader.autoscaler import PAUSE_FACTOR
from salthead.leader.peer_calls import PeerConnectivity, ask_connectivity
from salthead.policy import Network, PartialCutPolicy
from salthead.scheduling.placement import FRESH_HEARTBEAT_INTERVALS

if TYPE_CHECKING:
    from salthead.leader.term import Term

PEER_CHECK_INTERVAL_S = 2.0
BLOCKED_SHOWN_S = 60.0


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """What a peer said when it last answered, and when it was asked."""

    asked_at: float
    connectivity: PeerConnectivity


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 1)


class LinkLoop:
    """Follows the links while the term lasts; what it finds decides nothing by itself."""

    def __init__(self, term: Term, policy: PartialCutPolicy, networks: list[Network]) -> None:
        self.term = term
        self.ledger = term.ledger
        self.silence = SharedSilence(
            term.ledger, policy, term.now(), self._follow_networks(networks)
        )
        term.ledger.shared_silence = self.silence
        self.peers: dict[str, PeerAnswer] = {}

    @staticmethod
    def _follow_networks(networks: list[Network]) -> Any:
        if not networks:
            return None
        # Here, so that the library is loaded only where networks are declared.
        from salthead.networks.directory import NetworkDirectory
        from salthead.networks.silence import NetworkSilence

        return NetworkSilence(NetworkDirectory(networks))

    async def loop(self) -> None:
        """Until the term ends; then this controller confirms nothing any more."""
        try:
            while True:
                await asyncio.gather(*(self._ask(member) for member in self.term.controller.peers))
                began = self.term.now()
                if self.term.valid():
                    self._show()
                await self.term.controller.sleep_with_jitter(
                    max(PEER_CHECK_INTERVAL_S, PAUSE_FACTOR * (self.term.now() - began))
                )
        finally:
            metrics.clear_links()

    async def _ask(self, member: str) -> None:
        sent = self.term.now()
        found = await ask_connectivity(self.term.controller.peers[member], leads=True)
        if found is None:
            return
        self.peers[member] = PeerAnswer(sent, found)
        for seen in found.seen:
            shows_fencing_token = seen.fencing_token == self.term.fencing_token
            handling.heartbeat_seen_by_peer(
                self.ledger,
                seen.worker,
                (seen.incarnation, seen.sequence),
                shows_fencing_token,
                self.term.now(),
            )

    def _show(self) -> None:
        for view in self.worker_views():
            for state in LinkState:
                metrics.LINK_STATES.labels(view.group, state.value).set(view.counts.get(state, 0))

    def _group_of(self, machine: Machine) -> str:
        networks = self.silence.networks
        if networks is not None and (name := networks.name_of(machine.index)) is not None:
            return f"network {name}"
        return f"zone {self.ledger.zones[machine.zone]}"

    def worker_views(self) -> list[LinkView]:
        """The links to machines by declared network, or else by zone."""
        fresh_s = FRESH_HEARTBEAT_INTERVALS * self.term.limits.workers.heartbeat_interval_s
        return link_views(self.ledger.machines.values(), self._group_of, self.term.now(), fresh_s)

    def overview(self) -> dict[str, Any]:
        """The rows of the operators' overview."""
        now = self.term.now()
        return {
            "links": [
                {
                    "group": view.group,
                    "machines": view.machines,
                    **{state.value: view.counts.get(state, 0) for state in LinkState},
                    "since_s": round(view.since_s, 1),
                    "diagnosis": view.diagnosis,
                }
                for view in self.worker_views()
            ],
            "controllers": [
                {
                    "name": member,
                    "answered_s": round(now - found.asked_at, 1),
                    "state_service_s": _rounded(found.connectivity.state_service_s),
                    "workers_there": found.connectivity.redirected,
                }
                for member, found in self.peers.items()
            ],
            "withheld": [
                {
                    "action": action_name(action),
                    "lacking": ", ".join(precondition_names(missing)),
                    "count": row.count,
                    "since_s": round(now - row.first_at, 1),
                    "last_s": round(now - row.last_at, 1),
                }
                for action, missing, row in self.ledger.blocked_actions.recent(
                    now - BLOCKED_SHOWN_S
                )
            ],
            "cuts": [
                {"group": name, "since_s": round(now - since, 1)}
                for name, since in self.silence.cut_since.items()
            ],
        }
