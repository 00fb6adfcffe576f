"""Stretches waiting times as a budget for extra load runs low."""

UNRESPONSIVE_FACTOR = 4.0
UNSTRETCHED_USE = 0.7


def compute_hedge_delay_factor(use: float) -> float:
    """Say how much longer to wait, as the budget for extra legs runs low.

    While much of it is left, legs are hedged at their usual limit; then
    what is left goes to those that are latest.

    :param use: Part of the budget that is used.
    :returns: A factor of the usual limit.
    """
    if use <= UNSTRETCHED_USE:
        return 1.0
    shortage = min(1.0, (use - UNSTRETCHED_USE) / (1 - UNSTRETCHED_USE))
    return 1 + shortage * (UNRESPONSIVE_FACTOR - 1)
