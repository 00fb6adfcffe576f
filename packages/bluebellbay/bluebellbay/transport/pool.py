"""A limited pool of persistent HTTP connections to one server."""

import collections
from collections.abc import Callable
import dataclasses
import time
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from bluebellbay.transport._address import build_endpoint
from bluebellbay.transport.connection import CallEnd
from bluebellbay.transport.connection import CallFailed
from bluebellbay.transport.connection import Connection
from bluebellbay.transport.connection import DEFAULT_FORM
from bluebellbay.transport.connection import ResponseForm
from bluebellbay.transport.receive_budget import ReceiveBudget

CONNECT_TIMEOUT_S = 1.0
# Longest time for which a response may arrive past the time-out of its call.
MAX_TRANSFER_S = 30.0
# A server may close an idle connection slightly before its stated time-out.
KEEP_ALIVE_MARGIN_S = 0.5


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class PooledCall:
    """An HTTP call that waits for, or runs on, a pooled connection.

    ``timer``, ``connection``, ``ended`` and ``seen_bytes`` are set by the
    pool.

    :param method: HTTP method.
    :param path: Path on the server.
    :param timeout_s: Time in seconds from submission to failure.
    :param report: Called exactly once, with the result of the call.
    :param build_body: Builds the body just before it is written.
    :param expires_at: Unix time in seconds from which the call is no longer
        written.
    :param build_request: Builds the whole request just before it is
        written; replaces ``method``, ``path`` and ``build_body``.
    :param form: How the response is delimited and recognized.
    :param max_idle_s: Longest idle time in seconds of a connection that the
        call may be written on.
    :param key: Names what is asked. Calls with the same key are written on
        different connections, as a late copy of the response to one would be
        taken for the response to the next.
    :param stall_s: Time in seconds without a byte after which the call fails
        at last. A call whose response is arriving goes on past ``timeout_s``,
        for ``MAX_TRANSFER_S`` at most; without a value it does not.
    """

    timeout_s: float
    report: Callable[[CallEnd], None]
    method: bytes = b""
    path: bytes = b""
    build_body: Callable[[], bytes] | None = None
    expires_at: float | None = None
    build_request: Callable[[], bytes] | None = None
    form: ResponseForm = DEFAULT_FORM
    max_idle_s: float | None = None
    key: bytes = b""
    stall_s: float | None = None
    timer: DelayedCall | None = None
    connection: Connection | None = None
    ended: bool = False
    seen_bytes: int = 0

    @property
    def received_bytes(self) -> int:
        """Number of bytes of its response received so far."""
        if self.connection is None or self.ended:
            return 0
        return self.connection.received_bytes


