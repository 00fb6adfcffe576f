"""A request that goes to one service."""

from bluebellbay.coordination.routing.leg import Leg
from bluebellbay.coordination.routing.leg import LossReason
from bluebellbay.coordination.routing.run import Arrival
from bluebellbay.coordination.routing.run import Run
from bluebellbay.protocol.exchange import AnswerKind
from bluebellbay.protocol.exchange import ForwardAnswer
from bluebellbay.protocol.exchange import ReplicaReply

_KINDS = {
    LossReason.NO_REPLICA: AnswerKind.NO_REPLICA,
    LossReason.REFUSED: AnswerKind.REFUSED,
    LossReason.FAILED: AnswerKind.REPLICA_FAILED,
}


class PlainRun(Run):
    """Forwards a replica's reply unchanged.

    :param arrival: The request as it begins.
    :param service: The service that was drawn for it.
    """

    def __init__(self, *, arrival: Arrival, service: str) -> None:
        super().__init__(arrival=arrival)
        self._leg = Leg(context=self.context, run=self, service=service)

    def list_legs(self) -> tuple[Leg, ...]:
        """List the only leg."""
        return (self._leg,)

    def start(self, now: float) -> None:
        """Send the request.

        :param now: Present time in seconds.
        """
        if now >= self.deadline:
            self.fail(AnswerKind.EXPIRED, now)
            return
        self.context.timers.add(self.deadline, self)
        self._leg.start(now)

    def handle_timeout(self, now: float) -> None:
        """Give up, as the time is over.

        :param now: Present time in seconds.
        """
        self.fail(AnswerKind.TIMED_OUT, now, sends=self._leg.sends)

    def take_reply(self, leg: Leg, reply: ReplicaReply, now: float) -> None:
        """Forward the reply.

        :param leg: The leg.
        :param reply: Its reply.
        :param now: Present time in seconds.
        """
        if 200 <= reply.status < 300 and not reply.succeeded:
            self.fail(AnswerKind.REPLICA_FAILED, now, reason="no digest")
            return
        self.answer(
            ForwardAnswer(exchange=self.exchange, reply=reply),
            now,
            status=reply.status,
            service=leg.service,
            sends=leg.sends,
        )

    def lose(self, leg: Leg, now: float) -> None:
        """Forward the replica's own failure if there is one, else say why.

        :param leg: The leg.
        :param now: Present time in seconds.
        """
        reply = leg.failed_reply
        if reply is not None:
            self.take_reply(leg, reply, now)
            return
        self.fail(
            _KINDS[leg.reason], now, service=leg.service, sends=leg.sends
        )
