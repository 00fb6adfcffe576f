"""Legs in flight, and the ranges that they are to bring."""

import abc

from bluebellbay.coordination.timer import TimerTarget
from bluebellbay.protocol.leg import LegRefusal
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.profile import Profile
from bluebellbay.protocol.proof import LegLedger
from bluebellbay.protocol.request import QueryRequest
from bluebellbay.state.server import ServerRecord


class Run(TimerTarget):
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
    def is_finished(self) -> bool:
        """Whether nothing more is to be done for it."""
        return self.finished

    @abc.abstractmethod
    def start(self, now: float) -> None:
        """Begin the work.

        :param now: Present time in seconds.
        """

    @abc.abstractmethod
    def take_reply(self, leg: "Leg", reply: LegReply, now: float) -> None:
        """Take the reply to a leg that has just ended.

        :param leg: The leg.
        :param reply: A reply that fits it.
        :param now: Present time in seconds.
        """

    @abc.abstractmethod
    def take_refusal(
        self, leg: "Leg", refusal: LegRefusal, now: float
    ) -> None:
        """Take a server's word that it ran nothing of a leg.

        :param leg: The leg, which has just ended.
        :param refusal: The refusal.
        :param now: Present time in seconds.
        """

    @abc.abstractmethod
    def take_failure(
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

    def resume(self, task: "Task", now: float) -> None:
        """Try again to get a range, after a pause.

        :param task: The range.
        :param now: Present time in seconds.
        """

    def review(self, server: str, now: float) -> None:
        """Act on a server's health having been read.

        :param server: Name of the server.
        :param now: Present time in seconds.
        """

    @abc.abstractmethod
    def abandon(self, now: float) -> None:
        """Act on the caller having gone away.

        :param now: Present time in seconds.
        """


class Task(TimerTarget):
    """A range of the key space that a run still wants.

    :param run: The run that wants it.
    :param start: First key of the range.
    :param end: First key after the range.
    :param servers: Names of the candidate servers.
    """

    __slots__ = (
        "closed",
        "end",
        "legs",
        "may_have_run",
        "pauses",
        "run",
        "servers",
        "spared",
        "start",
        "tried",
    )

    def __init__(
        self, *, run: Run, start: int, end: int, servers: tuple[str, ...]
    ) -> None:
        self.run = run
        self.start = start
        self.end = end
        self.servers = servers
        self.tried: set[str] = set()
        self.spared: set[str] = set()
        self.legs: list[Leg] = []
        self.may_have_run = 0
        self.pauses = 0
        self.closed = False

    @property
    def is_finished(self) -> bool:
        """Whether the range is no longer wanted."""
        return self.closed

    def handle_timeout(self, now: float) -> None:
        """Go on after a pause.

        :param now: Present time in seconds.
        """
        self.run.resume(self, now)


class Leg(TimerTarget):
    """One leg in flight.

    :param attempt: Its attempt id.
    :param run: The run that it belongs to.
    :param task: The range that it is to bring.
    :param record: The server.
    :param snapshot: The snapshot that it reads.
    :param sent_at: Time in seconds when it was sent.
    """

    __slots__ = (
        "attempt",
        "record",
        "run",
        "sent_at",
        "snapshot",
        "task",
        "usual_s",
        "wanted",
    )

    def __init__(
        self,
        *,
        attempt: str,
        run: Run,
        task: Task,
        record: ServerRecord,
        snapshot: int,
        sent_at: float,
    ) -> None:
        self.attempt = attempt
        self.run = run
        self.task = task
        self.record = record
        self.snapshot = snapshot
        self.sent_at = sent_at
        self.usual_s = 0.0
        self.wanted = True

    @property
    def server(self) -> str:
        """Name of the server."""
        return self.record.name

    @property
    def is_finished(self) -> bool:
        """Whether nobody waits for it any more."""
        return not self.wanted

    def handle_timeout(self, now: float) -> None:
        """Act on the leg having taken long.

        :param now: Present time in seconds.
        """
        self.run.hedge(self, now)
