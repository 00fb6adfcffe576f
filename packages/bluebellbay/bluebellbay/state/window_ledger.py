"""A count over a sliding window whose entries can be taken back."""

import bisect
import collections


class WindowLedger:
    """Counts what was spent within a sliding window.

    An entry is taken back by its own time: a negative count at a later time
    would outlive the entry that it cancels, and allow one too many.

    :param kept_s: Length of the window in seconds.
    """

    __slots__ = ("_kept_s", "_times")

    def __init__(self, *, kept_s: float) -> None:
        self._kept_s = kept_s
        self._times: collections.deque[float] = collections.deque()

    def count(self, now: float) -> int:
        """Count the entries in the window.

        :param now: Current time in seconds.
        """
        while self._times and self._times[0] < now - self._kept_s:
            self._times.popleft()
        return len(self._times)

    def add(self, now: float) -> None:
        """Add an entry.

        :param now: Current time in seconds; never before an earlier entry.
        """
        self._times.append(now)

    def take_back(self, spent_at: float) -> None:
        """Remove an entry, if it is still there.

        :param spent_at: Time in seconds when it was added.
        """
        index = bisect.bisect_left(self._times, spent_at)
        if index < len(self._times) and self._times[index] == spent_at:
            del self._times[index]

    def measure_wait(self, limit: int, now: float) -> float:
        """Measure how long there is no room.

        :param limit: Largest number of entries.
        :param now: Current time in seconds.
        :returns: Seconds until one more entry fits; the whole window if the
            limit is below 1.
        """
        excess = self.count(now) - limit
        if excess < 0:
            return 0.0
        if limit < 1:
            return self._kept_s
        return max(0.0, self._times[excess] + self._kept_s - now)
