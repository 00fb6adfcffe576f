"""The daemon's time source."""

from collections.abc import Callable
import time

# By how much time may go faster or slower to meet the wall clock again.
MAX_SLEW_RATE = 0.5


class SlewedClock:
    """Unix time that neither goes back nor jumps ahead.

    A wall clock that is set is met again by going on a little faster or more
    slowly, so that no deadline or timeout ends at once. What must not be
    sent after a time of day is compared with the wall clock itself.

    :param wall: Gives Unix time in seconds; may go back.
    :param monotonic: Gives seconds since any moment; never goes back.
    """

    def __init__(
        self,
        *,
        wall: Callable[[], float] = time.time,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._wall = wall
        self._monotonic = monotonic
        self._now = wall()
        self._last_monotonic_s = monotonic()

    def read(self) -> float:
        """Give the present time.

        :returns: Unix time in seconds.
        """
        monotonic_s = self._monotonic()
        elapsed_s = monotonic_s - self._last_monotonic_s
        self._last_monotonic_s = monotonic_s
        self._now += elapsed_s
        max_slew_s = elapsed_s * MAX_SLEW_RATE
        self._now += max(
            -max_slew_s, min(max_slew_s, self._wall() - self._now)
        )
        return self._now
