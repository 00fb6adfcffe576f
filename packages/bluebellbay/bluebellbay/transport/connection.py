"""A persistent HTTP client connection that runs one call at a time."""

from collections.abc import Callable
import dataclasses
import enum
import socket
import time
from typing import Any

import httptools
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from bluebellbay.transport.receive_budget import ReceiveBudget

MAX_BODY_BYTES = 16_777_216
# Bound on bytes in a row that are no part of the body: a head, interim
# responses, responses to other requests, chunk extensions, trailers.
MAX_HEAD_BYTES = 65_536
MAX_HEADERS = 256
# Other numbers are no status of HTTP, whatever the parser takes.
STATUSES = range(100, 600)
FIRST_FINAL_STATUS = 200
# Fewer keys are kept without looking for those that have ended.
MIN_KEYS_TO_FORGET = 64
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# The kernel closes a connection with data unacknowledged for this time.
TCP_USER_TIMEOUT_MS = 2_500

Header = tuple[bytes, bytes]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallAnswered:
    """A complete response was received.

    :param status: HTTP status.
    :param headers: Name and value pairs in order, names in lower case.
    :param body: The whole body.
    :param began_at: Time in seconds when its first byte was received, of the
        reactor's clock.
    """

    status: int
    body: bytes
    headers: tuple[Header, ...] = ()
    began_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallFailed:
    """A call ended without a complete response.

    :param sent: Whether the server may have received the call; false only if
        no byte of it was written.
    :param expired: Whether it was not written because it had expired.
    :param reason: Short description of the cause.
    """

    sent: bool
    expired: bool = False
    reason: str


CallEnd = CallAnswered | CallFailed


class ResponseMatch(enum.Enum):
    """Whether the headers of a response name the request of a call."""

    SAME = "names the request"
    OTHER = "names another request"
    UNNAMED = "names no request"


HeadersMatcher = Callable[[tuple[Header, ...]], ResponseMatch]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseForm:
    """How the response to a call is delimited and recognized.

    :param no_body: Whether responses have no body, as to HEAD.
    :param read_until_close: Whether a body without a length may end with the
        connection. It is complete only if the server closes it cleanly.
    :param match: Decides by its headers whether a response is to this call.
        A response to another call is read and discarded. One that names no
        request is accepted for the first call of a connection only, as it
        can't be told from a late copy of an earlier one.
    :param max_body_bytes: Largest body.
    """

    no_body: bool = False
    read_until_close: bool = False
    match: HeadersMatcher | None = None
    max_body_bytes: int = MAX_BODY_BYTES


DEFAULT_FORM = ResponseForm()


