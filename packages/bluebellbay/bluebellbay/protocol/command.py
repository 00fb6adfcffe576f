"""Commands: everything that the decision core asks for."""

import dataclasses
from typing import Any

from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.leg import LegRequest
from bluebellbay.protocol.peer import PeerMessage
from bluebellbay.protocol.routing import RoutingCommand


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendLeg:
    """Send a leg to a backend server.

    :param server: Name of the server.
    :param address: ``host:port`` of the server.
    :param leg: The leg.
    :param timeout_s: Time in seconds after which to give up.
    :param profile: Name of the profile that it counts for.
    :param extra: Whether another leg for the same range may have run.
    """

    server: str
    address: str
    leg: LegRequest
    timeout_s: float
    profile: str = ""
    extra: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelLeg:
    """Tell a backend server that a leg is no longer wanted.

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

    :param caller: Number of the exchange.
    :param answer: The whole answer.
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
    """Bound the connections that this node keeps to a server.

    :param server: Name of the server.
    :param address: ``host:port`` of the server.
    :param limit: Most connections at once; 0 closes all of them once idle.
    :param warm: Connections to open before they are needed.
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

    :param ticket: Echoed in the event that answers.
    :param key: The key.
    """

    correlation_id: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteKey:
    """Compare-and-swap a key of the platform's store.

    :param ticket: Echoed in the event that answers.
    :param key: The key.
    :param value: The new value; none deletes the key.
    :param expected_version: Version that must stand; 0 for absent.
    """

    correlation_id: str
    key: str
    value: bytes | None
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchKey:
    """Wait until a key's version differs from the one known.

    :param ticket: Echoed in the event that answers.
    :param key: The key.
    :param known_version: Version already known.
    :param timeout_s: Time in seconds after which the store answers anyway.
    """

    correlation_id: str
    key: str
    known_version: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendPeerMessage:
    """Send a message to a peer, at most once and without waiting.

    :param peer: Name of the peer.
    :param address: ``host:port`` that it receives on.
    :param message: The message.
    """

    peer: str
    address: str
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportHealth:
    """Set what this node's health endpoint tells the balancer.

    :param healthy: False before a configuration is in force and once this
        VM is leaving.
    """

    healthy: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopProcess:
    """End the process; nothing is in flight any more."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogField:
    """One named value of a decision.

    :param name: Name of the value.
    :param value: The value.
    """

    name: str
    value: Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogDecision:
    """Log one decision.

    :param part: The part that decided; the prefix of the line.
    :param sentence: One short sentence.
    :param request_id: The request that it is about, if any.
    :param fields: Values behind the decision.
    """

    part: str
    sentence: str
    request_id: str = ""
    fields: tuple[LogField, ...] = ()


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
