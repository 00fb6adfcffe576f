"""Pieces of the HTTP client: a body to send and a body to read."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


@implementer(IBodyProducer)
class BytesProducer:
    """Writes a body that is already in memory.

    :param data: The body.
    """

    def __init__(self, data: bytes) -> None:
        self.length = len(data)
        self._data = data

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the whole body at once.

        :param consumer: Where to write it.
        :returns: Already fired.
        """
        consumer.write(self._data)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing; the body is written already."""

    def resumeProducing(self) -> None:
        """Do nothing; the body is written already."""

    def stopProducing(self) -> None:
        """Do nothing; the body is written already."""


class BodyReader(Protocol):
    """Reads a response body that must be complete.

    :param limit: Largest body in bytes.
    :param report: Told the body, or none if it is cut short or too large.
    """

    def __init__(
        self, *, limit: int, report: Callable[[bytes | None], None]
    ) -> None:
        self._limit = limit
        self._report = report
        self._chunks: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:
        """Keep a piece of the body.

        :param data: The piece.
        """
        self._size += len(data)
        if self._size <= self._limit:
            self._chunks.append(data)
            return
        self._chunks.clear()
        transport: Any = self.transport
        transport.loseConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Report the body.

        :param reason: How the response ended.
        """
        complete = reason is not None and reason.check(ResponseDone)
        if not complete or self._size > self._limit:
            self._report(None)
            return
        self._report(b"".join(self._chunks))
