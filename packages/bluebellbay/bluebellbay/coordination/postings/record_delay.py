"""Adaptive delay before the outcome of a claim is recorded."""

from typing import Final

INITIAL_DELAY_S: Final = 0.1
GROWTH_FACTOR: Final = 2.0
DECAY_FACTOR: Final = 0.98


class RecordDelay:
    """Delay of outcome records, above zero only if the store rejects calls.

    A delayed record can be written in one call with claims of its bucket.
    ``delay_s`` is the current delay in seconds.

    :param max_delay_s: Longest delay in seconds.
    """

    def __init__(self, *, max_delay_s: float) -> None:
        self._max_delay_s = max_delay_s
        self.delay_s = 0.0

    def increase(self) -> None:
        """Increase the delay, as the store rejected a call."""
        grown_s = max(INITIAL_DELAY_S, self.delay_s * GROWTH_FACTOR)
        self.delay_s = min(self._max_delay_s, grown_s)

    def decrease(self) -> None:
        """Decrease the delay, as the store accepted a write."""
        self.delay_s *= DECAY_FACTOR
        if self.delay_s < INITIAL_DELAY_S / 2:
            self.delay_s = 0.0

    def disable(self) -> None:
        """Set the delay to zero and keep it there."""
        self._max_delay_s = 0.0
        self.delay_s = 0.0
