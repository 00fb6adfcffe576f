"""A bounded queue of legs in front of a server's slots."""

import dataclasses
import enum

from twisted.internet.defer import Deferred

from bluebellbay.protocol.key_range import KeyRange
from bluebellbay.protocol.leg import LegRequest
from bluebellbay_standins.clock import TimedCall


class RunState(enum.Enum):
    """Where a leg is."""

    QUEUED = enum.auto()
    RUNNING = enum.auto()
    FINISHED = enum.auto()


class RunEnd(enum.Enum):
    """How a leg ended."""

    DONE = enum.auto()
    REFUSED = enum.auto()
    CANCELLED_QUEUED = enum.auto()
    CANCELLED_RUNNING = enum.auto()
    OVERDUE = enum.auto()


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Run:
    """One leg at a server.

    :param leg: The leg.
    :param deadline: Time in seconds at which it is due.
    :param key_range: The part of the wanted range that is read.
    :param ended: Fires with how it ended.
    :param state: Where it is.
    :param timer: Ends it while it runs.
    """

    leg: LegRequest
    deadline: float
    key_range: KeyRange
    ended: Deferred[RunEnd] = dataclasses.field(default_factory=Deferred)
    state: RunState = RunState.QUEUED
    timer: TimedCall | None = None

    def finish(self, end: RunEnd) -> None:
        """End the leg.

        :param end: How it ended.
        """
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.state = RunState.FINISHED
        self.ended.callback(end)


class RunQueue:
    """Legs that wait for a slot, in order, and those that run."""

    def __init__(self) -> None:
        self.waiting: list[Run] = []
        self.running: dict[str, Run] = {}

    def find(self, attempt: str) -> Run | None:
        """Look a leg up.

        :param attempt: Its attempt id.
        :returns: The leg; none if it has ended or never came.
        """
        found = self.running.get(attempt)
        if found is not None:
            return found
        for run in self.waiting:
            if run.leg.attempt == attempt:
                return run
        return None

    def start_next(self, slots: int) -> Run | None:
        """Give a free slot to the leg that has waited longest.

        :param slots: Slots of the server.
        :returns: The leg, now running; none if none waits or none is free.
        """
        if not self.waiting or len(self.running) >= slots:
            return None
        run = self.waiting.pop(0)
        run.state = RunState.RUNNING
        self.running[run.leg.attempt] = run
        return run

    def remove(self, run: Run) -> None:
        """Free the place of a leg.

        :param run: The leg.
        """
        if run in self.waiting:
            self.waiting.remove(run)
        if self.running.get(run.leg.attempt) is run:
            del self.running[run.leg.attempt]
