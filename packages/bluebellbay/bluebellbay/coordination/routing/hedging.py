"""Decides when an attempt is hedged, and whether that is of use."""

from bluebellbay.coordination.hedge_delay import compute_hedge_delay_factor
from bluebellbay.state.latency import LatencyWindow
from bluebellbay.state.latency import MIN_SAMPLES

LATE_QUANTILE = 0.9
LATE_FACTOR = 1.2
# While many replicas are slow, the quantile describes them, not the others.
LATE_MEDIAN_FACTOR = 2.5
MIN_WAIT_S = 0.008
# A query over shards waits for its slowest shards, so that the usual delay is
# too long for most of its answers.
SHARD_QUANTILE = 0.7
SHARD_MEDIAN_FACTOR = 1.3
# Use of the retry budget up to which shards are hedged as early as that, and
# from which on they are hedged no earlier than plain requests.
EARLY_USE = 0.4
USUAL_USE = 0.7
# A second replica answers rarely in less than this quantile of the latencies.
FAST_QUANTILE = 0.1
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
    :param left_s: Seconds until the answer is due.
    :param objective_s: Latency objective in seconds.
    :param budget_use: Share of the retry budget that is used.
    :returns: Seconds from sending.
    """
    if pooled.count < MIN_SAMPLES:
        return max(MIN_WAIT_S, COLD_OBJECTIVE_SHARE * objective_s)
    usual_s = pooled.estimate_s
    wait_s = min(
        LATE_FACTOR * pooled.compute_quantile(LATE_QUANTILE),
        LATE_MEDIAN_FACTOR * pooled.compute_quantile(0.5),
    )
    wait_s *= compute_hedge_delay_factor(budget_use)
    latest_s = left_s - LATE_FACTOR * usual_s
    if latest_s > usual_s:
        wait_s = min(wait_s, latest_s)
    return max(wait_s, MIN_WAIT_S)


def compute_shard_hedge_delay(
    pooled: LatencyWindow, *, usual_s: float, left_s: float, budget_use: float
) -> float:
    """Compute the delay after which a shard's second replica is asked.

    It is shorter than that of plain requests while little of the retry budget
    is used.

    :param pooled: Latencies of the route over all replicas.
    :param usual_s: The delay of a plain request, in seconds from sending.
    :param left_s: Seconds until the answer is due.
    :param budget_use: Share of the retry budget that is used.
    :returns: Seconds from sending.
    """
    if pooled.count < MIN_SAMPLES:
        return usual_s
    median_s = pooled.compute_quantile(0.5)
    early_s = min(
        pooled.compute_quantile(SHARD_QUANTILE), SHARD_MEDIAN_FACTOR * median_s
    )
    latest_s = left_s - median_s
    if latest_s > median_s:
        early_s = min(early_s, latest_s)
    shortage = (budget_use - EARLY_USE) / (USUAL_USE - EARLY_USE)
    weight = min(1.0, max(0.0, shortage))
    wait_s = early_s + weight * (usual_s - early_s)
    return max(MIN_WAIT_S, min(wait_s, usual_s))


def is_hedge_useful(
    pooled: LatencyWindow, *, left_s: float, pending: int, spare: int
) -> bool:
    """Tell whether the reply to a hedge could still be part of the answer.

    A query that has enough shards is answered at its objective, so a hedge
    that can't reply before is wasted. One that lacks shards goes on after it.

    :param pooled: Latencies of the route over all replicas.
    :param left_s: Seconds until the answer is due.
    :param pending: Shards of the query that may still reply.
    :param spare: Shards that may be missing from its answer.
    """
    return pending > spare or left_s > pooled.compute_quantile(FAST_QUANTILE)
