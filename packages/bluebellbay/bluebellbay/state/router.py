"""Everything that a node knows when it routes requests."""

import random

from bluebellbay.state.peer import PeerRecord
from bluebellbay.state.replica import ReplicaTable
from bluebellbay.state.route_table import RouteTable


class RouterState:
    """The state that the parts of the routing core share.

    :param failure_domain: Where this node runs.
    :param rng: The only source of randomness.
    :param nodes: Nodes to reckon with until they are counted.
    """

    def __init__(
        self, *, failure_domain: str, rng: random.Random, nodes: int
    ) -> None:
        self.failure_domain = failure_domain
        self.rng = rng
        self.nodes = nodes
        self.routes = RouteTable()
        self.replicas = ReplicaTable()
        self.peers: dict[str, PeerRecord] = {}
        self.draining = False
