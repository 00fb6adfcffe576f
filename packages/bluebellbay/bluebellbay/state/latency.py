"""Latency statistics: estimates and sample windows."""

import collections
import math

WINDOW_SAMPLES = 128
REFRESH_SAMPLES = 16
MIN_SAMPLES = 16
RECENT_SAMPLES = 5
UNANSWERED_FACTOR = 2.0


class LatencyWindow:
    """The most recent latency samples of one server or route.

    The estimate is the median of the last ``RECENT_SAMPLES``: a single pause
    of the server does not change it, and a server that has become slow is
    recognized after three samples.

    :ivar estimate_s: The estimate in seconds; 0 if there is none.
    :ivar last_latency_s: The last sample in seconds.
    :ivar sample_interval_s: Seconds from the previous ``probed_at`` to the
        last sample.
    :ivar probed_at: Time in seconds of the last sample, or of the last leg
        sent as a probe if that is later.
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
        """Add the latency of an answered leg.

        :param seconds: The latency.
        :param now: Current time in seconds.
        """
        self._samples.append(seconds)
        self._recent.append(seconds)
        self.estimate_s = sorted(self._recent)[len(self._recent) // 2]
        self.sample_interval_s = now - self.probed_at
        self.probed_at = now
        self.last_latency_s = seconds
        self._unsorted_count += 1

    def add_unanswered(self, seconds: float, now: float) -> None:
        """Add a sample for a leg that was cancelled before it was answered.

        Its latency is longer than the time waited by an unknown amount. As
        with the retransmission timeout of TCP, the time waited is doubled.

        :param seconds: The time waited.
        :param now: Current time in seconds.
        """
        self.add(UNANSWERED_FACTOR * seconds, now)

    def reset_estimate(self) -> None:
        """Discard the estimate, but keep the samples for quantiles."""
        self._recent.clear()
        self.estimate_s = 0.0

    def compute_quantile(self, share: float) -> float:
        """Return a quantile of the samples.

        The samples are sorted again only after every ``REFRESH_SAMPLES`` new
        ones, so the result can lag behind by as many.

        :param share: The quantile, between 0 and 1.
        :returns: The latency in seconds; 0 if there are no samples.
        """
        if not self._samples:
            return 0.0
        if self._unsorted_count >= REFRESH_SAMPLES or not self._sorted:
            self._sorted = sorted(self._samples)
            self._unsorted_count = 0
        last_index = len(self._sorted) - 1
        return self._sorted[min(last_index, int(share * len(self._sorted)))]


class LatencyTable:
    """Latency windows of all servers, and a shared one for new servers.

    :ivar pooled: The first samples of every server, up to the point where
        it has ``MIN_SAMPLES`` of its own.
    """

    def __init__(self) -> None:
        self.pooled = LatencyWindow()
        self._windows: dict[str, LatencyWindow] = {}

    def get(self, server: str) -> LatencyWindow:
        """Return the window of a server, creating it if needed.

        :param server: Name of the server.
        :returns: The window; it is empty if newly created.
        """
        window = self._windows.get(server)
        if window is None:
            window = self._windows[server] = LatencyWindow()
        return window

    def add(self, server: str, seconds: float, now: float) -> None:
        """Add the latency of an answered leg.

        :param server: Name of the server.
        :param seconds: The latency.
        :param now: Current time in seconds.
        """
        window = self.get(server)
        window.add(seconds, now)
        if window.count < MIN_SAMPLES:
            self.pooled.add(seconds, now)

    def remove(self, server: str) -> None:
        """Remove the window of a server, if there is one.

        :param server: Name of the server.
        """
        self._windows.pop(server, None)
