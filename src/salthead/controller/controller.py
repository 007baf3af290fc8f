"""One controller process: its components, its loops, and the terms that it leads."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from typing import Any

from salthead import metrics
from salthead.controller.connectivity import Connectivity
from salthead.controller.context import ControllerContext
from salthead.controller.election import ElectedTerm, Election
from salthead.controller.heartbeats import HeartbeatResponder
from salthead.controller.job_cache import JobCache
from salthead.controller.job_reader import JobReader
from salthead.controller.job_status import JobStatusService
from salthead.controller.leader_calls import LeaderCalls
from salthead.controller.leader_view import LeaderView
from salthead.controller.load import LoadMonitor
from salthead.controller.machine_types import MachineTypesLoop
from salthead.controller.submissions import Submissions
from salthead.controller.zone_lease_delegate import ZoneLeaseDelegate
from salthead.event_log import event
from salthead.leader.overview import Overview
from salthead.leader.term import Term
from salthead.leases import leader_lease
from salthead.policy import NO_POLICY, Policy
from salthead.settings import Settings
from salthead.state_store.client import StateStore
from salthead.transport.client import HttpClient

log = logging.getLogger(__name__)


class Controller:
    """Builds the components of one controller process, and hosts the terms that it leads."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random | None = None,
        now: Callable[[], float] = time.monotonic,
        dial: Callable[[str, int], HttpClient] = HttpClient,
        policy: Policy = NO_POLICY,
        state_store: StateStore | None = None,
    ) -> None:
        self.context = context = ControllerContext(
            settings, rng or random.Random(), now, dial, policy, state_store
        )
        self._expose_to_terms(context)
        self.leader_view = LeaderView()
        self.job_cache = JobCache()
        self.terminal_outcomes = self.job_cache.terminal_outcomes
        self.remember_outcome = self.job_cache.remember_outcome
        self.load = LoadMonitor(context)
        self.connectivity = Connectivity(context)
        self.leader_stickiness = leader_lease.LeaderStickiness(
            leader_lease.leader_ttl(context.limits.workers.lease_s), context.now()
        )
        self.election = Election(context, self.leader_view, self.leader_stickiness, self.lead)
        self.machine_types_loop = MachineTypesLoop(context, self.leader_view)
        self.zone_lease_delegate = ZoneLeaseDelegate(context, self.leader_view, self.connectivity)
        self.heartbeats = HeartbeatResponder(
            settings.member, self.leader_view, self.connectivity, self.zone_lease_delegate
        )
        self._create_job_services(context)

    def _expose_to_terms(self, context: ControllerContext) -> None:
        """Set the attributes that terms use through ``ControllerInterface``."""
        self.settings = context.settings
        self.policy = context.policy
        self.limits = context.limits
        self.state_limits = context.state_limits
        self.rng = context.rng
        self.now = context.now
        self.state_store = context.state_store
        self.sockets = context.sockets
        self.cloud = context.cloud
        self.peers = context.peers
        self.workers = context.workers
        self.machine_types = context.machine_types
        self.log_throttled = context.log_throttled
        self.sleep_with_jitter = context.sleep_with_jitter

    def _create_job_services(self, context: ControllerContext) -> None:
        """Create the components that answer users' requests about jobs."""
        self.job_reader = JobReader(context, self.leader_view, self.job_cache)
        self.leader_calls = LeaderCalls(context, self.leader_view, self.job_cache)
        self.job_status = JobStatusService(
            self.leader_view, self.job_cache, self.job_reader, self.leader_calls
        )
        self.submissions = Submissions(
            context,
            self.leader_view,
            self.load,
            self.connectivity,
            self.job_cache,
            self.job_reader,
            self.job_status,
        )

    @property
    def term(self) -> Term | None:
        """This controller's term, until its loops have ended; None if it does not lead."""
        return self.leader_view.term

    def leading(self) -> Term | None:
        """Return the term while this controller is entitled to act as the leader, else None."""
        return self.leader_view.leading()

    async def run(self) -> None:
        """Run all loops of the controller until it is killed."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.election.loop())
            group.create_task(self.machine_types_loop.loop())
            group.create_task(self.load.loop())
            group.create_task(self.connectivity.loop())
            group.create_task(self.zone_lease_delegate.loop())

    def ready(self) -> bool:
        """Return whether the load balancer may send users to this controller."""
        return (
            bool(self.machine_types)
            and not self.connectivity.cut_off()
            and not self.connectivity.refused_by_state_service()
        )

    async def lead(self, elected: ElectedTerm) -> None:
        """Lead the elected term until it ends."""
        lease = elected.lease
        event(
            log,
            "lead_taken",
            member=self.settings.member,
            fencing_token=elected.fencing_token,
            revision=elected.revision,
            lease_id=lease.lease_id,
            asked_at=lease.requested_at,
            preceding_informed=elected.preceding.informed,
            preceding_delegated=elected.preceding.delegated,
        )
        clock = leader_lease.LeaseClock(lease.ttl)
        clock.record_renewal(lease.requested_at)
        term = Term(self, elected.fencing_token, elected.revision, lease, clock, elected.preceding)
        self.leader_view.term = term
        metrics.LEADING.set(1)
        metrics.FENCING_TOKEN.set(elected.fencing_token)
        try:
            await term.run()
        finally:
            self.leader_view.term = None
            metrics.LEADING.set(0)
            event(
                log,
                "lead_ended",
                member=self.settings.member,
                fencing_token=elected.fencing_token,
                after_s=self.now() - lease.requested_at,
            )

    async def overview(self) -> Overview | dict[str, Any]:
        """Return the overview of queue and fleet, from this controller's term or from the leader.

        Raises UnavailableError if there is no leader.
        """
        term = self.leading()
        if term is not None:
            return term.views.overview()
        return await self.leader_calls.overview()
