"""The daemon's time source."""

from collections.abc import Callable
import time

# While the wall clock is behind, time goes on at this share of its speed.
CATCH_UP_RATE = 0.5


class SteadyClock:
    """Unix time that never goes back and never stands still for long.

    A wall clock that is set back is met again by going on more slowly.

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
        self._now = max(self._wall(), self._now + passed * CATCH_UP_RATE)
        return self._now
