"""What a new leader can't know until each machine of the roster is accounted for.

A machine that an earlier leader had in the roster may run anything until it has reported under
this term's token, or its worker's lease must be over. Until then it counts against every team, and
no job that it could be running is started anywhere else.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from salthead.coordination.model import EPS, UP, Job, Kind, Machine, Vec
from salthead.event_log import event

if TYPE_CHECKING:
    from salthead.coordination.ledger import Ledger

log = logging.getLogger("salthead.takeover")

WAITS_LOGGED_S = 2.0


class Takeover:
    """The machines that one term has not accounted for, and what follows from them."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.logged_at = ledger.took_over
        self._room: tuple[float, float] | None = None
        self._kinds: dict[Kind, Vec] = {}

    def unheard(self) -> list[Machine]:
        """Machines that may run anything an earlier leader started."""
        return [
            machine
            for machine in self.ledger.machines.values()
            if machine.rostered and not machine.joined and machine.phase == UP
        ]

    def look(self, now: float) -> bool:
        """What time has changed; whether all machines are accounted for."""
        self._room = None
        unheard = self.unheard()
        if unheard and now - self.logged_at >= WAITS_LOGGED_S:
            self.logged_at = now
            event(
                log,
                "takeover_waits",
                token=self.ledger.token,
                for_s=now - self.ledger.took_over,
                machines=len(unheard),
                first=unheard[0].name,
                **self.by_reason(),
            )
        return not unheard

    def by_reason(self) -> dict[str, int]:
        """How many machines are not accounted for, by what is known of them."""
        found = {"type_unknown": 0, "answered": 0, "silent": 0}
        for machine in self.unheard():
            if machine.machine_type not in self.ledger.machine_types:
                found["type_unknown"] += 1
            else:
                found["silent" if machine.links.answered_sequence < 0 else "answered"] += 1
        return found

    def room(self) -> tuple[float, float]:
        """CPUs and GPUs of those, as of the last look at the latest: they only become fewer."""
        if self._room is None:
            unheard = self.unheard()
            self._room = (sum(m.cap[0] for m in unheard), sum(m.cap[1] for m in unheard))
            self._kinds = {m.kind: m.cap for m in unheard}
        return self._room

    def could_run(self, job: Job) -> bool:
        """Whether one of them may be running a task of the job that an earlier leader started.

        An earlier leader started tasks only on machines of the roster that their job allows and
        that they fit on.
        """
        self.room()
        return any(
            (job.spec.spot or not spot)
            and (job.allowed_types is None or type_index in job.allowed_types)
            and (job.zone is None or job.zone == zone)
            and all(c + EPS >= n for c, n in zip(cap, job.need, strict=True))
            for (type_index, zone, spot), cap in self._kinds.items()
        )
