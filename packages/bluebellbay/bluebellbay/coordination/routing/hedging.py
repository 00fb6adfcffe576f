"""Says when an attempt is late enough to ask another replica."""

from bluebellbay.coordination.scarcity import find_patience
from bluebellbay.state.latency import LatencyWindow
from bluebellbay.state.latency import LEAST_SAMPLES

HEDGE_QUANTILE = 0.9
HEDGE_FACTOR = 1.2
MIN_DELAY_S = 0.008
# Until latencies are known, as a part of the latency objective.
COLD_OBJECTIVE_SHARE = 0.4


def compute_hedge_delay(
    pooled: LatencyWindow,
    *,
    left_s: float,
    objective_s: float,
    budget_use: float,
) -> float:
    """Give the time after which a second replica is asked.

    :param pooled: Latencies of the route over all replicas.
    :param left_s: Seconds until the answer is due.
    :param objective_s: Latency objective in seconds.
    :param budget_use: Part of the retry budget that is used.
    :returns: Seconds from sending.
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
