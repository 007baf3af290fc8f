"""Answers of a controller to the heartbeats of workers."""

from __future__ import annotations

from salthead.controller.connectivity import Connectivity
from salthead.controller.leader_view import LeaderView
from salthead.controller.zone_lease_delegate import ZoneLeaseDelegate
from salthead.errors import UnavailableError
from salthead.protocol.messages import Heartbeat, HeartbeatAnswer, LeaderRedirect


class HeartbeatResponder:
    """Answers as the leader, under a delegation of the leader, or with a redirect to it."""

    def __init__(
        self,
        own_member: str,
        leader_view: LeaderView,
        connectivity: Connectivity,
        zone_lease_delegate: ZoneLeaseDelegate,
    ) -> None:
        self.own_member = own_member
        self.leader_view = leader_view
        self.connectivity = connectivity
        self.zone_lease_delegate = zone_lease_delegate

    def handle(self, heartbeat: Heartbeat, source: str = "") -> HeartbeatAnswer | LeaderRedirect:
        """Return the answer to a heartbeat from the address ``source``.

        Raises UnavailableError if it must not be acknowledged and no other leader is known.
        """
        term = self.leader_view.leading()
        if term is None:
            return self._handle_as_follower(heartbeat, source or heartbeat.worker)
        commands = term.handle_heartbeat(heartbeat)
        if commands is None:
            raise UnavailableError("not for this report")
        if not term.valid():
            # On a slow machine the right to lead can end while the answer is computed, and then the
            # heartbeat must not be acknowledged. The tasks to be started stay bound.
            return self.redirect(source or heartbeat.worker)
        return HeartbeatAnswer(term.fencing_token, commands)

    def _handle_as_follower(
        self, heartbeat: Heartbeat, source: str
    ) -> HeartbeatAnswer | LeaderRedirect:
        if self.zone_lease_delegate.may_acknowledge(heartbeat):
            self.connectivity.record_redirected_worker(source)
            return HeartbeatAnswer(self.leader_view.fencing_token)
        self.connectivity.record_redirected_heartbeat(heartbeat)
        return self.redirect(source)

    def redirect(self, source: str) -> LeaderRedirect:
        """Record the worker and return a redirect to the leader.

        Raises UnavailableError if no other leader is known, or what is known of it is stale.
        """
        self.connectivity.record_redirected_worker(source)
        leader = self.leader_view.member
        if leader is None or leader == self.own_member or self.connectivity.cut_off():
            raise UnavailableError("no leader")
        return LeaderRedirect(leader)
