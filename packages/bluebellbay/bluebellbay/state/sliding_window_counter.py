"""A counter over a sliding time window."""

import collections


class SlidingWindowCounter:
    """Sums counts within a sliding time window.

    The caller sets the length of the window through :meth:`expire`, which
    must be called before ``total`` is read.

    :ivar total: Sum of the counts that have not expired.
    """

    __slots__ = ("_entries", "total")

    def __init__(self) -> None:
        self._entries: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.total = 0

    def add(self, count: int, now: float) -> None:
        """Add to the count.

        :param count: Number of events; negative to take events back.
        :param now: Current time in seconds.
        """
        self._entries.append((now, count))
        self.total += count

    def expire(self, before: float) -> None:
        """Remove counts that are older than the window.

        :param before: Start of the window, as time in seconds.
        """
        entries = self._entries
        while entries and entries[0][0] < before:
            self.total -= entries.popleft()[1]
