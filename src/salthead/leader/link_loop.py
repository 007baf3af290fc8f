"""The loop of one term that observes the connectivity to workers and other controllers."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

from salthead import metrics
from salthead.cluster.model import Machine
from salthead.failure_detection.link_diagnosis import LinkState, LinkView, link_views
from salthead.failure_detection.preconditions import action_name, precondition_names
from salthead.failure_detection.shared_silence import SharedSilence
from salthead.heartbeats import handling
from salthead.leader.context import PAUSE_FACTOR, TermContext
from salthead.leader.declared_networks import network_silence
from salthead.leader.overview import BlockedActionRow, CutRow, LinkOverview, LinkRow, PeerRow
from salthead.leader.peer_calls import PeerConnectivity, ask_connectivity
from salthead.policy import Network, PartialCutPolicy
from salthead.scheduling.eligibility import FRESH_HEARTBEAT_INTERVALS
from salthead.transport.client import HttpClient

PEER_CHECK_INTERVAL_S = 2.0
BLOCKED_ACTION_WINDOW_S = 60.0


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """A peer's latest answer, and when it was requested."""

    asked_at: float
    connectivity: PeerConnectivity


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 1)


def _link_row(view: LinkView) -> LinkRow:
    return LinkRow(
        group=view.group,
        machines=view.machines,
        both_ways=view.counts.get(LinkState.BOTH_WAYS, 0),
        heartbeats_only=view.counts.get(LinkState.HEARTBEATS_ONLY, 0),
        commands_only=view.counts.get(LinkState.COMMANDS_ONLY, 0),
        silent=view.counts.get(LinkState.SILENT, 0),
        since_s=round(view.since_s, 1),
        diagnosis=view.diagnosis,
    )


class LinkLoop:
    """Observes the links; its observations permit or block no action by themselves."""

    def __init__(
        self,
        context: TermContext,
        peers: Mapping[str, HttpClient],
        policy: PartialCutPolicy,
        networks: list[Network],
    ) -> None:
        self.context = context
        self.peers = peers
        self.ledger = context.ledger
        self.silence = SharedSilence(
            context.ledger, policy, context.now(), network_silence(networks)
        )
        context.ledger.shared_silence = self.silence
        self.peer_answers: dict[str, PeerAnswer] = {}  # last answer of each member

    async def loop(self) -> None:
        """Observe the links until the term ends, then clear their metrics."""
        try:
            while True:
                await asyncio.gather(*(self._ask_peer(member) for member in self.peers))
                started_at = self.context.now()
                if self.context.valid():
                    self._update_metrics()
                await self.context.sleep_with_jitter(
                    max(PEER_CHECK_INTERVAL_S, PAUSE_FACTOR * (self.context.now() - started_at))
                )
        finally:
            metrics.clear_links()

    async def _ask_peer(self, member: str) -> None:
        asked_at = self.context.now()
        connectivity = await ask_connectivity(self.peers[member], leads=True)
        if connectivity is None:
            return
        self.peer_answers[member] = PeerAnswer(asked_at, connectivity)
        for heartbeat in connectivity.heartbeats:
            shows_fencing_token = heartbeat.fencing_token == self.context.fencing_token
            handling.heartbeat_seen_by_peer(
                self.ledger,
                heartbeat.worker,
                (heartbeat.incarnation, heartbeat.sequence),
                shows_fencing_token,
                self.context.now(),
            )

    def _update_metrics(self) -> None:
        for view in self.worker_views():
            for state in LinkState:
                metrics.LINK_STATES.labels(view.group, state.value).set(view.counts.get(state, 0))

    def _group_of(self, machine: Machine) -> str:
        networks = self.silence.networks
        if networks is not None and (name := networks.name_of(machine.index)) is not None:
            return f"network {name}"
        return f"zone {self.ledger.zones[machine.zone]}"

    def worker_views(self) -> list[LinkView]:
        """Return the state of the links to machines, by declared network or else by zone."""
        fresh_s = FRESH_HEARTBEAT_INTERVALS * self.context.limits.workers.heartbeat_interval_s
        return link_views(
            self.ledger.machines.values(), self._group_of, self.context.now(), fresh_s
        )

    def overview(self) -> LinkOverview:
        """Return the rows about links in the operators' overview."""
        now = self.context.now()
        return LinkOverview(
            links=[_link_row(view) for view in self.worker_views()],
            controllers=[
                PeerRow(
                    member=member,
                    answered_s=round(now - answer.asked_at, 1),
                    state_service_s=_rounded(answer.connectivity.state_service_silence_s),
                    redirected_workers=answer.connectivity.redirected_workers,
                )
                for member, answer in self.peer_answers.items()
            ],
            blocked_actions=self._blocked_action_rows(now),
            cuts=[
                CutRow(name, round(now - since, 1))
                for name, since in self.silence.partitioned_since.items()
            ],
        )

    def _blocked_action_rows(self, now: float) -> list[BlockedActionRow]:
        recent = self.ledger.blocked_actions.recent(now - BLOCKED_ACTION_WINDOW_S)
        return [
            BlockedActionRow(
                action=action_name(action),
                missing=", ".join(precondition_names(missing)),
                count=row.count,
                since_s=round(now - row.first_at, 1),
                last_s=round(now - row.last_at, 1),
            )
            for action, missing, row in recent
        ]
