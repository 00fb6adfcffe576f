"""Refuses queries that the shards' replicas can't serve in time.

Answers the load of a failure domain whose callers come to the others, where
half of the shards have lost a replica: without a limit every query waits in
the queues of the rest, and hardly one is whole at its objective.
"""

INITIAL_LIMIT = 16.0
MIN_LIMIT = 2.0
MAX_LIMIT = 64.0
ADDITIVE_INCREASE = 0.5
DECREASE_FACTOR = 0.7
# Queries that were under way together are late together.
MIN_DECREASE_INTERVAL_S = 0.2
# Less urgent queries leave this part of the room to the most urgent ones.
LOW_PRIORITY_SHARE = 0.75


class AdmissionLimit:
    """Bounds the queries under way over one set of shards.

    The bound grows by a step for each round of queries that are in time, and
    shrinks by a factor when one finds its shards' queues too long.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.limit = INITIAL_LIMIT
        self._decreased_at = 0.0
        self._top_rank: int | None = None

    def admit(self, rank: int) -> bool:
        """Ask for room for a query; it counts until it is released.

        :param rank: Priority; 0 is the most urgent.
        :returns: Whether there is room.
        """
        if self._top_rank is None or rank < self._top_rank:
            self._top_rank = rank
        limit = self.limit
        if rank > self._top_rank:
            limit = max(MIN_LIMIT, LOW_PRIORITY_SHARE * limit)
        if self.in_flight >= limit:
            return False
        self.in_flight += 1
        return True

    def release(self) -> None:
        """Give the room of a query back."""
        self.in_flight -= 1

    def record_on_time(self) -> None:
        """Learn that a query was answered by its objective."""
        self.limit = min(
            MAX_LIMIT, self.limit + ADDITIVE_INCREASE / self.limit
        )

    def record_congestion(self, now: float) -> None:
        """Learn that a query waits for shards whose replicas are sound.

        :param now: Present time in seconds.
        """
        if now < self._decreased_at + MIN_DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self.limit = max(MIN_LIMIT, DECREASE_FACTOR * self.limit)


class AdmissionTable:
    """The limits of all sets of shards."""

    def __init__(self) -> None:
        self._limits: dict[tuple[str, ...], AdmissionLimit] = {}

    def get(self, shards: tuple[str, ...]) -> AdmissionLimit:
        """Give the limit of a set of shards.

        :param shards: Services that hold a shard each.
        :returns: Its limit, wide at first.
        """
        limit = self._limits.get(shards)
        if limit is None:
            limit = self._limits[shards] = AdmissionLimit()
        return limit
