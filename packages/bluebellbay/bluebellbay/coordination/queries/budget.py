"""Keeps extra legs within a profile's share of the first ones."""

import math

from bluebellbay.protocol.profile import Profile
from bluebellbay.state.sliding_count import SlidingCount

WINDOW_S = 10.0


class ExtraLoadBudget:
    """Counts the legs of one profile over the last ten seconds.

    An extra leg is granted only if the ten seconds that end with it hold
    no more extra legs than the share of the first ones. A first leg counts
    once its reply is there, as it may be refused until then, and only if it
    was surely sent in the same ten seconds. So the budget starts empty, and
    a burst of hedges can never borrow from the future.

    :param delay_s: Longest time in seconds from sending a leg to its reply.
    """

    def __init__(self, *, delay_s: float) -> None:
        self._first_legs = SlidingCount()
        self._extra_legs = SlidingCount()
        self._first_leg_window_s = WINDOW_S - delay_s

    def record_first_leg(self, now: float) -> None:
        """Count a first leg that was replied to.

        :param now: Present time in seconds.
        """
        self._first_legs.add(1, now)

    def record_extra_legs(self, count: int, now: float) -> None:
        """Count extra legs that are sent without being granted.

        :param count: How many were sent.
        :param now: Present time in seconds.
        """
        self._extra_legs.add(count, now)

    def try_acquire(self, share: float, now: float) -> bool:
        """Ask for one extra leg.

        :param share: Extra legs allowed, as a fraction of the first legs.
        :param now: Present time in seconds.
        :returns: Whether the leg is granted; it then is counted.
        """
        if self.compute_utilization(share, now) > 1:
            return False
        self._extra_legs.add(1, now)
        return True

    def compute_utilization(self, share: float, now: float) -> float:
        """State how far the budget would be used with one more extra leg.

        :param share: Extra legs allowed, as a fraction of the first legs.
        :param now: Present time in seconds.
        :returns: Part of the extra legs allowed; above 1 if none is left.
        """
        self._first_legs.expire(now - self._first_leg_window_s)
        self._extra_legs.expire(now - WINDOW_S)
        allowed = share * self._first_legs.total
        if allowed < 1:
            return math.inf
        return (self._extra_legs.total + 1) / allowed


class BudgetTable:
    """The budgets of all profiles, by name."""

    def __init__(self) -> None:
        self._budgets: dict[tuple[str, int], ExtraLoadBudget] = {}

    def get(self, profile: Profile) -> ExtraLoadBudget:
        """Look a profile's budget up.

        :param profile: The profile.
        :returns: Its budget, empty at first and when the delay changes.
        """
        key = (profile.name, profile.delay_ms)
        budget = self._budgets.get(key)
        if budget is None:
            budget = ExtraLoadBudget(delay_s=profile.delay_ms / 1000)
            self._budgets[key] = budget
        return budget
