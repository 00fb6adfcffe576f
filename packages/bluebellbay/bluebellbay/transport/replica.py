"""Attempts at replicas over HTTP, on pooled persistent connections."""

import dataclasses
from typing import Any

from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol

from bluebellbay.protocol.delegation import ProbeReplica
from bluebellbay.protocol.delegation import ReplicaProbed
from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import AttemptRefused
from bluebellbay.protocol.exchange import AttemptReplied
from bluebellbay.protocol.exchange import CancelAttempt
from bluebellbay.protocol.exchange import RefusalKind
from bluebellbay.protocol.exchange import SendAttempt
from bluebellbay.protocol.registry import CloseReplicaConnections
from bluebellbay.protocol.registry import SetConnectionLimit
from bluebellbay.protocol.replica import ReplicaEntry
from bluebellbay.transport._address import build_endpoint
from bluebellbay.transport.connection import CallAnswered
from bluebellbay.transport.connection import CallEnd
from bluebellbay.transport.connection import ResponseForm
from bluebellbay.transport.pool import ConnectionPool
from bluebellbay.transport.pool import PooledCall
from bluebellbay.transport.receive_budget import ReceiveBudget
from bluebellbay.transport.wire import ReplicaWire
from bluebellbay.transport.wire import RoutingEventHandler

INITIAL_CONNECTION_LIMIT = 1
# A request with an unsafe method can't be repeated if the replica has closed
# the idle connection meanwhile, so it reuses recently active ones only.
UNSAFE_METHOD_MAX_IDLE_S = 0.5
SAFE_METHODS = (b"GET", b"HEAD")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _RunningAttempt:
    pool: ConnectionPool
    call: PooledCall


class ReplicaLink:
    """Sends attempts to replicas.

    :param reactor: Twisted reactor.
    :param wire: Encodes requests and decodes responses.
    :param report: Called with each event.
    """

    def __init__(
        self, *, reactor: Any, wire: ReplicaWire, report: RoutingEventHandler
    ) -> None:
        self._reactor = reactor
        self._wire = wire
        self._report = report
        self._budget = ReceiveBudget()
        self._pools: dict[tuple[str, int, str], ConnectionPool] = {}
        self._running: dict[int, _RunningAttempt] = {}

    def send(self, command: SendAttempt) -> None:
        """Send an attempt; exactly one event reports how it ended.

        :param command: The attempt, its replica and its deadline.
        """
        pool = self._get_pool(command.replica)
        submitted_at = self._reactor.seconds()
        request = command.request

        def build_request() -> bytes:
            waited_s = self._reactor.seconds() - submitted_at
            return self._wire.encode_attempt(
                command, max(0.0, command.deadline_s - waited_s)
            )

        call = PooledCall(
            timeout_s=max(0.001, command.deadline_s),
            report=lambda end: self._report_end(command, end),
            build_request=build_request,
            key=request.request_id.encode(),
            form=ResponseForm(
                no_body=request.method == b"HEAD",
                read_until_close=True,
                match=lambda headers: self._wire.match_response(
                    headers, request
                ),
                max_body_bytes=command.max_body_bytes,
            ),
            max_idle_s=(
                None
                if request.method in SAFE_METHODS
                else UNSAFE_METHOD_MAX_IDLE_S
            ),
        )
        self._running[command.attempt] = _RunningAttempt(pool=pool, call=call)
        pool.submit(call)

    def cancel(self, command: CancelAttempt) -> None:
        """Cancel an attempt; its end is still reported.

        :param command: Names the attempt; ignored if it has ended.
        """
        running = self._running.get(command.attempt)
        if running is not None:
            running.pool.abort(running.call)

    def probe(self, command: ProbeReplica) -> None:
        """Check whether a replica accepts a connection, then close it.

        Exactly one event reports the result.

        :param command: The replica and the time-out.
        """
        endpoint = build_endpoint(
            self._reactor,
            address=command.replica.address,
            timeout_s=command.timeout_s,
        )
        endpoint.connect(Factory.forProtocol(Protocol)).addCallbacks(
            self._report_reachable, self._report_unreachable
        )

    def _report_reachable(self, protocol: Any) -> None:
        protocol.transport.loseConnection()
        self._report(ReplicaProbed(answered=True))

    def _report_unreachable(self, failure: Any) -> None:
        del failure
        self._report(ReplicaProbed(answered=False))

    def set_limit(self, command: SetConnectionLimit) -> None:
        """Limit the connections to a replica.

        :param command: The replica and the limit.
        """
        pool = self._get_pool(command.replica)
        pool.set_limit(limit=command.limit, warm=0)

    def remove_replica(self, command: CloseReplicaConnections) -> None:
        """Drop a replica's pool; its connections close once they are idle.

        :param command: The replica.
        """
        pool = self._pools.pop(_build_pool_key(command.replica), None)
        if pool is not None:
            pool.set_limit(limit=0, warm=0)

    def _get_pool(self, replica: ReplicaEntry) -> ConnectionPool:
        key = _build_pool_key(replica)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = ConnectionPool(
                reactor=self._reactor,
                address=replica.address,
                limit=INITIAL_CONNECTION_LIMIT,
                report_in_force=lambda limit: None,
                budget=self._budget,
            )
        return pool

    def _report_end(self, command: SendAttempt, end: CallEnd) -> None:
        self._running.pop(command.attempt, None)
        number = command.attempt
        if not isinstance(end, CallAnswered):
            self._report(
                AttemptFailed(attempt=number, sent=end.sent, reason=end.reason)
            )
            return
        reply = self._wire.decode_reply(end)
        condition = self._wire.decode_condition(end.headers, end.status)
        if isinstance(reply, RefusalKind):
            self._report(
                AttemptRefused(attempt=number, kind=reply, condition=condition)
            )
            return
        self._report(
            AttemptReplied(attempt=number, reply=reply, condition=condition)
        )


def _build_pool_key(replica: ReplicaEntry) -> tuple[str, int, str]:
    return (replica.replica_id, replica.started_ms, replica.address)
