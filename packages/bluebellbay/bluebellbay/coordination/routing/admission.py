"""Refuses queries that the shards' replicas can't serve in time.

Answers the load of a failure domain whose callers come to the others, where
half of the shards have lost a replica: without a limit every query waits in
the queues of the rest, and hardly one is whole at its objective.
"""

FIRST_LIMIT = 16.0
LEAST_LIMIT = 2.0
MOST_LIMIT = 64.0
GROWTH = 0.5
BACK_OFF = 0.7
# Queries that were under way together are late together.
BACK_OFF_GAP_S = 0.2
# Less urgent queries leave this part of the room to the most urgent ones.
LATER_RANKS_PART = 0.75


class AdmissionLimit:
    """Bounds the queries under way over one set of shards.

    The bound grows by a step for each round of queries that are in time, and
    shrinks by a factor when one finds its shards' queues too long.
    """

    def __init__(self) -> None:
        self.under_way = 0
        self.limit = FIRST_LIMIT
        self._shrunk_at = 0.0
        self._first_rank: int | None = None

    def admit(self, rank: int) -> bool:
        """Ask for room for a query; it counts until it is released.

        :param rank: Priority; 0 is the most urgent.
        :returns: Whether there is room.
        """
        if self._first_rank is None or rank < self._first_rank:
            self._first_rank = rank
        limit = self.limit
        if rank > self._first_rank:
            limit = max(LEAST_LIMIT, LATER_RANKS_PART * limit)
        if self.under_way >= limit:
            return False
        self.under_way += 1
        return True

    def release(self) -> None:
        """Give the room of a query back."""
        self.under_way -= 1

    def note_in_time(self) -> None:
        """Learn that a query was answered by its objective."""
        self.limit = min(MOST_LIMIT, self.limit + GROWTH / self.limit)

    def note_queues(self, now: float) -> None:
        """Learn that a query waits for shards whose replicas are sound.

        :param now: Present time in seconds.
        """
        if now < self._shrunk_at + BACK_OFF_GAP_S:
            return
        self._shrunk_at = now
        self.limit = max(LEAST_LIMIT, BACK_OFF * self.limit)


class AdmissionTable:
    """The limits of all sets of shards."""

    def __init__(self) -> None:
        self._limits: dict[tuple[str, ...], AdmissionLimit] = {}

    def find(self, shards: tuple[str, ...]) -> AdmissionLimit:
        """Give the limit of a set of shards.

        :param shards: Services that hold a shard each.
        :returns: Its limit, wide at first.
        """
        limit = self._limits.get(shards)
        if limit is None:
            limit = self._limits[shards] = AdmissionLimit()
        return limit
