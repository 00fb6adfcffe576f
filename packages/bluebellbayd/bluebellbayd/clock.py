"""The daemon's time source."""

from collections.abc import Callable
import time

# By how much time may go faster or slower to meet the wall clock again.
MOST_SLEW = 0.5


class SteadyClock:
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
        self._read_at = monotonic()

    def read(self) -> float:
        """Give the present time.

        :returns: Unix time in seconds.
        """
        read_at = self._monotonic()
        passed = read_at - self._read_at
        self._read_at = read_at
        self._now += passed
        most = passed * MOST_SLEW
        self._now += max(-most, min(most, self._wall() - self._now))
        return self._now
