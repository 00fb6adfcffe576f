"""Timer queue of one part, run on each ``TimerTick`` event."""

import abc
from collections.abc import Iterator
import heapq
import itertools


class TimerTarget(abc.ABC):
    """An object that can be scheduled in a :class:`TimerQueue`."""

    __slots__ = ()

    @property
    @abc.abstractmethod
    def is_finished(self) -> bool:
        """Whether the target has ended, so that its timers are dropped."""

    @abc.abstractmethod
    def handle_timeout(self, now: float) -> None:
        """Perform the actions that are due.

        A timer cannot be cancelled, so the target may be called at times
        that no longer matter to it.

        :param now: Current time in seconds.
        """


class TimerQueue:
    """Timers ordered by due time; timers of finished targets are skipped."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, TimerTarget]] = []
        self._order = itertools.count()

    def add(self, due_at: float, target: TimerTarget) -> None:
        """Schedule a timer.

        :param due_at: Time in seconds.
        :param target: The object to call at that time.
        """
        heapq.heappush(self._heap, (due_at, next(self._order), target))

    def get_next_time(self) -> float | None:
        """Return when the earliest timer of an unfinished target is due.

        :returns: Time in seconds, or ``None`` if there is no timer.
        """
        while self._heap and self._heap[0][2].is_finished:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> Iterator[TimerTarget]:
        """Remove the timers that are due and yield their targets.

        :param now: Current time in seconds.
        :returns: The unfinished targets, ordered by due time.
        """
        while self._heap and self._heap[0][0] <= now:
            target = heapq.heappop(self._heap)[2]
            if not target.is_finished:
                yield target
