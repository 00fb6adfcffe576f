"""Entry point of the routing core."""

import random

from bluebellbay.coordination.event_dispatcher import EventDispatcher
from bluebellbay.coordination.routing.configuration import ConfigurationPart
from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.evacuation import EvacuationPart
from bluebellbay.coordination.routing.exchange import ExchangePart
from bluebellbay.coordination.routing.isolation import IsolationPart
from bluebellbay.coordination.routing.lifecycle import LifecyclePart
from bluebellbay.coordination.routing.nodes import NodePart
from bluebellbay.coordination.routing.quota_part import QuotaPart
from bluebellbay.coordination.routing.rate_limit_part import RateLimitPart
from bluebellbay.coordination.routing.replica_answers import ReplicaAnswerPart
from bluebellbay.coordination.routing.replicas import ReplicaPart
from bluebellbay.coordination.routing.restore import RestorePart
from bluebellbay.coordination.routing.rules import RulesPart
from bluebellbay.coordination.routing.slack_events import SlackPart
from bluebellbay.protocol.router_rules import RouterRules
from bluebellbay.state.router import RouterState


class RoutingCore(EventDispatcher):
    """Routes requests to replicas; performs no input or output.

    :param rules: Settings of this node.
    :param rng: The only source of randomness, so that runs can be repeated.
    """

    def __init__(self, *, rules: RouterRules, rng: random.Random) -> None:
        self.state = RouterState(rules=rules, rng=rng)
        self.context = RoutingContext(state=self.state)
        answers = ReplicaAnswerPart(context=self.context)
        exchanges = ExchangePart(context=self.context, answers=answers)
        super().__init__(
            parts=(
                RestorePart(context=self.context),
                ConfigurationPart(context=self.context),
                RulesPart(context=self.context),
                EvacuationPart(context=self.context),
                ReplicaPart(context=self.context),
                NodePart(context=self.context),
                QuotaPart(context=self.context, gate=exchanges.quota),
                SlackPart(context=self.context),
                RateLimitPart(context=self.context),
                answers,
                exchanges,
                IsolationPart(context=self.context),
                LifecyclePart(context=self.context, exchanges=exchanges),
            )
        )
