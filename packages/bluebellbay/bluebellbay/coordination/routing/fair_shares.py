"""Who gives way to whom while a service or a set of shards is short of room.

A request gives way by one level for each higher rank met lately, and if its
account, or its route where there are no accounts, sends far more than it
usually does. Refusals in a row raise it again, so that no rank and no account
is shut out.
"""

import math

# Time constants of an account's present and usual rate of requests.
PRESENT_S = 5.0
USUAL_S = 300.0
# A rank that sent nothing for this time is not given way to.
RANK_MEMORY_S = 10.0
MAX_LEVEL = 3
# An account surges if its rate grew by this factor more than that of the
# others. A smaller growth on one node may be chance.
SURGE_FACTOR = 3.0
# An account with more than this share of all requests takes most of the room,
# also if that is usual.
MAX_SHARE = 0.5
# With fewer requests in the present, growth is chance.
MIN_REQUESTS = 4.0
# Refusals in a row after which a rank gives way by one level less, and an
# account is not taken for surging.
REFUSALS_PER_LEVEL = 3
MAX_RANKS = 64
MAX_KEYS = 4096


class RankHistory:
    """Ranks that were met lately."""

    __slots__ = ("_seen_at",)

    def __init__(self) -> None:
        self._seen_at: dict[int, float] = {}

    def record(self, rank: int, now: float) -> None:
        """Note a request.

        :param rank: Its priority; 0 is the highest.
        :param now: Current Unix time in seconds.
        """
        if rank not in self._seen_at and len(self._seen_at) >= MAX_RANKS:
            oldest = min(self._seen_at, key=self._seen_at.__getitem__)
            del self._seen_at[oldest]
        self._seen_at[rank] = now

    def count_higher(self, rank: int, now: float) -> int:
        """Count the higher ranks met in the last ``RANK_MEMORY_S``.

        :param rank: Priority; 0 is the highest.
        :param now: Current Unix time in seconds.
        """
        if len(self._seen_at) < 2:
            return 0
        return sum(
            other < rank and now - seen_at <= RANK_MEMORY_S
            for other, seen_at in self._seen_at.items()
        )


class DecayingCount:
    """Requests of the present, those of them sent, and the usual number.

    Each count decays.

    :param now: Current Unix time in seconds.
    """

    __slots__ = ("_updated_at", "present", "sent", "usual")

    def __init__(self, *, now: float) -> None:
        self.present = 0.0
        self.sent = 0.0
        self.usual = 0.0
        self._updated_at = now

    def update(self, now: float, added: float = 0.0) -> None:
        """Let the counts decay, and add requests.

        :param now: Current Unix time in seconds.
        :param added: Number of requests.
        """
        passed_s = now - self._updated_at
        if passed_s > 0:
            self._updated_at = now
            decay = math.exp(-passed_s / PRESENT_S)
            self.present *= decay
            self.sent *= decay
            self.usual *= math.exp(-passed_s / USUAL_S)
        self.present += added
        self.usual += added


class FairShares:
    """Requests to one service or set of shards, by rank and account."""

    def __init__(self) -> None:
        self.ranks = RankHistory()
        self._began_at: float | None = None
        self._total = DecayingCount(now=0.0)
        self._counts: dict[str, DecayingCount] = {}
        # Refusals in a row.
        self._rank_streaks: dict[int, int] = {}
        self._key_streaks: dict[str, int] = {}

    def record(self, rank: int, key: str, now: float) -> None:
        """Note a request at its arrival.

        :param rank: Its priority; 0 is the highest.
        :param key: Its account, or its route if it has none.
        :param now: Current Unix time in seconds.
        """
        self.ranks.record(rank, now)
        if self._began_at is None:
            self._began_at = now
        self._total.update(now, 1.0)
        count = self._counts.get(key)
        if count is None:
            if len(self._counts) >= MAX_KEYS:
                self._forget(now)
            count = self._counts[key] = DecayingCount(now=now)
        count.update(now, 1.0)

    def record_sent(self, key: str) -> None:
        """Note that a request is sent to a replica.

        :param key: Its account, or its route if it has none.
        """
        count = self._counts.get(key)
        if count is not None:
            count.sent += 1.0

    def record_outcome(self, rank: int, key: str, *, served: bool) -> None:
        """Note whether a request was served or refused.

        :param rank: Its priority.
        :param key: Its account, or its route if it has none.
        :param served: Whether it got room.
        """
        if served:
            if self._rank_streaks or self._key_streaks:
                self._rank_streaks.pop(rank, None)
                self._key_streaks.pop(key, None)
            return
        self._rank_streaks[rank] = self._rank_streaks.get(rank, 0) + 1
        self._key_streaks[key] = self._key_streaks.get(key, 0) + 1
        if len(self._rank_streaks) > MAX_RANKS:
            del self._rank_streaks[next(iter(self._rank_streaks))]
        if len(self._key_streaks) > MAX_KEYS:
            del self._key_streaks[next(iter(self._key_streaks))]

    def find_level(self, rank: int, now: float) -> int:
        """Count the levels by which a request gives way to higher ranks.

        :param rank: Its priority; 0 is the highest.
        :param now: Current Unix time in seconds.
        :returns: 0 to ``MAX_LEVEL``; 0 gives way to no other rank.
        """
        level = self.ranks.count_higher(rank, now)
        if not level:
            return 0
        streak = self._rank_streaks.get(rank, 0)
        return max(0, min(MAX_LEVEL, level) - streak // REFUSALS_PER_LEVEL)

    def is_surging(self, key: str, now: float) -> bool:
        """Tell whether an account must give way as it grew more than others.

        :param key: The account, or the route if there is none.
        :param now: Current Unix time in seconds.
        """
        count = self._counts.get(key)
        if count is None or len(self._counts) < 2:
            return False
        if self._key_streaks.get(key, 0) >= REFUSALS_PER_LEVEL:
            return False
        count.update(now)
        if count.present < MIN_REQUESTS:
            return False
        total = self._total
        total.update(now)
        others = total.present - count.present
        if others < 1:
            return False
        if count.present > MAX_SHARE * total.present:
            return True
        # The usual counts include the present ones, so the quotients are
        # finite, and equal ones mean equal growth.
        growth = count.present / count.usual
        others_growth = others / max(total.usual - count.usual, others)
        return growth > SURGE_FACTOR * others_growth

    def measure_use(self, key: str, now: float) -> float:
        """Compute how much room an account had lately for its usual rate.

        Accounts in the order of it get room in proportion to their usual
        rates, whatever they send. Those that seldom send go first.

        :param key: The account, or the route if there is none.
        :param now: Current Unix time in seconds.
        """
        count = self._counts.get(key)
        if count is None or self._began_at is None:
            return 0.0
        count.update(now)
        known_s = min(USUAL_S, max(PRESENT_S, now - self._began_at))
        return count.sent / (1.0 + count.usual * PRESENT_S / known_s)

    def _forget(self, now: float) -> None:
        """Forget the half of the accounts that sent least."""
        for count in self._counts.values():
            count.update(now)
        ordered = sorted(self._counts, key=lambda key: self._counts[key].usual)
        for key in ordered[: MAX_KEYS // 2]:
            del self._counts[key]
