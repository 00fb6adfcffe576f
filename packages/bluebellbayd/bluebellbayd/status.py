"""Status report of a node for operators."""

from bluebellbay.protocol.status import NodeStatus
from bluebellbay.protocol.status import PeerSummary
from bluebellbay.protocol.status import ServerSummary
from bluebellbay.state.node import NodeState


def build_status(state: NodeState, *, healthy: bool, now: float) -> NodeStatus:
    """Build the status report of a node.

    :param state: State of the node's core.
    :param healthy: Whether the node accepts new requests.
    :param now: Current Unix time in seconds.
    :returns: The report; peers and servers are sorted by their keys.
    """
    configuration = state.configuration
    document = configuration.document
    node = state.settings.node
    return NodeStatus(
        name=node.name,
        failure_domain=node.failure_domain,
        healthy=healthy,
        config_revision=configuration.revision,
        config_change_id=document.change_id if document else "",
        config_confirmed=configuration.is_confirmed(
            now=now, max_age_s=state.settings.fleet.confirm_s
        ),
        peers=_summarize_peers(state),
        servers=_summarize_servers(state, now=now),
    )


def _summarize_peers(state: NodeState) -> tuple[PeerSummary, ...]:
    return tuple(
        PeerSummary(
            name=peer.name,
            failure_domain=peer.failure_domain,
            address=peer.address,
            status=peer.status.value,
        )
        for _, peer in sorted(state.fleet.peers.items())
    )


def _summarize_servers(
    state: NodeState, *, now: float
) -> tuple[ServerSummary, ...]:
    return tuple(
        ServerSummary(
            name=server.name,
            index=server.index,
            service=server.service,
            failure_domain=server.failure_domain,
            leaving=server.leaving,
            connection_share=server.connection_share,
            outstanding=server.outstanding,
            ejected=server.ejected_until > now,
        )
        for _, server in sorted(state.servers.servers.items())
    )
