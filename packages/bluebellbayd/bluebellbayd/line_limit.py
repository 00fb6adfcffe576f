"""Bounds the log lines on single requests."""

LINES_PER_S = 200.0
BURST_LINES = 400.0


class LineLimit:
    """A token bucket of lines; those over it are counted."""

    def __init__(self) -> None:
        self.left_out = 0
        self._tokens = BURST_LINES
        self._filled_at = 0.0

    def take(self, now: float) -> bool:
        """Ask for a line.

        :param now: Present time in seconds.
        :returns: Whether it may be written.
        """
        gained = (now - self._filled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            self.left_out += 1
            return False
        self._tokens -= 1
        return True

    def take_left_out(self) -> int:
        """Give how many lines were left out since the last call."""
        left_out = self.left_out
        self.left_out = 0
        return left_out
