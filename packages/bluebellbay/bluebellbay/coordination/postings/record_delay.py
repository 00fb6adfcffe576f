"""How long records of outcomes wait for a claim to be written with."""

from typing import Final

FIRST_DELAY_S: Final = 0.1
GROWTH: Final = 2.0
DECAY: Final = 0.98


class RecordPace:
    """Delays records only while the store refuses calls.

    :param longest_s: Longest delay in seconds.
    """

    def __init__(self, *, longest_s: float) -> None:
        self._longest_s = longest_s
        self.delay_s = 0.0

    def note_refused(self) -> None:
        """Wait longer, as the store did not take a call."""
        grown_s = max(FIRST_DELAY_S, self.delay_s * GROWTH)
        self.delay_s = min(self._longest_s, grown_s)

    def note_taken(self) -> None:
        """Wait less, as the store took a write."""
        self.delay_s *= DECAY
        if self.delay_s < FIRST_DELAY_S / 2:
            self.delay_s = 0.0

    def stop_waiting(self) -> None:
        """Wait no more from now on."""
        self._longest_s = 0.0
        self.delay_s = 0.0
