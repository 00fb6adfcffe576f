"""Status of a node, as reported to operators."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerSummary:
    """A peer, as seen by the reporting node.

    :param name: Name of the VM.
    :param failure_domain: Its failure domain.
    :param address: ``host:port`` for callers and operators.
    :param status: Value of its ``PeerStatus`` in the view of the node.
    """

    name: str
    failure_domain: str
    address: str
    status: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerSummary:
    """A backend server, as seen by the reporting node.

    :param name: Name of the server's VM.
    :param index: Index that it serves.
    :param service: Service that it belongs to.
    :param failure_domain: Its failure domain.
    :param leaving: Whether it is leaving and gets no new work.
    :param connection_share: Maximum number of connections of the node to it.
    :param outstanding: Number of the node's legs in flight there.
    :param ejected: Whether the node has temporarily ejected it after
        failures.
    """

    name: str
    index: str
    service: str
    failure_domain: str
    leaving: bool
    connection_share: int
    outstanding: int
    ejected: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeStatus:
    """A node, with its view of the peers and backend servers.

    :param name: Name of the VM.
    :param failure_domain: Its failure domain.
    :param healthy: False until it accepts requests and once it is leaving.
    :param config_revision: Configuration revision in force; 0 for none.
    :param config_change_id: Change id of that revision; empty for none.
    :param config_confirmed: Whether the store confirmed that revision
        recently.
    :param peers: The peers, sorted by name.
    :param servers: The backend servers, sorted by name.
    """

    name: str
    failure_domain: str
    healthy: bool
    config_revision: int
    config_change_id: str
    config_confirmed: bool
    peers: tuple[PeerSummary, ...] = ()
    servers: tuple[ServerSummary, ...] = ()