class ConnectionPool:
    """Runs calls on a limited number of connections; the others are queued.

    A connection counts towards the limit from the start of the attempt to
    open it until its socket is closed, so that the server never sees more.

    :param reactor: Twisted reactor.
    :param address: ``host:port`` of the server.
    :param limit: Largest number of connections; with 0 no call can start and
        waiting calls fail.
    :param report_in_force: Called with a changed limit once the number of
        connections is within it.
    :param wall_clock: Returns the current Unix time in seconds.
    :param budget: Bounds the bytes of responses that all connections of the
        node hold; without it, of those that this pool holds.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        address: str,
        limit: int,
        report_in_force: Callable[[int], None],
        wall_clock: Callable[[], float] = time.time,
        budget: ReceiveBudget | None = None,
    ) -> None:
        self._reactor = reactor
        self._limit = limit
        self._report_in_force = report_in_force
        self._limit_in_force = True
        self._wall_clock = wall_clock
        self._budget = budget or ReceiveBudget()
        self._endpoint = build_endpoint(
            reactor, address=address, timeout_s=CONNECT_TIMEOUT_S
        )
        self._headers = (
            f"Host: {address}\r\nContent-Type: application/json\r\n".encode()
        )
        self._waiting: collections.deque[PooledCall] = collections.deque()
        self._pending_connects: set[Deferred[Any]] = set()
        self._idle: list[Connection] = []
        self._open: set[Connection] = set()
        self._closing: set[Connection] = set()
        self._all_closed: Deferred[None] | None = None

    @property
    def size(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._open) + len(self._pending_connects)

    def set_limit(self, *, limit: int, warm: int) -> None:
        """Change the limit, and open connections in advance.

        Excess idle connections are closed at once, others after their call.

        :param limit: Largest number of connections.
        :param warm: Number of connections to keep open or opening, as far as
            the limit allows.
        """
        self._limit = limit
        self._limit_in_force = False
        self._close_excess_idle()
        self._run_waiting()
        self._report_limit_if_in_force()
        for _ in range(min(warm, limit) - self.size):
            self._open_connection()

    def submit(self, call: PooledCall) -> None:
        """Run a call as soon as a connection is free, in order of submission.

        :param call: A call that was not submitted before.
        """
        self._enqueue(call, self._waiting.append)

    def submit_first(self, call: PooledCall) -> None:
        """Run a call ahead of those that wait.

        :param call: A call that was not submitted before.
        """
        self._enqueue(call, self._waiting.appendleft)

    def withdraw(self, call: PooledCall) -> bool:
        """Cancel a call that still waits for a connection.

        :param call: A submitted call.
        :returns: Whether it was cancelled; it is reported as not sent then.
        """
        if call.ended or call.connection is not None:
            return False
        self._waiting.remove(call)
        self._end_call(
            call, CallFailed(sent=False, reason="cancelled while waiting")
        )
        return True

    def abort(self, call: PooledCall) -> None:
        """Cancel a call, and close its connection if it has been written.

        The end of the call is reported.

        :param call: A submitted call.
        """
        if self.withdraw(call) or call.connection is None:
            return
        call.connection.transport.abortConnection()

    def stop(self) -> Deferred[None]:
        """Fail all calls and close all connections.

        :returns: Fires once all connections are closed.
        """
        self._limit = 0
        self._fail_waiting("connection pool stopped")
        for attempt in tuple(self._pending_connects):
            attempt.cancel()
        if not self._open:
            return succeed(None)
        self._all_closed = Deferred()
        for connection in tuple(self._open):
            connection.transport.abortConnection()
        return self._all_closed

    def release_connection(self, connection: Connection) -> None:
        """Return a connection to the idle ones after a complete response.

        :param connection: The connection.
        """
        # The caller ends the current call next, which starts waiting calls.
        connection.idle_since = self._reactor.seconds()
        self._idle.append(connection)
        self._close_excess_idle()

    def remove_connection(self, connection: Connection) -> None:
        """Remove a closed connection from the pool.

        :param connection: The connection.
        """
        self._open.discard(connection)
        self._closing.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._all_closed is not None and not self._open:
            all_closed, self._all_closed = self._all_closed, None
            all_closed.callback(None)
        self._run_waiting()
        self._report_limit_if_in_force()

    def _enqueue(
        self, call: PooledCall, enqueue: Callable[[PooledCall], None]
    ) -> None:
        call.timer = self._reactor.callLater(
            call.timeout_s, self._time_out, call
        )
        enqueue(call)
        self._run_waiting()

    def _run_waiting(self) -> None:
        if self._limit == 0:
            self._fail_waiting("connection limit is 0")
            return
        while self._waiting:
            connection = self._pop_reusable(self._waiting[0])
            if connection is None:
                break
            self._write(self._waiting.popleft(), connection)
        needed = min(len(self._waiting), self._limit - len(self._open))
        for _ in range(needed - len(self._pending_connects)):
            self._open_connection()

    def _pop_reusable(self, call: PooledCall) -> Connection | None:
        now = self._reactor.seconds()
        for index in reversed(range(len(self._idle))):
            connection = self._idle[index]
            idle_s = now - connection.idle_since
            if not _is_reusable(call, connection, idle_s):
                del self._idle[index]
                self._close(connection)
            elif not connection.has_carried(call.key):
                return self._idle.pop(index)
        if self._idle and len(self._open) - len(self._closing) >= self._limit:
            # All have carried this call; one makes room for another.
            self._close(self._idle.pop(0))
        return None

    def _close(self, connection: Connection) -> None:
        self._closing.add(connection)
        connection.transport.loseConnection()

    def _fail_waiting(self, reason: str) -> None:
        while self._waiting:
            call = self._waiting.popleft()
            self._end_call(call, CallFailed(sent=False, reason=reason))

    def _report_limit_if_in_force(self) -> None:
        if self._limit_in_force or self.size > self._limit:
            return
        self._limit_in_force = True
        self._report_in_force(self._limit)

    def _close_excess_idle(self) -> None:
        excess = self.size - len(self._closing) - self._limit
        for connection in self._idle[: max(0, excess)]:
            self._idle.remove(connection)
            self._close(connection)

    def _open_connection(self) -> None:
        factory = Factory.forProtocol(
            lambda: Connection(
                free=self.release_connection,
                lost=self.remove_connection,
                budget=self._budget,
                now=self._reactor.seconds,
            )
        )
        attempt = self._endpoint.connect(factory)
        self._pending_connects.add(attempt)
        attempt.addCallbacks(
            self._on_connected,
            self._on_connect_failed,
            (attempt,),
            {},
            (attempt,),
        )

    def _on_connected(self, connection: Any, attempt: Deferred[Any]) -> None:
        self._pending_connects.discard(attempt)
        self._open.add(connection)
        connection.idle_since = self._reactor.seconds()
        self._idle.append(connection)
        self._close_excess_idle()
        self._run_waiting()

    def _on_connect_failed(
        self, failure: Failure, attempt: Deferred[Any]
    ) -> None:
        self._pending_connects.discard(attempt)
        if self._waiting:
            call = self._waiting.popleft()
            reason = f"connection failed: {_format_exception_type(failure)}"
            self._end_call(call, CallFailed(sent=False, reason=reason))
        self._run_waiting()
        self._report_limit_if_in_force()

    def _write(self, call: PooledCall, connection: Connection) -> None:
        request = self._build_request(call)
        if _has_expired(call, self._wall_clock()):
            self._idle.append(connection)
            end = CallFailed(sent=False, expired=True, reason="expired")
            self._end_call(call, end)
            return
        call.connection = connection
        now = self._reactor.seconds()
        connection.note_key(call.key, now=now, until=now + call.timeout_s)
        connection.run_call(
            request, lambda end: self._end_call(call, end), call.form
        )

    def _build_request(self, call: PooledCall) -> bytes:
        if call.build_request is not None:
            return call.build_request()
        body = call.build_body() if call.build_body is not None else b""
        return b"%s %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s" % (
            call.method,
            call.path,
            self._headers,
            len(body),
            body,
        )

    def _time_out(self, call: PooledCall) -> None:
        call.timer = None
        if call.connection is None:
            self._waiting.remove(call)
            self._end_call(
                call,
                CallFailed(
                    sent=False, reason="timed out waiting for a connection"
                ),
            )
            return
        if call.stall_s is not None and self._is_arriving(call):
            call.timer = self._reactor.callLater(
                call.stall_s, self._time_out, call
            )
            return
        connection = call.connection
        self._end_call(call, CallFailed(sent=True, reason="timed out"))
        connection.transport.abortConnection()

    def _is_arriving(self, call: PooledCall) -> bool:
        """Tell whether more of a response came since this was asked last."""
        former, call.seen_bytes = call.seen_bytes, call.received_bytes
        if call.connection is None or call.seen_bytes == former:
            return False
        elapsed_s = self._reactor.seconds() - call.connection.began_at
        return bool(elapsed_s < MAX_TRANSFER_S)

    def _end_call(self, call: PooledCall, end: CallEnd) -> None:
        if call.ended:
            return
        call.ended = True
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
        call.report(end)
        self._run_waiting()


def _is_reusable(
    call: PooledCall, connection: Connection, idle_s: float
) -> bool:
    if not connection.is_usable:
        return False
    if call.max_idle_s is not None and idle_s > call.max_idle_s:
        return False
    limit_s = connection.keep_alive_timeout_s
    return limit_s is None or idle_s < limit_s - KEEP_ALIVE_MARGIN_S


def _has_expired(call: PooledCall, now: float) -> bool:
    return call.expires_at is not None and now >= call.expires_at


def _format_exception_type(failure: Failure) -> str:
    return type(failure.value).__name__
