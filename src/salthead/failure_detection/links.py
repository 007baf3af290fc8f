"""When each direction of the link between this controller and one worker was last confirmed.

A heartbeat that arrives confirms that direction alone. That an answer arrived is known only from
what the worker does next, by two rules of the protocol: a worker has one heartbeat in flight at a
time and drops answers after its time-out, and it stays with a controller that answers 200 but tries
the next one after a time-out.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class WorkerLinks:
    """Evidence on one worker's link, by this controller's steady clock in seconds.

    ``answers_at`` and ``commands_at`` count from the sending of what was confirmed; when a
    heartbeat was sent is known to its worker alone, so that ``last_received_at`` is when it came.
    """

    last_received_at: float = -math.inf  # the latest that was newer than all that were answered
    answers_at: float = -math.inf  # the latest answer that was certainly accepted
    commands_at: float = -math.inf  # the latest direct call that was answered
    command_failed_at: float = -math.inf  # the latest direct call that was not
    unaccepted_answers: int = 0  # in a row that were certainly not accepted
    # The newest heartbeat that was answered under this term's token, and when.
    acknowledged_incarnation: int = 0
    acknowledged_sequence: int = -1
    acknowledged_at: float = -math.inf

    def heartbeat_received(
        self,
        incarnation: int,
        sequence: int,
        shows_fencing_token: bool,
        other_controllers: bool,
        now: float,
    ) -> bool:
        """A worker's own heartbeat came, not the answer to a call; whether an answer was lost.

        ``shows_fencing_token``: the worker has accepted this term's token. A heartbeat without the
        token that is newer than the answered one was made after the worker's time-out for that
        answer: neither that answer nor an earlier one had an effect, nor ever will.

        ``other_controllers``: there are some, to one of which the worker would have turned after a
        time-out. Then the very next heartbeat here shows that the answer was accepted.
        """
        if (incarnation, sequence) <= (self.acknowledged_incarnation, self.acknowledged_sequence):
            return False
        self.last_received_at = now
        if self.acknowledged_sequence < 0:
            return False
        if not shows_fencing_token:
            self.unaccepted_answers += 1
            return True
        if (
            other_controllers
            and incarnation == self.acknowledged_incarnation
            and sequence == self.acknowledged_sequence + 1
        ):
            self.answers_at = self.acknowledged_at
            self.unaccepted_answers = 0
        return False

    def turned_away(
        self, incarnation: int, sequence: int, shows_fencing_token: bool, now: float
    ) -> bool:
        """A heartbeat came to another controller; whether the answer given here was lost.

        A worker stays with the controller that answers it. One that has shown the token may have
        left for another reason than the last answer, unless this is the very next heartbeat.
        """
        if (incarnation, sequence) <= (self.acknowledged_incarnation, self.acknowledged_sequence):
            return False
        self.last_received_at = now
        if self.acknowledged_sequence < 0:
            return False
        next_one = (incarnation, sequence) == (
            self.acknowledged_incarnation,
            self.acknowledged_sequence + 1,
        )
        if shows_fencing_token and not next_one:
            return False
        self.unaccepted_answers += 1
        return True

    def acknowledged(self, incarnation: int, sequence: int, now: float) -> None:
        """A heartbeat is answered with 200 now."""
        if (incarnation, sequence) > (self.acknowledged_incarnation, self.acknowledged_sequence):
            self.acknowledged_incarnation, self.acknowledged_sequence = incarnation, sequence
            self.acknowledged_at = now

    def command_answered(self, sent: float) -> None:
        """A direct call that was sent then was answered."""
        self.commands_at = max(self.commands_at, sent)
        self.unaccepted_answers = 0

    def command_failed(self, sent: float) -> None:
        """A direct call that was sent then had no answer in time."""
        self.command_failed_at = max(self.command_failed_at, sent)

    def unreachable(self) -> bool:
        """Whether neither answers nor direct calls reach the worker, as far as is known."""
        return self.unaccepted_answers > 0 and self.command_failed_at > self.commands_at
