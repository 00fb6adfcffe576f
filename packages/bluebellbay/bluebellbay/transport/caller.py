"""Callers over HTTP, with klein."""

from collections.abc import Callable
import dataclasses
from typing import Annotated
from typing import Any
from typing import cast

from klein import Klein
import msgspec
from prometheus_client import CollectorRegistry
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest
from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred
from twisted.internet.defer import maybeDeferred
from twisted.internet.defer import succeed
from twisted.protocols.policies import ProtocolWrapper
from twisted.protocols.policies import WrappingFactory
from twisted.python.failure import Failure
from twisted.web.server import Request
from twisted.web.server import Site

from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.answer import build_not_run
from bluebellbay.protocol.codec import decode_json
from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.error import NotRunKind
from bluebellbay.protocol.event import CallerDisconnected
from bluebellbay.protocol.event import QueryArrived
from bluebellbay.protocol.key_range import KEY_SPACE_END
from bluebellbay.protocol.proof import prove_not_sent
from bluebellbay.protocol.request import QueryRequest
from bluebellbay.protocol.status import NodeStatus
from bluebellbay.transport._address import parse_address
from bluebellbay.transport.interface import CallerLink
from bluebellbay.transport.interface import Report

JSON_TYPE = "application/json"
MAX_REQUEST_ID_CHARS = 256
# A body over its limit is read to its end up to here, so that the caller
# sees the answer; beyond it the connection is broken.
MAX_DISCARDED_BYTES = 16_777_216
HEAD_TIMED_OUT = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _QueryBody:
    profile: str
    request_id: Annotated[
        str, msgspec.Meta(max_length=MAX_REQUEST_ID_CHARS)
    ] = ""
    query: Any = None
    repeatable: bool = True
    deadline_ms: Annotated[int, msgspec.Meta(ge=1)] | None = None
    expires_at: float | None = None
    key: Annotated[int, msgspec.Meta(ge=0, lt=KEY_SPACE_END)] | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class _Exchange:
    request: Request
    answered: Deferred[bytes]
    started_at: float


class _LimitedRequest(Request):
    """A request whose body is kept only up to a limit."""

    body_limit = 0
    body_size = 0

    @property
    def oversized(self) -> bool:
        """Whether the body is over the limit."""
        return self.body_size > self.body_limit

    def gotLength(self, length: int | None) -> None:
        """Note that the head has been read.

        :param length: Length of the body in bytes, if it is stated.
        """
        super().gotLength(length)
        connection = self._find_connection()
        if connection is not None:
            connection.note_head()

    def finish(self) -> None:
        """Let the next request's head begin, then end this one."""
        connection = self._find_connection()
        if connection is not None:
            connection.note_end()
        super().finish()

    def _find_connection(self) -> "_CountedConnection | None":
        # There is none any more once the caller has gone.
        channel = self.channel
        transport = channel.transport if channel is not None else None
        if isinstance(transport, _CountedConnection):
            return transport
        return None

    def handleContentChunk(self, data: bytes) -> None:
        """Keep a piece of the body, unless there is too much of it.

        :param data: The piece.
        """
        self.body_size += len(data)
        if not self.oversized:
            super().handleContentChunk(data)
            return
        if self.body_size > MAX_DISCARDED_BYTES:
            self.channel.forceAbortClient()


class _CountedConnection(ProtocolWrapper):
    """A caller's connection: it bounds the time until a head is read.

    It tells its factory when it is closed.
    """

    _in_request = False
    _head_limit: DelayedCall | None = None

    def dataReceived(self, data: bytes) -> None:
        """Bound the time of a head from its first byte on.

        :param data: What arrived.
        """
        if not self._in_request and self._head_limit is None:
            self._head_limit = self.factory.call_later(self._refuse)
        super().dataReceived(data)

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        self._stop_limit()
        super().connectionLost(reason)
        self.factory.notice_closed()

    def note_head(self) -> None:
        """Learn that a head has been read."""
        self._in_request = True
        self._stop_limit()

    def note_end(self) -> None:
        """Learn that a request has been answered."""
        self._in_request = False

    def _stop_limit(self) -> None:
        limit, self._head_limit = self._head_limit, None
        if limit is not None and limit.active():
            limit.cancel()

    def _refuse(self) -> None:
        self._head_limit = None
        self.write(HEAD_TIMED_OUT)
        self.loseConnection()


class _ConnectionCounter(WrappingFactory):
    """Knows the callers' connections that are open.

    :param site: Serves them.
    :param reactor: The reactor.
    :param head_s: Longest time in seconds until a request's head is read.
    """

    protocol = _CountedConnection

    def __init__(self, site: Site, *, reactor: Any, head_s: float) -> None:
        super().__init__(site)
        self._reactor = reactor
        self._head_s = head_s
        self._closed: Deferred[None] | None = None

    def call_later(self, refuse: Callable[[], None]) -> DelayedCall:
        """Set the limit of a head that begins now.

        :param refuse: Called unless it is cancelled before.
        """
        return cast(DelayedCall, self._reactor.callLater(self._head_s, refuse))

    def close_all(self) -> Deferred[None]:
        """Close all connections once what was written has left.

        :returns: Fires once they are closed.
        """
        if not self.protocols:
            return succeed(None)
        self._closed = Deferred()
        for connection in tuple(self.protocols):
            # A producer that stays registered keeps the connection open.
            connection.unregisterProducer()
            connection.loseConnection()
        return self._closed

    def notice_closed(self) -> None:
        """Take note that a connection was closed."""
        if self._closed is not None and not self.protocols:
            closed, self._closed = self._closed, None
            closed.callback(None)


