"""State of a request in progress: its executions, range tasks and legs.

A leg is a sub-request that reads one key range at one backend server.
"""

import abc

from bluebellbay.coordination.timer import TimerTarget
from bluebellbay.protocol.leg import LegRefusal
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.profile import Profile
from bluebellbay.protocol.proof import LegLedger
from bluebellbay.protocol.request import QueryRequest
from bluebellbay.state.server import ServerRecord


class RequestExecution(TimerTarget):
    """Execution of one request, from arrival to its answer.

    It starts once the request is admitted. ``deadline`` is the Unix time in
    seconds by which the caller is to be answered.

    :param caller: Number of the HTTP exchange with the caller.
    :param request: The request.
    :param profile: The profile in force when the request arrived.
    :param now: Current Unix time in seconds.
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
    def is_finished(self) -> bool:
        """Whether the execution has finished."""
        return self.finished

    @abc.abstractmethod
    def start(self, now: float) -> None:
        """Start the execution once the request has been admitted.

        :param now: Current Unix time in seconds.
        """

    @abc.abstractmethod
    def handle_reply(self, leg: "Leg", reply: LegReply, now: float) -> None:
        """Handle the reply to a leg.

        :param leg: The leg, which has just ended.
        :param reply: Its reply, which has passed ``matches_leg``.
        :param now: Current Unix time in seconds.
        """

    @abc.abstractmethod
    def handle_refusal(
        self, leg: "Leg", refusal: LegRefusal, now: float
    ) -> None:
        """Handle a server's refusal, which states that the leg did not run.

        :param leg: The leg, which has just ended.
        :param refusal: The refusal.
        :param now: Current Unix time in seconds.
        """

    @abc.abstractmethod
    def handle_failure(
        self, leg: "Leg", *, sent: bool, expired: bool, now: float
    ) -> None:
        """Handle a leg that ended without a usable reply.

        :param leg: The leg, which has just ended.
        :param sent: False only if no byte of it left this process.
        :param expired: Whether the transport did not send it because the
            request had expired.
        :param now: Current Unix time in seconds.
        """

    def hedge(self, leg: "Leg", now: float) -> None:
        """Send a hedge for a leg whose hedge delay has passed.

        The default implementation does nothing.

        :param leg: The leg.
        :param now: Current Unix time in seconds.
        """

    def retry_task(self, task: "RangeTask", now: float) -> None:
        """Retry a task whose back-off has ended.

        The default implementation does nothing.

        :param task: The task.
        :param now: Current Unix time in seconds.
        """

    def handle_poll(self, server: str, now: float) -> None:
        """Handle the end of a poll of a server's health endpoint.

        The default implementation does nothing.

        :param server: Name of the server.
        :param now: Current Unix time in seconds.
        """

    @abc.abstractmethod
    def handle_disconnect(self, now: float) -> None:
        """Handle the disconnection of the caller.

        :param now: Current Unix time in seconds.
        """


class RangeTask(TimerTarget):
    """A key range that an execution has yet to read.

    ``tried_servers`` are not chosen again; ``retryable_servers`` are those
    of them that may be tried again after a back-off.
    ``possible_executions`` counts the legs that may have run;
    ``first_sent_at`` is the Unix time in seconds when the first of them was
    sent.

    :param execution: The execution that reads the range.
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
        "first_sent_at",
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
        self.first_sent_at = 0.0
        self.backoff_count = 0
        self.closed = False

    @property
    def is_finished(self) -> bool:
        """Whether the range no longer has to be read."""
        return self.closed

    def handle_timeout(self, now: float) -> None:
        """Retry the task, as its back-off has ended.

        :param now: Current Unix time in seconds.
        """
        self.execution.retry_task(self, now)


class Leg(TimerTarget):
    """One leg in flight.

    ``hedge_delay_s`` is the time after which it is hedged, 0 if none is set.
    ``pending`` turns false when it ends or is cancelled.

    :param attempt: Its attempt id.
    :param execution: The execution that it belongs to.
    :param task: The task whose range it reads.
    :param record: The server.
    :param snapshot: The snapshot that it reads.
    :param sent_at: Unix time in seconds when it was sent.
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
    def is_finished(self) -> bool:
        """Whether its result is no longer needed."""
        return not self.pending

    def handle_timeout(self, now: float) -> None:
        """Hedge the leg, as its hedge delay has passed.

        :param now: Current Unix time in seconds.
        """
        self.execution.hedge(self, now)
