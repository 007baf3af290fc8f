"""Turns of one controller's requests to the state service, by class, within its rate."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

from salthead.state_store.messages import RequestRefusedError, VersionedValue
from salthead.state_store.request_stats import RequestClass, RequestResult, RequestStats
from salthead.transport.limits import QueueFullError, TokenBucket, WaitQueue

# Of the rate of all requests; nothing of these waits for a turn.
LEASE_AND_WATCH_SHARE = 0.15
# Of what writes, leases and watches leave: all users' reads, and those of the leader.
USER_READ_SHARE = 2.0 / 3.0
LEADER_READ_SHARE = 1.0 - USER_READ_SHARE
# Of the rate of all requests, where the service permits nearly as many writes as requests.
MIN_READ_SHARE = 0.3
# Of the service's burst, which is worth one second: all users' reads, and those of the leader.
USER_BURST_SHARE = 0.7
LEADER_BURST_SHARE = 0.1
# For the turn of a read. Users wait 2 s for the status of a job, of which a question to the leader
# may have taken a part, and 5 s for the answer to a submission.
MAX_WAIT_S = {RequestClass.USER: 1.0, RequestClass.SUBMISSION: 3.0}
TOO_MANY_REQUESTS = 429
# Of the permitted writes, which all controllers share.
WRITE_SHARE = 0.5
BULK_WRITE_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class ReadRates:
    """Reads per second that one controller may send."""

    user: float  # for questions, submissions and cancellations of users
    user_burst: float
    leader: float  # while it leads: for its own decisions and for loading the records
    leader_burst: float


def read_rates(rps: float, write_rps: float, controller_count: int) -> ReadRates:
    """Return the read rates of one of ``controller_count`` controllers.

    The sum of all controllers' reads, of the permitted writes and of the leases and watches is
    within the service's rate: one controller leads, and all of them answer users.
    """
    reads = max(rps * (1.0 - LEASE_AND_WATCH_SHARE) - write_rps, rps * MIN_READ_SHARE)
    return ReadRates(
        user=reads * USER_READ_SHARE / max(1, controller_count),
        user_burst=rps * USER_BURST_SHARE / max(1, controller_count),
        leader=reads * LEADER_READ_SHARE,
        leader_burst=rps * LEADER_BURST_SHARE,
    )


class UserTurns:
    """The queue of reads for users."""

    def __init__(
        self,
        queue: WaitQueue,
        stats: RequestStats,
        max_wait_s: Mapping[RequestClass, float] = MAX_WAIT_S,
    ) -> None:
        self.queue = queue
        self.stats = stats
        self.max_wait_s = max_wait_s

    def try_acquire(self) -> bool:
        """Take a turn if there is one at once, and return whether there was."""
        return self.queue.try_acquire()

    async def acquire(self, request_class: RequestClass) -> None:
        """Wait for a turn; raises RequestRefusedError if it would come too late."""
        try:
            with self.stats.while_waiting(request_class):
                await self.queue.acquire(self.max_wait_s[request_class])
        except QueueFullError as error:
            self.stats.record(request_class, RequestResult.NOT_SENT)
            raise RequestRefusedError(TOO_MANY_REQUESTS, str(error)) from None


class RequestPacing:
    """Decides when a request may be sent."""

    def __init__(
        self,
        rps: float,
        write_rps: float,
        controller_count: int,
        now: Callable[[], float],
        stats: RequestStats,
    ) -> None:
        rates = read_rates(rps, write_rps, controller_count)
        self.stats = stats
        self.leader_reads = TokenBucket(rates.leader, rates.leader_burst, now)
        self.user_turns = UserTurns(
            WaitQueue(TokenBucket(rates.user, rates.user_burst, now)), stats
        )
        self.writes = TokenBucket(write_rps * WRITE_SHARE, write_rps * WRITE_SHARE, now)
        # Writes of the machine registry and of done tasks have a bucket of their own, so that
        # submissions and outcomes never wait behind them.
        self.bulk_writes = TokenBucket(write_rps * BULK_WRITE_SHARE, write_rps * WRITE_SHARE, now)

    async def wait_for_read(self, request_class: RequestClass) -> None:
        """Wait until a read may be sent; raises RequestRefusedError for one that comes too late."""
        if request_class is RequestClass.RECOVERY:
            self.leader_reads.take()
        elif request_class in MAX_WAIT_S:
            await self.user_turns.acquire(request_class)
        elif request_class is not RequestClass.LEASE:
            await self._wait(self.leader_reads, request_class, 1)

    async def wait_for_write(self, request_class: RequestClass, change_count: int) -> None:
        """Wait until a transaction with that many changes may be sent."""
        if request_class is RequestClass.LEASE:
            return
        bulk = request_class is RequestClass.BULK_WRITE
        bucket = self.bulk_writes if bulk else self.writes
        await self._wait(bucket, request_class, change_count)

    async def _wait(self, bucket: TokenBucket, request_class: RequestClass, amount: int) -> None:
        if not bucket.try_acquire(amount):
            with self.stats.while_waiting(request_class):
                await bucket.wait(amount)


Read = Callable[[str, RequestClass], Awaitable[VersionedValue | None]]
QueueKey = tuple[RequestClass, str]


@dataclass(slots=True)
class _QueuedRead:
    """A read that waits for its turn, and how many callers wait for it."""

    task: asyncio.Task[VersionedValue | None]
    callers: int = 0


class UserReads:
    """Single-key reads in the order of their arrival.

    A read that has not been sent yet serves all callers of its class that ask for its key
    meanwhile; one that was sent may be older than a later question.
    """

    def __init__(self, turns: UserTurns, read: Read) -> None:
        self.turns = turns
        self.read = read
        self.queued: dict[QueueKey, _QueuedRead] = {}

    async def get(self, key: str, request_class: RequestClass) -> VersionedValue | None:
        """Read a key when it is its turn.

        Raises RequestRefusedError if that would be too late for whoever asks.
        """
        queue_key = request_class, key
        queued = self.queued.get(queue_key)
        if queued is None:
            if self.turns.try_acquire():
                return await self.read(key, request_class)
            queued = _QueuedRead(asyncio.create_task(self._read_in_turn(queue_key)))
            queued.task.add_done_callback(_retrieve_error)
            self.queued[queue_key] = queued
        queued.callers += 1
        try:
            return await asyncio.shield(queued.task)
        finally:
            queued.callers -= 1
            if not queued.callers and self.queued.get(queue_key) is queued:
                del self.queued[queue_key]
                queued.task.cancel()

    async def _read_in_turn(self, queue_key: QueueKey) -> VersionedValue | None:
        request_class, key = queue_key
        try:
            await self.turns.acquire(request_class)
        finally:
            self._leave_queue(queue_key)
        return await self.read(key, request_class)

    def _leave_queue(self, queue_key: QueueKey) -> None:
        queued = self.queued.get(queue_key)
        if queued is not None and queued.task is asyncio.current_task():
            del self.queued[queue_key]


def _retrieve_error(task: asyncio.Task[VersionedValue | None]) -> None:
    """Mark the error of a read as seen, since its callers may have been cancelled."""
    if not task.cancelled():
        task.exception()
