"""Keeps repeats within a service's share, though nodes don't talk."""

from bluebellbay.protocol.router_rules import RetryRules
from bluebellbay.state.router import RouterState
from bluebellbay.state.sliding_window_counter import SlidingWindowCounter

# Nodes start and stop counting requests at slightly different moments.
SAFE_PART = 0.9


class RetryBudget:
    """The repeats that this node may send to one service.

    Each node spends its share of the requests that it took itself, so these
    parts add up by themselves. The slack is divided by the nodes. A process
    that starts again doesn't know what the one before it spent, so its
    slack grows from nothing over a window.

    :param state: What the node knows, with the bounds and the count of nodes.
    :param started_at: Time in seconds when the process started.
    """

    def __init__(self, *, state: RouterState, started_at: float) -> None:
        self._state = state
        self._started_at = started_at
        self._requests = SlidingWindowCounter()
        self._repeats = SlidingWindowCounter()

    @property
    def _rules(self) -> RetryRules:
        return self._state.rules.retries

    def add_request(self, now: float) -> None:
        """Count a request.

        :param now: Present time in seconds.
        """
        self._requests.add(1, now)

    def take(self, now: float) -> bool:
        """Ask for one repeat.

        :param now: Present time in seconds.
        :returns: Whether it is granted; it then is counted.
        """
        if self.measure_use(now) > 1:
            return False
        self._repeats.add(1, now)
        return True

    def give_back(self, now: float) -> None:
        """Uncount a repeat that was never sent.

        :param now: Present time in seconds.
        """
        self._repeats.add(-1, now)

    def measure_use(self, now: float) -> float:
        """State how far the budget would be used with one more repeat.

        :param now: Present time in seconds.
        :returns: Part of the repeats allowed; above 1 if none is left.
        """
        since = now - self._rules.window_s
        self._requests.expire(since)
        self._repeats.expire(since)
        allowed = SAFE_PART * (
            self._rules.share * self._requests.total + self._find_slack(now)
        )
        return (self._repeats.total + 1) / allowed if allowed > 0 else 2.0

    def _find_slack(self, now: float) -> float:
        slack = self._rules.slack / max(1, self._state.nodes)
        if self._state.rules.first_start:
            return slack
        ripe = (now - self._started_at) / self._rules.window_s
        return slack * min(1.0, max(0.0, ripe))


class RetryBudgetTable:
    """The budgets of all services.

    :param state: What the node knows.
    """

    def __init__(self, *, state: RouterState) -> None:
        self._state = state
        self._started_at: float | None = None
        self._budgets: dict[str, RetryBudget] = {}

    def find(self, service: str, now: float) -> RetryBudget:
        """Give the budget of a service.

        :param service: Name of the service.
        :param now: Present time in seconds.
        :returns: Its budget, unspent at first.
        """
        if self._started_at is None:
            self._started_at = now
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(
                state=self._state, started_at=self._started_at
            )
        return budget
