"""Divides the connections of each replica by the nodes."""

from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.protocol.exchange import SetConnectionLimit
from bluebellbay.state.replica import ReplicaRecord

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
    accepted = context.state.routes.count_connections(entry.service)
    share = max(1, accepted // max(1, context.state.nodes))
    most = max(MOST_CONNECTIONS, 2 * entry.slots)
    context.emit(SetConnectionLimit(replica=entry, limit=min(share, most)))
