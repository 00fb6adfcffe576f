"""Election of the nodes that watch the store for their failure domain."""

from bluebellbay.state.fleet import FleetView
from bluebellbay.state.rendezvous import hash_name


def is_watcher(fleet: FleetView, *, watchers: int) -> bool:
    """Decide whether this node is a watcher of its failure domain.

    Each node decides on its own by rendezvous hashing over the reachable
    nodes of its domain, so a node that reaches no peer of its domain is
    always a watcher. Nodes whose views differ may elect more or fewer.

    :param fleet: The fleet as this node sees it.
    :param watchers: Number of watchers wanted in each failure domain.
    """
    own_weight = hash_name(fleet.node.name)
    heavier_peers = sum(
        hash_name(peer.name) > own_weight for peer in fleet.list_domain_peers()
    )
    return heavier_peers < watchers
