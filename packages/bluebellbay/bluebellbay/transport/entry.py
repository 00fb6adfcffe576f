"""HTTP/1.1 server connections for routed requests, strictly validated.

The requests of a connection are run one at a time.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
from typing import Any

import httptools
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import ServerFactory
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from bluebellbay.protocol.exchange import ExchangeAbandoned
from bluebellbay.protocol.exchange import ExchangeAnswer
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.quota import QuotaAnswer
from bluebellbay.protocol.quota import QuotaAsk
from bluebellbay.protocol.quota import QuotaAsked
from bluebellbay.protocol.rate_permit import PermitAnswer
from bluebellbay.protocol.rate_permit import PermitAsk
from bluebellbay.protocol.rate_permit import PermitAsked
from bluebellbay.protocol.route import CallerLimits
from bluebellbay.transport._address import parse_address
from bluebellbay.transport._listening import accept_waiting
from bluebellbay.transport._listening import DRAIN_READ_DELAY_S
from bluebellbay.transport._request_head import BAD_REQUEST
from bluebellbay.transport._request_head import BODY_TOO_LARGE
from bluebellbay.transport._request_head import HEADERS_TOO_LARGE
from bluebellbay.transport._request_head import RejectedRequest
from bluebellbay.transport._request_head import REQUEST_TIMEOUT
from bluebellbay.transport._request_head import validate_head
from bluebellbay.transport._tcp_info import acknowledge_at_once
from bluebellbay.transport._tcp_info import read_round_trip
from bluebellbay.transport.connection import Header
from bluebellbay.transport.wire import EntryWire
from bluebellbay.transport.wire import MalformedRequest
from bluebellbay.transport.wire import ProbeRequest
from bluebellbay.transport.wire import RequestHead
from bluebellbay.transport.wire import RoutingEventHandler

TIMEOUT_CHECK_INTERVAL_S = 0.5
# A connection with more pipelined requests than this is rejected.
MAX_PIPELINED_REQUESTS = 8
ACCEPT_BACKLOG = 512
BODY_TIMEOUT_S = 10.0
# A first request that is read within this time of the accept was sent when the
# connection was opened.
MAX_FIRST_READ_DELAY_S = 0.05
EXPECT_CONTINUE = b"100-continue"
PROBE_RESPONSE = b"HTTP/1.1 204 No Content\r\n\r\n"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _ParsedRequest:
    head: RequestHead
    body: bytes
    keep_alive: bool
    age_s: float
    return_s: float


class CallerConnection(Protocol):
    """Reads requests, and runs the next one once the last is answered.

    :param entry: Listener that accepted the connection.
    """

    transport: Any

    def __init__(self, *, entry: "EntryListener") -> None:
        self._entry = entry
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: list[_ParsedRequest] = []
        self._exchange: int | None = None
        self._keep_alive = True
        self._closing = False
        self._answered_count = 0
        self._accepted_at = entry.now()
        self._last_active_at = self._accepted_at
        self._round_trip_s = 0.0
        self._request_started_at: float | None = None
        self._reset_request()

    @property
    def idle(self) -> bool:
        """Whether no request is being read or run."""
        return self._exchange is None and self._request_started_at is None

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection with its listener."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self._round_trip_s = read_round_trip(self.transport.getHandle())
        self._entry.connections.add(self)

    def connectionLost(  # noqa: N802
        self, reason: Failure | None = None
    ) -> None:
        """Report the request under way as abandoned.

        :param reason: Why the connection closed.
        """
        del reason
        self._closing = True
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            self._entry.abandon_exchange(exchange)
        self._entry.remove_connection(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes, and run the next complete request.

        :param data: The bytes.
        """
        if self._closing:
            return
        if self._entry.acknowledges_at_once:
            acknowledge_at_once(self.transport.getHandle())
        self._last_active_at = self._entry.now()
        if self._request_started_at is None:
            self._request_started_at = self._last_active_at
        if not self._in_body:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
            if (
                not self._in_body
                and self._head_bytes > self._limits.header_bytes
            ):
                raise RejectedRequest(HEADERS_TOO_LARGE)
        except RejectedRequest as rejected:
            self._reject(rejected.status)
            return
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._reject(_find_rejection_status(error))
            return
        if len(self._waiting) > MAX_PIPELINED_REQUESTS:
            self._reject(BAD_REQUEST)
            return
        self._serve_next()

    def on_message_begin(self) -> None:
        """Reset the state for a new request; called by the parser."""
        self._reset_request()
        if self._request_started_at is None:
            self._request_started_at = self._entry.now()

    def on_url(self, url: bytes) -> None:
        """Store a chunk of the target; called by the parser.

        :param url: The chunk.
        """
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; called by the parser.

        :param name: Name as received.
        :param value: Value as received.
        """
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Validate the head; called by the parser.

        :raises RejectedRequest: If the head is invalid or over a limit.
        """
        validate_head(self._headers, bytes(self._target), self._limits)
        self._in_body = True
        self._head_bytes = 0
        self._body_awaited = _expects_continue(self._headers)
        self._invite_body()

    def on_body(self, body: bytes) -> None:
        """Store a chunk of the body; called by the parser.

        :param body: The chunk.
        :raises RejectedRequest: If the body is over its limit.
        """
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.body_bytes:
            raise RejectedRequest(BODY_TOO_LARGE)
        self._body_awaited = False
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Queue the complete request; called by the parser."""
        self._body_awaited = False
        now = self._entry.now()
        started_at = (
            self._request_started_at
            if self._request_started_at is not None
            else now
        )
        return_s = self._round_trip_s / 2
        age_s = now - started_at + return_s
        if self._is_first_on_connection(started_at):
            age_s = now - self._accepted_at + return_s
            if self._entry.counts_connecting:
                age_s += self._round_trip_s
        self._waiting.append(
            _ParsedRequest(
                head=RequestHead(
                    method=self._parser.get_method(),
                    target=bytes(self._target),
                    headers=tuple(self._headers),
                ),
                body=b"".join(self._chunks),
                keep_alive=self._parser.should_keep_alive(),
                age_s=age_s,
                return_s=return_s,
            )
        )
        self._request_started_at = None
        self._in_body = False
        self._head_bytes = 0

    def answer(
        self, answer: ExchangeAnswer | QuotaAnswer | PermitAnswer
    ) -> None:
        """Write the answer, and run the next request or close.

        :param answer: Answer to the request under way.
        """
        self._exchange = None
        self._answered_count += 1
        self._last_active_at = self._entry.now()
        close = not self._keep_alive or not (
            self._entry.keep_alive or self._has_further_request
        )
        try:
            encoded = self._entry.wire.encode_answer(answer, close=close)
        except Exception:
            # The caller must not wait for an answer that can't be written.
            self._abort()
            raise
        self._write(encoded)
        if close:
            self._close()
            return
        self._serve_next()

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it is idle or reading for too long.

        A request that takes too long to arrive is rejected with status 408.

        :param now: Reactor time in seconds.
        """
        if self._exchange is not None or self._closing:
            return
        if self._request_started_at is None:
            if now - self._last_active_at > self._limits.idle_timeout_s:
                self._close()
            return
        limit_s = self._limits.header_timeout_s
        if self._in_body:
            limit_s = BODY_TIMEOUT_S
        if now - self._request_started_at > limit_s:
            self._reject(REQUEST_TIMEOUT)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or run."""
        if self.idle:
            self._close()

    @property
    def _limits(self) -> CallerLimits:
        return self._entry.limits

    @property
    def _has_further_request(self) -> bool:
        return bool(self._waiting) or self._request_started_at is not None

    def _invite_body(self) -> None:
        # Before the answers to earlier requests it would be taken for a part
        # of those.
        if self._body_awaited and self._exchange is None and not self._waiting:
            self._body_awaited = False
            self._write(CONTINUE_RESPONSE)

    def _reset_request(self) -> None:
        self._target = bytearray()
        self._headers: list[Header] = []
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._in_body = False
        self._body_awaited = False

    def _is_first_on_connection(self, started_at: float) -> bool:
        return (
            not self._answered_count
            and not self._waiting
            and started_at - self._accepted_at <= MAX_FIRST_READ_DELAY_S
        )

    def _serve_next(self) -> None:
        if self._exchange is not None or self._closing:
            return
        if not self._waiting:
            self._invite_body()
            return
        parsed = self._waiting.pop(0)
        self._keep_alive = parsed.keep_alive
        try:
            request = self._entry.wire.decode_request(parsed.head, parsed.body)
        except MalformedRequest:
            self._reject(BAD_REQUEST)
            return
        except ProbeRequest:
            self._answer_probe()
            return
        self._exchange = self._entry.open_exchange(self)
        if isinstance(request, QuotaAsk):
            self._entry.report(
                QuotaAsked(exchange=self._exchange, ask=request)
            )
            return
        if isinstance(request, PermitAsk):
            self._entry.report(
                PermitAsked(exchange=self._exchange, ask=request)
            )
            return
        self._entry.report(
            ExchangeOpened(
                exchange=self._exchange,
                request=request,
                age_s=parsed.age_s,
                return_s=parsed.return_s,
            )
        )

    def _answer_probe(self) -> None:
        self._answered_count += 1
        self._write(PROBE_RESPONSE)
        if not self._keep_alive:
            self._close()
            return
        self._serve_next()

    def _reject(self, status: int) -> None:
        self._waiting.clear()
        if self._exchange is not None:
            exchange, self._exchange = self._exchange, None
            self._entry.abandon_exchange(exchange)
        self._entry.count_rejected(status)
        self._write(self._entry.wire.encode_rejection(status))
        self._close()

    def _write(self, data: bytes) -> None:
        self.transport.write(data)

    def _close(self) -> None:
        self._closing = True
        self.transport.loseConnection()

    def _abort(self) -> None:
        self._closing = True
        self.transport.abortConnection()


def _find_rejection_status(error: Exception) -> int:
    # The parser wraps exceptions raised in its callbacks.
    cause = error.__context__
    if isinstance(cause, RejectedRequest):
        return cause.status
    return BAD_REQUEST


def _expects_continue(headers: list[Header]) -> bool:
    return any(
        name == b"expect" and value.lower() == EXPECT_CONTINUE
        for name, value in headers
    )


class _Factory(ServerFactory):
    noisy = False

    def __init__(self, *, entry: "EntryListener") -> None:
        self._entry = entry

    def buildProtocol(self, addr: Any) -> CallerConnection:  # noqa: N802
        del addr
        return CallerConnection(entry=self._entry)


class EntryListener:
    """Accepts connections and matches answers to their requests.

    :param reactor: Twisted reactor.
    :param listen: ``host:port`` to listen on.
    :param wire: Decodes requests and encodes answers.
    :param exchange_numbers: Numbers of exchanges, shared by all listeners of a
        node.
    :param report: Called with each event.
    :param count_rejected: Called with the status of each rejected request.
    :param counts_connecting: Whether the age of a connection's first request
        includes the time that the caller took to connect.
    :param acknowledges_at_once: Whether received data is acknowledged without
        the kernel's usual delay, as callers look for it.
    :ivar keep_alive: Whether connections stay open after an answer, if no
        further request has been received on them.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        listen: str,
        wire: EntryWire,
        exchange_numbers: Iterator[int],
        report: RoutingEventHandler,
        count_rejected: Callable[[int], None],
        counts_connecting: bool = True,
        acknowledges_at_once: bool = False,
    ) -> None:
        self.counts_connecting = counts_connecting
        self.acknowledges_at_once = acknowledges_at_once
        self.connections: set[CallerConnection] = set()
        self.limits = CallerLimits()
        self.wire = wire
        self.report = report
        self.count_rejected = count_rejected
        self.keep_alive = True
        self._reactor = reactor
        self._listen = listen
        self._port: Any = None
        self._drained: Deferred[None] | None = None
        self._idle_closed = False
        self._exchange_numbers = exchange_numbers
        self._open_exchanges: dict[int, CallerConnection] = {}
        self._timeout_checker = LoopingCall(self._check_timeouts)
        self._timeout_checker.clock = reactor

    @property
    def port(self) -> int:
        """TCP port that is listened on; known once started."""
        return int(self._port.getHost().port)

    def now(self) -> float:
        """Return the reactor's time in seconds."""
        return float(self._reactor.seconds())

    def start(self) -> None:
        """Listen, and check connections for time-outs from now on."""
        address = parse_address(self._listen)
        self._port = self._reactor.listenTCP(
            address.port,
            _Factory(entry=self),
            backlog=ACCEPT_BACKLOG,
            interface=address.host,
        )
        self._timeout_checker.start(TIMEOUT_CHECK_INTERVAL_S, now=False)

    def open_exchange(self, connection: CallerConnection) -> int:
        """Register a request to be answered.

        :param connection: Connection to write the answer to.
        :returns: Number of the new exchange.
        """
        exchange = next(self._exchange_numbers)
        self._open_exchanges[exchange] = connection
        return exchange

    def abandon_exchange(self, exchange: int) -> None:
        """Report that a caller has left, unless the exchange is answered.

        :param exchange: Number of the exchange.
        """
        if self._open_exchanges.pop(exchange, None) is not None:
            self.report(ExchangeAbandoned(exchange=exchange))

    def answer(
        self, answer: ExchangeAnswer | QuotaAnswer | PermitAnswer
    ) -> None:
        """Answer an exchange; ignored if its caller has left.

        :param answer: The answer with the number of its exchange.
        """
        connection = self._open_exchanges.pop(answer.exchange, None)
        if connection is not None:
            connection.answer(answer)

    def remove_connection(self, connection: CallerConnection) -> None:
        """Forget a connection that has closed.

        :param connection: The connection.
        """
        self.connections.discard(connection)
        self._report_if_drained()

    def drain(self) -> Deferred[None]:
        """Stop listening, and close each connection after its last answer.

        Connections that wait to be accepted are accepted first. All requests
        received so far are still reported, also those received in part.

        :returns: Fires once all connections are closed.
        """
        if self._drained is not None:
            return self._drained
        self._drained = Deferred()
        self.keep_alive = False
        accept_waiting(self._port, lambda: len(self.connections))
        self._port.stopListening()
        self._reactor.callLater(DRAIN_READ_DELAY_S, self._finish_drain)
        return self._drained

    def stop(self) -> None:
        """Stop listening, and close idle connections."""
        if self._timeout_checker.running:
            self._timeout_checker.stop()
        if self._port is not None:
            self._port.stopListening()
        self._close_idle()

    def _finish_drain(self) -> None:
        self._idle_closed = True
        self._close_idle()
        self._report_if_drained()

    def _close_idle(self) -> None:
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def _report_if_drained(self) -> None:
        if not self._idle_closed or self.connections:
            return
        if self._drained is not None and not self._drained.called:
            self._drained.callback(None)

    def _check_timeouts(self) -> None:
        now = self.now()
        for connection in tuple(self.connections):
            connection.check_timeouts(now)
