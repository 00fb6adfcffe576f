"""Bounds that the platform sets for a whole fleet of nodes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryLimits:
    """Bound on the repeated arrivals at one service, from all nodes.

    :param share: Repeats allowed, as a fraction of the requests.
    :param slack: Repeats allowed besides, in each window.
    :param window_s: Length of the window in seconds.
    """

    share: float = 0.2
    slack: float = 50.0
    window_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouterRules:
    """What the routing core must keep to.

    :param node: Name of this node.
    :param failure_domain: Where this node runs.
    :param first_start: Whether the whole fleet starts for the first time.
    :param nodes: Nodes to reckon with until they are counted.
    :param retries: Bound on repeated arrivals.
    :param grace_s: Seconds from the request to end until the process is
        killed.
    """

    node: str
    failure_domain: str
    first_start: bool = False
    nodes: int = 4
    retries: RetryLimits = dataclasses.field(default_factory=RetryLimits)
    grace_s: float = 6.0
