"""How late a kind of event was in the recent past."""

import collections

MAX_SAMPLES = 128
MIN_SAMPLES = 8
MAX_AGE_S = 60.0
# An answer that is late loses nearly all, one that is early a shard at most.
HIGH_QUANTILE = 0.95


class LatenessWindow:
    """The lateness of the most recent events.

    A few samples don't show a high quantile, so there is no estimate until
    there are ``MIN_SAMPLES`` that are no older than ``MAX_AGE_S``.
    """

    def __init__(self) -> None:
        # Time and lateness of each event, in seconds, in order of time.
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=MAX_SAMPLES)
        )
        self._estimate_s: float | None = None

    def add(self, seconds: float, now: float) -> None:
        """Add the lateness of an event.

        :param seconds: The lateness; an event before its time is not late.
        :param now: Current time in seconds.
        """
        self._samples.append((now, max(0.0, seconds)))
        self._estimate_s = None

    def estimate(self, now: float) -> float:
        """Return a lateness that few events exceed.

        :param now: Current time in seconds.
        :returns: The lateness in seconds; 0 while too little is known.
        """
        while self._samples and self._samples[0][0] < now - MAX_AGE_S:
            self._samples.popleft()
            self._estimate_s = None
        if self._estimate_s is None:
            self._estimate_s = self._compute()
        return self._estimate_s

    def _compute(self) -> float:
        if len(self._samples) < MIN_SAMPLES:
            return 0.0
        ordered = sorted(seconds for _, seconds in self._samples)
        return ordered[int(HIGH_QUANTILE * len(ordered))]
