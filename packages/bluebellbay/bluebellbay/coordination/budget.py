"""Keeps extra legs within a profile's share of the first ones."""

import collections

WINDOW_S = 10.0
RESERVE_SHARE = 0.25
RESERVE_FROM_LEGS = 4.0


class _Window:
    __slots__ = ("_entries", "total")

    def __init__(self) -> None:
        self._entries: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.total = 0

    def add(self, count: int, now: float) -> None:
        self._entries.append((now, count))
        self.total += count

    def expire(self, before: float, *, also_at: bool) -> None:
        entries = self._entries
        while entries and (
            entries[0][0] < before or (also_at and entries[0][0] == before)
        ):
            self.total -= entries.popleft()[1]


class ExtraLoadBudget:
    """Counts the legs of one profile over the last ten seconds.

    An extra leg is granted only if the window that ends with it holds no
    more extra legs than the share of its first legs. So the budget starts
    empty, and a burst of hedges can never borrow from the future.
    """

    def __init__(self) -> None:
        self._first = _Window()
        self._extra = _Window()

    def add_first(self, count: int, now: float) -> None:
        """Count first legs.

        :param count: How many were sent.
        :param now: Present time in seconds.
        """
        self._first.add(count, now)

    def add_extra(self, count: int, now: float) -> None:
        """Count extra legs that are sent without being granted.

        :param count: How many were sent.
        :param now: Present time in seconds.
        """
        self._extra.add(count, now)

    def take(self, share: float, now: float, *, urgent: bool) -> bool:
        """Ask for one extra leg.

        A part is kept back for urgent legs: those whose server has failed
        or is silent far beyond its usual latency.

        :param share: Extra legs allowed, as a fraction of the first legs.
        :param now: Present time in seconds.
        :param urgent: Whether the part kept back may be used.
        :returns: Whether the leg is granted; it then is counted.
        """
        self._first.expire(now - WINDOW_S, also_at=True)
        self._extra.expire(now - WINDOW_S, also_at=False)
        allowed = share * self._first.total
        if not urgent and allowed >= RESERVE_FROM_LEGS:
            allowed *= 1 - RESERVE_SHARE
        if self._extra.total + 1 > allowed:
            return False
        self._extra.add(1, now)
        return True


class BudgetTable:
    """The budgets of all profiles, by name."""

    def __init__(self) -> None:
        self._budgets: dict[str, ExtraLoadBudget] = {}

    def get(self, profile: str) -> ExtraLoadBudget:
        """Look a profile's budget up.

        :param profile: Name of the profile.
        :returns: Its budget, empty at first.
        """
        budget = self._budgets.get(profile)
        if budget is None:
            budget = self._budgets[profile] = ExtraLoadBudget()
        return budget
