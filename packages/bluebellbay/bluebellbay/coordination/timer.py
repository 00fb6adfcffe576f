"""Timers of one part, which the driver runs by ``TimePassed``."""

import abc
from collections.abc import Iterator
import heapq
import itertools


class TimerTarget(abc.ABC):
    """Something that waits for a time."""

    __slots__ = ()

    @property
    @abc.abstractmethod
    def is_finished(self) -> bool:
        """Whether its timers no longer matter."""

    @abc.abstractmethod
    def handle_timeout(self, now: float) -> None:
        """Do what is due.

        :param now: Present time in seconds.
        """


class TimerQueue:
    """Timers in order of time; those that are over are skipped."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, TimerTarget]] = []
        self._order = itertools.count()

    def add(self, due_at: float, target: TimerTarget) -> None:
        """Set a timer.

        :param when: Time in seconds.
        :param timed: What to wake then.
        """
        heapq.heappush(self._heap, (due_at, next(self._order), target))

    def get_next_time(self) -> float | None:
        """Name the earliest time, or none if no timer is set."""
        while self._heap and self._heap[0][2].is_finished:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> Iterator[TimerTarget]:
        """Take the timers that are due, in order.

        :param now: Present time in seconds.
        :returns: What to wake.
        """
        while self._heap and self._heap[0][0] <= now:
            target = heapq.heappop(self._heap)[2]
            if not target.is_finished:
                yield target
