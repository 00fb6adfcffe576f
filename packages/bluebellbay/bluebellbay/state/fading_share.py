"""A share of the latest cases, which fades while there are none."""

import math

GAIN = 0.2
LIFE_S = 3.0


class FadingShare:
    """How often something held lately."""

    __slots__ = ("_at", "_share")

    def __init__(self) -> None:
        self._share = 0.0
        self._at = 0.0

    def add(self, value: float, now: float) -> None:
        """Take a case.

        :param value: 1 if it held, else 0.
        :param now: Present time in seconds.
        """
        self._share += GAIN * (value - self._share)
        self._at = now

    def read(self, now: float) -> float:
        """Give the share.

        :param now: Present time in seconds.
        :returns: Between 0 and 1; towards 0 as the last case grows old.
        """
        if not self._share:
            return 0.0
        return self._share * math.exp((self._at - now) / LIFE_S)
