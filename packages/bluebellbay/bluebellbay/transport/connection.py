"""One persistent HTTP connection to a server, which runs a call at a time."""

from collections.abc import Callable
import dataclasses
import socket
from typing import Any

import httptools
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

MAX_BODY_BYTES = 16_777_216
FIRST_FINAL_STATUS = 200
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Written bytes that are not acknowledged for so long end the connection.
TCP_USER_TIMEOUT_MS = 2_500

Header = tuple[bytes, bytes]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallAnswered:
    """A call was answered with a whole body.

    :param status: HTTP status.
    :param headers: Names in lower case, and values, in order.
    :param body: The body.
    """

    status: int
    body: bytes
    headers: tuple[Header, ...] = ()


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
HeadersPredicate = Callable[[tuple[Header, ...]], bool]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseForm:
    """Which answers a call takes.

    :param bodiless: Whether the method has answers without a body.
    :param until_close: Whether a body may end with its connection. It is
        whole only if the server has closed in order.
    :param belongs: Says by its headers whether an answer is to this call;
        one that is not is read and dropped.
    """

    no_body: bool = False
    read_until_close: bool = False
    matches: HeadersPredicate | None = None


DEFAULT_FORM = ResponseForm()


class Connection(Protocol):
    """Writes a request and reads its answer, one after the other.

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
        self.idle_since = 0.0
        self.keep_alive_timeout_s: float | None = None
        self._free = free
        self._lost = lost
        self._parser = httptools.HttpResponseParser(self)
        self._report: Callable[[CallEnd], None] | None = None
        self._form = DEFAULT_FORM
        self._headers: list[Header] = []
        self._chunks: list[bytes] = []
        self._size = 0
        self._in_body = False
        self._mismatched = False
        self._response: CallAnswered | None = None
        self._keep_alive = False
        self._unexpected_data = False

    def connectionMade(self) -> None:  # noqa: N802
        """Let the kernel find out about a peer that went silent."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        handle = self.transport.getHandle()
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
        ):
            handle.setsockopt(socket.IPPROTO_TCP, option, value)

    def run_call(
        self,
        request: bytes,
        report: Callable[[CallEnd], None],
        form: ResponseForm = DEFAULT_FORM,
    ) -> None:
        """Write a request.

        :param request: The whole request, head and body.
        :param report: Told once how the call ended.
        :param form: Which answers it takes.
        """
        self._report = report
        self._form = form
        self._size = 0
        self.transport.write(request)

    def on_message_begin(self) -> None:
        """Begin an answer; called by the parser."""
        if self._response is not None:
            self._unexpected_data = True
        self._headers = []
        self._chunks = []
        self._size = 0
        self._in_body = False
        self._mismatched = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; called by the parser.

        :param name: Its name.
        :param value: Its value.
        """
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """See whom the answer is for; called by the parser."""
        self._in_body = True
        matches = self._form.matches
        if matches is not None and not matches(tuple(self._headers)):
            self._mismatched = True
        if self._form.no_body:
            self._complete_response(keep_alive=False)

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body; called by the parser.

        :param body: The piece.
        """
        self._size += len(body)
        if self._size <= MAX_BODY_BYTES:
            self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Note that the answer is whole; called by the parser."""
        self._complete_response(keep_alive=self._parser.should_keep_alive())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse what arrived.

        :param data: The bytes.
        """
        if self._report is None:
            self.transport.abortConnection()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._unexpected_data = True
            if self._response is None:
                self._fail("answer not HTTP")
                return
        if self._size > MAX_BODY_BYTES:
            self._fail("answer too large")
        elif self._response is not None:
            self._deliver_response()

    def connectionLost(  # noqa: N802
        self, reason: Failure | None = None
    ) -> None:
        """End the call under way, and tell that the connection is closed.

        :param reason: Why it closed.
        """
        self._lost(self)
        closed_cleanly = reason is not None and reason.check(ConnectionDone)
        if closed_cleanly and self._is_delimited_by_close():
            self._report_end(self._build_response())
            return
        self._report_end(CallFailed(sent=True, reason="answer cut short"))

    def _is_delimited_by_close(self) -> bool:
        if (
            not self._form.read_until_close
            or not self._in_body
            or self._mismatched
        ):
            return False
        names = {name for name, _ in self._headers}
        return not names & {b"content-length", b"transfer-encoding"}

    def _complete_response(self, *, keep_alive: bool) -> None:
        self._in_body = False
        if self._parser.get_status_code() < FIRST_FINAL_STATUS:
            return
        if self._mismatched or self._response is not None:
            self._unexpected_data = True
            return
        self._keep_alive = keep_alive
        self._response = self._build_response()

    def _build_response(self) -> CallAnswered:
        return CallAnswered(
            status=self._parser.get_status_code(),
            headers=tuple(self._headers),
            body=b"".join(self._chunks),
        )

    def _deliver_response(self) -> None:
        answer, self._response = self._response, None
        assert answer is not None  # noqa: S101
        if self._keep_alive and not self._unexpected_data:
            self.keep_alive_timeout_s = _parse_keep_alive_timeout(
                answer.headers
            )
            self._free(self)
        else:
            self.transport.loseConnection()
        self._report_end(answer)

    def _fail(self, reason: str) -> None:
        self.transport.abortConnection()
        self._report_end(CallFailed(sent=True, reason=reason))

    def _report_end(self, end: CallEnd) -> None:
        report, self._report = self._report, None
        if report is not None:
            report(end)


def _parse_keep_alive_timeout(headers: tuple[Header, ...]) -> float | None:
    for name, value in headers:
        if name != b"keep-alive":
            continue
        for item in value.split(b","):
            key, _, seconds = item.strip().partition(b"=")
            if key.lower() == b"timeout" and seconds.strip().isdigit():
                return float(seconds)
    return None
