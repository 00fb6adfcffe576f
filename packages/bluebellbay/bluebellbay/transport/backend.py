"""Legs to backend servers over HTTP, on pooled persistent connections."""

from collections.abc import Callable
import dataclasses
import time
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import gatherResults

from bluebellbay.protocol.codec import decode_json
from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.command import CancelLeg
from bluebellbay.protocol.command import PollServer
from bluebellbay.protocol.command import SendLeg
from bluebellbay.protocol.command import SetConnectionShare
from bluebellbay.protocol.event import ConnectionShareApplied
from bluebellbay.protocol.event import LegFailed
from bluebellbay.protocol.event import LegRefused
from bluebellbay.protocol.event import LegReplied
from bluebellbay.protocol.event import ServerPolled
from bluebellbay.protocol.leg import LegRefusal
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.leg import ServerReport
from bluebellbay.transport.connection import CallEnd
from bluebellbay.transport.connection import CallFailed
from bluebellbay.transport.interface import BackendLink
from bluebellbay.transport.interface import EventHandler
from bluebellbay.transport.pool import ConnectionPool
from bluebellbay.transport.pool import PooledCall

INITIAL_CONNECTION_LIMIT = 0
CONTROL_CALL_TIMEOUT_S = 1.0
MS_PER_S = 1000


class HttpBackendLink(BackendLink):
    """Sends legs as HTTP calls with JSON bodies.

    :param reactor: Twisted reactor.
    :param report: Called with each event.
    :param wall_clock: Returns the current Unix time in seconds.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        report: EventHandler,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._reactor = reactor
        self._report = report
        self._wall_clock = wall_clock
        self._pools: dict[tuple[str, str], ConnectionPool] = {}
        self._legs: dict[str, tuple[ConnectionPool, PooledCall]] = {}

    def send_leg(self, command: SendLeg) -> None:
        """Send a leg; exactly one event reports how it ended.

        :param command: The leg and the server to send it to.
        """
        pool = self._get_pool(command.server, command.address)
        submitted_at = self._reactor.seconds()

        def build_body() -> bytes:
            waited_s = self._reactor.seconds() - submitted_at
            return encode_json(_reduce_deadline(command, waited_s))

        call = PooledCall(
            method=b"POST",
            path=b"/v1/leg",
            build_body=build_body,
            timeout_s=command.timeout_s,
            expires_at=command.leg.expires_at,
            report=lambda end: self._report_leg(command, end),
        )
        self._legs[command.leg.attempt] = (pool, call)
        pool.submit(call)

    def cancel_leg(self, command: CancelLeg) -> None:
        """Cancel a leg.

        A leg that still waits for a connection fails at once as not sent.
        Otherwise the server is asked to cancel it, and the leg's own end is
        reported as usual. Unknown and finished legs are ignored.

        :param command: The attempt and its server.
        """
        found = self._legs.get(command.attempt)
        if found is None:
            return
        pool, call = found
        if pool.withdraw(call):
            return
        body = encode_json({"attempt": command.attempt})
        pool.submit_first(
            PooledCall(
                method=b"POST",
                path=b"/v1/cancel",
                build_body=lambda: body,
                timeout_s=CONTROL_CALL_TIMEOUT_S,
                report=lambda end: None,
            )
        )

    def poll_server(self, command: PollServer) -> None:
        """Request a server's health report; exactly one event follows.

        The event has no report if the call failed or can't be decoded.

        :param command: The server.
        """
        pool = self._get_pool(command.server, command.address)
        pool.submit_first(
            PooledCall(
                method=b"GET",
                path=b"/v1/health",
                timeout_s=CONTROL_CALL_TIMEOUT_S,
                report=lambda end: self._report_poll(command.server, end),
            )
        )

    def set_share(self, command: SetConnectionShare) -> None:
        """Limit the connections to a server, and open some in advance.

        ``ConnectionShareApplied`` is reported once no more connections than
        the limit are open or being opened.

        :param command: The server, the limit and the connections to open.
        """
        pool = self._get_pool(command.server, command.address)
        pool.set_limit(limit=command.limit, warm=command.warm)

    def stop(self) -> Deferred[None]:
        """Close all connections; legs under way fail.

        :returns: Fires once all connections are closed.
        """
        closed = [pool.stop() for pool in self._pools.values()]
        return gatherResults(closed).addCallback(lambda _: None)

    def count_connections(self, server: str) -> int:
        """Count the connections to a server, including those being opened.

        :param server: Name of the server.
        :returns: Number of connections to all addresses of the server.
        """
        return sum(
            pool.size for key, pool in self._pools.items() if key[0] == server
        )

    def _get_pool(self, server: str, address: str) -> ConnectionPool:
        pool = self._pools.get((server, address))
        if pool is None:
            pool = self._pools[server, address] = ConnectionPool(
                reactor=self._reactor,
                address=address,
                limit=INITIAL_CONNECTION_LIMIT,
                report_in_force=lambda limit: self._report(
                    ConnectionShareApplied(server=server, limit=limit)
                ),
                wall_clock=self._wall_clock,
            )
        return pool

    def _report_leg(self, command: SendLeg, end: CallEnd) -> None:
        self._legs.pop(command.leg.attempt, None)
        self._report(_build_leg_event(command, end))

    def _report_poll(self, server: str, end: CallEnd) -> None:
        report = None
        if not isinstance(end, CallFailed) and end.status == 200:
            decoded = decode_json(end.body, ServerReport)
            report = decoded.ok if decoded.is_ok() else None
        self._report(ServerPolled(server=server, report=report))


def _reduce_deadline(command: SendLeg, waited_s: float) -> Any:
    waited_ms = int(waited_s * MS_PER_S)
    if waited_ms == 0:
        return command.leg
    left_ms = max(1, command.leg.deadline_ms - waited_ms)
    return dataclasses.replace(command.leg, deadline_ms=left_ms)


def _build_leg_event(
    command: SendLeg, end: CallEnd
) -> LegReplied | LegRefused | LegFailed:
    server = command.server
    attempt = command.leg.attempt
    if isinstance(end, CallFailed):
        return LegFailed(
            server=server,
            attempt=attempt,
            sent=end.sent,
            expired=end.expired,
            reason=end.reason,
        )
    if end.status == 200:
        reply = decode_json(end.body, LegReply)
        if reply.is_ok():
            return LegReplied(server=server, attempt=attempt, reply=reply.ok)
    if end.status == 409:
        refusal = decode_json(end.body, LegRefusal)
        if refusal.is_ok():
            return LegRefused(
                server=server, attempt=attempt, refusal=refusal.ok
            )
    return LegFailed(
        server=server,
        attempt=attempt,
        sent=True,
        reason=f"unexpected response, status {end.status}",
    )
