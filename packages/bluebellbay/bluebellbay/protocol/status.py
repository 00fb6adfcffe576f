"""What a node tells operators about itself."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerSummary:
    """One peer, as the node that answers sees it.

    :param name: Name of the VM.
    :param failure_domain: Its failure domain.
    :param address: ``host:port`` for callers and operators.
    :param status: What the node believes of it.
    """

    name: str
    failure_domain: str
    address: str
    status: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerSummary:
    """One backend server, as the node that answers sees it.

    :param name: Name of the server's VM.
    :param index: Index that it serves.
    :param service: Service that it belongs to.
    :param failure_domain: Its failure domain.
    :param leaving: Whether it gets no new work.
    :param connection_share: Connections that the node may open to it.
    :param outstanding: Legs of the node under way there.
    :param ejected: Whether the node has set it aside for now.
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
    """One node and what it sees of the others.

    :param name: Name of the VM.
    :param failure_domain: Its failure domain.
    :param healthy: False before it serves and once it is leaving.
    :param config_revision: Configuration revision in force; 0 for none.
    :param config_change_id: Change id of that revision; empty for none.
    :param config_confirmed: Whether it was lately seen in the store.
    :param peers: The peers, by name.
    :param servers: The backend servers, by name.
    """

    name: str
    failure_domain: str
    healthy: bool
    config_revision: int
    config_change_id: str
    config_confirmed: bool
    peers: tuple[PeerSummary, ...] = ()
    servers: tuple[ServerSummary, ...] = ()
