"""Everything that a node knows when it routes requests."""

import random

from bluebellbay.protocol.router_rules import RouterRules
from bluebellbay.state.peer import PeerRecord
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.replica import ReplicaTable
from bluebellbay.state.route_table import RouteTable


class RouterState:
    """The state that the parts of the routing core share.

    :param rules: What the node must keep to.
    :param rng: The only source of randomness.
    :ivar nodes: Nodes that share limits, this one included.
    :ivar draining: Whether this node is ending.
    :ivar isolated: Whether it is cut off from other failure domains.
    :ivar last_remote_answer_at: Time in seconds when a replica in another
        failure domain answered last.
    """

    def __init__(self, *, rules: RouterRules, rng: random.Random) -> None:
        self.rules = rules
        self.failure_domain = rules.failure_domain
        self.rng = rng
        self.nodes = rules.nodes
        self.routes = RouteTable()
        self.replicas = ReplicaTable()
        self.peers: dict[str, PeerRecord] = {}
        self.draining = False
        self.isolated = False
        self.last_remote_answer_at = 0.0

    def is_remote(self, record: ReplicaRecord) -> bool:
        """Say whether a replica runs in another failure domain.

        :param record: The replica.
        """
        return record.entry.failure_domain != self.failure_domain

    def is_usable(self, record: ReplicaRecord) -> bool:
        """Say whether a replica may get requests and can be reached.

        :param record: The replica.
        """
        if record.entry.draining:
            return False
        return not (self.isolated and self.is_remote(record))
