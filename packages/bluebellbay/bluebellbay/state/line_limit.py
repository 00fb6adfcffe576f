"""Bounds how many lines of a kind are logged."""

from bluebellbay.state.sliding_window_counter import SlidingWindowCounter

WINDOW_S = 10.0
MAX_LINES = 20


class LineLimit:
    """Allows ``MAX_LINES`` log lines in ``WINDOW_S``, and counts the others.

    Others may cause the lines, by entries or answers; the log must not grow
    with them.
    """

    def __init__(self) -> None:
        self._lines = SlidingWindowCounter()
        self._suppressed = 0

    def try_acquire(self, now: float) -> bool:
        """Count a line, and tell whether it may be logged.

        :param now: Current time in seconds.
        """
        self._lines.expire(now - WINDOW_S)
        if self._lines.total >= MAX_LINES:
            self._suppressed += 1
            return False
        self._lines.add(1, now)
        return True

    def pop_suppressed_count(self) -> int:
        """Return how many lines were left out since the last call."""
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed
