"""Division of a process's sockets among its purposes."""

from __future__ import annotations

from salthead.state_store.client import StateStore


class SocketBudget:
    """Numbers of connections by purpose, within the platform's limit on sockets.

    The limits on inbound connections are 0, for no limit, where the platform sets none. Sockets for
    outgoing connections are reserved: a leader that can't reach the state service, because workers
    and users hold all sockets, loses its leadership.
    """

    PEER_SLOTS, CLOUD_SLOTS = 16, 4  # outgoing connections to each peer, and to the cloud
    OVERHEAD_SOCKETS = 16  # for listening, the event loop, logs and health checks
    # Concurrent direct calls to workers: a minimum, and a share of all sockets.
    MIN_WORKER_SLOTS, WORKER_SLOT_SHARE = 16, 1 / 32
    # Share of these calls for reconciliation. The rest is for stops, which must not wait behind
    # calls to silent machines.
    RECONCILE_SLOT_SHARE = 0.75

    def __init__(self, max_connections: int, peers: int) -> None:
        self.worker_slots = max(
            self.MIN_WORKER_SLOTS, int(max_connections * self.WORKER_SLOT_SHARE)
        )
        self.reconcile_slots = int(self.worker_slots * self.RECONCILE_SLOT_SHARE)
        # A peer that was cut off leaves half-open connections behind, as many as it opens anew.
        self.max_peer_connections = 2 * self.PEER_SLOTS * peers if max_connections else 0
        reserved = (
            StateStore.SLOTS
            + self.CLOUD_SLOTS
            + self.PEER_SLOTS * peers
            + self.worker_slots
            + self.max_peer_connections
            + self.OVERHEAD_SOCKETS
        )
        self.max_client_connections = (
            max(self.OVERHEAD_SOCKETS, max_connections - reserved) if max_connections else 0
        )
