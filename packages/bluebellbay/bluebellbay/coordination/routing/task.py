"""Base class of requests in progress."""

import abc
import dataclasses

from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.leg import Leg
from bluebellbay.coordination.routing.objective import ANSWER_DELAY_S
from bluebellbay.coordination.routing.queueing import compute_pause_retry_after
from bluebellbay.coordination.routing.queueing import compute_retry_after
from bluebellbay.coordination.timer import TimerTarget
from bluebellbay.protocol.account import ClientAccount
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeAnswer
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import ReplicaReply
from bluebellbay.protocol.exchange import RoutingErrorKind
from bluebellbay.protocol.route import Route

# Time for an error to reach the caller before the caller times out.
ERROR_DELIVERY_S = 0.010
RETRY_AFTER_S = 0.2
# A node that is isolated or stops cannot help, but other nodes can at once.
OTHER_NODE_RETRY_AFTER_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A request at the time of its arrival.

    :param context: State and services shared by all requests of the node.
    :param opened: The event of its arrival.
    :param route: Its route in the configuration in force at its arrival.
    :param version: Version of that configuration.
    :param now: Unix time in seconds of its arrival.
    :param account: Its client account, if any.
    """

    context: RoutingContext
    opened: ExchangeOpened
    route: Route
    version: int
    now: float
    account: ClientAccount | None = None

    @property
    def rank(self) -> int:
        """Priority of the request; 0 is the highest.

        A priority sent by a delegating peer takes precedence, as this node may
        know another configuration; then the account's, then the route's.
        """
        terms = self.opened.request.delegation
        if terms is not None:
            return terms.rank
        if self.account is not None and self.account.rank is not None:
            return self.account.rank
        return self.route.rank


class RequestTask(TimerTarget, abc.ABC):
    """A request in progress, from its arrival to its answer.

    :param arrival: The request, its route and its time of arrival.
    :ivar deadline: Unix time in seconds when the request times out.
    :ivar objective_at: Unix time in seconds by which an answer must be written
        to meet the latency objective.
    :ivar refuse_by: Unix time in seconds until which a request that certainly
        has not run is tried again.
    :ivar rank: Priority; 0 is the highest.
    :ivar account_name: Name of its client account; empty if there is none.
    :ivar required_services: Services whose pauses delay an answer.
    :ivar repeats: Retries and hedges sent.
    """

    def __init__(self, *, arrival: Arrival) -> None:
        opened = arrival.opened
        route = arrival.route
        self.context = arrival.context
        self.exchange = opened.exchange
        self.request = opened.request
        self.route = route
        self.rank = arrival.rank
        self.account_name = opened.request.account
        self.required_services: tuple[str, ...] = ()
        self.repeats = 0
        self.finished = False
        self._version = arrival.version
        self._arrived_at = arrival.now
        sent_at = arrival.now - opened.age_s
        patience_s = opened.request.patience_s
        time_limit_s = route.timeout_s
        if patience_s is not None:
            time_limit_s = min(time_limit_s, patience_s - ERROR_DELIVERY_S)
        self.deadline = sent_at + time_limit_s
        stop_by = arrival.context.state.stop_by
        if stop_by is not None:
            self.deadline = min(self.deadline, stop_by)
        delay_s = ANSWER_DELAY_S
        if route.scatter is not None:
            delay_s = self.context.timing.compute_answer_delay(
                route.objective_s, arrival.now
            )
        self.refuse_by = self.deadline
        self.objective_at = (
            sent_at + route.objective_s - opened.return_s - delay_s
        )

    @property
    def is_finished(self) -> bool:
        """Whether the request was answered or abandoned."""
        return self.finished

    @property
    def may_retry(self) -> bool:
        """Whether legs may send another attempt."""
        return True

    def may_hedge(self, now: float) -> bool:
        """Tell whether a second attempt beside a late one could be of use.

        :param now: Current Unix time in seconds.
        """
        del now
        return True

    @abc.abstractmethod
    def start(self, now: float) -> None:
        """Send the first attempts.

        :param now: Current Unix time in seconds.
        """

    @abc.abstractmethod
    def handle_reply(self, leg: Leg, reply: ReplicaReply, now: float) -> None:
        """Handle the reply of a leg.

        :param reply: Its reply.
        :param now: Current Unix time in seconds.
        """

    @abc.abstractmethod
    def handle_leg_failure(self, leg: Leg, now: float) -> None:
        """Handle a leg that has failed.

        :param leg: The leg, which will get no reply.
        :param now: Current Unix time in seconds.
        """

    @abc.abstractmethod
    def list_legs(self) -> tuple[Leg, ...]:
        """Return all legs."""

    def wait_for_room(self, leg: Leg, now: float) -> bool:
        """Take over a leg that a replica has refused.

        :param leg: The leg, which has no attempt in flight.
        :param now: Current Unix time in seconds.
        :returns: Whether the task decides when the leg is sent again; if not,
            the leg decides.
        """
        del leg, now
        return False

    def estimate_room(self, now: float) -> float:
        """Estimate when a caller that gets an error would find room.

        :param now: Current Unix time in seconds.
        :returns: Seconds.
        """
        del now
        return RETRY_AFTER_S

    def stop_legs(self, now: float, *, unanswered: bool) -> None:
        """End all attempts of all legs.

        :param now: Current Unix time in seconds.
        :param unanswered: Whether there is no answer; see ``Leg.stop``.
        """
        for leg in self.list_legs():
            leg.stop(now, unanswered=unanswered)

    def may_have_run(self) -> bool:
        """Tell whether any replica may have run the request."""
        return any(leg.possible_runs > 0 for leg in self.list_legs())

    def abandon(self, now: float) -> None:
        """Stop all work, as the caller has disconnected.

        :param now: Current Unix time in seconds.
        """
        self.finished = True
        self.stop_legs(now, unanswered=True)
        self._log("Stopped a request whose caller has disconnected.", now)

    def answer(
        self, answer: ExchangeAnswer, now: float, **details: object
    ) -> None:
        """Answer the caller and stop.

        :param answer: The answer.
        :param now: Current Unix time in seconds.
        :param details: Further fields of the log line.
        """
        self.finished = True
        self.stop_legs(now, unanswered=isinstance(answer, ErrorAnswer))
        self.context.emit(answer)
        self._log("Answered a request.", now, **details)

    def fail(
        self, kind: RoutingErrorKind, now: float, **details: object
    ) -> None:
        """Answer with an error and stop.

        :param kind: Why the request was not served.
        :param now: Current Unix time in seconds.
        :param details: Further fields of the log line.
        """
        ran = self.may_have_run()
        answer = ErrorAnswer(
            exchange=self.exchange,
            kind=kind,
            ran=ran,
            retry_after_s=self._compute_retry_after(now),
        )
        self.answer(answer, now, error=kind.value, ran=ran, **details)

    def _compute_retry_after(self, now: float) -> float:
        state = self.context.state
        if state.isolated:
            return OTHER_NODE_RETRY_AFTER_S
        pause_end = state.find_pause_end(self.required_services, now)
        if pause_end is not None:
            return compute_pause_retry_after(pause_end - now, state.rng)
        return compute_retry_after(
            self.estimate_room(now), self.deadline - now, state.rng
        )

    def _log(self, sentence: str, now: float, **details: object) -> None:
        self.context.log(
            sentence,
            self.request.request_id,
            route=self.route.name,
            version=self._version,
            ms=round((now - self._arrived_at) * 1000, 1),
            repeats=self.repeats,
            **details,
        )
