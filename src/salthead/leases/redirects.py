"""Detection of workers that come back after a redirect because they can't reach the leader."""

from __future__ import annotations

import math

# Up to this number of workers, old entries are not removed.
MIN_REMEMBERED_REDIRECTS = 5000


class RedirectHistory:
    """When each worker last sent a heartbeat to a controller that does not lead."""

    # A worker that comes back within this long after it was redirected can't reach the leader.
    RETURN_WINDOW_S = 15.0

    def __init__(self) -> None:
        self.redirected_at: dict[str, float] = {}
        self.max_remembered = MIN_REMEMBERED_REDIRECTS

    def record(self, worker: str, now: float) -> bool:
        """Record a heartbeat to this controller; return whether the worker came back.

        A worker came back if its previous heartbeat to this controller was less than
        ``RETURN_WINDOW_S`` earlier.
        """
        previous = self.redirected_at.get(worker, -math.inf)
        if len(self.redirected_at) > self.max_remembered:
            self.redirected_at = {
                w: at for w, at in self.redirected_at.items() if now - at < self.RETURN_WINDOW_S
            }
            # Twice the remaining number, so that a large fleet is not scanned at every heartbeat.
            self.max_remembered = max(MIN_REMEMBERED_REDIRECTS, 2 * len(self.redirected_at))
        self.redirected_at[worker] = now
        return now - previous < self.RETURN_WINDOW_S
