"""The base class of the parts of the routing core."""

import abc

from bluebellbay.coordination.base_part import BasePart
from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.rules import RouterRules


class RoutingPart(BasePart, abc.ABC):
    """One kind of decision on routed requests.

    :param context: What the requests of this node share.
    :param rules: What the node must keep to.
    """

    def __init__(self, *, context: RoutingContext, rules: RouterRules) -> None:
        self.context = context
        self.state = context.state
        self.rules = rules