class Connection(Protocol):
    """Writes a request and reads the response before the next request.

    :param free: Called when the connection can run another call.
    :param lost: Called when the connection is closed.
    :param budget: Bounds the bytes that all connections hold.
    :param now: Returns the current time in seconds.
    :ivar received_bytes: Bytes received since the call under way was written.
    :ivar began_at: Time in seconds when the first of them was received.
    """

    transport: Any

    def __init__(
        self,
        *,
        free: Callable[["Connection"], None],
        lost: Callable[["Connection"], None],
        budget: ReceiveBudget,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.idle_since = 0.0
        self.received_bytes = 0
        self.began_at = 0.0
        self._now = now
        self.keep_alive_timeout_s: float | None = None
        self._free = free
        self._lost = lost
        self._parser = httptools.HttpResponseParser(self)
        self._report: Callable[[CallEnd], None] | None = None
        self._form = DEFAULT_FORM
        self._headers: list[Header] = []
        self._chunks: list[bytes] = []
        self._grant = budget.create_grant()
        self._body_bytes = 0
        self._other_bytes = 0
        self._body_grew = False
        self._in_body = False
        self._mismatched = False
        self._calls = 0
        # Keys of the calls, with the time when each is no longer repeated.
        self._keys: dict[bytes, float] = {}
        self._fault = ""
        self._response: CallAnswered | None = None
        self._keep_alive = False
        self._unexpected_data = False

    @property
    def is_usable(self) -> bool:
        """Whether nothing but the responses to its calls was received."""
        return not self._unexpected_data

    def connectionMade(self) -> None:  # noqa: N802
        """Set the socket options by which the kernel detects a dead server."""
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

    def has_carried(self, key: bytes) -> bool:
        """Tell whether a call with a key was written on this connection.

        :param key: The key; empty for calls that have none.
        """
        return key in self._keys

    def note_key(self, key: bytes, *, now: float, until: float) -> None:
        """Remember the key of the next call.

        :param key: The key; empty for calls that have none.
        :param now: Current time in seconds; keys from before are forgotten.
        :param until: Time in seconds from which it is not written again.
        """
        if not key:
            return
        if len(self._keys) >= MIN_KEYS_TO_FORGET:
            self._keys = {
                known: end for known, end in self._keys.items() if end > now
            }
        self._keys[key] = until

    def run_call(
        self,
        request: bytes,
        report: Callable[[CallEnd], None],
        form: ResponseForm = DEFAULT_FORM,
    ) -> None:
        """Write a request.

        The previous call must have ended.

        :param request: The whole request, head and body.
        :param report: Called exactly once, with the result of the call.
        :param form: How the response is delimited and recognized.
        """
        self._report = report
        self._form = form
        self._calls += 1
        self._other_bytes = 0
        self.received_bytes = 0
        self.transport.write(request)

    def on_message_begin(self) -> None:
        """Reset the state for a new response; called by the parser."""
        if self._response is not None:
            self._unexpected_data = True
        self._headers = []
        self._discard_body()
        self._in_body = False
        self._mismatched = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header up to the limit; called by the parser.

        :param name: Name as received.
        :param value: Value as received.
        """
        if len(self._headers) >= MAX_HEADERS:
            self._fault = "response has too many headers"
            return
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check whether the response is to this call; called by the parser."""
        self._in_body = True
        status = self._parser.get_status_code()
        if status not in STATUSES:
            self._fault = self._fault or f"response has no status: {status}"
        elif status >= FIRST_FINAL_STATUS:
            self._check_match()
        if self._form.no_body:
            self._complete_response(keep_alive=False)

    def on_body(self, body: bytes) -> None:
        """Store a chunk of the body up to the limits; called by the parser.

        :param body: The chunk.
        """
        if self._mismatched or self._response is not None:
            return
        self._body_bytes += len(body)
        self._body_grew = True
        if self._body_bytes > self._form.max_body_bytes:
            self._fault = "response body too large"
        elif not self._grant.hold(len(body)):
            self._fault = "node holds too many bytes of responses"
        else:
            self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Complete the response; called by the parser."""
        self._complete_response(keep_alive=self._parser.should_keep_alive())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes; unrequested data aborts the connection.

        :param data: The bytes.
        """
        if self._report is None:
            self._unexpected_data = True
            self.transport.abortConnection()
            return
        if not self.received_bytes:
            self.began_at = self._now()
        self.received_bytes += len(data)
        self._body_grew = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._unexpected_data = True
            self._fault = self._fault or "response is not valid HTTP"
        self._count_other_bytes(len(data))
        if self._response is not None:
            self._deliver_response()
        elif self._fault:
            self._fail(self._fault)

    def connectionLost(  # noqa: N802
        self, reason: Failure | None = None
    ) -> None:
        """Report the close, and end the call under way.

        :param reason: Why the connection closed.
        """
        self._lost(self)
        closed_cleanly = reason is not None and reason.check(ConnectionDone)
        if closed_cleanly and self._is_delimited_by_close():
            self._report_end(self._build_response())
            return
        self._report_end(
            CallFailed(
                sent=True,
                reason="connection closed before a complete response",
            )
        )

    def _check_match(self) -> None:
        if self._form.match is None or self._response is not None:
            return
        match = self._form.match(tuple(self._headers))
        if match is ResponseMatch.OTHER:
            self._mismatched = True
        elif match is ResponseMatch.UNNAMED and self._calls > 1:
            self._fault = "response names no request"

    def _count_other_bytes(self, size: int) -> None:
        self._other_bytes = 0 if self._body_grew else self._other_bytes + size
        if self._other_bytes > MAX_HEAD_BYTES:
            self._fault = self._fault or "response head too large"

    def _is_delimited_by_close(self) -> bool:
        if (
            not self._form.read_until_close
            or not self._in_body
            or self._mismatched
            or self._fault
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
        if self._fault:
            return
        self._keep_alive = keep_alive
        self._response = self._build_response()

    def _build_response(self) -> CallAnswered:
        return CallAnswered(
            status=self._parser.get_status_code(),
            headers=tuple(self._headers),
            body=b"".join(self._chunks),
            began_at=self.began_at,
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

    def _discard_body(self) -> None:
        self._chunks = []
        self._body_bytes = 0
        self._grant.release()

    def _fail(self, reason: str) -> None:
        self.transport.abortConnection()
        self._report_end(CallFailed(sent=True, reason=reason))

    def _report_end(self, end: CallEnd) -> None:
        self._discard_body()
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
