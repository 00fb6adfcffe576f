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
    """A configuration, sent after a change and to peers that are out of date.

    :param document: The sender's configuration.
    :param confirmed_age_s: As in ``ConfigurationDigest``.
    """

    document: ConfigurationDocument
    confirmed_age_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationDigest:
    """The sender's revision, sent so that peers find out which one is behind.

    :param revision: Revision in force at the sender; 0 for none.
    :param confirmed_age_s: Seconds since that revision was last seen in the
        store, by the sender or by a peer that passed this on; none if
        unknown.
    :param wants_reply: Whether the receiver should send its own digest.
    :param change_id: Change id of that revision.
    """

    revision: int
    confirmed_age_s: float | None = None
    wants_reply: bool = False
    change_id: str = ""


class PeerStatus(enum.StrEnum):
    """Status of a peer, in the view of one node."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class StatusUpdate(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Status of one node, possibly the sender itself, in the sender's view.

    A message carries many of these. They are array-like structs instead of
    data classes because each takes half the bytes without the field names.

    :param name: Name of the node.
    :param incarnation: Incarnation of the node that the status applies to;
        only the node itself increments it, to refute a suspicion.
    :param status: The status.
    """

    name: str
    incarnation: int
    status: PeerStatus


StatusUpdates = Annotated[
    tuple[StatusUpdate, ...], msgspec.Meta(max_length=MAX_STATUS_UPDATES)
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Introduction:
    """Addresses of the sender, for a receiver that may not know it yet.

    :param failure_domain: The sender's failure domain.
    :param address: ``host:port`` for callers and operators.
    :param peer_address: ``host:port`` for peers.
    """

    failure_domain: str
    address: str
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ping:
    """Asks whether the receiver is alive.

    :param number: Sequence number; the ``Ack`` repeats it.
    :param updates: Status updates that the sender passes on.
    :param introduction: Set until the receiver has answered once.
    """

    number: int
    updates: StatusUpdates = ()
    introduction: Introduction | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PingRequest:
    """Asks the receiver to ping a third node on the sender's behalf.

    :param number: Sequence number; the ``Ack`` repeats it.
    :param subject: Name of the third node.
    :param updates: Status updates that the sender passes on.
    """

    number: int
    subject: str
    updates: StatusUpdates = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ack:
    """Answers a ping, or forwards the answer of a third node.

    :param number: Number of the ``Ping`` or ``PingRequest``.
    :param subject: Name of the node that is alive.
    :param updates: Status updates that the sender passes on.
    """

    number: int
    subject: str
    updates: StatusUpdates = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Departure:
    """Evidence that a backend server is leaving.

    :param server: Name of the server's VM.
    :param incarnation: Incarnation of the server that is leaving.
    :param revision: Configuration revision in force at the node that observed
        it.
    """

    server: str
    incarnation: int
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeavingNotice:
    """Backend servers that the sender knows to be leaving.

    :param departures: The evidence, one entry for each server.
    """

    departures: tuple[Departure, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetMember:
    """A node that may hold connections to backend servers.

    :param name: Name of its VM.
    :param token: Random id of its process; 0 if unknown.
    """

    name: str
    token: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShareNotice:
    """The nodes among which the sender divides each server's connections.

    :param token: Random id of the sender's process.
    :param counted: The nodes that get a share, including the sender.
    :param settled: Whether the sender's connections are within these shares.
    :param admitted: Whether the sender may open connections.
    :param expected: Whether the sender's settings name the receiver.
    :param size: Number of entry VMs that the sender's settings name.
    :param wants_reply: Whether the receiver should reply with its own notice.
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
    """The sender has closed all connections to backend servers and is exiting.

    :param token: Random id of the sender's process.
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
    """One message from an entry VM to another, with its sender.

    :param sender: Name of the sending VM.
    :param incarnation: Start time of the sender in Unix milliseconds.
    :param sequence: Increases with each message of this incarnation.
    :param message: The message.
    """

    sender: str
    incarnation: int
    sequence: int
    message: PeerMessage
