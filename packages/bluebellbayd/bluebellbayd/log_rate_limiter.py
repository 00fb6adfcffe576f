"""Bounds the log lines on single requests."""

LINES_PER_S = 200.0
BURST_LINES = 400.0


class LogRateLimiter:
    """A token bucket of lines; those over it are counted."""

    def __init__(self) -> None:
        self.suppressed_count = 0
        self._tokens = BURST_LINES
        self._refilled_at = 0.0

    def try_acquire(self, now: float) -> bool:
        """Ask for a line.

        :param now: Present time in seconds.
        :returns: Whether it may be written.
        """
        refill = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            self.suppressed_count += 1
            return False
        self._tokens -= 1
        return True

    def pop_suppressed_count(self) -> int:
        """Give how many lines were left out since the last call."""
        suppressed_count = self.suppressed_count
        self.suppressed_count = 0
        return suppressed_count
