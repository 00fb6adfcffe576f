"""Divides the connections of each replica by the nodes."""

from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.ownership import CONNECTED_OWNERS
from bluebellbay.protocol.registry import SetConnectionLimit
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.router import RouterState

MIN_CONNECTION_CAP = 8


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
    accepted = state.routes.count_connections(entry.service)
    share = max(1, accepted // max(1, state.nodes))
    shards = state.routes.find_shards(entry.service)
    if context.owners.is_connected_owner(entry.service, shards):
        left = max(0, accepted - share * state.nodes)
        share += left // (CONNECTED_OWNERS * _count_domains(state))
    cap = max(MIN_CONNECTION_CAP, 2 * entry.slots)
    limit = min(share, cap)
    if limit == record.connection_limit:
        return
    record.connection_limit = limit
    context.emit(SetConnectionLimit(replica=entry, limit=limit))


def _count_domains(state: RouterState) -> int:
    domains = {peer.entry.failure_domain for peer in state.peers.values()}
    return len(domains | {state.failure_domain})
