"""State of a router node, shared by the parts of its routing core."""

import random

from bluebellbay.protocol.router_rules import RouterRules
from bluebellbay.state.peer import PeerRecord
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.replica import ReplicaTable
from bluebellbay.state.route_table import RouteTable
from bluebellbay.state.store_picture import StorePicture


class RouterState:
    """Container for the state of a router node.

    :param rules: Limits and identity of the node.
    :param rng: The only source of randomness for the core.
    :ivar nodes: Number of nodes that share limits, including this one.
    :ivar node_changes: How often the nodes that share limits have changed.
    :ivar is_registered: Whether the store lists this node, so that the others
        know of it.
    :ivar store: How old the knowledge of the store is.
    :ivar replicas_listed: Whether all replicas were listed once; until then
        some may be unknown.
    :ivar stop_by: Unix time in seconds when a node that is shutting down
        answers what is still open; ``None`` on others.
    :ivar takes_callers: Whether callers may still open connections.
    :ivar isolated: Whether this node cannot reach other failure domains.
    :ivar last_remote_answer_at: Time in seconds of the last answer from a
        replica in another failure domain.
    :ivar evacuated_domains: Failure domains whose replicas get no requests.
    :ivar evacuations_known: Whether the evacuations were read once.
    :ivar limited_services: Services of which a replica has ever named a rate
        limit.
    """

    def __init__(self, *, rules: RouterRules, rng: random.Random) -> None:
        self.rules = rules
        self.failure_domain = rules.failure_domain
        self.rng = rng
        self.nodes = rules.nodes
        self.routes = RouteTable()
        self.replicas = ReplicaTable()
        self.peers: dict[str, PeerRecord] = {}
        self.node_changes = 0
        self.is_registered = False
        self.store = StorePicture()
        self.replicas_listed = False
        self.stop_by: float | None = None
        self.takes_callers = True
        self.isolated = False
        self.last_remote_answer_at = 0.0
        self.evacuated_domains: frozenset[str] = frozenset()
        self.evacuations_known = False
        self.limited_services: set[str] = set()

    @property
    def draining(self) -> bool:
        """Whether this node is shutting down."""
        return self.stop_by is not None

    def is_remote(self, record: ReplicaRecord) -> bool:
        """Tell whether a replica runs in another failure domain.

        :param record: The replica.
        """
        return record.entry.failure_domain != self.failure_domain

    def may_get_requests(self, record: ReplicaRecord, now: float) -> bool:
        """Tell whether a replica may get requests, from whatever node.

        Draining, leaving and quiet replicas and those in evacuated domains
        may not.

        :param record: The replica.
        :param now: Current time in seconds.
        """
        entry = record.entry
        if record.leaving or record.quiet_until > now or entry.draining:
            return False
        evacuated = self.evacuated_domains
        return not (evacuated and entry.failure_domain in evacuated)

    def is_usable(self, record: ReplicaRecord, now: float) -> bool:
        """Tell whether a replica may get requests and can be reached.

        While this node is isolated, replicas in other failure domains cannot
        be reached.

        :param record: The replica.
        :param now: Current time in seconds.
        """
        if not self.may_get_requests(record, now):
            return False
        return not (self.isolated and self.is_remote(record))

    def find_pause_end(
        self, services: tuple[str, ...], now: float
    ) -> float | None:
        """Find when the first of the services without replicas has one.

        :param services: Names of services.
        :param now: Current time in seconds.
        :returns: Time in seconds when the first pause ends, of the services
            whose otherwise usable replicas are all quiet or over their rate
            limits; ``None`` if there is no such service.
        """
        pause_ends = []
        for service in services:
            ends = [
                record.get_return_time()
                for record in self.replicas.list_service(service)
                if self.is_usable(record, record.quiet_until)
            ]
            if ends and min(ends) > now:
                pause_ends.append(min(ends))
        return min(pause_ends, default=None)
