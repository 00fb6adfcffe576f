"""Rate limit of the log lines about single requests."""

LINES_PER_S = 200.0
BURST_LINES = 400.0


class LogRateLimiter:
    """Token bucket for log lines.

    The bucket holds ``BURST_LINES`` tokens and is refilled with
    ``LINES_PER_S`` tokens per second. A line takes one token; lines that
    find none are counted.
    """

    def __init__(self) -> None:
        self.suppressed_count = 0
        self._tokens = BURST_LINES
        self._refilled_at = 0.0

    def try_acquire(self, now: float) -> bool:
        """Take the token of one line, or count the line as suppressed.

        :param now: Current time in seconds; must never go back.
        :returns: Whether the line may be written.
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
        """Reset the count of suppressed lines.

        :returns: Number of lines suppressed since the last call.
        """
        suppressed_count = self.suppressed_count
        self.suppressed_count = 0
        return suppressed_count
