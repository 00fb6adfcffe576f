"""Attempts at replicas over HTTP, on bounded persistent connections."""

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
from bluebellbay.transport.connection import AnswerForm
from bluebellbay.transport.connection import CallAnswered
from bluebellbay.transport.connection import CallEnd
from bluebellbay.transport.interface import Report
from bluebellbay.transport.pool import ConnectionPool
from bluebellbay.transport.pool import PooledCall
from bluebellbay.transport.wire import ReplicaWire

DEFAULT_LIMIT = 1
# A replica that forgets idle connections must not cost a posting.
POSTING_IDLE_S = 0.5
SAFE_METHODS = (b"GET", b"HEAD")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Flight:
    pool: ConnectionPool
    call: PooledCall


class ReplicaLink:
    """Carries attempts to replicas.

    :param reactor: The reactor.
    :param wire: How requests are written.
    :param report: Told each event.
    """

    def __init__(
        self, *, reactor: Any, wire: ReplicaWire, report: Report
    ) -> None:
        self._reactor = reactor
        self._wire = wire
        self._report = report
        self._pools: dict[tuple[str, int, str], ConnectionPool] = {}
        self._flights: dict[int, _Flight] = {}

    def send(self, command: SendAttempt) -> None:
        """Send an attempt; exactly one event reports how it ended.

        :param command: The attempt and its replica.
        """
        pool = self._find_pool(command.replica)
        handed_over_at = self._reactor.seconds()
        request = command.request

        def build_request() -> bytes:
            waited_s = self._reactor.seconds() - handed_over_at
            return self._wire.write_attempt(
                command, max(0.0, command.deadline_s - waited_s)
            )

        call = PooledCall(
            timeout_s=max(0.001, command.deadline_s),
            report=lambda end: self._report_end(command, end),
            build_request=build_request,
            form=AnswerForm(
                bodiless=request.method == b"HEAD",
                until_close=True,
                belongs=lambda headers: self._wire.belongs(headers, request),
            ),
            most_idle_s=(
                None if request.method in SAFE_METHODS else POSTING_IDLE_S
            ),
        )
        self._flights[command.attempt] = _Flight(pool=pool, call=call)
        pool.submit(call)

    def cancel(self, command: CancelAttempt) -> None:
        """Stop an attempt; its end is still reported.

        :param command: The attempt.
        """
        flight = self._flights.get(command.attempt)
        if flight is not None:
            flight.pool.abort(flight.call)

    def probe(self, command: ProbeReplica) -> None:
        """Try a connection to a replica and close it.

        :param command: The replica.
        """
        endpoint = build_endpoint(
            self._reactor,
            address=command.replica.address,
            timeout_s=command.timeout_s,
        )
        endpoint.connect(Factory.forProtocol(Protocol)).addCallbacks(
            self._report_reached, self._report_unreached
        )

    def _report_reached(self, protocol: Any) -> None:
        protocol.transport.loseConnection()
        self._report(ReplicaProbed(answered=True))

    def _report_unreached(self, failure: Any) -> None:
        del failure
        self._report(ReplicaProbed(answered=False))

    def set_limit(self, command: SetConnectionLimit) -> None:
        """Bound the connections to a replica.

        :param command: The replica and the bound.
        """
        pool = self._find_pool(command.replica)
        pool.set_limit(limit=command.limit, warm=0)

    def forget(self, command: CloseReplicaConnections) -> None:
        """Close a replica's connections as they become idle.

        :param command: The replica.
        """
        pool = self._pools.pop(_key(command.replica), None)
        if pool is not None:
            pool.set_limit(limit=0, warm=0)

    def _find_pool(self, replica: ReplicaEntry) -> ConnectionPool:
        key = _key(replica)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = ConnectionPool(
                reactor=self._reactor,
                address=replica.address,
                limit=DEFAULT_LIMIT,
                report_in_force=lambda limit: None,
            )
        return pool

    def _report_end(self, command: SendAttempt, end: CallEnd) -> None:
        self._flights.pop(command.attempt, None)
        number = command.attempt
        if not isinstance(end, CallAnswered):
            self._report(
                AttemptFailed(attempt=number, sent=end.sent, reason=end.reason)
            )
            return
        reply = self._wire.read_reply(end)
        if isinstance(reply, RefusalKind):
            self._report(AttemptRefused(attempt=number, kind=reply))
            return
        self._report(AttemptReplied(attempt=number, reply=reply))


def _key(replica: ReplicaEntry) -> tuple[str, int, str]:
    return (replica.replica_id, replica.started_ms, replica.address)
