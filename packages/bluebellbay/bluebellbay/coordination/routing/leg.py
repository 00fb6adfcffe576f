"""Sub-requests: what one request needs from one service."""

import enum
from typing import TYPE_CHECKING

from bluebellbay.coordination.routing.attempt import Attempt
from bluebellbay.coordination.routing.fair_shares import RankHistory
from bluebellbay.coordination.timer import TimerTarget
from bluebellbay.protocol.exchange import ReplicaReply
from bluebellbay.state.replica import ReplicaRecord

if TYPE_CHECKING:
    from bluebellbay.coordination.routing.context import RoutingContext
    from bluebellbay.coordination.routing.task import RequestTask

MAX_SENDS = 5
INITIAL_RETRY_DELAY_S = 0.005
# Share of the retry budget that a request may use for each higher rank that
# was met lately.
LOWER_RANK_SHARE = 0.7


class FailureReason(enum.Enum):
    """Why a leg has no reply."""

    NO_REPLICA = "no replica"
    REFUSED = "refused"
    FAILED = "failed"
    LIMITED = "over the rate limits of the replicas"


class Leg:
    """Sends a sub-request to replicas of one service until one replies.

    A request that is not idempotent is sent again only if it certainly did
    not run in any earlier attempt.

    :param context: State and services shared by all requests of the node.
    :param task: The request.
    :param service: Name of the service.
    :param is_repeat: Whether another node may have sent an attempt before,
        which counts as one that may have run.
    :ivar possible_runs: Attempts that may have run the request.
    :ivar permit_asks: Asks of lenders for a request to a limited replica.
    """

    def __init__(
        self,
        *,
        context: "RoutingContext",
        task: "RequestTask",
        service: str,
        is_repeat: bool = False,
    ) -> None:
        self.task = task
        self.service = service
        self.closed = False
        self.possible_runs = int(is_repeat)
        self.send_count = 0
        self.failed_reply: ReplicaReply | None = None
        self._context = context
        self._is_repeat = is_repeat
        self._in_flight: list[Attempt] = []
        self._tried: set[str] = set()
        self._refused: set[str] = set()
        self._reason = FailureReason.NO_REPLICA
        self.permit_asks = 0
        # Whether a lender was asked for a permit, and for a retry.
        self._awaits_permit = False
        # Limited replicas that lenders were asked about.
        self._asked: tuple[str, ...] = ()
        self._asked_for_retry = False
        ranks = context.ranks.get(service)
        if ranks is None:
            ranks = context.ranks[service] = RankHistory()
        self._ranks = ranks

    @property
    def reason(self) -> FailureReason:
        """Why there is no reply; valid only once the leg has failed."""
        return self._reason

    def expects_reply(self, now: float) -> bool:
        """Tell whether a reply can be expected.

        :param now: Current Unix time in seconds.
        :returns: Whether the leg is open and either waits for a replica that
            is not ejected, or is about to send its next attempt.
        """
        if self.closed:
            return False
        return not self._in_flight or any(
            attempt.record.ejected_until <= now for attempt in self._in_flight
        )

    def start(self, now: float) -> None:
        """Send the first attempt.

        :param now: Current Unix time in seconds.
        """
        self._ranks.record(self.task.rank, now)
        if not self._is_repeat:
            # The other node has counted the request.
            self._context.budgets.get(self.service, now).record_request(now)
        record = self._choose(now)
        if self._ask_for_permit(record, now, is_retry=False):
            return
        self._send_initial(record, now)

    def use_permit(self, record: ReplicaRecord, now: float) -> None:
        """Send to a replica that a lender has permitted one request to.

        :param record: The replica.
        :param now: Current time in seconds.
        """
        if self.closed:
            return
        state = self._context.state
        is_known = state.replicas.find(record.entry.replica_id) is record
        if not is_known or not state.is_usable(record, now):
            self.go_without_permit(now)
            return
        self._awaits_permit = False
        if self._asked_for_retry and not self._charge_retry(now):
            self._fail(now)
            return
        self._send(
            record, is_retry=self._asked_for_retry, now=now, is_lent=True
        )

    def go_without_permit(self, now: float) -> None:
        """Send to another replica, or fail, as no lender has room.

        :param now: Current time in seconds.
        """
        if self.closed:
            return
        self._awaits_permit = False
        is_retry = self._asked_for_retry
        record = self._choose(now)
        if record is None and self._ask_for_permit(
            None, now, is_retry=is_retry
        ):
            return
        if record is None or not is_retry:
            self._send_initial(record, now)
        elif self._charge_retry(now):
            self._send(record, is_retry=True, now=now)
        else:
            self._fail(now)

    def hedge(self, attempt: Attempt, now: float) -> None:
        """Send the request to a second replica if the budget allows it.

        :param attempt: The late attempt. Nothing is done if it is not the
            latest one in flight, or if the answer can't use a further one.
        :param now: Current Unix time in seconds.
        """
        if self.closed or self._in_flight[-1:] != [attempt]:
            return
        if self._may_send_again() and self.task.may_hedge(now):
            self._send_retry(now, is_hedge=True)

    def handle_reply(
        self, attempt: Attempt, reply: ReplicaReply, now: float
    ) -> None:
        """Pass a reply on, or retry if it is an error that allows it.

        :param reply: Its reply.
        :param now: Current Unix time in seconds.
        """
        self._remove(attempt)
        if reply.succeeded or not self.task.route.idempotent:
            self._complete(now)
            self.task.handle_reply(self, reply, now)
            return
        self.failed_reply = reply
        self._retry_or_fail(FailureReason.FAILED, now)

    def handle_refusal(self, attempt: Attempt, now: float) -> None:
        """Retry on another replica, as this one did not run the request.

        :param now: Current Unix time in seconds.
        """
        self._remove(attempt)
        self.possible_runs -= 1
        self._refused.add(attempt.record.entry.replica_id)
        self._reason = FailureReason.REFUSED
        open_ = not self.closed and not self._in_flight
        if open_ and self.task.wait_for_room(self, now):
            return
        self._retry_or_fail(FailureReason.REFUSED, now)

    def handle_failure(
        self, attempt: Attempt, *, sent: bool, now: float
    ) -> None:
        """Retry unless that could run a non-idempotent request twice.

        :param sent: False only if no byte of the request was written.
        :param now: Current Unix time in seconds.
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
        """Retry after a delay, now also on the replicas that refused.

        :param now: Current Unix time in seconds.
        """
        if self._is_busy:
            return
        if not self._may_send_again():
            self._fail(now)
            return
        self._tried -= self._refused
        self._refused.clear()
        self._send_retry(now, is_hedge=False)

    def resend(self, now: float) -> None:
        """Send a refused leg to another replica, as one may have room.

        :param now: Current Unix time in seconds.
        """
        self._retry_or_fail(FailureReason.REFUSED, now)

    def stop(self, now: float, *, unanswered: bool) -> None:
        """Close the leg and end its attempts, as the request has ended.

        :param now: Current Unix time in seconds.
        :param unanswered: Whether attempts are cancelled at once, because no
            answer was given; otherwise after ``CANCEL_DELAY_S``.
        """
        self.closed = True
        for attempt in self._in_flight:
            if unanswered:
                self._context.cancel(attempt, now)
            else:
                self._context.cancel_later(attempt, now)
        self._in_flight = []

    @property
    def _is_busy(self) -> bool:
        """Whether nothing more is to be sent now."""
        return bool(self.closed or self._in_flight or self._awaits_permit)

    def _may_send_again(self) -> bool:
        if self.send_count >= MAX_SENDS or not self.task.may_retry:
            return False
        if not self.task.route.idempotent:
            return self.possible_runs == 0
        return self.possible_runs < self.task.route.most_attempts

    def _retry_or_fail(self, reason: FailureReason, now: float) -> None:
        self._reason = reason
        if self._is_busy:
            return
        if not self._may_send_again():
            self._fail(now)
            return
        self._send_retry(now, is_hedge=False)

    def _send_retry(self, now: float, *, is_hedge: bool) -> None:
        record = self._choose(now)
        if not is_hedge and self._ask_for_permit(record, now, is_retry=True):
            return
        if record is None:
            if not is_hedge:
                self._schedule_retry(now)
            return
        if not self._charge_retry(now):
            if not is_hedge:
                self._fail(now)
            return
        self._send(record, is_retry=True, now=now)

    def _choose(self, now: float) -> ReplicaRecord | None:
        return self._context.selector.choose(
            self.service, self.task.route, self._tried, now
        )

    def _ask_for_permit(
        self, best: ReplicaRecord | None, now: float, *, is_retry: bool
    ) -> bool:
        """Ask a lender if a replica with a rate limit would serve better.

        :param best: The best replica that needs no permit, if any.
        :returns: Whether the leg waits for the lender's answer.
        """
        context = self._context
        while not self._awaits_permit:
            record = context.selector.find_limited(
                self.service,
                self.task.route,
                self._tried.union(self._asked),
                best,
                now,
            )
            if record is None:
                return False
            if best is None and self._reason is FailureReason.NO_REPLICA:
                self._reason = FailureReason.LIMITED
            self._asked = (*self._asked, record.entry.replica_id)
            self._asked_for_retry = is_retry
            self._awaits_permit = context.borrower.ask(
                self, record, now, urgent=best is None
            )
        return True

    def _charge_retry(self, now: float) -> bool:
        if not self._may_charge(now):
            return False
        self.task.repeats += 1
        return True

    def _may_charge(self, now: float) -> bool:
        """Charge a retry, unless the rest is left to higher ranks."""
        budget = self._context.budgets.get(self.service, now)
        higher = self._ranks.count_higher(self.task.rank, now)
        if (
            higher
            and budget.measure_utilization(now) > LOWER_RANK_SHARE**higher
        ):
            return False
        return budget.try_acquire(now)

    def _send_initial(self, record: ReplicaRecord | None, now: float) -> None:
        if record is None:
            self._fail(now)
            return
        self._send(record, is_retry=False, now=now)

    def _send(
        self,
        record: ReplicaRecord,
        *,
        is_retry: bool,
        now: float,
        is_lent: bool = False,
    ) -> None:
        attempt = self._context.send(
            self, record, is_retry=is_retry, now=now, is_lent=is_lent
        )
        self._in_flight.append(attempt)
        self._tried.add(record.entry.replica_id)
        self.possible_runs += 1
        self.send_count += 1

    def _schedule_retry(self, now: float) -> None:
        selector = self._context.selector
        if not self._refused or not selector.has_permitted(self.service, now):
            self._fail(now)
            return
        delay_s = INITIAL_RETRY_DELAY_S * 2**self.send_count
        refuse_by = self.task.refuse_by
        if self.possible_runs:
            refuse_by = self.task.deadline
        if now + delay_s >= refuse_by:
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


class _RetryTimer(TimerTarget):
    __slots__ = ("_leg",)

    def __init__(self, *, leg: Leg) -> None:
        self._leg = leg

    @property
    def is_finished(self) -> bool:
        return self._leg.closed

    def handle_timeout(self, now: float) -> None:
        self._leg.retry_refused(now)
