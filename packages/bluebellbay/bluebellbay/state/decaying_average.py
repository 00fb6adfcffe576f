"""An exponential moving average that decays over time."""

import math

SMOOTHING_FACTOR = 0.2
DECAY_S = 3.0


class DecayingAverage:
    """Exponential moving average of recent outcomes.

    It decays towards 0 with the time constant ``DECAY_S`` while no outcome
    is added.
    """

    __slots__ = ("_average", "_updated_at")

    def __init__(self) -> None:
        self._average = 0.0
        self._updated_at = 0.0

    def add(self, value: float, now: float) -> None:
        """Add an outcome.

        :param value: 1 if the event occurred, else 0.
        :param now: Current time in seconds.
        """
        self._average += SMOOTHING_FACTOR * (value - self._average)
        self._updated_at = now

    def read(self, now: float) -> float:
        """Return the average.

        :param now: Current time in seconds.
        :returns: Fraction of recent outcomes that were 1, decayed by the
            time since the last outcome.
        """
        if not self._average:
            return 0.0
        return self._average * math.exp((self._updated_at - now) / DECAY_S)
