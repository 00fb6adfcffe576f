"""Stretches waiting times as a budget for extra load runs low."""

SILENCE_FACTOR = 4.0
EASY_USE = 0.7


def find_patience(use: float) -> float:
    """Say how much longer to wait, as the budget for extra legs runs low.

    While much of it is left, legs are hedged at their usual limit; then
    what is left goes to those that are latest.

    :param use: Part of the budget that is used.
    :returns: A factor of the usual limit.
    """
    if use <= EASY_USE:
        return 1.0
    scarcity = min(1.0, (use - EASY_USE) / (1 - EASY_USE))
    return 1 + scarcity * (SILENCE_FACTOR - 1)
