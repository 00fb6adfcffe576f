"""State of a node, shared by the parts of its decision core."""

import random

from bluebellbay.settings import Settings
from bluebellbay.state.configuration import ConfigurationState
from bluebellbay.state.counter import QueryCounters
from bluebellbay.state.departure import DepartureTable
from bluebellbay.state.fleet import FleetView
from bluebellbay.state.server import ServerTable


class NodeState:
    """Container for the state of a node.

    :param settings: The node's settings.
    :param rng: The only source of randomness for the core.
    """

    def __init__(self, *, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.configuration = ConfigurationState()
        self.fleet = FleetView(node=settings.node, peers=settings.peers)
        self.departures = DepartureTable()
        self.servers = ServerTable(indexes=settings.indexes)
        self.query_counters = QueryCounters()
