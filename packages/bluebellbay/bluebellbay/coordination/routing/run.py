"""One routed request, from its arrival to its answer."""

import abc
import dataclasses

from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.leg import Leg
from bluebellbay.coordination.routing.objective import BOTH_WAYS_S
from bluebellbay.coordination.timer import TimerTarget
from bluebellbay.protocol.exchange import AnswerKind
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeAnswer
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import ReplicaReply
from bluebellbay.protocol.route import Route

# Time that an error takes to reach a caller that is about to give up.
ERROR_WAY_S = 0.010
RETRY_AFTER_S = 0.2
# A node that is cut off can't help, but others can at once.
RETRY_ELSEWHERE_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A request as it begins.

    :param context: What the requests of this node share.
    :param opened: How it arrived.
    :param route: Its route, of the configuration at its arrival.
    :param version: Version of that configuration.
    :param now: Present time in seconds.
    """

    context: RoutingContext
    opened: ExchangeOpened
    route: Route
    version: int
    now: float


class Run(TimerTarget, abc.ABC):
    """A request under way.

    :param arrival: The request as it begins.
    """

    def __init__(self, *, arrival: Arrival) -> None:
        opened = arrival.opened
        route = arrival.route
        self.context = arrival.context
        self.exchange = opened.exchange
        self.request = opened.request
        self.route = route
        self.repeats = 0
        self.finished = False
        self._version = arrival.version
        self._arrived_at = arrival.now
        sent_at = arrival.now - opened.age_s
        patience_s = opened.request.patience_s
        wait_s = route.timeout_s
        if patience_s is not None:
            wait_s = min(wait_s, patience_s - ERROR_WAY_S)
        self.deadline = sent_at + wait_s
        self.objective_at = sent_at + route.objective_s - BOTH_WAYS_S

    @property
    def is_finished(self) -> bool:
        """Whether it was answered or abandoned."""
        return self.finished

    @abc.abstractmethod
    def start(self, now: float) -> None:
        """Send the first attempts.

        :param now: Present time in seconds.
        """

    @abc.abstractmethod
    def take_reply(self, leg: Leg, reply: ReplicaReply, now: float) -> None:
        """Take the reply of a leg.

        :param leg: The leg.
        :param reply: Its reply.
        :param now: Present time in seconds.
        """

    @abc.abstractmethod
    def lose(self, leg: Leg, now: float) -> None:
        """Do without a leg.

        :param leg: The leg, which will get no reply.
        :param now: Present time in seconds.
        """

    @abc.abstractmethod
    def list_legs(self) -> tuple[Leg, ...]:
        """List all legs."""

    def stop_legs(self, now: float, *, abandoned: bool) -> None:
        """End all attempts.

        :param now: Present time in seconds.
        :param abandoned: Whether the caller has left.
        """
        for leg in self.list_legs():
            leg.stop(now, abandoned=abandoned)

    def may_have_run(self) -> bool:
        """Say whether any replica may have run the request."""
        return any(leg.may_have_run > 0 for leg in self.list_legs())

    def abandon(self, now: float) -> None:
        """Stop, as the caller has left.

        :param now: Present time in seconds.
        """
        self.finished = True
        self.stop_legs(now, abandoned=True)
        self._log("Stopped, as the caller has left.", now)

    def answer(
        self, answer: ExchangeAnswer, now: float, **why: object
    ) -> None:
        """Answer the caller and stop.

        :param answer: The answer.
        :param now: Present time in seconds.
        :param why: What decided it, for the log.
        """
        self.finished = True
        self.stop_legs(now, abandoned=isinstance(answer, ErrorAnswer))
        self.context.emit(answer)
        self._log("Answered.", now, **why)

    def fail(self, kind: AnswerKind, now: float, **why: object) -> None:
        """Answer that the request was not served.

        :param kind: Why.
        :param now: Present time in seconds.
        :param why: What decided it, for the log.
        """
        ran = self.may_have_run()
        answer = ErrorAnswer(
            exchange=self.exchange,
            kind=kind,
            ran=ran,
            retry_after_s=(
                RETRY_ELSEWHERE_S
                if self.context.state.isolated
                else RETRY_AFTER_S
            ),
        )
        self.answer(answer, now, error=kind.value, ran=ran, **why)

    def _log(self, sentence: str, now: float, **why: object) -> None:
        self.context.log(
            sentence,
            self.request.request_id,
            route=self.route.name,
            version=self._version,
            ms=round((now - self._arrived_at) * 1000, 1),
            repeats=self.repeats,
            **why,
        )