class HttpCallerLink(CallerLink):
    """Serves callers, the balancer, metrics and operators over HTTP.

    :param reactor: The reactor.
    :param listen: ``host:port`` to listen on.
    :param body_limit: Largest request body in bytes.
    :param head_s: Longest time in seconds until a request's head is read.
    :param report: Told each event.
    :param observe: Told each answer and the seconds that it took.
    :param read_status: Gives the node's status.
    :param read_configuration: Gives the configuration in force, if any.
    :param read_metrics: Gives the metrics to publish.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        listen: str,
        body_limit: int,
        head_s: float,
        report: Report,
        observe: Callable[[Answer, float], None],
        read_status: Callable[[], NodeStatus],
        read_configuration: Callable[[], ConfigurationDocument | None],
        read_metrics: Callable[[], CollectorRegistry],
    ) -> None:
        self._reactor = reactor
        self._listen = parse_address(listen)
        self._report = report
        self._observe = observe
        self._read_status = read_status
        self._read_configuration = read_configuration
        self._read_metrics = read_metrics
        self._healthy = False
        self._last_caller = 0
        self._exchanges: dict[int, _Exchange] = {}
        self._port: Any = None
        request_factory = type(
            "_NodeRequest", (_LimitedRequest,), {"body_limit": body_limit}
        )
        site = Site(
            self._build_app().resource(), requestFactory=request_factory
        )
        self._connections = _ConnectionCounter(
            site, reactor=reactor, head_s=head_s
        )

    @property
    def port(self) -> int:
        """TCP port that callers are listened for on."""
        return int(self._port.getHost().port)

    def start(self) -> None:
        """Listen for callers."""
        self._port = self._reactor.listenTCP(
            self._listen.port, self._connections, interface=self._listen.host
        )

    def answer(self, *, caller: int, answer: Answer) -> None:
        """Answer one exchange.

        :param caller: Number of the exchange.
        :param answer: The whole answer.
        """
        exchange = self._exchanges.pop(caller, None)
        if exchange is None:
            return
        self._observe(answer, self._reactor.seconds() - exchange.started_at)
        exchange.answered.callback(self._render(exchange.request, answer))

    def report_health(self, *, healthy: bool) -> None:
        """Set what the health endpoint tells the balancer.

        :param healthy: Whether new requests are welcome.
        """
        self._healthy = healthy

    def stop(self) -> Deferred[None]:
        """Stop listening, after the last answer has been written.

        :returns: Fires once everything written has left.
        """
        closed = maybeDeferred(self._port.stopListening)
        return closed.addCallback(lambda _: self._connections.close_all())

    def _build_app(self) -> Klein:
        app = Klein()
        app.route("/v1/query/<index>", methods=["POST"])(self._serve_query)
        app.route("/v1/health", methods=["GET"])(self._serve_health)
        app.route("/v1/status", methods=["GET"])(self._serve_status)
        app.route("/v1/configuration", methods=["GET"])(
            self._serve_configuration
        )
        app.route("/metrics", methods=["GET"])(self._serve_metrics)
        return app

    def _serve_query(
        self, request: Any, index: str
    ) -> bytes | Deferred[bytes]:
        started_at = self._reactor.seconds()
        if request.oversized:
            return self._refuse(request, NotRunKind.BODY_TOO_LARGE, started_at)
        decoded = decode_json(request.content.read(), _QueryBody)
        if decoded.is_error():
            return self._refuse(request, NotRunKind.MALFORMED, started_at)
        self._last_caller += 1
        caller = self._last_caller
        exchange = _Exchange(
            request=request, answered=Deferred(), started_at=started_at
        )
        self._exchanges[caller] = exchange
        request.notifyFinish().addErrback(lambda _: self._lose(caller))
        query = _build_request(index, decoded.ok)
        self._report(QueryArrived(caller=caller, request=query))
        return exchange.answered

    def _refuse(
        self, request: Request, kind: NotRunKind, started_at: float
    ) -> bytes:
        answer = build_not_run(kind, prove_not_sent(), request_id="")
        self._observe(answer, self._reactor.seconds() - started_at)
        return self._render(request, answer)

    def _lose(self, caller: int) -> None:
        exchange = self._exchanges.pop(caller, None)
        if exchange is not None:
            self._report(CallerDisconnected(caller=caller))

    def _render(self, request: Request, answer: Answer) -> bytes:
        if not self._healthy:
            # Makes callers open their next connection at another VM.
            request.setHeader("Connection", "close")
        request.setResponseCode(answer.status)
        return _write_body(request, encode_json(answer), JSON_TYPE)

    def _serve_health(self, request: Any) -> bytes:
        request.setResponseCode(200 if self._healthy else 503)
        body = encode_json({"healthy": self._healthy})
        return _write_body(request, body, JSON_TYPE)

    def _serve_status(self, request: Any) -> bytes:
        return _write_body(
            request, encode_json(self._read_status()), JSON_TYPE
        )

    def _serve_configuration(self, request: Any) -> bytes:
        document = self._read_configuration()
        if document is None:
            request.setResponseCode(404)
            return _write_body(request, b"{}", JSON_TYPE)
        return _write_body(request, encode_json(document), JSON_TYPE)

    def _serve_metrics(self, request: Any) -> bytes:
        body = generate_latest(self._read_metrics())
        return _write_body(request, body, CONTENT_TYPE_LATEST)


def _write_body(request: Request, body: bytes, content_type: str) -> bytes:
    request.setHeader("Content-Type", content_type)
    request.setHeader("Content-Length", str(len(body)))
    return body


def _build_request(index: str, body: _QueryBody) -> QueryRequest:
    return QueryRequest(
        request_id=body.request_id,
        index=index,
        profile=body.profile,
        query=body.query,
        repeatable=body.repeatable,
        deadline_ms=body.deadline_ms,
        expires_at=body.expires_at,
        key=body.key,
    )
