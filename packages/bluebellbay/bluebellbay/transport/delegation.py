"""Delegation of queries to other nodes (peers), by HTTP and MessagePack.

A connection carries one query at a time, so that closing it cancels the
query at the peer.
"""

from collections.abc import Callable
from typing import Any

from bluebellbay.protocol.delegation import CancelDelegation
from bluebellbay.protocol.delegation import CheckDelegation
from bluebellbay.protocol.delegation import DelegateQuery
from bluebellbay.protocol.delegation import DelegationUnacknowledged
from bluebellbay.protocol.delegation import PeerProbed
from bluebellbay.protocol.delegation import ProbePeer
from bluebellbay.protocol.delegation import WithdrawDelegation
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.quota import AskLender
from bluebellbay.protocol.rate_permit import AskForPermit
from bluebellbay.protocol.routing import RoutingEvent
from bluebellbay.transport._tcp_info import has_unacknowledged_data
from bluebellbay.transport._tcp_info import read_round_trip
from bluebellbay.transport.connection import CallAnswered
from bluebellbay.transport.connection import CallEnd
from bluebellbay.transport.peer_wire import build_attempt_event
from bluebellbay.transport.peer_wire import build_lender_event
from bluebellbay.transport.peer_wire import build_permit_event
from bluebellbay.transport.peer_wire import encode_permit_ask
from bluebellbay.transport.peer_wire import encode_query
from bluebellbay.transport.peer_wire import encode_quota_ask
from bluebellbay.transport.peer_wire import METHOD
from bluebellbay.transport.peer_wire import PATH
from bluebellbay.transport.peer_wire import PERMIT_PATH
from bluebellbay.transport.peer_wire import PROBE_METHOD
from bluebellbay.transport.peer_wire import PROBE_PATH
from bluebellbay.transport.peer_wire import QUOTA_PATH
from bluebellbay.transport.pool import ConnectionPool
from bluebellbay.transport.pool import PooledCall
from bluebellbay.transport.wire import RoutingEventHandler

MAX_CONNECTIONS = 64
ROUND_TRIPS_UNTIL_LATE = 3


class DelegationLink:
    """Sends queries to peers.

    :param reactor: Twisted reactor.
    :param report: Called with each event.
    """

    def __init__(self, *, reactor: Any, report: RoutingEventHandler) -> None:
        self._reactor = reactor
        self._report = report
        self._pools: dict[str, ConnectionPool] = {}
        self._calls: dict[int, tuple[ConnectionPool, PooledCall]] = {}

    def send(self, command: DelegateQuery) -> None:
        """Send a query; exactly one event reports how it ended.

        :param command: The query, the peer and the deadline in seconds.
        """
        pool = self._get_pool(command.peer)
        submitted_at = self._reactor.seconds()
        call = PooledCall(
            method=METHOD,
            path=PATH,
            build_body=lambda: encode_query(
                command, waited_s=self._reactor.seconds() - submitted_at
            ),
            timeout_s=max(0.001, command.deadline_s),
            report=lambda end: self._report_end(command.attempt, end),
        )
        self._calls[command.attempt] = (pool, call)
        pool.submit(call)

    def withdraw(self, command: WithdrawDelegation) -> None:
        """Cancel a query that still waits for a connection.

        It is then reported as failed and not sent; otherwise it goes on.

        :param command: Names the attempt.
        """
        found = self._calls.get(command.attempt)
        if found is not None:
            pool, call = found
            pool.withdraw(call)

    def check(self, command: CheckDelegation) -> None:
        """Report a query whose data the peer has not acknowledged.

        :param command: Names the attempt.
        """
        found = self._calls.get(command.attempt)
        if found is None or found[1].connection is None:
            return
        handle = found[1].connection.transport.getHandle()
        late_s = ROUND_TRIPS_UNTIL_LATE * read_round_trip(handle)
        if late_s <= command.after_s and has_unacknowledged_data(handle):
            self._report(DelegationUnacknowledged(attempt=command.attempt))

    def ask(self, command: AskLender) -> None:
        """Ask a lender for requests; exactly one event reports the end.

        :param command: The lender, the ask and the time-out.
        """
        body = encode_quota_ask(command.ask)
        self._submit_ask(
            command, QUOTA_PATH, body, build_event=build_lender_event
        )

    def ask_for_permit(self, command: AskForPermit) -> None:
        """Ask a lender for a permit; exactly one event reports the end.

        :param command: The lender, the ask and the time-out.
        """
        body = encode_permit_ask(command.ask)
        self._submit_ask(
            command, PERMIT_PATH, body, build_event=build_permit_event
        )

    def _submit_ask(
        self,
        command: AskLender | AskForPermit,
        path: bytes,
        body: bytes,
        *,
        build_event: Callable[[int, CallEnd], RoutingEvent],
    ) -> None:
        # A request waits for it, so it goes ahead of delegated queries.
        self._get_pool(command.peer).submit_first(
            PooledCall(
                method=METHOD,
                path=path,
                build_body=lambda: body,
                timeout_s=command.timeout_s,
                report=lambda end: self._report(
                    build_event(command.attempt, end)
                ),
            )
        )

    def cancel(self, command: CancelDelegation) -> None:
        """Cancel a query; its end is still reported.

        If it has been written its connection is closed, which also cancels it
        at the peer.

        :param command: Names the attempt.
        """
        found = self._calls.get(command.attempt)
        if found is not None:
            pool, call = found
            pool.abort(call)

    def probe(self, command: ProbePeer) -> None:
        """Check whether a peer can be reached; exactly one event reports it.

        :param command: The peer and the time-out.
        """
        name = command.peer.name
        self._get_pool(command.peer).submit_first(
            PooledCall(
                method=PROBE_METHOD,
                path=PROBE_PATH,
                timeout_s=command.timeout_s,
                report=lambda end: self._report(
                    PeerProbed(
                        name=name, answered=isinstance(end, CallAnswered)
                    )
                ),
            )
        )

    def _get_pool(self, peer: NodeEntry) -> ConnectionPool:
        pool = self._pools.get(peer.address)
        if pool is None:
            pool = self._pools[peer.address] = ConnectionPool(
                reactor=self._reactor,
                address=peer.address,
                limit=MAX_CONNECTIONS,
                report_in_force=lambda limit: None,
            )
        return pool

    def _report_end(self, number: int, end: CallEnd) -> None:
        self._calls.pop(number, None)
        self._report(build_attempt_event(number, end))
