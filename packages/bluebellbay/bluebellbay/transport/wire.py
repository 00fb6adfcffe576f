"""Abstract base classes for the wire formats of routed requests."""

import abc
from collections.abc import Callable
import dataclasses

from bluebellbay.protocol.exchange import ExchangeAnswer
from bluebellbay.protocol.exchange import RefusalKind
from bluebellbay.protocol.exchange import ReplicaReply
from bluebellbay.protocol.exchange import RoutedRequest
from bluebellbay.protocol.exchange import SendAttempt
from bluebellbay.protocol.quota import QuotaAnswer
from bluebellbay.protocol.quota import QuotaAsk
from bluebellbay.protocol.rate_permit import PermitAnswer
from bluebellbay.protocol.rate_permit import PermitAsk
from bluebellbay.protocol.replica import ReplicaCondition
from bluebellbay.protocol.replica import UNKNOWN_CONDITION
from bluebellbay.protocol.routing import RoutingEvent
from bluebellbay.transport.connection import CallAnswered
from bluebellbay.transport.connection import Header
from bluebellbay.transport.connection import ResponseMatch

RoutingEventHandler = Callable[[RoutingEvent], None]


class MalformedRequest(Exception):
    """A request is well-formed HTTP but can't be decoded."""


class ProbeRequest(Exception):
    """A request only checks that this node can be reached."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestHead:
    """The head of an HTTP request.

    :param method: HTTP method.
    :param target: Path and query.
    :param headers: Name and value pairs in order, names in lower case.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]


class EntryWire(abc.ABC):
    """Decodes requests and encodes their answers."""

    @abc.abstractmethod
    def decode_request(
        self, head: RequestHead, body: bytes
    ) -> RoutedRequest | QuotaAsk | PermitAsk:
        """Decode a request.

        :param head: Head of the HTTP request.
        :param body: The whole body.
        :returns: The decoded request, or a peer's ask for requests of an
            account.
        :raises MalformedRequest: If it can't be decoded; it is rejected with
            status 400.
        :raises ProbeRequest: If it is to be answered at once with status 204.
        """

    @abc.abstractmethod
    def encode_answer(
        self,
        answer: ExchangeAnswer | QuotaAnswer | PermitAnswer,
        *,
        close: bool,
    ) -> bytes:
        """Encode an answer.

        :param answer: The answer.
        :param close: Whether the connection is closed afterwards.
        :returns: Head and body.
        """

    @abc.abstractmethod
    def encode_rejection(self, status: int) -> bytes:
        """Encode the response to an invalid request.

        :param status: HTTP status.
        :returns: Head and body; the connection is closed afterwards.
        """


class ReplicaWire(abc.ABC):
    """Encodes requests to replicas and decodes their responses."""

    @abc.abstractmethod
    def encode_attempt(self, command: SendAttempt, left_s: float) -> bytes:
        """Encode a request to a replica.

        :param command: The attempt.
        :param left_s: Seconds left until the deadline.
        :returns: Head and body.
        """

    @abc.abstractmethod
    def match_response(
        self, headers: tuple[Header, ...], request: RoutedRequest
    ) -> ResponseMatch:
        """Check by its headers whether a response is to a request.

        :param headers: Headers of the response, names in lower case.
        :param request: The request that was sent.
        :returns: Whether the response names it, another one, or none.
        """

    @abc.abstractmethod
    def decode_reply(self, answer: CallAnswered) -> ReplicaReply | RefusalKind:
        """Decode a replica's response.

        :param answer: The complete response.
        :returns: The reply, or why the replica refused to run the request.
        """

    def decode_condition(
        self, headers: tuple[Header, ...], status: int = 200
    ) -> ReplicaCondition:
        """Decode what a response tells of its replica, be it a refusal.

        :param headers: Headers of the response, names in lower case.
        :param status: HTTP status of the response.
        :returns: The condition; unknown if the wire has no such headers.
        """
        del headers, status
        return UNKNOWN_CONDITION
