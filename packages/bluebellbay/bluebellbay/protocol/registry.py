"""Changes read from the store and the settings, and commands to apply them."""

import dataclasses

from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.replica import ReplicaEntry
from bluebellbay.protocol.route import CallerLimits
from bluebellbay.protocol.route import RouteConfiguration
from bluebellbay.protocol.router_rules import RouterRules


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationReceived:
    """A configuration was read from the store.

    :param configuration: The configuration that the store holds.
    """

    configuration: RouteConfiguration


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicasListed:
    """The entries of all replicas, or of some, were read from the store.

    :param entries: The entries that describe a replica.
    :param complete: Whether these are all; the others are gone then.
    """

    entries: tuple[ReplicaEntry, ...]
    complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaUpdated:
    """A replica's entry in the store was created or updated.

    :param entry: The new entry.
    """

    entry: ReplicaEntry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaRemoved:
    """A replica's entry was deleted or no longer describes a replica.

    :param replica_id: Identity of the replica.
    """

    replica_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RulesReloaded:
    """The settings were reloaded.

    :param rules: The limits that apply from now on.
    """

    rules: RouterRules


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreConnectionLost:
    """The store does not respond.

    :param reason: Short description of the failure.
    :param asked_at: Time in seconds when the call was made that has failed.
    """

    reason: str
    asked_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreEraChanged:
    """The store came back from a copy, and has lost its latest changes.

    All items are read again after this.

    :param era: Number of the store's present era.
    :param former: Number of the former one; ``None`` if this is the first
        that the node knows, and nothing is read again.
    """

    era: int
    former: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreConnectionRestored:
    """The store responds again."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreAnswered:
    """The store has answered a call, be it from a copy.

    It is reported before what the answer tells.
    """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreConfirmed:
    """All was reported that the store had accepted by some time.

    :param confirmed_at: The time in seconds, of the clock of events.
    """

    confirmed_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreReadAhead:
    """Items were read by themselves, as changes are long on their way.

    :param received_bytes: Bytes of the changes that have arrived.
    :param age_s: Seconds since the store last confirmed what is known.
    :param items: Number of items read.
    :param error: Why they could not be read; empty if they were.
    """

    received_bytes: int
    age_s: float
    items: int
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreListed:
    """All items of the store were read, or reading them failed.

    :param cause: Why they were read, as a short phrase.
    :param items: Number of items read.
    :param pages: Number of pages read.
    :param seconds: Time taken, with failed tries.
    :param failures: Number of tries that failed since the last whole one.
    :param error: Why this try failed; empty if it is whole.
    """

    cause: str
    items: int
    pages: int
    seconds: float
    failures: int
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodesListed:
    """The nodes that hold a lease were read from the store.

    :param nodes: The nodes, including this one.
    """

    nodes: tuple[NodeEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeRegistered:
    """A node registered itself in the store with a lease."""

    node: NodeEntry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeLeaseEnded:
    """A node's lease has ended.

    :param name: Name of the node.
    """

    name: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainEvacuated:
    """The operators evacuate a failure domain; its replicas get no requests.

    :param domain: Name of the failure domain, which need not have replicas.
    :param listed: Whether a listing told it; otherwise it was just written.
    """

    domain: str
    listed: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainRestored:
    """The evacuation of a failure domain was taken back.

    :param domain: Name of the failure domain.
    """

    domain: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EvacuationsListed:
    """All evacuations were read that the store held before any replica.

    :param domains: Names of evacuated failure domains.
    :param complete: Whether these are all; the others are restored then.
    """

    domains: frozenset[str]
    complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetConnectionLimit:
    """Limit the connections to a replica.

    :param replica: The replica.
    :param limit: Maximum number of open connections of this node.
    """

    replica: ReplicaEntry
    limit: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CloseReplicaConnections:
    """Close the connections to a replica as they become idle.

    :param replica: Entry of the incarnation, which gets no new requests.
    """

    replica: ReplicaEntry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetCallerLimits:
    """Apply new limits to callers' requests."""

    limits: CallerLimits


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetKeepAlive:
    """Set whether callers' connections stay open after an answer.

    :param allowed: False to close each connection after its next answer.
    """

    allowed: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainCallers:
    """Accept no further connections of callers, and answer what was sent.

    ``CallersDrained`` reports that all of their connections are closed.
    """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallersDrained:
    """All connections of callers are closed, and none is accepted."""
