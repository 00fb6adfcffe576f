"""The queries that peers run in place of this node."""

from typing import TYPE_CHECKING

from bluebellbay.coordination.routing.delegation import Assignment
from bluebellbay.coordination.routing.delegation import Delegation
from bluebellbay.protocol.delegation import CancelDelegation
from bluebellbay.protocol.delegation import DelegateQuery
from bluebellbay.protocol.delegation import WithdrawDelegation

if TYPE_CHECKING:
    from bluebellbay.coordination.routing.context import RoutingContext
    from bluebellbay.coordination.routing.scatter import ScatterRun

REFUSAL_S = 1.0


class DelegationTable:
    """Sends parts of queries to peers, and keeps those under way.

    :param context: What the requests of this node share.
    """

    def __init__(self, *, context: "RoutingContext") -> None:
        self._context = context
        self._under_way: dict[int, Delegation] = {}

    def send(
        self, run: "ScatterRun", assignment: Assignment, now: float
    ) -> Delegation:
        """Let a peer query some shards.

        :param run: The query.
        :param assignment: The peer and the shards.
        :param now: Present time in seconds.
        :returns: The delegation.
        """
        peer = assignment.peer
        delegation = Delegation(
            run=run,
            number=self._context.take_number(),
            assignment=assignment,
            now=now,
        )
        self._under_way[delegation.number] = delegation
        peer.in_flight += 1
        for wake_at in delegation.list_wakes():
            self._context.timers.add(wake_at, delegation)
        self._context.emit(
            DelegateQuery(
                attempt=delegation.number,
                request=run.request,
                peer=peer.entry,
                terms=delegation.build_terms(now),
                deadline_s=run.deadline - now,
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
        delegation = self._under_way.pop(number, None)
        if delegation is not None:
            delegation.peer.in_flight -= 1
            delegation.over = True
        return delegation

    def avoid(self, delegation: Delegation, reason: str, now: float) -> None:
        """Give a peer no queries until it answers a probe.

        :param delegation: The delegation that went wrong.
        :param reason: One short phrase.
        :param now: Present time in seconds.
        """
        peer = delegation.peer
        peer.failed_at = now
        self._context.suspect(peer)
        if peer.suspended_since is not None:
            return
        peer.suspended_since = now
        self._context.log(
            "Avoided a peer.",
            delegation.run.request.request_id,
            peer=peer.entry.name,
            reason=reason,
        )

    def note_refusal(self, delegation: Delegation, now: float) -> None:
        """Give a peer that refuses, as it is about to end, none for a while.

        :param delegation: The delegation that it refused.
        :param now: Present time in seconds.
        """
        delegation.peer.backoff_until = now + REFUSAL_S

    def give_up_peer(self, name: str, now: float) -> None:
        """Wait no longer for the queries that a peer runs.

        :param name: Name of the peer.
        :param now: Present time in seconds.
        """
        for delegation in tuple(self._under_way.values()):
            if delegation.peer.entry.name == name:
                delegation.run.give_up_peer(delegation, now)
