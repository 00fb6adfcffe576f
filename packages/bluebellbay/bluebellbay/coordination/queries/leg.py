"""Legs in flight, and the ranges that they are to bring."""

import abc

from bluebellbay.coordination.timer import Timed
from bluebellbay.protocol.leg import LegRefusal
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.profile import Profile
from bluebellbay.protocol.proof import LegLedger
from bluebellbay.protocol.request import QueryRequest
from bluebellbay.state.server import ServerRecord


class RequestExecution(Timed):
    """One request on its way through this node.

    :param caller: Number of the exchange with the caller.
    :param request: The request.
    :param profile: The profile in force when it arrived.
    :param now: Present time in seconds.
    """

    def __init__(
        self,
        *,
        caller: int,
        request: QueryRequest,
        profile: Profile,
        now: float,
    ) -> None:
        delay_ms = profile.delay_ms
        if request.deadline_ms is not None:
            delay_ms = min(delay_ms, request.deadline_ms)
        self.caller = caller
        self.request = request
        self.profile = profile
        self.deadline = now + delay_ms / 1000
        self.ledger = LegLedger()
        self.finished = False

    @property
    def is_over(self) -> bool:
        """Whether nothing more is to be done for it."""
        return self.finished

    @abc.abstractmethod
    def start(self, now: float) -> None:
        """Begin the work.

        :param now: Present time in seconds.
        """

    @abc.abstractmethod
    def handle_reply(self, leg: "Leg", reply: LegReply, now: float) -> None:
        """Take the reply to a leg that has just ended.

        :param leg: The leg.
        :param reply: A reply that fits it.
        :param now: Present time in seconds.
        """

    @abc.abstractmethod
    def handle_refusal(
        self, leg: "Leg", refusal: LegRefusal, now: float
    ) -> None:
        """Take a server's word that it ran nothing of a leg.

        :param leg: The leg, which has just ended.
        :param refusal: The refusal.
        :param now: Present time in seconds.
        """

    @abc.abstractmethod
    def handle_failure(
        self, leg: "Leg", *, sent: bool, expired: bool, now: float
    ) -> None:
        """Take the end of a leg without a usable reply.

        :param leg: The leg, which has just ended.
        :param sent: False only if no byte of it left this process.
        :param expired: Whether the transport held it back as expired.
        :param now: Present time in seconds.
        """

    def hedge(self, leg: "Leg", now: float) -> None:
        """Ask another replica too, as a leg has taken long.

        :param leg: The leg.
        :param now: Present time in seconds.
        """

    def retry_task(self, task: "RangeTask", now: float) -> None:
        """Try again to get a range, after a pause.

        :param task: The range.
        :param now: Present time in seconds.
        """

    def handle_poll(self, server: str, now: float) -> None:
        """Act on a server's health having been read.

        :param server: Name of the server.
        :param now: Present time in seconds.
        """

    @abc.abstractmethod
    def handle_disconnect(self, now: float) -> None:
        """Act on the caller having gone away.

        :param now: Present time in seconds.
        """


class RangeTask(Timed):
    """A range of the key space that a run still wants.

    :param execution: The run that wants it.
    :param start: First key of the range.
    :param end: First key after the range.
    :param servers: Names of the candidate servers.
    """

    __slots__ = (
        "closed",
        "end",
        "legs",
        "possible_executions",
        "backoff_count",
        "execution",
        "servers",
        "retryable_servers",
        "start",
        "tried_servers",
    )

    def __init__(
        self,
        *,
        execution: RequestExecution,
        start: int,
        end: int,
        servers: tuple[str, ...],
    ) -> None:
        self.execution = execution
        self.start = start
        self.end = end
        self.servers = servers
        self.tried_servers: set[str] = set()
        self.retryable_servers: set[str] = set()
        self.legs: list[Leg] = []
        self.possible_executions = 0
        self.backoff_count = 0
        self.closed = False

    @property
    def is_over(self) -> bool:
        """Whether the range is no longer wanted."""
        return self.closed

    def wake(self, now: float) -> None:
        """Go on after a pause.

        :param now: Present time in seconds.
        """
        self.execution.retry_task(self, now)


class Leg(Timed):
    """One leg in flight.

    :param attempt: Its attempt id.
    :param execution: The run that it belongs to.
    :param task: The range that it is to bring.
    :param record: The server.
    :param snapshot: The snapshot that it reads.
    :param sent_at: Time in seconds when it was sent.
    """

    __slots__ = (
        "attempt",
        "record",
        "execution",
        "sent_at",
        "snapshot",
        "task",
        "hedge_delay_s",
        "pending",
    )

    def __init__(
        self,
        *,
        attempt: str,
        execution: RequestExecution,
        task: RangeTask,
        record: ServerRecord,
        snapshot: int,
        sent_at: float,
    ) -> None:
        self.attempt = attempt
        self.execution = execution
        self.task = task
        self.record = record
        self.snapshot = snapshot
        self.sent_at = sent_at
        self.hedge_delay_s = 0.0
        self.pending = True

    @property
    def server(self) -> str:
        """Name of the server."""
        return self.record.name

    @property
    def is_over(self) -> bool:
        """Whether nobody waits for it any more."""
        return not self.pending

    def wake(self, now: float) -> None:
        """Act on the leg having taken long.

        :param now: Present time in seconds.
        """
        self.execution.hedge(self, now)
