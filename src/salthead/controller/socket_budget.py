"""How the sockets that the platform gives a process are divided among what it does."""

from __future__ import annotations

from salthead.state_store.client import StateStore


class SocketBudget:
    """How the platform's number of sockets is divided; 0 where it names none.

    What the controller itself opens is kept free of what is opened to it: a leader that can't reach
    the state service, because workers and users hold all sockets, loses the lead.
    """

    PEER, CLOUD = 16, 4
    # For listening, the loop, logs and what a health check opens.
    SPARE = 16
    # Direct calls to workers: what so few sockets let be in progress, and a part of what many do.
    MIN_WORKER_SLOTS, WORKER_SLOT_SHARE = 16, 1 / 32
    # Of those, what calls to join leave to stops, which must not wait behind silent machines.
    RECONCILE_SLOT_SHARE = 0.75

    def __init__(self, most: int, peers: int) -> None:
        self.workers = max(self.MIN_WORKER_SLOTS, int(most * self.WORKER_SLOT_SHARE))
        self.reconcile_slots = int(self.workers * self.RECONCILE_SLOT_SHARE)
        # A peer that was cut off leaves as many half open as it opens anew.
        self.peers_in = 2 * self.PEER * peers if most else 0
        own = (
            StateStore.SLOTS
            + self.CLOUD
            + self.PEER * peers
            + self.workers
            + self.peers_in
            + self.SPARE
        )
        self.clients = max(self.SPARE, most - own) if most else 0
