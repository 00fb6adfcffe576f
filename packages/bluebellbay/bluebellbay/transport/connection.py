"""One persistent HTTP connection to a server, which runs a call at a time."""

from collections.abc import Callable
import dataclasses
from typing import Any

import httptools
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

MAX_BODY_BYTES = 16_777_216


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallAnswered:
    """A call was answered with a whole body.

    :param status: HTTP status.
    :param body: The body.
    """

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallFailed:
    """A call ended without a whole answer.

    :param sent: False only if no byte of the call was written.
    :param expired: Whether it was held back as expired.
    :param reason: One short phrase.
    """

    sent: bool
    expired: bool = False
    reason: str


CallEnd = CallAnswered | CallFailed


class Connection(Protocol):
    """Writes a request and reads its answer, one after the other.

    An answer is whole only if its length is stated and has arrived: a body
    that ends with the connection can't be told from one that is cut short.

    :param free: Told when the connection can run another call.
    :param lost: Told when the connection is closed.
    """

    transport: Any

    def __init__(
        self,
        *,
        free: Callable[["Connection"], None],
        lost: Callable[["Connection"], None],
    ) -> None:
        self._free = free
        self._lost = lost
        self._parser = httptools.HttpResponseParser(self)
        self._report: Callable[[CallEnd], None] | None = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._whole = False
        self._keep_alive = False

    def run_call(
        self, request: bytes, report: Callable[[CallEnd], None]
    ) -> None:
        """Write a request.

        :param request: The whole request, head and body.
        :param report: Told once how the call ended.
        """
        self._report = report
        self._chunks.clear()
        self._size = 0
        self.transport.write(request)

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body; called by the parser.

        :param body: The piece.
        """
        self._size += len(body)
        if self._size <= MAX_BODY_BYTES:
            self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Note that the answer is whole; called by the parser."""
        self._whole = True
        self._keep_alive = self._parser.should_keep_alive()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse what arrived.

        :param data: The bytes.
        """
        if self._report is None:
            self.transport.abortConnection()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail("answer not HTTP")
            return
        if self._size > MAX_BODY_BYTES:
            self._fail("answer too large")
        elif self._whole:
            self._whole = False
            self._finish()

    def connectionLost(  # noqa: N802
        self, reason: Failure | None = None
    ) -> None:
        """Fail the call under way, and tell that the connection is closed.

        :param reason: Why it closed.
        """
        del reason
        self._lost(self)
        self._end(CallFailed(sent=True, reason="answer cut short"))

    def _finish(self) -> None:
        answer = CallAnswered(
            status=self._parser.get_status_code(),
            body=b"".join(self._chunks),
        )
        if self._keep_alive:
            self._free(self)
        else:
            self.transport.loseConnection()
        self._end(answer)

    def _fail(self, reason: str) -> None:
        self.transport.abortConnection()
        self._end(CallFailed(sent=True, reason=reason))

    def _end(self, end: CallEnd) -> None:
        report, self._report = self._report, None
        if report is not None:
            report(end)
