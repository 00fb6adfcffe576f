"""What one request needs from one service, and the tries to get it."""

import enum
from typing import TYPE_CHECKING

from bluebellbay.coordination.routing.attempt import Attempt
from bluebellbay.coordination.timer import TimerTarget
from bluebellbay.protocol.exchange import ReplicaReply
from bluebellbay.state.replica import ReplicaRecord

if TYPE_CHECKING:
    from bluebellbay.coordination.routing.context import RoutingContext
    from bluebellbay.coordination.routing.run import Run

MOST_SENDS = 5
FIRST_PAUSE_S = 0.005


class LossReason(enum.Enum):
    """Why a service gave no reply."""

    NO_REPLICA = "no replica"
    REFUSED = "refused"
    FAILED = "failed"


class Leg:
    """Tries replicas of one service until one replies.

    A request that is not idempotent is sent again only if each earlier try
    positively did not run.

    :param context: What the requests of this node share.
    :param run: The request.
    :param service: Name of the service.
    """

    def __init__(
        self, *, context: "RoutingContext", run: "Run", service: str
    ) -> None:
        self.run = run
        self.service = service
        self.closed = False
        self.may_have_run = 0
        self.sends = 0
        self.failed_reply: ReplicaReply | None = None
        self._context = context
        self._under_way: list[Attempt] = []
        self._tried: set[str] = set()
        self._refused: set[str] = set()
        self._reason = LossReason.NO_REPLICA

    @property
    def reason(self) -> LossReason:
        """Why there is no reply, once there is none."""
        return self._reason

    def is_hopeful(self, now: float) -> bool:
        """Say whether a reply can be expected.

        :param now: Present time in seconds.
        :returns: Whether it waits for a replica that is not set aside, or
            is about to ask one.
        """
        if self.closed:
            return False
        return not self._under_way or any(
            attempt.record.ejected_until <= now for attempt in self._under_way
        )

    def start(self, now: float) -> None:
        """Send the first attempt.

        :param now: Present time in seconds.
        """
        self._context.budgets.find(self.service, now).add_request(now)
        self._place(now, repeat=False)

    def hedge(self, attempt: Attempt, now: float) -> None:
        """Ask a second replica, as the first is late.

        :param attempt: The late attempt.
        :param now: Present time in seconds.
        """
        if self.closed or self._under_way[-1:] != [attempt]:
            return
        if self._may_send_again():
            self._place_again(now, hedged=True)

    def take_reply(
        self, attempt: Attempt, reply: ReplicaReply, now: float
    ) -> None:
        """Take a reply, or try again if it is a failure.

        :param attempt: The attempt.
        :param reply: Its reply.
        :param now: Present time in seconds.
        """
        self._drop(attempt)
        if reply.succeeded or not self.run.route.idempotent:
            self._close(now)
            self.run.take_reply(self, reply, now)
            return
        self.failed_reply = reply
        self._go_on(LossReason.FAILED, now)

    def take_refusal(self, attempt: Attempt, now: float) -> None:
        """Try elsewhere, as this replica did not run the request.

        :param attempt: The attempt.
        :param now: Present time in seconds.
        """
        self._drop(attempt)
        self.may_have_run -= 1
        self._refused.add(attempt.record.entry.replica_id)
        self._go_on(LossReason.REFUSED, now)

    def take_failure(
        self, attempt: Attempt, *, sent: bool, now: float
    ) -> None:
        """Try elsewhere if that can't run the request twice.

        :param attempt: The attempt.
        :param sent: False only if no byte of it was written.
        :param now: Present time in seconds.
        """
        self._drop(attempt)
        if sent:
            self._go_on(LossReason.FAILED, now)
            return
        self.may_have_run -= 1
        if attempt.repeat:
            budget = self._context.budgets.find(self.service, now)
            budget.give_back(now)
        self._go_on(LossReason.REFUSED, now)

    def resume(self, now: float) -> None:
        """Try again after a pause the replicas that refused.

        :param now: Present time in seconds.
        """
        if self.closed or self._under_way:
            return
        self._tried -= self._refused
        self._refused.clear()
        self._place_again(now, hedged=False)

    def stop(self, now: float, *, abandoned: bool) -> None:
        """End all attempts, as the request is over.

        :param now: Present time in seconds.
        :param abandoned: Whether the caller has left.
        """
        self.closed = True
        for attempt in self._under_way:
            if abandoned:
                self._context.cancel(attempt, now)
            else:
                self._context.release(attempt, now)
        self._under_way = []

    def _may_send_again(self) -> bool:
        if self.sends >= MOST_SENDS:
            return False
        if not self.run.route.idempotent:
            return self.may_have_run == 0
        return self.may_have_run < self.run.route.most_attempts

    def _go_on(self, reason: LossReason, now: float) -> None:
        self._reason = reason
        if self.closed or self._under_way:
            return
        if not self._may_send_again():
            self._lose(now)
            return
        self._place_again(now, hedged=False)

    def _place_again(self, now: float, *, hedged: bool) -> None:
        context = self._context
        record = context.selector.choose(
            self.service, self.run.route, self._tried, now
        )
        if record is None:
            if not hedged:
                self._pause(now)
            return
        if not context.budgets.find(self.service, now).take(now):
            if not hedged:
                self._lose(now)
            return
        self.run.repeats += 1
        self._send(record, repeat=True, now=now)

    def _place(self, now: float, *, repeat: bool) -> None:
        record = self._context.selector.choose(
            self.service, self.run.route, self._tried, now
        )
        if record is None:
            self._lose(now)
            return
        self._send(record, repeat=repeat, now=now)

    def _send(
        self, record: ReplicaRecord, *, repeat: bool, now: float
    ) -> None:
        attempt = self._context.send(self, record, repeat=repeat, now=now)
        self._under_way.append(attempt)
        self._tried.add(record.entry.replica_id)
        self.may_have_run += 1
        self.sends += 1

    def _pause(self, now: float) -> None:
        if not self._refused:
            self._lose(now)
            return
        pause_s = FIRST_PAUSE_S * 2**self.sends
        if now + pause_s >= self.run.deadline:
            self._lose(now)
            return
        self._context.timers.add(now + pause_s, _Pause(leg=self))

    def _drop(self, attempt: Attempt) -> None:
        if attempt in self._under_way:
            self._under_way.remove(attempt)
        attempt.wanted = False

    def _close(self, now: float) -> None:
        self.stop(now, abandoned=False)

    def _lose(self, now: float) -> None:
        self.closed = True
        self.run.lose(self, now)


class _Pause(TimerTarget):
    __slots__ = ("_leg",)

    def __init__(self, *, leg: Leg) -> None:
        self._leg = leg

    @property
    def is_finished(self) -> bool:
        return self._leg.closed

    def handle_timeout(self, now: float) -> None:
        self._leg.resume(now)
