"""Latencies of legs: an estimate and a window of samples for each server."""

import collections
import math

WINDOW_SAMPLES = 128
REFRESH_SAMPLES = 16
MIN_SAMPLES = 16
RECENT_SAMPLES = 5
UNANSWERED_FACTOR = 2.0


class LatencyWindow:
    """The last latencies of one server.

    The estimate is the median of the very last ones: a single pause of the
    server doesn't move it, and a server that has become slow is known as
    such after three legs.

    :ivar estimate_s: The estimate in seconds; 0 if there is none.
    :ivar last_latency_s: The last latency in seconds.
    :ivar sample_interval_s: Seconds between the last two.
    :ivar probed_at: Time in seconds of the last one.
    """

    __slots__ = (
        "_recent",
        "_samples",
        "_sorted",
        "_unsorted_count",
        "estimate_s",
        "last_latency_s",
        "probed_at",
        "sample_interval_s",
    )

    def __init__(self) -> None:
        self.estimate_s = 0.0
        self.probed_at = 0.0
        self.sample_interval_s = math.inf
        self.last_latency_s = 0.0
        self._samples: collections.deque[float] = collections.deque(
            maxlen=WINDOW_SAMPLES
        )
        self._recent: collections.deque[float] = collections.deque(
            maxlen=RECENT_SAMPLES
        )
        self._sorted: list[float] = []
        self._unsorted_count = 0

    @property
    def count(self) -> int:
        """Number of samples in the window."""
        return len(self._samples)

    def add(self, seconds: float, now: float) -> None:
        """Take the latency of a leg that was answered.

        :param seconds: The latency.
        :param now: Present time in seconds.
        """
        self._samples.append(seconds)
        self._recent.append(seconds)
        self.estimate_s = sorted(self._recent)[len(self._recent) // 2]
        self.sample_interval_s = now - self.probed_at
        self.probed_at = now
        self.last_latency_s = seconds
        self._unsorted_count += 1

    def add_unanswered(self, seconds: float, now: float) -> None:
        """Take the time that a leg went unanswered until it was cancelled.

        Its latency is longer by an unknown time. As with the timeouts of
        TCP, twice the time waited is taken for it.

        :param seconds: The time waited.
        :param now: Present time in seconds.
        """
        self.add(UNANSWERED_FACTOR * seconds, now)

    def reset_estimate(self) -> None:
        """Treat the latency as unknown."""
        self._recent.clear()
        self.estimate_s = 0.0

    def compute_quantile(self, share: float) -> float:
        """Give a quantile of the window, at most a few samples old.

        :param share: The quantile, between 0 and 1.
        :returns: Seconds; 0 if there are no samples.
        """
        if not self._samples:
            return 0.0
        if self._unsorted_count >= REFRESH_SAMPLES or not self._sorted:
            self._sorted = sorted(self._samples)
            self._unsorted_count = 0
        last_index = len(self._sorted) - 1
        return self._sorted[min(last_index, int(share * len(self._sorted)))]


class LatencyTable:
    """The latencies of all servers, by name, and of the new ones together.

    :ivar pooled: Latencies of servers that have few samples yet.
    """

    def __init__(self) -> None:
        self.pooled = LatencyWindow()
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

    def add(self, server: str, seconds: float, now: float) -> None:
        """Take the latency of a leg that was answered.

        :param server: Name of the server.
        :param seconds: The latency.
        :param now: Present time in seconds.
        """
        window = self.get(server)
        window.add(seconds, now)
        if window.count < MIN_SAMPLES:
            self.pooled.add(seconds, now)

    def remove(self, server: str) -> None:
        """Drop what is known of a server.

        :param server: Name of the server.
        """
        self._windows.pop(server, None)
