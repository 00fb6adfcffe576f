"""Commands: the outputs of the coordination core."""

import dataclasses

from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.leg import LegRequest
from bluebellbay.protocol.peer import PeerMessage
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import ReportHealth
from bluebellbay.protocol.process import StopProcess
from bluebellbay.protocol.routing import RoutingCommand


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendLeg:
    """Send a leg to a backend server.

    :param server: Name of the server.
    :param address: ``host:port`` of the server.
    :param leg: The leg.
    :param timeout_s: Seconds after which the transport gives up.
    :param profile: Name of the profile that the leg is counted under.
    :param extra: Whether another leg for the same key range may have been
        executed already.
    """

    server: str
    address: str
    leg: LegRequest
    timeout_s: float
    profile: str = ""
    extra: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelLeg:
    """Tell a backend server that a leg is no longer needed.

    The transport still reports how the leg ended.

    :param server: Name of the server.
    :param address: ``host:port`` of the server.
    :param attempt: Attempt id of the leg.
    """

    server: str
    address: str
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerCaller:
    """Answer a caller.

    :param caller: Number of the exchange with the caller.
    :param answer: The answer.
    """

    caller: int
    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PollServer:
    """Read a backend server's health endpoint.

    :param server: Name of the server.
    :param address: ``host:port`` of the server.
    """

    server: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetConnectionShare:
    """Limit the connections of this node to a backend server.

    :param server: Name of the server.
    :param address: ``host:port`` of the server.
    :param limit: Maximum number of connections; 0 closes each once it is
        idle.
    :param warm: Number of connections to open in advance.
    """

    server: str
    address: str
    limit: int
    warm: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadVmList:
    """Read the platform's list of VMs."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadKey:
    """Read a key of the platform's store.

    :param correlation_id: Id that the answering event repeats.
    :param key: The key.
    """

    correlation_id: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteKey:
    """Compare-and-swap a key of the platform's store.

    :param correlation_id: Id that the answering event repeats.
    :param key: The key.
    :param value: The new value; none deletes the key.
    :param expected_version: Version that the key must have; 0 if it must be
        absent.
    """

    correlation_id: str
    key: str
    value: bytes | None
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchKey:
    """Wait until a key's version differs from the known one.

    :param correlation_id: Id that the answering event repeats.
    :param key: The key.
    :param known_version: Latest version known to this node.
    :param timeout_s: Seconds after which the store responds without a change.
    """

    correlation_id: str
    key: str
    known_version: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendPeerMessage:
    """Send a message to a peer, at most once and without confirmation.

    :param peer: Name of the peer.
    :param address: ``host:port`` that the peer listens on.
    :param message: The message.
    """

    peer: str
    address: str
    message: PeerMessage


Command = (
    SendLeg
    | CancelLeg
    | AnswerCaller
    | PollServer
    | SetConnectionShare
    | ReadVmList
    | ReadKey
    | WriteKey
    | WatchKey
    | SendPeerMessage
    | ReportHealth
    | StopProcess
    | LogDecision
    | RoutingCommand
)
