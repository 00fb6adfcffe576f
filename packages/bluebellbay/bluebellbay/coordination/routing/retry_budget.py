"""Retry budgets, kept over all nodes without communication."""

from bluebellbay.coordination.routing.slack_share import SAFETY_FACTOR
from bluebellbay.coordination.routing.slack_share import SlackShares
from bluebellbay.protocol.router_rules import RetryLimits
from bluebellbay.state.router import RouterState
from bluebellbay.state.sliding_window_counter import SlidingWindowCounter


class RetryBudget:
    """Limits the retries and hedges that this node sends to one service.

    Each node may retry a fixed share of its own requests, so that the shares
    add up to the limit of all nodes. The slack on top is divided, too; see
    ``SlackShares``. A restarted process does not know what the previous one
    spent, so it has no slack until the spending of the previous one is a
    window old.

    :param state: State of the routing core, with the limits.
    :param slack: Parts of the slack that this node may spend.
    :param service: Name of the service.
    :param started_at: Unix time in seconds when the process started.
    """

    def __init__(
        self,
        *,
        state: RouterState,
        slack: SlackShares,
        service: str,
        started_at: float,
    ) -> None:
        self._state = state
        self._slack = slack
        self._service = service
        self._started_at = started_at
        self._requests = SlidingWindowCounter()
        self._retries = SlidingWindowCounter()

    @property
    def _rules(self) -> RetryLimits:
        return self._state.rules.retries

    def record_request(self, now: float) -> None:
        """Count a first attempt, which raises the budget.

        :param now: Current Unix time in seconds.
        """
        self._requests.add(1, now)

    def try_acquire(self, now: float) -> bool:
        """Charge one retry to the budget, if it allows one more.

        :param now: Current Unix time in seconds.
        :returns: Whether the retry was charged.
        """
        if self.measure_utilization(now) > 1:
            return False
        self._retries.add(1, now)
        return True

    def refund(self, now: float) -> None:
        """Return the charge of a retry that was never sent.

        :param now: Current Unix time in seconds.
        """
        self._retries.add(-1, now)

    def measure_utilization(self, now: float) -> float:
        """Compute the use of the budget with one more retry.

        :param now: Current Unix time in seconds.
        :returns: Share of the retries allowed; above 1 if none is left.
        """
        window_start = now - self._rules.window_s
        self._requests.expire(window_start)
        self._retries.expire(window_start)
        allowed = SAFETY_FACTOR * (
            self._rules.share * self._requests.total + self._compute_slack(now)
        )
        return (self._retries.total + 1) / allowed if allowed > 0 else 2.0

    def _compute_slack(self, now: float) -> float:
        restarted = not self._state.rules.first_start
        if restarted and now - self._started_at <= self._rules.window_s:
            return 0.0
        return self._rules.slack * self._slack.get(self._service, now)


class RetryBudgetTable:
    """Retry budgets by service.

    :param state: State of the routing core.
    :param slack: Parts of the slack that this node may spend.
    """

    def __init__(self, *, state: RouterState, slack: SlackShares) -> None:
        self._state = state
        self._slack = slack
        self._started_at: float | None = None
        self._budgets: dict[str, RetryBudget] = {}

    def get(self, service: str, now: float) -> RetryBudget:
        """Return the budget of a service, and create it if needed.

        :param service: Name of the service.
        :param now: Current Unix time in seconds.
        """
        if self._started_at is None:
            self._started_at = now
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(
                state=self._state,
                slack=self._slack,
                service=service,
                started_at=self._started_at,
            )
        return budget
