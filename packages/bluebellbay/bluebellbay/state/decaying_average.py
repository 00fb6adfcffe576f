"""A share of the latest cases, which fades while there are none."""

import math

SMOOTHING_FACTOR = 0.2
DECAY_S = 3.0


class DecayingAverage:
    """How often something held lately."""

    __slots__ = ("_average", "_updated_at")

    def __init__(self) -> None:
        self._average = 0.0
        self._updated_at = 0.0

    def add(self, value: float, now: float) -> None:
        """Take a case.

        :param value: 1 if it held, else 0.
        :param now: Present time in seconds.
        """
        self._average += SMOOTHING_FACTOR * (value - self._average)
        self._updated_at = now

    def read(self, now: float) -> float:
        """Give the share.

        :param now: Present time in seconds.
        :returns: Between 0 and 1; towards 0 as the last case grows old.
        """
        if not self._average:
            return 0.0
        return self._average * math.exp((self._updated_at - now) / DECAY_S)
