"""What one request needs from one service, and the tries to get it."""

import enum
from typing import TYPE_CHECKING

from bluebellbay.coordination.routing.attempt import Attempt
from bluebellbay.coordination.timer import Timed
from bluebellbay.protocol.exchange import ReplicaReply
from bluebellbay.state.replica import ReplicaRecord

if TYPE_CHECKING:
    from bluebellbay.coordination.routing.context import RoutingContext
    from bluebellbay.coordination.routing.task import RequestTask

MAX_SENDS = 5
INITIAL_RETRY_DELAY_S = 0.005


class FailureReason(enum.Enum):
    """Why a service gave no reply."""

    NO_REPLICA = "no replica"
    REFUSED = "refused"
    FAILED = "failed"


class Leg:
    """Tries replicas of one service until one replies.

    A request that is not idempotent is sent again only if each earlier try
    positively did not run.

    :param context: What the requests of this node share.
    :param task: The request.
    :param service: Name of the service.
    """

    def __init__(
        self, *, context: "RoutingContext", task: "RequestTask", service: str
    ) -> None:
        self.task = task
        self.service = service
        self.closed = False
        self.possible_runs = 0
        self.send_count = 0
        self.failed_reply: ReplicaReply | None = None
        self._context = context
        self._in_flight: list[Attempt] = []
        self._tried: set[str] = set()
        self._refused: set[str] = set()
        self._reason = FailureReason.NO_REPLICA

    @property
    def reason(self) -> FailureReason:
        """Why there is no reply, once there is none."""
        return self._reason

    def expects_reply(self, now: float) -> bool:
        """Say whether a reply can be expected.

        :param now: Present time in seconds.
        :returns: Whether it waits for a replica that is not set aside, or
            is about to ask one.
        """
        if self.closed:
            return False
        return not self._in_flight or any(
            attempt.record.ejected_until <= now for attempt in self._in_flight
        )

    def start(self, now: float) -> None:
        """Send the first attempt.

        :param now: Present time in seconds.
        """
        self._context.budgets.get(self.service, now).record_request(now)
        self._send_initial(now, is_retry=False)

    def hedge(self, attempt: Attempt, now: float) -> None:
        """Ask a second replica, as the first is late.

        :param attempt: The late attempt.
        :param now: Present time in seconds.
        """
        if self.closed or self._in_flight[-1:] != [attempt]:
            return
        if self._may_send_again():
            self._send_retry(now, is_hedge=True)

    def handle_reply(
        self, attempt: Attempt, reply: ReplicaReply, now: float
    ) -> None:
        """Take a reply, or try again if it is a failure.

        :param attempt: The attempt.
        :param reply: Its reply.
        :param now: Present time in seconds.
        """
        self._remove(attempt)
        if reply.succeeded or not self.task.route.idempotent:
            self._complete(now)
            self.task.handle_reply(self, reply, now)
            return
        self.failed_reply = reply
        self._retry_or_fail(FailureReason.FAILED, now)

    def handle_refusal(self, attempt: Attempt, now: float) -> None:
        """Try elsewhere, as this replica did not run the request.

        :param attempt: The attempt.
        :param now: Present time in seconds.
        """
        self._remove(attempt)
        self.possible_runs -= 1
        self._refused.add(attempt.record.entry.replica_id)
        self._retry_or_fail(FailureReason.REFUSED, now)

    def handle_failure(
        self, attempt: Attempt, *, sent: bool, now: float
    ) -> None:
        """Try elsewhere if that can't run the request twice.

        :param attempt: The attempt.
        :param sent: False only if no byte of it was written.
        :param now: Present time in seconds.
        """
        self._remove(attempt)
        if sent:
            self._retry_or_fail(FailureReason.FAILED, now)
            return
        self.possible_runs -= 1
        if attempt.is_retry:
            budget = self._context.budgets.get(self.service, now)
            budget.refund(now)
        self._retry_or_fail(FailureReason.REFUSED, now)

    def retry_refused(self, now: float) -> None:
        """Try again after a pause the replicas that refused.

        :param now: Present time in seconds.
        """
        if self.closed or self._in_flight:
            return
        self._tried -= self._refused
        self._refused.clear()
        self._send_retry(now, is_hedge=False)

    def stop(self, now: float, *, unanswered: bool) -> None:
        """End all attempts, as the request is over.

        :param now: Present time in seconds.
        :param unanswered: Whether the caller has left.
        """
        self.closed = True
        for attempt in self._in_flight:
            if unanswered:
                self._context.cancel(attempt, now)
            else:
                self._context.cancel_later(attempt, now)
        self._in_flight = []

    def _may_send_again(self) -> bool:
        if self.send_count >= MAX_SENDS:
            return False
        if not self.task.route.idempotent:
            return self.possible_runs == 0
        return self.possible_runs < self.task.route.most_attempts

    def _retry_or_fail(self, reason: FailureReason, now: float) -> None:
        self._reason = reason
        if self.closed or self._in_flight:
            return
        if not self._may_send_again():
            self._fail(now)
            return
        self._send_retry(now, is_hedge=False)

    def _send_retry(self, now: float, *, is_hedge: bool) -> None:
        context = self._context
        record = context.selector.choose(
            self.service, self.task.route, self._tried, now
        )
        if record is None:
            if not is_hedge:
                self._schedule_retry(now)
            return
        if not context.budgets.get(self.service, now).try_acquire(now):
            if not is_hedge:
                self._fail(now)
            return
        self.task.repeats += 1
        self._send(record, is_retry=True, now=now)

    def _send_initial(self, now: float, *, is_retry: bool) -> None:
        record = self._context.selector.choose(
            self.service, self.task.route, self._tried, now
        )
        if record is None:
            self._fail(now)
            return
        self._send(record, is_retry=is_retry, now=now)

    def _send(
        self, record: ReplicaRecord, *, is_retry: bool, now: float
    ) -> None:
        attempt = self._context.send(self, record, is_retry=is_retry, now=now)
        self._in_flight.append(attempt)
        self._tried.add(record.entry.replica_id)
        self.possible_runs += 1
        self.send_count += 1

    def _schedule_retry(self, now: float) -> None:
        if not self._refused:
            self._fail(now)
            return
        delay_s = INITIAL_RETRY_DELAY_S * 2**self.send_count
        if now + delay_s >= self.task.deadline:
            self._fail(now)
            return
        self._context.timers.add(now + delay_s, _RetryTimer(leg=self))

    def _remove(self, attempt: Attempt) -> None:
        if attempt in self._in_flight:
            self._in_flight.remove(attempt)
        attempt.active = False

    def _complete(self, now: float) -> None:
        self.stop(now, unanswered=False)

    def _fail(self, now: float) -> None:
        self.closed = True
        self.task.handle_leg_failure(self, now)


class _RetryTimer(Timed):
    __slots__ = ("_leg",)

    def __init__(self, *, leg: Leg) -> None:
        self._leg = leg

    @property
    def is_over(self) -> bool:
        return self._leg.closed

    def wake(self, now: float) -> None:
        self._leg.retry_refused(now)
