"""Limits hedges and retries to a profile's share of its first legs."""

import math

from bluebellbay.protocol.profile import Profile
from bluebellbay.state.sliding_window_counter import SlidingWindowCounter

WINDOW_S = 10.0


class ExtraLoadBudget:
    """Budget for the extra legs of one profile, over a sliding window.

    An extra leg (a hedge or a retry) is granted only if the window that ends
    with it holds no more extra legs than the allowed share of its first
    legs. A first leg is counted when it is replied to, as it may be refused
    until then. It is counted for ``WINDOW_S - delay_s`` only, so that it was
    surely sent within the window. The budget therefore starts empty, and
    hedges never draw on first legs that are yet to come.

    :param delay_s: Longest time in seconds from sending a leg to its reply.
    """

    def __init__(self, *, delay_s: float) -> None:
        self._first_legs = SlidingWindowCounter()
        self._extra_legs = SlidingWindowCounter()
        self._first_leg_window_s = WINDOW_S - delay_s

    def record_first_leg(self, now: float) -> None:
        """Count a first leg that was replied to.

        :param now: Current Unix time in seconds.
        """
        self._first_legs.add(1, now)

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
        self._first_legs.expire(now - self._first_leg_window_s)
        self._extra_legs.expire(now - WINDOW_S)
        allowed = share * self._first_legs.total
        if allowed < 1:
            return math.inf
        return (self._extra_legs.total + 1) / allowed


class BudgetTable:
    """The extra load budgets of all profiles, by name and time limit."""

    def __init__(self) -> None:
        self._budgets: dict[tuple[str, int], ExtraLoadBudget] = {}

    def get(self, profile: Profile) -> ExtraLoadBudget:
        """Return the budget of a profile, creating it if necessary.

        :param profile: The profile.
        :returns: Its budget; a new one when its ``delay_ms`` has changed.
        """
        key = (profile.name, profile.delay_ms)
        budget = self._budgets.get(key)
        if budget is None:
            budget = ExtraLoadBudget(delay_s=profile.delay_ms / 1000)
            self._budgets[key] = budget
        return budget
