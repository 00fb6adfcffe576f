"""Counts things over the last seconds."""

import collections


class SlidingWindowCounter:
    """A count over the last seconds."""

    __slots__ = ("_entries", "total")

    def __init__(self) -> None:
        self._entries: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.total = 0

    def add(self, count: int, now: float) -> None:
        """Count something.

        :param count: How many.
        :param now: Present time in seconds.
        """
        self._entries.append((now, count))
        self.total += count

    def expire(self, before: float) -> None:
        """Forget what is too old.

        :param before: Time in seconds of the oldest that is kept.
        """
        entries = self._entries
        while entries and entries[0][0] < before:
            self.total -= entries.popleft()[1]
