"""HTTP server for callers, the balancer, metrics and operators."""

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
from bluebellbay.transport._listening import accept_waiting
from bluebellbay.transport._listening import DRAIN_READ_DELAY_S
from bluebellbay.transport.interface import CallerLink
from bluebellbay.transport.interface import EventHandler

JSON_TYPE = "application/json"
MAX_REQUEST_ID_CHARS = 256
# Time at a stop in which requests received in part may be completed.
DRAIN_TIMEOUT_S = 2.0
# A body over its limit is read and discarded up to this size, so that the
# caller receives the answer; beyond it the connection is aborted.
MAX_DISCARDED_BYTES = 16_777_216
HEAD_TIMEOUT_RESPONSE = (
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
    """A request whose body is stored only up to ``body_limit_bytes``."""

    body_limit_bytes = 0
    body_bytes_received = 0

    @property
    def oversized(self) -> bool:
        """Whether the body is over the limit."""
        return self.body_bytes_received > self.body_limit_bytes

    def gotLength(self, length: int | None) -> None:
        """Stop the head timer, as the head has been read.

        :param length: Stated length of the body in bytes, if any.
        """
        super().gotLength(length)
        connection = self._find_connection()
        if connection is not None:
            connection.on_head_received()

    def finish(self) -> None:
        """Re-enable the head timer for the next request, then finish."""
        connection = self._find_connection()
        if connection is not None:
            connection.on_request_finished()
        super().finish()
        if connection is not None:
            connection.close_if_drained()

    def _find_connection(self) -> "_TrackedConnection | None":
        # The channel is gone once the caller has closed the connection.
        channel = self.channel
        transport = channel.transport if channel is not None else None
        if isinstance(transport, _TrackedConnection):
            return transport
        return None

    def handleContentChunk(self, data: bytes) -> None:
        """Store a chunk of the body, or discard it beyond the limit.

        :param data: The chunk.
        """
        self.body_bytes_received += len(data)
        if not self.oversized:
            super().handleContentChunk(data)
            return
        if self.body_bytes_received > MAX_DISCARDED_BYTES:
            self.channel.forceAbortClient()


class _TrackedConnection(ProtocolWrapper):
    """A caller's connection, with a time limit for each request head.

    It notifies its factory when it is closed.
    """

    _in_request = False
    _head_timer: DelayedCall | None = None

    def dataReceived(self, data: bytes) -> None:
        """Start the head timer at the first byte of a request.

        :param data: The received bytes.
        """
        if not self._in_request and self._head_timer is None:
            self._head_timer = self.factory.start_head_timer(
                self._reject_slow_head
            )
        super().dataReceived(data)

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        self._cancel_head_timer()
        super().connectionLost(reason)
        self.factory.on_connection_closed()

    def on_head_received(self) -> None:
        """Stop the head timer until the request is finished."""
        self._in_request = True
        self._cancel_head_timer()

    def on_request_finished(self) -> None:
        """Allow the head timer to start at the next byte."""
        self._in_request = False

    def close_if_drained(self) -> None:
        """Close the connection if it is idle and its listener drains."""
        if (
            self.factory.draining
            and not self._in_request
            and self._head_timer is None
        ):
            self.close()

    def close(self) -> None:
        """Close the connection once its written data is sent."""
        # A producer that stays registered keeps the connection open.
        self.unregisterProducer()
        self.loseConnection()

    def _cancel_head_timer(self) -> None:
        timer, self._head_timer = self._head_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _reject_slow_head(self) -> None:
        self._head_timer = None
        self.write(HEAD_TIMEOUT_RESPONSE)
        self.loseConnection()


class _ConnectionTracker(WrappingFactory):
    """Tracks callers' open connections.

    :param site: Serves the connections.
    :param reactor: Twisted reactor.
    :param head_s: Time limit in seconds for reading a request's head.
    """

    protocol = _TrackedConnection

    def __init__(self, site: Site, *, reactor: Any, head_s: float) -> None:
        super().__init__(site)
        self._reactor = reactor
        self._head_s = head_s
        self._all_closed: Deferred[None] | None = None
        self.draining = False

    def start_head_timer(self, refuse: Callable[[], None]) -> DelayedCall:
        """Start the timer of a request head.

        :param refuse: Called when the time limit has passed.
        :returns: The timer, to be cancelled once the head has been read.
        """
        return cast(DelayedCall, self._reactor.callLater(self._head_s, refuse))

    def drain(self) -> Deferred[None]:
        """Close each connection once its request is answered.

        Those left after ``DRAIN_TIMEOUT_S`` are closed in any case. Written
        data is sent before.

        :returns: Fires once all connections are closed.
        """
        if not self.protocols:
            return succeed(None)
        self._all_closed = Deferred()
        self._reactor.callLater(DRAIN_READ_DELAY_S, self._close_idle)
        self._reactor.callLater(DRAIN_TIMEOUT_S, self._close_all)
        return self._all_closed

    def _close_idle(self) -> None:
        self.draining = True
        for connection in tuple(self.protocols):
            connection.close_if_drained()

    def _close_all(self) -> None:
        for connection in tuple(self.protocols):
            connection.close()

    def on_connection_closed(self) -> None:
        """Complete ``drain`` if no connection is left."""
        if self._all_closed is not None and not self.protocols:
            closed, self._all_closed = self._all_closed, None
            closed.callback(None)


class HttpCallerLink(CallerLink):
    """Serves callers, the balancer, metrics and operators over HTTP.

    :param reactor: Twisted reactor.
    :param listen: ``host:port`` to listen on.
    :param body_limit_bytes: Largest request body in bytes.
    :param head_s: Time limit in seconds for reading a request's head.
    :param report: Called with each event.
    :param record_answer: Called with each answer and its duration in seconds.
    :param read_status: Returns the node's status.
    :param read_configuration: Returns the configuration in force, or ``None``.
    :param read_metrics: Returns the registry of the metrics to publish.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        listen: str,
        body_limit_bytes: int,
        head_s: float,
        report: EventHandler,
        record_answer: Callable[[Answer, float], None],
        read_status: Callable[[], NodeStatus],
        read_configuration: Callable[[], ConfigurationDocument | None],
        read_metrics: Callable[[], CollectorRegistry],
    ) -> None:
        self._reactor = reactor
        self._listen = parse_address(listen)
        self._report = report
        self._record_answer = record_answer
        self._read_status = read_status
        self._read_configuration = read_configuration
        self._read_metrics = read_metrics
        self._healthy = False
        self._last_caller_number = 0
        self._exchanges: dict[int, _Exchange] = {}
        self._port: Any = None
        request_factory = type(
            "_NodeRequest",
            (_LimitedRequest,),
            {"body_limit_bytes": body_limit_bytes},
        )
        site = Site(
            self._build_app().resource(), requestFactory=request_factory
        )
        self._connections = _ConnectionTracker(
            site, reactor=reactor, head_s=head_s
        )

    @property
    def port(self) -> int:
        """TCP port that the server listens on; known once started."""
        return int(self._port.getHost().port)

    def start(self) -> None:
        """Listen for callers."""
        self._port = self._reactor.listenTCP(
            self._listen.port, self._connections, interface=self._listen.host
        )

    def answer(self, *, caller: int, answer: Answer) -> None:
        """Answer a request; ignored if its caller has left.

        :param caller: Number that the request was reported with.
        :param answer: The whole answer.
        """
        exchange = self._exchanges.pop(caller, None)
        if exchange is None:
            return
        self._record_answer(
            answer, self._reactor.seconds() - exchange.started_at
        )
        try:
            rendered = self._render(exchange.request, answer)
        except Exception:
            # The caller must not wait for an answer that can't be written.
            exchange.answered.errback(Failure())
            raise
        exchange.answered.callback(rendered)

    def report_health(self, *, healthy: bool) -> None:
        """Set the health that the balancer is told.

        :param healthy: Whether the node accepts new requests.
        """
        self._healthy = healthy

    def stop(self) -> Deferred[None]:
        """Stop listening, and close connections once their data is sent.

        Connections that wait to be accepted, and requests received in part,
        are served first. To be called after the last answer.

        :returns: Fires once all connections are closed.
        """
        accept_waiting(self._port, lambda: len(self._connections.protocols))
        closed = maybeDeferred(self._port.stopListening)
        return closed.addCallback(lambda _: self._connections.drain())

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
        self._last_caller_number += 1
        caller = self._last_caller_number
        exchange = _Exchange(
            request=request, answered=Deferred(), started_at=started_at
        )
        self._exchanges[caller] = exchange
        request.notifyFinish().addErrback(
            lambda _: self._handle_caller_gone(caller)
        )
        query = _build_request(index, decoded.ok)
        self._report(QueryArrived(caller=caller, request=query))
        return exchange.answered

    def _refuse(
        self, request: Request, kind: NotRunKind, started_at: float
    ) -> bytes:
        answer = build_not_run(kind, prove_not_sent(), request_id="")
        self._record_answer(answer, self._reactor.seconds() - started_at)
        return self._render(request, answer)

    def _handle_caller_gone(self, caller: int) -> None:
        exchange = self._exchanges.pop(caller, None)
        if exchange is not None:
            self._report(CallerDisconnected(caller=caller))

    def _render(self, request: Request, answer: Answer) -> bytes:
        if not self._healthy:
            # Callers then reconnect, and the balancer picks another VM.
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
