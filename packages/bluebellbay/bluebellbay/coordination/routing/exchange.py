"""Takes requests in, and tells them how their attempts ended."""

import dataclasses

from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.part import Actions
from bluebellbay.coordination.routing.part import RoutingPart
from bluebellbay.coordination.routing.plain import PlainRun
from bluebellbay.coordination.routing.run import Arrival
from bluebellbay.coordination.routing.run import RETRY_AFTER_S
from bluebellbay.coordination.routing.run import Run
from bluebellbay.coordination.routing.scatter import ScatterRun
from bluebellbay.coordination.routing.split import ServiceDrawer
from bluebellbay.protocol.delegation import DelegationAnswered
from bluebellbay.protocol.event import TimePassed
from bluebellbay.protocol.exchange import AnswerKind
from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import AttemptRefused
from bluebellbay.protocol.exchange import AttemptReplied
from bluebellbay.protocol.exchange import DelegationTerms
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeAbandoned
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import RefusalKind
from bluebellbay.protocol.registry import ForgetReplica
from bluebellbay.protocol.route import Route
from bluebellbay.protocol.route import ScatterRule


class ExchangePart(RoutingPart):
    """Runs requests from their arrival to their answer.

    :param context: What the requests of this node share.
    """

    def __init__(self, *, context: RoutingContext) -> None:
        super().__init__(context=context)
        self._runs: dict[int, Run] = {}
        self._drawer = ServiceDrawer()

    def list_actions(self) -> Actions:
        """List what is done for each kind of event."""
        return {
            ExchangeOpened: self._open,
            ExchangeAbandoned: self._abandon,
            AttemptReplied: self._take_reply,
            AttemptRefused: self._take_refusal,
            AttemptFailed: self._take_failure,
            DelegationAnswered: self._take_delegation,
            TimePassed: self._pass_time,
        }

    @property
    def open_runs(self) -> int:
        """Requests under way."""
        self._forget_finished()
        return len(self._runs)

    def get_wakeup_time(self) -> float | None:
        """Name the time at which ``TimePassed`` is due."""
        return self.context.timers.get_next_time()

    def _open(self, event: ExchangeOpened, now: float) -> None:
        configuration = self.state.routes.configuration
        if configuration is None:
            self._refuse(event, AnswerKind.NOT_CONFIGURED)
            return
        request = event.request
        route = self.state.routes.find(request.host, request.path)
        if not self._fits_delegation(request.delegation, route):
            self._refuse(event, AnswerKind.REFUSED)
            return
        if route is None:
            self._refuse(event, AnswerKind.NO_ROUTE)
            return
        run = self._build_run(
            Arrival(
                context=self.context,
                opened=event,
                route=route,
                version=configuration.version,
                now=now,
            )
        )
        self._runs[event.exchange] = run
        run.start(now)
        if run.finished:
            del self._runs[event.exchange]

    def _fits_delegation(
        self, terms: DelegationTerms | None, route: Route | None
    ) -> bool:
        if terms is None:
            return True
        return (
            route is not None
            and route.scatter is not None
            and not self.state.draining
        )

    def _build_run(self, arrival: Arrival) -> Run:
        route = arrival.route
        rule = route.scatter
        if rule is None:
            return PlainRun(arrival=arrival, service=self._drawer.draw(route))
        terms = arrival.opened.request.delegation
        if terms is not None:
            arrival = _follow_terms(arrival, terms)
            rule = ScatterRule(
                shards=terms.shards,
                most_records=terms.most_records,
                least_coverage=0.0,
            )
        return ScatterRun(arrival=arrival, rule=rule)

    def _refuse(self, event: ExchangeOpened, kind: AnswerKind) -> None:
        self.context.emit(
            ErrorAnswer(
                exchange=event.exchange,
                kind=kind,
                ran=False,
                retry_after_s=RETRY_AFTER_S,
            )
        )
        self.context.log(
            "Refused a request.",
            event.request.request_id,
            error=kind.value,
            host=event.request.host,
            path=event.request.path,
            version=self.state.routes.version,
        )

    def _abandon(self, event: ExchangeAbandoned, now: float) -> None:
        run = self._runs.pop(event.exchange, None)
        if run is not None and not run.finished:
            run.abandon(now)

    def _take_reply(self, event: AttemptReplied, now: float) -> None:
        attempt = self.context.end(event.attempt)
        if attempt is None:
            return
        reply = event.reply
        if reply.succeeded:
            self.context.note_reply(attempt, now)
        elif reply.status >= 500:
            self.context.note_failure(attempt, f"status {reply.status}", now)
        if attempt.wanted:
            attempt.leg.take_reply(attempt, reply, now)

    def _take_refusal(self, event: AttemptRefused, now: float) -> None:
        attempt = self.context.end(event.attempt)
        if attempt is None:
            return
        if event.kind is RefusalKind.OTHER_REPLICA:
            self._drop_replica(attempt.record.incarnation, now)
        self.context.note_refusal(attempt, now)
        if attempt.wanted:
            attempt.leg.take_refusal(attempt, now)

    def _take_failure(self, event: AttemptFailed, now: float) -> None:
        delegation = self.context.delegations.end(event.attempt)
        if delegation is not None:
            self.context.delegations.avoid(delegation, event.reason, now)
            delegation.run.lose_peer(delegation, sent=event.sent, now=now)
            return
        attempt = self.context.end(event.attempt)
        if attempt is None or not attempt.wanted:
            return
        self.context.note_failure(attempt, event.reason, now)
        attempt.leg.take_failure(attempt, sent=event.sent, now=now)

    def _take_delegation(self, event: DelegationAnswered, now: float) -> None:
        delegation = self.context.delegations.end(event.attempt)
        if delegation is not None:
            delegation.run.take_answer(delegation, event.answer, now)

    def _drop_replica(self, incarnation: tuple[str, int], now: float) -> None:
        record = self.state.replicas.find(incarnation[0])
        if record is None or record.incarnation != incarnation:
            return
        self.state.replicas.remove(incarnation[0])
        self.context.emit(ForgetReplica(replica=record.entry))
        self.context.log(
            "Dropped a replica whose address another one has.",
            replica=incarnation[0],
            address=record.entry.address,
            age_s=round(now - record.added_at, 1),
        )

    def _pass_time(self, event: TimePassed, now: float) -> None:
        del event
        for timed in self.context.timers.pop_due(now):
            timed.handle_timeout(now)
        self._forget_finished()

    def _forget_finished(self) -> None:
        finished = [
            exchange for exchange, run in self._runs.items() if run.finished
        ]
        for exchange in finished:
            del self._runs[exchange]


def _follow_terms(arrival: Arrival, terms: DelegationTerms) -> Arrival:
    route = dataclasses.replace(
        arrival.route, most_attempts=terms.most_attempts
    )
    return dataclasses.replace(arrival, route=route)
