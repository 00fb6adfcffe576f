"""Delay after which an attempt is hedged."""

from bluebellbay.coordination.scarcity import find_patience
from bluebellbay.state.latency import LatencyWindow
from bluebellbay.state.latency import LEAST_SAMPLES

HEDGE_QUANTILE = 0.9
HEDGE_FACTOR = 1.2
MIN_DELAY_S = 0.008
# Delay until latencies are known, as a share of the latency objective.
COLD_OBJECTIVE_SHARE = 0.4


def compute_hedge_delay(
    pooled: LatencyWindow,
    *,
    left_s: float,
    objective_s: float,
    budget_use: float,
) -> float:
    """Compute the delay after which a second replica is asked.

    The delay grows as the retry budget is used up. It is cut so that the
    second replica can still reply in time, if the time left allows for both.

    :param pooled: Latencies of the route over all replicas.
    :param left_s: Seconds left until the latency objective.
    :param objective_s: Latency objective in seconds.
    :param budget_use: Share of the retry budget that is used.
    :returns: Seconds from sending; at least ``MIN_DELAY_S``.
    """
    if pooled.count < LEAST_SAMPLES:
        return max(MIN_DELAY_S, COLD_OBJECTIVE_SHARE * objective_s)
    typical_s = pooled.estimate_s
    delay_s = HEDGE_FACTOR * pooled.quantile(HEDGE_QUANTILE)
    delay_s *= find_patience(budget_use)
    latest_s = left_s - HEDGE_FACTOR * typical_s
    if latest_s > typical_s:
        delay_s = min(delay_s, latest_s)
    return max(delay_s, MIN_DELAY_S)
