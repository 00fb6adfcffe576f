"""Choice of the nodes that watch the store for their failure domain."""

from bluebellbay.state.fleet import FleetView
from bluebellbay.state.fleet import weigh_name


def is_watcher(fleet: FleetView, *, watchers: int) -> bool:
    """Say whether this node is a watcher of its failure domain.

    Rendezvous hashing over the live view: a node that sees no live peer of
    its domain is always one.

    :param fleet: The fleet as this node sees it.
    :param watchers: Watchers wanted in each failure domain.
    :returns: Whether it is.
    """
    own_weight = weigh_name(fleet.node.name)
    heavier_peers = sum(
        weigh_name(peer.name) > own_weight
        for peer in fleet.list_domain_peers()
    )
    return heavier_peers < watchers
