"""Evidence for each direction of the link between this controller and a worker.

A heartbeat that arrives confirms only its own direction. Whether an answer arrived is inferred from
the worker's next action, by two rules of the protocol: a worker has one heartbeat in flight at a
time and drops answers after its timeout, and it stays with a controller that answers 200 but tries
the next controller after a timeout.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class WorkerLinks:
    """Evidence for the link to one worker; times are seconds of this controller's monotonic clock.

    ``confirmed_answer_sent_at`` and ``confirmed_command_sent_at`` are the times when the confirmed
    message was sent. The time when a heartbeat was sent is known only to its worker, so
    ``last_received_at`` is its arrival.
    """

    # Arrival of the latest heartbeat that was newer than every acknowledged one.
    last_received_at: float = -math.inf
    confirmed_answer_sent_at: float = -math.inf  # of the latest answer that was certainly accepted
    confirmed_command_sent_at: float = -math.inf  # of the latest direct call that was answered
    command_failed_at: float = -math.inf  # sending of the latest direct call that was not
    unaccepted_answers: int = 0  # consecutive answers that were certainly not accepted
    # The newest heartbeat that was acknowledged under this term's token, and when.
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
        """Record a heartbeat that the worker sent by itself; return whether an answer was lost.

        ``shows_fencing_token``: the worker has accepted this term's token. A heartbeat without the
        token that is newer than the acknowledged one was sent after the worker's timeout for that
        answer: neither that answer nor an earlier one had or will have an effect.

        ``other_controllers``: the worker knows other controllers and would have tried one of them
        after a timeout. The next heartbeat in sequence then proves that the answer was accepted.
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
            self.confirmed_answer_sent_at = self.acknowledged_at
            self.unaccepted_answers = 0
        return False

    def redirected_heartbeat_received(
        self, incarnation: int, sequence: int, shows_fencing_token: bool, now: float
    ) -> bool:
        """Record a heartbeat that another controller received; return whether an answer was lost.

        A worker stays with a controller whose answers arrive. If it has shown the token, it may
        have left for another reason, so that only the next heartbeat in sequence proves that the
        answer of this controller was lost.
        """
        if (incarnation, sequence) <= (self.acknowledged_incarnation, self.acknowledged_sequence):
            return False
        self.last_received_at = now
        if self.acknowledged_sequence < 0:
            return False
        is_next_heartbeat = (incarnation, sequence) == (
            self.acknowledged_incarnation,
            self.acknowledged_sequence + 1,
        )
        if shows_fencing_token and not is_next_heartbeat:
            return False
        self.unaccepted_answers += 1
        return True

    def acknowledged(self, incarnation: int, sequence: int, now: float) -> None:
        """Record that a heartbeat is answered with 200 now."""
        if (incarnation, sequence) > (self.acknowledged_incarnation, self.acknowledged_sequence):
            self.acknowledged_incarnation, self.acknowledged_sequence = incarnation, sequence
            self.acknowledged_at = now

    def command_answered(self, sent_at: float) -> None:
        """Record that the direct call sent at ``sent_at`` was answered."""
        self.confirmed_command_sent_at = max(self.confirmed_command_sent_at, sent_at)
        self.unaccepted_answers = 0

    def command_failed(self, sent_at: float) -> None:
        """Record that the direct call sent at ``sent_at`` had no answer in time."""
        self.command_failed_at = max(self.command_failed_at, sent_at)

    def unreachable(self) -> bool:
        """Return whether, by the latest evidence, neither answers nor direct calls arrive."""
        return (
            self.unaccepted_answers > 0 and self.command_failed_at > self.confirmed_command_sent_at
        )
