"""Divides the limit of a client account among nodes and lenders.

The regular part serves the account at its rate and burst. Where it is large
enough, half of it is spent by nodes alone; the rest is lent by one lender in
each failure domain. What the limit allows beyond is a reserve: a lender that
can't be sure that no other one lends beside it, as after a restart, lends from
that alone. ``docs/design/quota.md`` weighs the alternatives.
"""

import math

from bluebellbay.protocol.account import ClientAccount
from bluebellbay.protocol.router_rules import QuotaLimits

# Time between the spending of a request and its run: an ask (0.03 s), the
# reuse of a grant (0.3 s) and the way to a replica.
SPENDING_DELAY_S = 0.5
# Nodes may differ by this factor in their count of nodes.
COUNT_TOLERANCE = 1.25
# Part of the limit that is regular at least. The rest, some requests for each
# lender, lasts until a lender has settled after a restart.
MIN_REGULAR_SHARE = 0.85
# A smaller allowance saves few asks, but is lost where no callers come.
MIN_ALLOWANCE = 2
# Below this part of the least allowance for each node, no node spends anything
# alone, whatever number of nodes it knows, so that all may be lent.
LEND_ALL_BELOW = 0.7


def measure_window(limits: QuotaLimits) -> float:
    """Return for how many seconds a spent request is counted.

    :param limits: Limits on client accounts.
    """
    return limits.window_s + SPENDING_DELAY_S


def compute_limit(account: ClientAccount, limits: QuotaLimits) -> float:
    """Compute how many requests of an account may run in a window.

    :param account: The account, which has a rate.
    :param limits: Limits on client accounts.
    """
    expected = account.rate_per_s * limits.window_s + account.burst
    return expected * (1 + limits.overage) + limits.slack


def compute_regular(account: ClientAccount, limits: QuotaLimits) -> float:
    """Compute how many requests nodes and settled lenders may run in a window.

    :param account: The account, which has a rate.
    :param limits: Limits on client accounts.
    """
    limit = compute_limit(account, limits)
    expected = account.rate_per_s * measure_window(limits) + account.burst
    return min(limit, max(expected, MIN_REGULAR_SHARE * limit))


def compute_allowance(regular: float, nodes: int) -> int:
    """Compute how many requests a node may run in a window without asking.

    :param regular: Requests that nodes and settled lenders may run.
    :param nodes: Number of nodes.
    """
    allowance = math.floor(regular / 2 / (COUNT_TOLERANCE * max(1, nodes)))
    return allowance if allowance >= MIN_ALLOWANCE else 0


def compute_lent(regular: float, nodes: int, domains: int) -> int:
    """Compute how many requests a settled lender may grant in a window.

    :param regular: Requests that nodes and settled lenders may run.
    :param nodes: Number of nodes.
    :param domains: Number of failure domains, each with a lender.
    """
    nobody_spends = regular / 2 < LEND_ALL_BELOW * MIN_ALLOWANCE * nodes
    lent = regular if nobody_spends else regular / 2
    return math.floor(lent / max(1, domains))


def compute_reserve(
    account: ClientAccount, limits: QuotaLimits, domains: int
) -> int:
    """Compute how many requests a lender may grant that is not settled.

    :param account: The account, which has a rate.
    :param limits: Limits on client accounts.
    :param domains: Number of failure domains, each with a lender.
    :returns: Requests in a window.
    """
    reserve = compute_limit(account, limits) - compute_regular(account, limits)
    return math.floor(reserve / max(1, domains))
