"""Delegations in flight."""

from typing import TYPE_CHECKING

from bluebellbay.coordination.routing.assignment import Assignment
from bluebellbay.coordination.routing.assignment import Remainder
from bluebellbay.coordination.routing.delegation import Delegation
from bluebellbay.protocol.delegation import CancelDelegation
from bluebellbay.protocol.delegation import CheckDelegation
from bluebellbay.protocol.delegation import DelegateQuery
from bluebellbay.protocol.delegation import WithdrawDelegation

if TYPE_CHECKING:
    from bluebellbay.coordination.routing.context import RoutingContext
    from bluebellbay.coordination.routing.scatter import ScatterTask

REFUSAL_BACKOFF_S = 1.0
# Time after which a peer tells what has replied of a query resumed.
RESUMED_WAIT_S = 0.05


class DelegationTable:
    """Sends delegations to peers and tracks those in flight.

    :param context: State and services shared by all requests of the node.
    """

    def __init__(self, *, context: "RoutingContext") -> None:
        self._context = context
        self._in_flight: dict[int, Delegation] = {}

    def send(
        self,
        task: "ScatterTask",
        assignment: Assignment,
        *,
        answers: int,
        repeat: bool = False,
        now: float,
    ) -> Delegation:
        """Delegate shards to a peer.

        :param task: The query.
        :param assignment: The peer and the shards.
        :param answers: Number of peers that shards are delegated to.
        :param repeat: Whether another peer may have queried them before.
        :param now: Current Unix time in seconds.
        """
        return self._send(
            task,
            assignment,
            objective_at=task.objective_at,
            resumes=None,
            answers=answers,
            repeat=repeat,
            now=now,
        )

    def resume(
        self, task: "ScatterTask", remainder: Remainder, now: float
    ) -> Delegation:
        """Ask a peer for shards that were pending when it answered.

        :param task: The query.
        :param remainder: The peer, the shards and the exchange resumed.
        :param now: Current Unix time in seconds.
        """
        return self._send(
            task,
            remainder,
            objective_at=now + RESUMED_WAIT_S,
            resumes=remainder.exchange,
            answers=1,
            repeat=True,
            now=now,
        )

    def _send(
        self,
        task: "ScatterTask",
        assignment: Assignment,
        *,
        objective_at: float,
        resumes: int | None,
        answers: int,
        repeat: bool,
        now: float,
    ) -> Delegation:
        peer = assignment.peer
        delegation = Delegation(
            task=task,
            number=self._context.allocate_number(),
            assignment=assignment,
            objective_at=objective_at,
            resumes=resumes,
            answers=answers,
            repeat=repeat,
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
        """Take a query back unless the transport has begun to write it."""
        self._context.emit(WithdrawDelegation(attempt=delegation.number))

    def check(self, delegation: Delegation, after_s: float) -> None:
        """Check whether a peer has received a query.

        :param after_s: Seconds since the query was written, at least.
        """
        self._context.emit(
            CheckDelegation(attempt=delegation.number, after_s=after_s)
        )

    def find(self, number: int) -> Delegation | None:
        """Return a delegation in flight.

        :param number: Number of the delegation.
        """
        return self._in_flight.get(number)

    def cancel(self, delegation: Delegation, now: float) -> None:
        """Cancel a query at a peer.

        :param delegation: The delegation, whose answer is no longer used.
        :param now: Current Unix time in seconds.
        """
        delegation.record_cancellation(now)
        self._context.emit(CancelDelegation(attempt=delegation.number))

    def end(self, number: int) -> Delegation | None:
        """Remove a delegation whose end the transport has reported.

        :param number: Number of the delegation.
        :returns: The delegation, or ``None`` if it was not in flight.
        """
        delegation = self._in_flight.pop(number, None)
        if delegation is not None:
            delegation.peer.in_flight -= 1
            delegation.ended = True
        return delegation

    def avoid_peer(
        self, delegation: Delegation, reason: str, now: float
    ) -> None:
        """Delegate no queries to a peer until it answers a probe.

        :param delegation: The delegation that failed.
        :param reason: Short phrase for the log.
        :param now: Current Unix time in seconds.
        """
        peer = delegation.peer
        peer.failed_at = now
        self._context.suspect(peer)
        if peer.suspended_since is not None:
            return
        peer.suspended_since = now
        self._context.log(
            "Stopped delegating to a peer whose query failed.",
            delegation.task.request.request_id,
            peer=peer.entry.name,
            reason=reason,
        )

    def record_refusal(self, delegation: Delegation, now: float) -> None:
        """Delegate no queries to a peer for ``REFUSAL_BACKOFF_S``.

        A peer refuses queries while it shuts down.

        :param delegation: The delegation that it refused.
        :param now: Current Unix time in seconds.
        """
        delegation.peer.backoff_until = now + REFUSAL_BACKOFF_S

    def abandon_peer(self, name: str, now: float) -> None:
        """Abandon all delegations to a peer.

        :param name: Name of the peer.
        :param now: Current Unix time in seconds.
        """
        for delegation in tuple(self._in_flight.values()):
            if delegation.peer.entry.name == name:
                delegation.task.abandon_delegation(delegation, now)
