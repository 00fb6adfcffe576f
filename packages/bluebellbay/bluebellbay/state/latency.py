"""Latencies of legs: an estimate and a window of samples for each server."""

import collections
import math

WINDOW_SAMPLES = 128
REFRESH_SAMPLES = 16
LEAST_SAMPLES = 16
ESTIMATE_WEIGHT = 0.2
ESTIMATE_HALF_LIFE_S = 5.0


class LatencyWindow:
    """The last latencies of one server.

    The estimate is an average that forgets, and it fades while no sample
    comes, so that a server once found slow is tried again.
    """

    __slots__ = ("_estimate_s", "_fresh", "_sampled_at", "_samples", "_sorted")

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=WINDOW_SAMPLES
        )
        self._sorted: list[float] = []
        self._fresh = 0
        self._estimate_s = 0.0
        self._sampled_at = 0.0

    @property
    def count(self) -> int:
        """Number of samples in the window."""
        return len(self._samples)

    def add(self, seconds: float, now: float) -> None:
        """Take a sample.

        :param seconds: The latency.
        :param now: Present time in seconds.
        """
        former = self.estimate(now)
        weight = ESTIMATE_WEIGHT if former > 0 else 1.0
        self._estimate_s = former + weight * (seconds - former)
        self._sampled_at = now
        self._samples.append(seconds)
        self._fresh += 1

    def estimate(self, now: float) -> float:
        """Estimate the latency.

        :param now: Present time in seconds.
        :returns: Seconds; 0 if nothing is known.
        """
        age_s = now - self._sampled_at
        if age_s <= 0 or not self._estimate_s:
            return self._estimate_s
        return self._estimate_s * math.exp2(-age_s / ESTIMATE_HALF_LIFE_S)

    def forget_estimate(self) -> None:
        """Treat the latency as unknown."""
        self._estimate_s = 0.0

    def quantile(self, share: float) -> float:
        """Give a quantile of the window, at most a few samples old.

        :param share: The quantile, between 0 and 1.
        :returns: Seconds; 0 if there are no samples.
        """
        if not self._samples:
            return 0.0
        if self._fresh >= REFRESH_SAMPLES or not self._sorted:
            self._sorted = sorted(self._samples)
            self._fresh = 0
        last = len(self._sorted) - 1
        return self._sorted[min(last, int(share * len(self._sorted)))]


class LatencyTable:
    """The latencies of all servers, by name."""

    def __init__(self) -> None:
        self._windows: dict[str, LatencyWindow] = {}

    def get(self, server: str) -> LatencyWindow:
        """Look a server's window up.

        :param server: Name of the server.
        :returns: Its window, empty at first.
        """
        window = self._windows.get(server)
        if window is None:
            window = self._windows[server] = LatencyWindow()
        return window

    def forget(self, server: str) -> None:
        """Drop what is known of a server.

        :param server: Name of the server.
        """
        self._windows.pop(server, None)
