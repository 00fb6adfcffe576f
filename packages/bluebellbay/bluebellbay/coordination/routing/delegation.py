"""A part of a query that is delegated to a peer node."""

from typing import TYPE_CHECKING

from bluebellbay.coordination.routing.assignment import Assignment
from bluebellbay.coordination.timer import TimerTarget
from bluebellbay.protocol.exchange import DelegationTerms
from bluebellbay.protocol.exchange import MergedAnswer

if TYPE_CHECKING:
    from bluebellbay.coordination.routing.scatter import ScatterTask

# A connection to a healthy peer opens within this time.
CONNECT_TIMEOUT_S = 0.015
# The kernel of a peer that can be reached acknowledges a query within this
# time.
ACKNOWLEDGE_TIMEOUT_S = 0.015


class Delegation(TimerTarget):
    """Shards of a query that a peer queries for this node.

    If the delegation fails, this node queries the shards itself if the peer
    certainly did not. If it may have, those are queried once more that have no
    more replicas than the route has attempts, within their retry budgets.

    :param task: The query.
    :param number: Identifies the delegation among the attempts of this node.
    :param assignment: The peer and the shards.
    :param objective_at: Unix time in seconds by which the peer's answer is
        due here.
    :param resumes: Exchange at the peer that is resumed for the shards that
        were pending in its answer, if any.
    :param answers: Number of peers that answer for the query.
    :param repeat: Whether another peer may have queried the shards before.
    :param now: Current Unix time in seconds.
    :ivar ended: Whether the transport has reported its end.
    :ivar cancelled_in_time: Whether this node cancelled it before the peer
        had to answer, or though the peer answered other queries meanwhile.
    """

    def __init__(
        self,
        *,
        task: "ScatterTask",
        number: int,
        assignment: Assignment,
        objective_at: float,
        resumes: int | None,
        answers: int,
        repeat: bool,
        now: float,
    ) -> None:
        self.task = task
        self.number = number
        self.resumes = resumes
        self.repeat = repeat
        self.peer = assignment.peer
        self.shards = assignment.shards
        self.ended = False
        self.cancelled_in_time = False
        self._sent_at = now
        self._connect_deadline = now + CONNECT_TIMEOUT_S
        self._overdue_at = max(now, objective_at)
        self._answer_at = (
            objective_at
            - task.context.timing.compute_peer_delay(
                answers, objective_at - now, now
            )
        )
        self._acknowledge_deadline = (
            self._connect_deadline + ACKNOWLEDGE_TIMEOUT_S
        )
        self._withdrawn = False
        self._checked = False

    @property
    def is_finished(self) -> bool:
        """Whether the peer has answered or failed."""
        return self.ended

    def record_cancellation(self, now: float) -> None:
        """Decide whether the peer has failed a query that is cancelled.

        :param now: Current Unix time in seconds.
        """
        self.cancelled_in_time = (
            now < self._overdue_at or self.peer.answered_at >= self._sent_at
        )

    def build_terms(self, now: float) -> DelegationTerms:
        """Build the terms, with the time left until the answer is due here.

        The peer knows the network time between the nodes.

        :param now: Current Unix time in seconds.
        """
        left_s = self._answer_at - now
        return DelegationTerms(
            shards=self.shards,
            objective_s=max(0.0, left_s),
            most_records=self.task.rule.most_records,
            most_attempts=self.task.route.most_attempts,
            resumes=self.resumes,
            repeat=self.repeat,
            rank=self.task.rank,
        )

    def record_answer(self, answer: MergedAnswer, now: float) -> None:
        """Learn from an answer how late this peer's answers come.

        One that is complete before its time says nothing about that.

        :param answer: The answer.
        :param now: Current Unix time in seconds.
        """
        if answer.pending or now > self._answer_at:
            self.task.context.timing.record_peer(now - self._answer_at, now)

    def accepts(self, answer: MergedAnswer) -> bool:
        """Tell whether a peer's answer is about the shards it was asked for.

        :param answer: The answer.
        """
        pending = set(answer.pending)
        return (
            len(answer.digests) + answer.missing == len(self.shards)
            and len(set(answer.digests)) == len(answer.digests)
            and len(pending) == len(answer.pending) <= answer.missing
            and pending.issubset(self.shards)
        )

    def list_wake_times(self) -> tuple[float, ...]:
        """Return the Unix times in seconds at which ``wake`` is due."""
        return (
            self._connect_deadline,
            self._acknowledge_deadline,
            self._overdue_at,
        )

    def handle_timeout(self, now: float) -> None:
        """Withdraw the query if it is unsent; suspect the peer if overdue.

        In between, check whether the peer has received it.

        :param now: Current Unix time in seconds.
        """
        if not self._withdrawn:
            self._withdrawn = True
            self.task.context.delegations.withdraw(self)
        if now >= self._acknowledge_deadline and not self._checked:
            self._checked = True
            self.task.context.delegations.check(self, ACKNOWLEDGE_TIMEOUT_S)
        if now >= self._overdue_at:
            self.task.context.suspect(self.peer)
