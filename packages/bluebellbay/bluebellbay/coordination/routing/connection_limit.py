"""Divides the connections that replicas accept among the nodes."""

from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.ownership import CONNECTED_OWNERS
from bluebellbay.protocol.registry import SetConnectionLimit
from bluebellbay.state.replica import ReplicaRecord

# One node may open this many connections also to a replica with few slots.
MIN_CONNECTION_CAP = 8


def set_connection_limits(context: RoutingContext) -> None:
    """Recompute the connection limit of every replica.

    :param context: State and services shared by all requests of the node.
    """
    for record in context.state.replicas:
        set_connection_limit(context, record)


def set_service_limits(context: RoutingContext, service: str) -> None:
    """Recompute the connection limits of the replicas of a service.

    They depend on the failure domains that have any of these.

    :param context: State and services shared by all requests of the node.
    :param service: Name of the service.
    """
    for record in context.state.replicas.list_service(service):
        if not record.entry.draining:
            set_connection_limit(context, record)


def set_connection_limit(
    context: RoutingContext, record: ReplicaRecord
) -> None:
    """Recompute the connection limit of one replica.

    The limit is emitted only if it changed. A node that owns the replica's
    shard in a failure domain that holds it also gets its part of the
    connections that remain after equal division.

    :param context: State and services shared by all requests of the node.
    """
    if record.leaving:
        return
    entry = record.entry
    state = context.state
    accepted = state.routes.get_connection_limit(entry.service)
    share = max(1, accepted // max(1, state.nodes))
    domains = state.replicas.list_domains(entry.service)
    shards = state.routes.find_shards(entry.service)
    if state.failure_domain in domains and context.owners.is_connected_owner(
        entry.service, shards
    ):
        left = max(0, accepted - share * state.nodes)
        share += left // (CONNECTED_OWNERS * len(domains))
    cap = max(MIN_CONNECTION_CAP, 2 * entry.slots)
    limit = min(share, cap)
    if limit == record.connection_limit:
        return
    record.connection_limit = limit
    context.emit(SetConnectionLimit(replica=entry, limit=limit))
