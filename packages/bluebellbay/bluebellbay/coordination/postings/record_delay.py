"""How long records of outcomes wait for a claim to be written with."""

from typing import Final

INITIAL_DELAY_S: Final = 0.1
GROWTH_FACTOR: Final = 2.0
DECAY_FACTOR: Final = 0.98


class RecordDelay:
    """Delays records only while the store refuses calls.

    :param max_delay_s: Longest delay in seconds.
    """

    def __init__(self, *, max_delay_s: float) -> None:
        self._max_delay_s = max_delay_s
        self.delay_s = 0.0

    def increase(self) -> None:
        """Wait longer, as the store did not take a call."""
        grown_s = max(INITIAL_DELAY_S, self.delay_s * GROWTH_FACTOR)
        self.delay_s = min(self._max_delay_s, grown_s)

    def decrease(self) -> None:
        """Wait less, as the store took a write."""
        self.delay_s *= DECAY_FACTOR
        if self.delay_s < INITIAL_DELAY_S / 2:
            self.delay_s = 0.0

    def disable(self) -> None:
        """Wait no more from now on."""
        self._max_delay_s = 0.0
        self.delay_s = 0.0
