"""Which workers were redirected to the leader shortly before, and so can't reach it."""

from __future__ import annotations

import math

# Workers, at the least, before those of long ago are looked for.
MIN_REMEMBERED_REDIRECTS = 5000


class RedirectHistory:
    """When each worker was last here, and redirected."""

    # A worker that comes back within this long after it was redirected can't reach the leader.
    RETURN_WINDOW_S = 15.0

    def __init__(self) -> None:
        self.redirected_at: dict[str, float] = {}
        self.max_remembered = MIN_REMEMBERED_REDIRECTS

    def record(self, worker: str, now: float) -> bool:
        """Note that a worker is here; whether it had been redirected shortly before."""
        before = self.redirected_at.get(worker, -math.inf)
        if len(self.redirected_at) > self.max_remembered:
            self.redirected_at = {
                w: at for w, at in self.redirected_at.items() if now - at < self.RETURN_WINDOW_S
            }
            # Twice as many as there are now: a larger fleet must not be walked at each heartbeat.
            self.max_remembered = max(MIN_REMEMBERED_REDIRECTS, 2 * len(self.redirected_at))
        self.redirected_at[worker] = now
        return now - before < self.RETURN_WINDOW_S
