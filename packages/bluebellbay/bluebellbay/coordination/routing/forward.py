"""Requests that go to a single service."""

from bluebellbay.coordination.routing.leg import FailureReason
from bluebellbay.coordination.routing.leg import Leg
from bluebellbay.coordination.routing.task import Arrival
from bluebellbay.coordination.routing.task import RequestTask
from bluebellbay.protocol.exchange import ForwardAnswer
from bluebellbay.protocol.exchange import ReplicaReply
from bluebellbay.protocol.exchange import RoutingErrorKind

_ANSWER_KINDS = {
    FailureReason.NO_REPLICA: RoutingErrorKind.NO_REPLICA,
    FailureReason.REFUSED: RoutingErrorKind.REFUSED,
    FailureReason.FAILED: RoutingErrorKind.REPLICA_FAILED,
}


class ForwardTask(RequestTask):
    """Forwards a replica's reply unchanged.

    :param arrival: The request, its route and its time of arrival.
    :param service: Name of the service that handles it.
    """

    def __init__(self, *, arrival: Arrival, service: str) -> None:
        super().__init__(arrival=arrival)
        self._leg = Leg(context=self.context, task=self, service=service)

    def list_legs(self) -> tuple[Leg, ...]:
        """Return the only leg."""
        return (self._leg,)

    def start(self, now: float) -> None:
        """Send the request.

        :param now: Current Unix time in seconds.
        """
        if now >= self.deadline:
            self.fail(RoutingErrorKind.EXPIRED, now)
            return
        self.context.timers.add(self.deadline, self)
        self._leg.start(now)

    def handle_timeout(self, now: float) -> None:
        """Answer that the request has timed out.

        :param now: Current Unix time in seconds.
        """
        self.fail(RoutingErrorKind.TIMED_OUT, now, sends=self._leg.send_count)

    def handle_reply(self, leg: Leg, reply: ReplicaReply, now: float) -> None:
        """Forward the reply, or fail if a success lacks its digest.

        :param reply: The replica's reply.
        :param now: Current Unix time in seconds.
        """
        if 200 <= reply.status < 300 and not reply.succeeded:
            self.fail(RoutingErrorKind.REPLICA_FAILED, now, reason="no digest")
            return
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
        self.fail(
            _ANSWER_KINDS[leg.reason],
            now,
            service=leg.service,
            sends=leg.send_count,
        )
