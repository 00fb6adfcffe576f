"""Limits hedges and retries to a profile's share of its first legs."""

import heapq
import math

from bluebellbay.protocol.profile import Profile
from bluebellbay.state.sliding_window_counter import SlidingWindowCounter

WINDOW_S = 10.0


class ExtraLoadBudget:
    """Budget for the extra legs of one profile, over a sliding window.

    An extra leg (a hedge or a retry) is granted only if the window that ends
    with it holds no more extra legs than the allowed share of its first
    legs. A first leg is counted when it is replied to, as it may be refused
    until then, and only while the window holds the time when it was sent. The
    budget therefore starts empty, and hedges never draw on first legs that
    are yet to come.
    """

    def __init__(self) -> None:
        # Times when first legs were sent, as a heap: replies come in any
        # order.
        self._first_legs: list[float] = []
        self._extra_legs = SlidingWindowCounter()

    def record_first_leg(self, sent_at: float) -> None:
        """Count a first leg that was replied to.

        :param sent_at: Unix time in seconds when it was sent.
        """
        heapq.heappush(self._first_legs, sent_at)

    def record_extra_legs(self, count: int, now: float) -> None:
        """Count extra legs that are sent without ``try_acquire``.

        :param count: Number of legs.
        :param now: Current Unix time in seconds.
        """
        self._extra_legs.add(count, now)

    def try_acquire(self, share: float, now: float) -> bool:
        """Acquire one extra leg, if the budget allows it.

        :param share: Extra legs allowed, as a fraction of the first legs.
        :param now: Current Unix time in seconds.
        :returns: Whether the leg is granted; if so, it has been counted.
        """
        if self.compute_utilization(share, now) > 1:
            return False
        self._extra_legs.add(1, now)
        return True

    def compute_utilization(self, share: float, now: float) -> float:
        """Compute the utilization of the budget with one more extra leg.

        :param share: Extra legs allowed, as a fraction of the first legs.
        :param now: Current Unix time in seconds.
        :returns: Extra legs, this one included, as a fraction of those
            allowed; infinite if fewer than one is allowed.
        """
        window_start = now - WINDOW_S
        while self._first_legs and self._first_legs[0] < window_start:
            heapq.heappop(self._first_legs)
        self._extra_legs.expire(window_start)
        allowed = share * len(self._first_legs)
        if allowed < 1:
            return math.inf
        return (self._extra_legs.total + 1) / allowed


class BudgetTable:
    """The extra load budgets of all profiles, by name."""

    def __init__(self) -> None:
        self._budgets: dict[str, ExtraLoadBudget] = {}

    def get(self, profile: Profile) -> ExtraLoadBudget:
        """Return the budget of a profile, creating it if necessary.

        :param profile: The profile.
        :returns: Its budget.
        """
        budget = self._budgets.get(profile.name)
        if budget is None:
            budget = self._budgets[profile.name] = ExtraLoadBudget()
        return budget
