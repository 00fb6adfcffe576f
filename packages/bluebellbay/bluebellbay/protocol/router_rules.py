"""Limits that the platform sets for all nodes of a fleet."""

import dataclasses

from bluebellbay.protocol.store_allowance import StoreAllowance


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryLimits:
    """Limit on the retries and hedges sent to one service by all nodes.

    :param share: Retries allowed, as a fraction of the requests.
    :param slack: Number of retries allowed on top, in each window.
    :param window_s: Length of the sliding window in seconds.
    """

    share: float = 0.2
    slack: float = 50.0
    window_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaLimits:
    """Limit on the requests of a client account that run on all nodes.

    :param window_s: Length of the sliding window in seconds.
    :param overage: Fraction by which the limit of an account is exceeded.
    :param slack: Number of requests allowed on top, in each window.
    :param domains: Names of all failure domains; one lender is in each.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0
    domains: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WarmupLimits:
    """Limit on the requests that all nodes send to a cold replica.

    :param overage: Requests allowed, relative to the rate of its service.
    :param slack: Number of requests allowed on top, in any second.
    """

    overage: float = 1.5
    slack: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouterRules:
    """Identity of this node and the limits of the routing core.

    :param node: Name of this node.
    :param failure_domain: Failure domain of this node.
    :param first_start: Whether the whole fleet starts for the first time.
    :param nodes: Number of nodes to assume until the store has listed them.
    :param retries: Limit on retries and hedges.
    :param warmup: Limit on requests to cold replicas.
    :param grace_s: Seconds from a shutdown request until the platform kills
        the process.
    :param store: Limits on how old the knowledge of the store may be.
    :param quota: Limit on the requests of a client account.
    """

    node: str
    failure_domain: str
    first_start: bool = False
    nodes: int = 4
    retries: RetryLimits = dataclasses.field(default_factory=RetryLimits)
    warmup: WarmupLimits = dataclasses.field(default_factory=WarmupLimits)
    grace_s: float = 6.0
    store: StoreAllowance = dataclasses.field(default_factory=StoreAllowance)
    quota: QuotaLimits = dataclasses.field(default_factory=QuotaLimits)
