"""Messages between entry VMs, and the envelope that carries them."""

import dataclasses
import enum
from typing import Annotated

import msgspec

from bluebellbay.protocol.configuration import ConfigurationDocument

PEER_PROTOCOL_VERSION = 1
MAX_PEER_MESSAGE_BYTES = 1_048_576
MAX_STATUS_UPDATES = 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationPush:
    """A configuration, sent on change and when a peer is found behind.

    :param document: The sender's configuration.
    :param confirmed_age_s: As in a digest.
    """

    document: ConfigurationDocument
    confirmed_age_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationDigest:
    """The sender's revision, for repair.

    :param revision: Revision in force at the sender; 0 for none.
    :param confirmed_age_s: Seconds since the sender, or a peer that told
        it, last saw that revision in the store.
    :param wants_reply: Whether the receiver should send its own digest.
    :param change_id: Change id of that revision.
    """

    revision: int
    confirmed_age_s: float | None = None
    wants_reply: bool = False
    change_id: str = ""


class PeerStatus(enum.StrEnum):
    """What a node believes of a peer."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class StatusUpdate(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What the sender believes of one node, itself included.

    A struct in place of a data class, as many travel in one message and
    without the names of the fields each takes half the bytes.

    :param name: Name of the node.
    :param incarnation: The node's incarnation that this is about; only the
        node itself raises it, to refute what others believe.
    :param status: What is believed.
    """

    name: str
    incarnation: int
    status: PeerStatus


StatusUpdates = Annotated[
    tuple[StatusUpdate, ...], msgspec.Meta(max_length=MAX_STATUS_UPDATES)
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Introduction:
    """Where a node is found that the receiver may not have heard of.

    :param failure_domain: Its failure domain.
    :param address: ``host:port`` for callers and operators.
    :param peer_address: ``host:port`` for peers.
    """

    failure_domain: str
    address: str
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ping:
    """Asks whether the receiver is alive.

    :param number: Echoed in the answer.
    :param updates: What the sender passes on.
    :param introduction: Set until the receiver has answered once.
    """

    number: int
    updates: StatusUpdates = ()
    introduction: Introduction | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PingRequest:
    """Asks the receiver to ping a third node on the sender's behalf.

    :param number: Echoed in the answer.
    :param subject: Name of the third node.
    :param updates: What the sender passes on.
    """

    number: int
    subject: str
    updates: StatusUpdates = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ack:
    """Answers a ping, or passes the answer of a third node on.

    :param number: Number of the ping or of the request.
    :param subject: Name of the node that is alive.
    :param updates: What the sender passes on.
    """

    number: int
    subject: str
    updates: StatusUpdates = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Departure:
    """Evidence that a backend server is leaving.

    :param server: Name of the server's VM.
    :param incarnation: The start of the server that the evidence is about.
    :param revision: Configuration revision in force where it was seen.
    """

    server: str
    incarnation: int
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeavingNotice:
    """Servers that the sender knows to be leaving.

    :param departures: The evidence, one for each server.
    """

    departures: tuple[Departure, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetMember:
    """A node that may hold connections to backend servers.

    :param name: Name of its VM.
    :param token: Random number of its process; 0 if not known.
    """

    name: str
    token: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShareNotice:
    """For how many nodes the sender divides the servers' connections.

    :param token: Random number of the sender's process.
    :param counted: The nodes that it divides for, the sender included.
    :param settled: Whether its connections are within these shares.
    :param admitted: Whether it may open connections.
    :param expected: Whether the sender's settings name the receiver.
    :param size: Entry VMs that the sender's settings name.
    :param wants_reply: Whether the receiver should answer with its own.
    """

    token: int
    counted: tuple[FleetMember, ...]
    settled: bool
    admitted: bool
    expected: bool
    size: int
    wants_reply: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeStopped:
    """The sender has closed its connections to backend servers and ends.

    :param token: Random number of the sender's process.
    """

    token: int


PeerMessage = (
    ConfigurationPush
    | ConfigurationDigest
    | Ping
    | PingRequest
    | Ack
    | LeavingNotice
    | ShareNotice
    | NodeStopped
)

PEER_MESSAGES: tuple[type, ...] = (
    ConfigurationPush,
    ConfigurationDigest,
    Ping,
    PingRequest,
    Ack,
    LeavingNotice,
    ShareNotice,
    NodeStopped,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerEnvelope:
    """One message on its way between two entry VMs.

    :param sender: Name of the sending VM.
    :param incarnation: Start time of the sender in ms, Unix time.
    :param sequence: Grows with each message of this incarnation.
    :param message: The message.
    """

    sender: str
    incarnation: int
    sequence: int
    message: PeerMessage
