"""What a node learns from the store and its settings, and applies."""

import dataclasses

from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.replica import ReplicaEntry
from bluebellbay.protocol.route import CallerLimits
from bluebellbay.protocol.route import RouteConfiguration
from bluebellbay.protocol.router_rules import RouterRules


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationReceived:
    """The store holds this configuration.

    :param configuration: The configuration.
    """

    configuration: RouteConfiguration


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicasListed:
    """The store's entries of all replicas were read.

    :param entries: Those that name a replica.
    """

    entries: tuple[ReplicaEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaUpdated:
    """A replica's entry was written.

    :param entry: The entry.
    """

    entry: ReplicaEntry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaRemoved:
    """A replica's entry is gone or names no replica any more.

    :param replica_id: Identity of the replica.
    """

    replica_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RulesChanged:
    """The settings were read anew.

    :param rules: What the node must keep to now.
    """

    rules: RouterRules


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreConnectionLost:
    """The store does not answer.

    :param reason: One short phrase.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreConnectionRestored:
    """The store answers again."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodesListed:
    """The nodes that hold a lease in the store were read.

    :param nodes: The nodes, this one included.
    """

    nodes: tuple[NodeEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeRegistered:
    """A node has taken a lease.

    :param node: The node.
    """

    node: NodeEntry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeLeaseExpired:
    """A node's lease has ended.

    :param name: Name of the node.
    """

    name: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetConnectionLimit:
    """Bound the connections to a replica.

    :param replica: The replica.
    :param limit: Most connections that this node may have open.
    """

    replica: ReplicaEntry
    limit: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CloseReplicaConnections:
    """Close the connections to an incarnation that gets no more requests.

    :param replica: The replica.
    """

    replica: ReplicaEntry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetCallerLimits:
    """Bound what callers may send from now on.

    :param limits: The bounds.
    """

    limits: CallerLimits


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetKeepAlive:
    """Say whether callers may use their connections again.

    :param allowed: False to close each one after its next answer.
    """

    allowed: bool
