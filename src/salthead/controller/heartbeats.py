"""What a controller answers to the heartbeats of workers."""

from __future__ import annotations

from salthead.controller.connectivity import Connectivity
from salthead.controller.leader_view import LeaderView
from salthead.controller.zone_lease_delegate import ZoneLeaseDelegate
from salthead.errors import UnavailableError
from salthead.protocol.messages import Heartbeat, HeartbeatAnswer, LeaderRedirect


class HeartbeatResponder:
    """Answers as the leader, in the name of one that the worker can't reach, or by a redirect."""

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
        """The answer to a heartbeat that came from the address ``source``.

        UnavailableError where it must not be acknowledged and no other leader is known.
        """
        term = self.leader_view.leading()
        if term is None:
            return self._follow(heartbeat, source or heartbeat.worker)
        commands = term.handle_heartbeat(heartbeat)
        if commands is None:
            raise UnavailableError("not for this report")
        if not term.valid():
            # The lease ran out while this was worked out, on a machine with little processor time:
            # an acknowledgement now would be given by a controller that is not entitled to. The
            # tasks that were to be started stay bound.
            return self.redirect(source or heartbeat.worker)
        return HeartbeatAnswer(term.fencing_token, commands)

    def _follow(self, heartbeat: Heartbeat, source: str) -> HeartbeatAnswer | LeaderRedirect:
        if self.zone_lease_delegate.may_acknowledge(heartbeat):
            self.connectivity.record_redirected_worker(source)
            return HeartbeatAnswer(self.leader_view.fencing_token)
        self.connectivity.record_redirected_heartbeat(heartbeat)
        return self.redirect(source)

    def redirect(self, source: str) -> LeaderRedirect:
        """Name the leader; UnavailableError where none is known, or what is known is old."""
        self.connectivity.record_redirected_worker(source)
        leader = self.leader_view.member
        if leader is None or leader == self.own_member or self.connectivity.cut_off():
            raise UnavailableError("no leader")
        return LeaderRedirect(leader)
