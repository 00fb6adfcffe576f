"""Lengthens hedge delays as the budget for extra load runs low."""

# A leg cancelled after more than this multiple of its usual hedge delay counts
# as a failure of its server. A hedge delay is not stretched beyond it.
UNRESPONSIVE_FACTOR = 4.0
UNSTRETCHED_USE = 0.7


def compute_hedge_delay_factor(use: float) -> float:
    """Compute the factor by which a hedge delay is lengthened.

    Below ``UNSTRETCHED_USE`` every leg is hedged after its usual delay.
    Above it the delay grows linearly, so that the rest of the budget goes
    to the slowest legs.

    :param use: Fraction of the budget that would be in use with one more
        extra leg; may exceed 1.
    :returns: Multiple of the usual delay, from 1 to
        ``UNRESPONSIVE_FACTOR``.
    """
    if use <= UNSTRETCHED_USE:
        return 1.0
    shortage = min(1.0, (use - UNSTRETCHED_USE) / (1 - UNSTRETCHED_USE))
    return 1 + shortage * (UNRESPONSIVE_FACTOR - 1)
