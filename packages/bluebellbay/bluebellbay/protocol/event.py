"""Events: everything that the decision core is told."""

import dataclasses

from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.leg import LegRefusal
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.leg import ServerReport
from bluebellbay.protocol.peer import PeerEnvelope
from bluebellbay.protocol.request import QueryRequest
from bluebellbay.protocol.routing import RoutingEvent
from bluebellbay.protocol.vm import VmList


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueryArrived:
    """A caller's request was read.

    :param caller: Number of the exchange with the caller, fresh for each.
    :param request: The request.
    """

    caller: int
    request: QueryRequest


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerDisconnected:
    """A caller closed its connection before its answer.

    :param caller: Number of the exchange.
    """

    caller: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LegReplied:
    """A backend server answered a leg.

    :param server: Name of the server that it came from.
    :param attempt: Attempt id that the transport sent the leg under.
    :param reply: The reply, whose own attempt id may differ.
    """

    server: str
    attempt: str
    reply: LegReply


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LegRefused:
    """A backend server refused a leg before running it.

    :param server: Name of the server that it came from.
    :param attempt: Attempt id that the transport sent the leg under.
    :param refusal: The refusal, whose own attempt id may differ.
    """

    server: str
    attempt: str
    refusal: LegRefusal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LegFailed:
    """A leg ended without a readable reply.

    :param server: Name of the server.
    :param attempt: Attempt id of the leg.
    :param sent: False only if no byte of the leg left this process.
    :param expired: Whether the transport held it back as expired.
    :param reason: One short phrase.
    """

    server: str
    attempt: str
    sent: bool
    expired: bool = False
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerPolled:
    """A backend server's health endpoint was read, or could not be.

    :param server: Name of the server.
    :param report: What it said; none if it could not be read.
    """

    server: str
    report: ServerReport | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionShareApplied:
    """The connections to a server are within the share that was set last.

    :param server: Name of the server.
    :param limit: The share.
    """

    server: str
    limit: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmListRead:
    """The platform's list of VMs was read.

    :param vm_list: The list.
    """

    vm_list: VmList


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyRead:
    """The store answered a read or a watch.

    :param ticket: Ticket of the command.
    :param key: The key.
    :param value: The value; none if the key is absent.
    :param version: The store's version of the key; 0 if absent.
    """

    correlation_id: str
    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyWritten:
    """A compare-and-swap took effect.

    :param ticket: Ticket of the command.
    :param key: The key.
    :param version: The new version.
    """

    correlation_id: str
    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyConflict:
    """A compare-and-swap did not take effect, as the version differed.

    :param ticket: Ticket of the command.
    :param key: The key.
    :param value: The value that stands; none if the key is absent.
    :param version: The version that stands; 0 if absent.
    """

    correlation_id: str
    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreCallFailed:
    """The store could not be asked, or its answer was lost.

    :param ticket: Ticket of the command.
    :param key: The key.
    :param sent: False only if the command positively had no effect.
    """

    correlation_id: str
    key: str
    sent: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerMessageReceived:
    """A well-formed message came from a peer.

    :param envelope: The message and who sent it.
    """

    envelope: PeerEnvelope


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerMessageDropped:
    """Bytes from a peer could not be read and were dropped.

    :param reason: Why.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShutdownRequested:
    """The process was asked to end gracefully."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimerTick:
    """Nothing happened but time; due timers are run."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequested:
    """From query to claim: a request must be claimed before it is sent.

    :param request_id: The caller's request id.
    :param expires_at: Unix time in seconds after which it must not start.
    :param deadline: Time in seconds at which the answer is due.
    """

    request_id: str
    expires_at: float
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimGranted:
    """From claim to query: this node alone may send the request, once.

    :param request_id: The caller's request id.
    """

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRefused:
    """From claim to query: the store could not take the claim.

    Nothing was sent and nothing will be.

    :param request_id: The caller's request id.
    """

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimHeld:
    """From claim to query: another attempt holds the claim.

    :param request_id: The caller's request id.
    :param outcome: The outcome that it recorded; none if not known.
    """

    request_id: str
    outcome: Answer | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimFinished:
    """From query to claim: the outcome is known and is to be recorded.

    :param request_id: The caller's request id.
    :param answer: The answer given.
    """

    request_id: str
    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChanged:
    """From configuration to the others: a higher revision is in force.

    :param revision: The revision.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueriesDrained:
    """From query to shutdown: no request is in flight any more."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionClosed:
    """From shutdown to query: new requests are refused from now on."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerAdded:
    """From server to the others: a server, or a new start of it, is known.

    :param server: Name of the server.
    """

    server: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerRemoved:
    """From server to the others: a server is known no longer.

    :param server: Name of the server.
    :param address: ``host:port`` that it served on.
    """

    server: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerLeaving:
    """From leaving to the others: a server gets no new work.

    :param server: Name of the server.
    """

    server: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerReturned:
    """From leaving to the others: a server gets work again.

    :param server: Name of the server.
    """

    server: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SharesReleased:
    """From shutdown to share: no connection is needed any more."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SharesClosed:
    """From share to shutdown: every connection is closed, peers are told."""


InternalEvent = (
    ClaimRequested
    | ClaimGranted
    | ClaimRefused
    | ClaimHeld
    | ClaimFinished
    | ConfigurationChanged
    | QueriesDrained
    | AdmissionClosed
    | ServerAdded
    | ServerRemoved
    | ServerLeaving
    | ServerReturned
    | SharesReleased
    | SharesClosed
)

INTERNAL_EVENTS: tuple[type, ...] = (
    ClaimRequested,
    ClaimGranted,
    ClaimRefused,
    ClaimHeld,
    ClaimFinished,
    ConfigurationChanged,
    QueriesDrained,
    AdmissionClosed,
    ServerAdded,
    ServerRemoved,
    ServerLeaving,
    ServerReturned,
    SharesReleased,
    SharesClosed,
)

Event = (
    QueryArrived
    | CallerDisconnected
    | LegReplied
    | LegRefused
    | LegFailed
    | ServerPolled
    | ConnectionShareApplied
    | VmListRead
    | KeyRead
    | KeyWritten
    | KeyConflict
    | StoreCallFailed
    | PeerMessageReceived
    | PeerMessageDropped
    | ShutdownRequested
    | TimerTick
    | RoutingEvent
    | InternalEvent
)
