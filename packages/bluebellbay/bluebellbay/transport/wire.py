"""The abstract base classes of the ways to write routed requests."""

import abc
import dataclasses

from bluebellbay.protocol.exchange import ExchangeAnswer
from bluebellbay.protocol.exchange import RefusalKind
from bluebellbay.protocol.exchange import ReplicaReply
from bluebellbay.protocol.exchange import RoutedRequest
from bluebellbay.protocol.exchange import SendAttempt
from bluebellbay.transport.connection import CallAnswered
from bluebellbay.transport.connection import Header


class MalformedRequest(Exception):
    """A caller's request lacks something that it must have."""


class ProbeRequest(Exception):
    """A request only asks whether this node can be reached."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestHead:
    """The head of a caller's request.

    :param method: HTTP method.
    :param target: Path and query.
    :param headers: Names in lower case, and values, in order.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]


class EntryWire(abc.ABC):
    """Reads requests and writes their answers."""

    @abc.abstractmethod
    def read_request(self, head: RequestHead, body: bytes) -> RoutedRequest:
        """Read a caller's request.

        :param head: Its head.
        :param body: Its whole body.
        :returns: The request.
        :raises MalformedRequest: If it can't be passed on.
        :raises ProbeRequest: If it is to be answered at once, without body.
        """

    @abc.abstractmethod
    def write_answer(self, answer: ExchangeAnswer, *, close: bool) -> bytes:
        """Write the answer to a caller.

        :param answer: The answer.
        :param close: Whether the connection is closed after it.
        :returns: Head and body.
        """

    @abc.abstractmethod
    def write_refusal(self, status: int) -> bytes:
        """Write the answer to a request that can't be read.

        :param status: HTTP status.
        :returns: Head and body; the connection is closed after it.
        """


class ReplicaWire(abc.ABC):
    """Writes requests to replicas and reads their answers."""

    @abc.abstractmethod
    def write_attempt(self, command: SendAttempt, left_s: float) -> bytes:
        """Write a request to a replica.

        :param command: The attempt.
        :param left_s: Seconds until the replica stops its work.
        :returns: Head and body.
        """

    @abc.abstractmethod
    def is_reply_to(
        self, headers: tuple[Header, ...], request: RoutedRequest
    ) -> bool:
        """Say whether a replica's answer is to a request.

        :param headers: Headers of the answer.
        :param request: The request.
        """

    @abc.abstractmethod
    def read_reply(self, answer: CallAnswered) -> ReplicaReply | RefusalKind:
        """Read a replica's answer.

        :param answer: The answer.
        :returns: The reply, or why the request did not run.
        """
