"""How the sockets that the platform gives a process are divided among its purposes."""

from __future__ import annotations

from salthead.state_store.client import StateStore


class SocketBudget:
    """The shares of the platform's number of sockets; 0 where it names none.

    Sockets for connections that the controller opens are reserved: a leader that can't reach the
    state service, because workers and users hold all sockets, loses its leadership.
    """

    PEER, CLOUD = 16, 4
    # For listening, the event loop, logs and health checks.
    SPARE = 16
    # Direct calls to workers at a time: at least, and as a share of all sockets.
    MIN_WORKER_SLOTS, WORKER_SLOT_SHARE = 16, 1 / 32
    # The share of those for reconciliation; the rest is for stops, which must not wait behind
    # silent machines.
    RECONCILE_SLOT_SHARE = 0.75

    def __init__(self, max_connections: int, peers: int) -> None:
        self.workers = max(self.MIN_WORKER_SLOTS, int(max_connections * self.WORKER_SLOT_SHARE))
        self.reconcile_slots = int(self.workers * self.RECONCILE_SLOT_SHARE)
        # A peer that was cut off leaves as many connections half open as it opens anew.
        self.peers_in = 2 * self.PEER * peers if max_connections else 0
        reserved = (
            StateStore.SLOTS
            + self.CLOUD
            + self.PEER * peers
            + self.workers
            + self.peers_in
            + self.SPARE
        )
        self.clients = max(self.SPARE, max_connections - reserved) if max_connections else 0
