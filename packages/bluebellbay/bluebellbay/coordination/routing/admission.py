"""Adaptive limits on concurrent queries, one for each set of shards.

When a failure domain fails, its callers move to the remaining domains, where
half of the shards have one replica less. Without a limit every query then
waits in the queues of the remaining replicas, and hardly any query is complete
at its latency objective.
"""

from bluebellbay.coordination.routing.fair_shares import FairShares
from bluebellbay.coordination.routing.fair_shares import MAX_LEVEL
from bluebellbay.state.decaying_average import DecayingAverage

INITIAL_LIMIT = 16.0
MIN_LIMIT = 2.0
MAX_LIMIT = 64.0
ADDITIVE_INCREASE = 0.25
DECREASE_FACTOR = 0.7
# Concurrent queries are late together; they count as one congestion event.
MIN_DECREASE_INTERVAL_S = 0.2
# Time for which a query that was delayed shows that replicas lack room.
CONGESTION_S = 2.0
# Share of the limit that is open to a query for each higher rank that it gives
# way to, and if its account surges.
LOW_PRIORITY_SHARE = 0.75
LATENCY_WEIGHT = 0.2
DEFAULT_LATENCY_S = 0.1
# Bounds the expected time until there is room.
MAX_REFUSED_SHARE = 0.9


class AdmissionLimit:
    """Limits the concurrent queries over one set of shards.

    The limit follows additive increase and multiplicative decrease: it grows
    by ``ADDITIVE_INCREASE`` for each round of queries answered in time, and is
    multiplied by ``DECREASE_FACTOR`` when a query is delayed by the queues of
    its shards. A query of a lower rank, or of an account that surges, finds
    less of the limit open.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.limit = INITIAL_LIMIT
        self._decreased_at = 0.0
        self._shares = FairShares()
        self._latency_s = DEFAULT_LATENCY_S
        self._refused = DecayingAverage()

    def admit(self, rank: int, key: str, now: float) -> bool:
        """Admit a query if the limit allows it.

        An admitted query counts against the limit until ``release``.

        :param rank: Priority; 0 is the most urgent.
        :param key: Its account, or its route if it has none.
        :param now: Current Unix time in seconds.
        :returns: Whether the query is admitted.
        """
        shares = self._shares
        shares.record(rank, key, now)
        # Nobody gives way while more than the open share is free.
        open_share = LOW_PRIORITY_SHARE ** (MAX_LEVEL + 1)
        if self.in_flight < open_share * self.limit:
            admitted = True
        else:
            level = shares.find_level(rank, now)
            level += shares.is_surging(key, now)
            limit = self.limit
            if level:
                limit = max(MIN_LIMIT, LOW_PRIORITY_SHARE**level * limit)
            admitted = self.in_flight < limit
        shares.record_outcome(rank, key, served=admitted)
        self._refused.add(0.0 if admitted else 1.0, now)
        self.in_flight += admitted
        return admitted

    def release(self, seconds: float) -> None:
        """Stop counting an admitted query, as it has ended.

        :param seconds: Seconds that it took.
        """
        self.in_flight -= 1
        self._latency_s += LATENCY_WEIGHT * (seconds - self._latency_s)

    def estimate_room(self, now: float) -> float:
        """Estimate when a query that is refused now would be admitted.

        One of the queries in flight must end. With the share of the queries
        that are refused now, a caller is refused some more times.

        :param now: Current Unix time in seconds.
        :returns: Seconds.
        """
        share = min(MAX_REFUSED_SHARE, self._refused.read(now))
        end_interval_s = self._latency_s / max(1, self.in_flight)
        return max(end_interval_s, self._latency_s * share / (1 - share))

    def record_on_time(self) -> None:
        """Raise the limit, as a query was answered by its objective."""
        self.limit = min(
            MAX_LIMIT, self.limit + ADDITIVE_INCREASE / self.limit
        )

    def is_congested(self, now: float) -> bool:
        """Tell whether replicas lack room.

        A query was delayed by queues a short while ago, or so many are in
        flight that others are refused soon.

        :param now: Current Unix time in seconds.
        """
        return (
            now < self._decreased_at + CONGESTION_S
            or self.in_flight >= LOW_PRIORITY_SHARE * self.limit
        )

    def record_congestion(self, now: float) -> None:
        """Lower the limit, as a query waits for replicas that are healthy.

        Calls within ``MIN_DECREASE_INTERVAL_S`` of a decrease do nothing.

        :param now: Current Unix time in seconds.
        """
        if now < self._decreased_at + MIN_DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self.limit = max(MIN_LIMIT, DECREASE_FACTOR * self.limit)


class AdmissionTable:
    """Admission limits by set of shards."""

    def __init__(self) -> None:
        self._limits: dict[tuple[str, ...], AdmissionLimit] = {}

    def get(self, shards: tuple[str, ...]) -> AdmissionLimit:
        """Return the limit of a set of shards, and create it if needed.

        :param shards: Services that hold a shard each.
        """
        limit = self._limits.get(shards)
        if limit is None:
            limit = self._limits[shards] = AdmissionLimit()
        return limit

    def is_congested(self, shards: tuple[str, ...], now: float) -> bool:
        """Tell whether queries over a set of shards lack room.

        :param shards: Services that hold a shard each. The parts of a set
            that peers delegate are not known as sets, and get no limit.
        :param now: Current Unix time in seconds.
        """
        limit = self._limits.get(shards)
        return limit is not None and limit.is_congested(now)
