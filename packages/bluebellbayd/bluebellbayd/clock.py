"""Unix time without jumps, for deadlines and timeouts."""

from collections.abc import Callable
import time

# Most seconds of correction for each second of monotonic time.
MAX_SLEW_RATE = 0.5


class SlewedClock:
    """Unix time that never goes back and never jumps forward.

    After a step of the wall clock this clock runs faster or slower by up to
    ``MAX_SLEW_RATE`` until both agree, so that a step does not expire
    deadlines and timeouts at once. Code that must not send anything after a
    given time of day compares that time with the wall clock itself.

    :param wall: Returns Unix time in seconds; may go back.
    :param monotonic: Returns seconds since an arbitrary point in time; never
        goes back.
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
        """Advance the clock and read it.

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
