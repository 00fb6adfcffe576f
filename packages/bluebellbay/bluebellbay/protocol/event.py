"""Events: the inputs of the coordination core.

The transports report the events of ``Event`` that are not also in
``InternalEvent``; the parts of the core send the internal ones to each other.
"""

import dataclasses

from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.leg import LegRefusal
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.leg import ServerReport
from bluebellbay.protocol.peer import PeerEnvelope
from bluebellbay.protocol.process import ShutdownRequested
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.request import QueryRequest
from bluebellbay.protocol.routing import RoutingEvent
from bluebellbay.protocol.vm import VmList


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueryArrived:
    """A caller's request was received.

    :param caller: Unique number of this exchange with the caller.
    :param request: The request.
    """

    caller: int
    request: QueryRequest


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerDisconnected:
    """A caller closed its connection before it was answered.

    :param caller: Number of the exchange with the caller.
    """

    caller: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LegReplied:
    """A backend server replied to a leg.

    :param server: Name of the server that sent the reply.
    :param attempt: Attempt id with which the transport sent the leg.
    :param reply: The reply; its attempt id is unchecked and may differ.
    """

    server: str
    attempt: str
    reply: LegReply


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LegRefused:
    """A backend server refused a leg before executing it.

    :param server: Name of the server that sent the refusal.
    :param attempt: Attempt id with which the transport sent the leg.
    :param refusal: The refusal; its attempt id is unchecked and may differ.
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
    :param expired: Whether the transport did not send the leg because it had
        expired.
    :param reason: Short description of the failure.
    """

    server: str
    attempt: str
    sent: bool
    expired: bool = False
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerPolled:
    """A read of a backend server's health endpoint succeeded or failed.

    :param server: Name of the server.
    :param report: The response; none if the read failed.
    """

    server: str
    report: ServerReport | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionShareApplied:
    """The open connections to a server no longer exceed the last limit set.

    :param server: Name of the server.
    :param limit: The limit, as set by ``SetConnectionShare``.
    """

    server: str
    limit: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmListRead:
    """The platform's list of VMs was read."""

    vm_list: VmList


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyRead:
    """The store answered a read or a watch.

    :param correlation_id: Correlation id of the command.
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
    """A compare-and-swap succeeded.

    :param correlation_id: Correlation id of the command.
    :param key: The key.
    :param version: The new version.
    """

    correlation_id: str
    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyConflict:
    """A compare-and-swap failed because the key had another version.

    :param correlation_id: Correlation id of the command.
    :param key: The key.
    :param value: The current value; none if the key is absent.
    :param version: The current version; 0 if absent.
    """

    correlation_id: str
    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreCallFailed:
    """A store call failed, or its response was lost.

    :param correlation_id: Correlation id of the command.
    :param key: The key.
    :param sent: False only if the command certainly had no effect.
    """

    correlation_id: str
    key: str
    sent: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerMessageReceived:
    """A well-formed message was received from a peer.

    :param envelope: The message and its sender.
    """

    envelope: PeerEnvelope


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerMessageDropped:
    """A message from a peer could not be decoded and was dropped.

    :param reason: Description of the error.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequested:
    """From query to claim: a request must be claimed before it is sent.

    :param request_id: The caller's request id.
    :param expires_at: Unix time in seconds after which the request must not
        start.
    :param deadline: Time in seconds at which the answer is due.
    """

    request_id: str
    expires_at: float
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimGranted:
    """From claim to query: only this node may send the request, once.

    :param request_id: The caller's request id.
    """

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRefused:
    """From claim to query: the claim could not be stored.

    No leg of the request was sent, and none may be.

    :param request_id: The caller's request id.
    """

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimHeld:
    """From claim to query: another attempt holds the claim.

    :param request_id: The caller's request id.
    :param outcome: The outcome that this attempt recorded; none if unknown.
    """

    request_id: str
    outcome: Answer | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimFinished:
    """From query to claim: the outcome is known and must be recorded.

    :param request_id: The caller's request id.
    :param answer: The answer to the caller.
    """

    request_id: str
    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChanged:
    """From configuration to all parts: a newer revision is in force.

    :param revision: The newer revision.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueriesDrained:
    """From query to shutdown: no requests are in flight any more."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionClosed:
    """From shutdown to query: refuse new requests from now on."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerAdded:
    """From server to all parts: a server was added or has restarted.

    :param server: Name of the server.
    """

    server: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerRemoved:
    """From server to all parts: a server or its former address was removed.

    :param server: Name of the server.
    :param address: ``host:port`` that the server listened on.
    """

    server: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerLeaving:
    """From leaving to all parts: a server is leaving and gets no new work.

    :param server: Name of the server.
    """

    server: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerReturned:
    """From leaving to all parts: a server gets new work again.

    :param server: Name of the server.
    """

    server: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SharesReleased:
    """From shutdown to share: the connections can be closed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SharesClosed:
    """From share to shutdown: all connections are closed, peers notified."""


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
