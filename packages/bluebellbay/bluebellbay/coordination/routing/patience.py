"""Says when an attempt is late enough to ask another replica."""

from bluebellbay.coordination.hedge_delay import compute_hedge_delay_factor
from bluebellbay.state.latency import LatencyWindow
from bluebellbay.state.latency import MIN_SAMPLES

LATE_QUANTILE = 0.9
LATE_FACTOR = 1.2
LEAST_WAIT_S = 0.008
# Until latencies are known, as a part of the latency objective.
COLD_PART = 0.4


def find_wait(
    pooled: LatencyWindow, *, left_s: float, objective_s: float, use: float
) -> float:
    """Give the time after which a second replica is asked.

    :param pooled: Latencies of the route over all replicas.
    :param left_s: Seconds until the answer is due.
    :param objective_s: Latency objective in seconds.
    :param use: Part of the retry budget that is used.
    :returns: Seconds from sending.
    """
    if pooled.count < MIN_SAMPLES:
        return max(LEAST_WAIT_S, COLD_PART * objective_s)
    usual_s = pooled.estimate_s
    wait_s = LATE_FACTOR * pooled.compute_quantile(LATE_QUANTILE)
    wait_s *= compute_hedge_delay_factor(use)
    latest_s = left_s - LATE_FACTOR * usual_s
    if latest_s > usual_s:
        wait_s = min(wait_s, latest_s)
    return max(wait_s, LEAST_WAIT_S)
