"""Requests that go to a single service."""

from bluebellbay.coordination.routing.leg import FailureReason
from bluebellbay.coordination.routing.leg import Leg
from bluebellbay.coordination.routing.queueing import Action
from bluebellbay.coordination.routing.queueing import QueueDecision
from bluebellbay.coordination.routing.queueing import WAIT_MARGIN_S
from bluebellbay.coordination.routing.queueing import WAIT_SHARE
from bluebellbay.coordination.routing.service_queue import QueuedRequest
from bluebellbay.coordination.routing.task import Arrival
from bluebellbay.coordination.routing.task import RequestTask
from bluebellbay.protocol.exchange import ForwardAnswer
from bluebellbay.protocol.exchange import ReplicaReply
from bluebellbay.protocol.exchange import RoutingErrorKind

_ANSWER_KINDS = {
    FailureReason.NO_REPLICA: RoutingErrorKind.NO_REPLICA,
    FailureReason.REFUSED: RoutingErrorKind.REFUSED,
    FailureReason.FAILED: RoutingErrorKind.REPLICA_FAILED,
    FailureReason.LIMITED: RoutingErrorKind.OVERLOADED,
}
# Share of the retry budget that hedges may use.
HEDGE_BUDGET_SHARE = 0.7


class ForwardTask(RequestTask, QueuedRequest):
    """Forwards a replica's reply unchanged.

    The exceptions are replies that would mislead the caller: a success that
    is not signed, and, if the request is not idempotent, a status that says
    that it did not run, although the replica has not said so.

    :param arrival: The request, its route and its time of arrival.
    :param service: Name of the service that handles it.
    """

    def __init__(self, *, arrival: Arrival, service: str) -> None:
        super().__init__(arrival=arrival)
        self._leg = Leg(context=self.context, task=self, service=service)
        self._queue = self.context.queues.get(service)
        self._waiting = False
        self._has_waited = False
        self.required_services = (service,)
        self.share_key = self.account_name or self.route.name
        self.refuse_by = self.wait_until = min(
            self.deadline,
            arrival.now + WAIT_SHARE * self.route.objective_s - WAIT_MARGIN_S,
        )

    def list_legs(self) -> tuple[Leg, ...]:
        """Return the only leg."""
        return (self._leg,)

    def start(self, now: float) -> None:
        """Send the request, let it wait for room, or refuse it.

        :param now: Current Unix time in seconds.
        """
        if now >= self.deadline:
            self.fail(RoutingErrorKind.EXPIRED, now)
            return
        selector = self.context.selector
        if not selector.has_usable(self._leg.service, now):
            self.fail(
                RoutingErrorKind.NO_REPLICA, now, service=self._leg.service
            )
            return
        self.context.timers.add(self.deadline, self)
        decision = self._queue.arrive(self, now)
        self._note_decision(decision, now)

    def send(self, now: float) -> None:
        """Send the request to a replica, as there is room.

        :param now: Current Unix time in seconds.
        """
        waited, self._waiting = self._waiting, False
        if not self._leg.send_count:
            self._leg.start(now)
        elif waited:
            self._leg.retry_refused(now)
        else:
            self._leg.resend(now)

    def refuse(self, now: float) -> None:
        """Answer that there is no room.

        :param now: Current Unix time in seconds.
        """
        self.fail(
            RoutingErrorKind.REFUSED
            if self._leg.send_count
            else RoutingErrorKind.OVERLOADED,
            now,
            service=self._leg.service,
            sends=self._leg.send_count,
            rank=self.rank,
            in_flight=self._queue.in_flight,
            waiting=self._queue.waiting_count,
        )

    def may_hedge(self, now: float) -> bool:
        """Tell whether there is room for a second attempt.

        While room is short, it would take that of another request. A part of
        the retry budget is kept for requests that a replica refuses, as these
        fail without it.

        :param now: Current Unix time in seconds.
        """
        if self._queue.is_short(now):
            return False
        budget = self.context.budgets.get(self._leg.service, now)
        return budget.measure_utilization(now) <= HEDGE_BUDGET_SHARE

    def wait_for_room(self, leg: Leg, now: float) -> bool:
        """Send a refused request again, let it wait, or refuse it.

        :param now: Current Unix time in seconds.
        """
        if not self.context.selector.has_usable(leg.service, now):
            # Waiting is of no use; the leg fails at once.
            return False
        if self._has_waited and now >= self.wait_until:
            self._queue.end_wait(self, now)
            return True
        decision = self._queue.return_refused(self, now)
        self._note_decision(decision, now)
        return True

    def stop_legs(self, now: float, *, unanswered: bool) -> None:
        """End all attempts, and leave the queue.

        :param now: Current Unix time in seconds.
        :param unanswered: Whether there is no answer; see ``Leg.stop``.
        """
        super().stop_legs(now, unanswered=unanswered)
        self._waiting = False
        self._queue.leave(self, now)

    def estimate_room(self, now: float) -> float:
        """Estimate when the caller would find room at the service.

        :param now: Current Unix time in seconds.
        :returns: Seconds.
        """
        return self._queue.estimate_room(now)

    def handle_timeout(self, now: float) -> None:
        """End a wait; answer at the deadline that the request timed out.

        :param now: Current Unix time in seconds.
        """
        if self._waiting and now >= self.wait_until:
            self._queue.end_wait(self, now)
            return
        if now < self.deadline:
            return
        self.fail(RoutingErrorKind.TIMED_OUT, now, sends=self._leg.send_count)

    def handle_reply(self, leg: Leg, reply: ReplicaReply, now: float) -> None:
        """Forward the reply, or fail if it would mislead the caller.

        :param reply: The replica's reply.
        :param now: Current Unix time in seconds.
        """
        reason = self._find_untruth(reply)
        if reason is not None:
            self.fail(
                RoutingErrorKind.REPLICA_FAILED,
                now,
                reason=reason,
                status=reply.status,
                service=leg.service,
                sends=leg.send_count,
            )
            return
        self._queue.record_served(self, now)
        self.answer(
            ForwardAnswer(exchange=self.exchange, reply=reply),
            now,
            status=reply.status,
            service=leg.service,
            sends=leg.send_count,
        )

    def handle_leg_failure(self, leg: Leg, now: float) -> None:
        """Forward the last error reply, or answer why there is no reply.

        :param now: Current Unix time in seconds.
        """
        reply = leg.failed_reply
        if reply is not None:
            self.handle_reply(leg, reply, now)
            return
        if leg.reason is FailureReason.REFUSED:
            self._queue.record_refused(self, now)
        self.fail(
            _ANSWER_KINDS[leg.reason],
            now,
            service=leg.service,
            sends=leg.send_count,
        )

    def _find_untruth(self, reply: ReplicaReply) -> str | None:
        """Tell why a reply must not be forwarded, if so."""
        if 200 <= reply.status < 300 and not reply.succeeded:
            return "no digest"
        if reply.denies_run and not self.route.idempotent:
            return "the status says not run, the replica does not"
        return None

    def _note_decision(self, decision: QueueDecision, now: float) -> None:
        """Set the end of a wait, and log it."""
        if decision.action is not Action.WAIT or self.finished:
            return
        self._waiting = self._has_waited = True
        self.context.timers.add(self.wait_until, self)
        self.context.log(
            "A request waits for room at its service.",
            self.request.request_id,
            route=self.route.name,
            service=self._leg.service,
            rank=self.rank,
            sends=self._leg.send_count,
            in_flight=self._queue.in_flight,
            waiting=self._queue.waiting_count,
            expected_ms=round(decision.wait_s * 1000, 1),
            left_ms=round((self.wait_until - now) * 1000, 1),
        )
