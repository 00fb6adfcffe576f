"""The queries that peers run in place of this node."""

from typing import TYPE_CHECKING

from bluebellbay.coordination.routing.delegation import Assignment
from bluebellbay.coordination.routing.delegation import Delegation
from bluebellbay.protocol.delegation import CancelDelegation
from bluebellbay.protocol.delegation import DelegateQuery
from bluebellbay.protocol.delegation import WithdrawDelegation

if TYPE_CHECKING:
    from bluebellbay.coordination.routing.context import RoutingContext
    from bluebellbay.coordination.routing.scatter import ScatterTask

REFUSAL_BACKOFF_S = 1.0


class DelegationTable:
    """Sends parts of queries to peers, and keeps those under way.

    :param context: What the requests of this node share.
    """

    def __init__(self, *, context: "RoutingContext") -> None:
        self._context = context
        self._in_flight: dict[int, Delegation] = {}

    def send(
        self, task: "ScatterTask", assignment: Assignment, now: float
    ) -> Delegation:
        """Let a peer query some shards.

        :param task: The query.
        :param assignment: The peer and the shards.
        :param now: Present time in seconds.
        :returns: The delegation.
        """
        peer = assignment.peer
        delegation = Delegation(
            task=task,
            number=self._context.allocate_number(),
            assignment=assignment,
            now=now,
        )
        self._in_flight[delegation.number] = delegation
        peer.in_flight += 1
        for wake_at in delegation.list_wake_times():
            self._context.timers.add(wake_at, delegation)
        self._context.emit(
            DelegateQuery(
                attempt=delegation.number,
                request=task.request,
                peer=peer.entry,
                terms=delegation.build_terms(now),
                deadline_s=task.deadline - now,
            )
        )
        return delegation

    def withdraw(self, delegation: Delegation) -> None:
        """Take a query back from a peer that can't be reached.

        :param delegation: The delegation.
        """
        self._context.emit(WithdrawDelegation(attempt=delegation.number))

    def cancel(self, delegation: Delegation) -> None:
        """Stop a query at a peer.

        :param delegation: The delegation.
        """
        self._context.emit(CancelDelegation(attempt=delegation.number))

    def end(self, number: int) -> Delegation | None:
        """Note that the transport has reported the end of a delegation.

        :param number: Number of the attempt.
        :returns: The delegation, if it was under way.
        """
        delegation = self._in_flight.pop(number, None)
        if delegation is not None:
            delegation.peer.in_flight -= 1
            delegation.ended = True
        return delegation

    def avoid_peer(
        self, delegation: Delegation, reason: str, now: float
    ) -> None:
        """Give a peer no queries until it answers a probe.

        :param delegation: The delegation that went wrong.
        :param reason: One short phrase.
        :param now: Present time in seconds.
        """
        peer = delegation.peer
        peer.failed_at = now
        self._context.suspect(peer)
        if peer.avoided_since is not None:
            return
        peer.avoided_since = now
        self._context.log(
            "Avoided a peer.",
            delegation.task.request.request_id,
            peer=peer.entry.name,
            reason=reason,
        )

    def record_refusal(self, delegation: Delegation, now: float) -> None:
        """Give a peer that refuses, as it is about to end, none for a while.

        :param delegation: The delegation that it refused.
        :param now: Present time in seconds.
        """
        delegation.peer.refused_until = now + REFUSAL_BACKOFF_S

    def abandon_peer(self, name: str, now: float) -> None:
        """Wait no longer for the queries that a peer runs.

        :param name: Name of the peer.
        :param now: Present time in seconds.
        """
        for delegation in tuple(self._in_flight.values()):
            if delegation.peer.entry.name == name:
                delegation.task.abandon_delegation(delegation, now)
