"""The facade of the decisions on routed requests."""

import random

from bluebellbay.coordination.facade import Facade
from bluebellbay.coordination.routing.configuration import ConfigurationPart
from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.exchange import ExchangePart
from bluebellbay.coordination.routing.isolation import IsolationPart
from bluebellbay.coordination.routing.lifecycle import LifecyclePart
from bluebellbay.coordination.routing.nodes import NodePart
from bluebellbay.coordination.routing.replicas import ReplicaPart
from bluebellbay.coordination.routing.rules import RouterRules
from bluebellbay.state.router import RouterState


class RoutingCore(Facade):
    """Every decision of a node that routes requests.

    :param rules: What the node must keep to.
    :param rng: The only source of randomness.
    """

    def __init__(self, *, rules: RouterRules, rng: random.Random) -> None:
        self.state = RouterState(
            failure_domain=rules.failure_domain, rng=rng, nodes=rules.nodes
        )
        self.context = RoutingContext(state=self.state, rules=rules)
        exchanges = ExchangePart(context=self.context, rules=rules)
        super().__init__(
            parts=(
                ConfigurationPart(context=self.context, rules=rules),
                ReplicaPart(context=self.context, rules=rules),
                NodePart(context=self.context, rules=rules),
                exchanges,
                IsolationPart(context=self.context, rules=rules),
                LifecyclePart(
                    context=self.context, rules=rules, exchanges=exchanges
                ),
            )
        )
