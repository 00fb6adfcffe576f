"""Divides the connections of each replica by the nodes."""

from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.ownership import CONNECTED_RANKS
from bluebellbay.protocol.registry import SetConnectionLimit
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.router import RouterState

MOST_CONNECTIONS = 8


def set_connection_limits(context: RoutingContext) -> None:
    """Bound the connections to all replicas anew.

    :param context: What the requests of this node share.
    """
    for record in context.state.replicas:
        set_connection_limit(context, record)


def set_connection_limit(
    context: RoutingContext, record: ReplicaRecord
) -> None:
    """Bound the connections to a replica.

    :param context: What the requests of this node share.
    :param record: The replica.
    """
    entry = record.entry
    state = context.state
    accepted = state.routes.get_connection_limit(entry.service)
    share = max(1, accepted // max(1, state.nodes))
    shards = state.routes.find_shards(entry.service)
    if context.owners.is_connected(entry.service, shards):
        left = max(0, accepted - share * state.nodes)
        share += left // (CONNECTED_RANKS * _count_domains(state))
    most = max(MOST_CONNECTIONS, 2 * entry.slots)
    limit = min(share, most)
    if limit == record.connection_limit:
        return
    record.connection_limit = limit
    context.emit(SetConnectionLimit(replica=entry, limit=limit))


def _count_domains(state: RouterState) -> int:
    domains = {peer.entry.failure_domain for peer in state.peers.values()}
    return len(domains | {state.failure_domain})
