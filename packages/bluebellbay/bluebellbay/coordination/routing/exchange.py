"""Starts a task for each request and passes it the results."""

import dataclasses

from bluebellbay.coordination.routing.authentication import authenticate
from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.delegated_scatter import (
    DelegatedScatterTask,
)
from bluebellbay.coordination.routing.forward import ForwardTask
from bluebellbay.coordination.routing.part import EventHandlers
from bluebellbay.coordination.routing.part import RoutingPart
from bluebellbay.coordination.routing.queueing import spread
from bluebellbay.coordination.routing.quota_gate import QuotaGate
from bluebellbay.coordination.routing.replica_answers import ReplicaAnswerPart
from bluebellbay.coordination.routing.scatter import ScatterTask
from bluebellbay.coordination.routing.startup import StartupQueue
from bluebellbay.coordination.routing.task import Arrival
from bluebellbay.coordination.routing.task import OTHER_NODE_RETRY_AFTER_S
from bluebellbay.coordination.routing.task import RequestTask
from bluebellbay.coordination.routing.task import RETRY_AFTER_S
from bluebellbay.coordination.routing.weighted_round_robin import (
    WeightedRoundRobin,
)
from bluebellbay.protocol.delegation import DelegationAnswered
from bluebellbay.protocol.delegation import DelegationUnacknowledged
from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import AttemptRefused
from bluebellbay.protocol.exchange import AttemptReplied
from bluebellbay.protocol.exchange import DelegationTerms
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeAbandoned
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import RefusalKind
from bluebellbay.protocol.exchange import RoutingErrorKind
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.registry import CloseReplicaConnections
from bluebellbay.protocol.registry import ConfigurationReceived
from bluebellbay.protocol.registry import ReplicasListed
from bluebellbay.protocol.replica import UNKNOWN_CONDITION
from bluebellbay.protocol.route import Route


class ExchangePart(RoutingPart):
    """Handles requests from their arrival to their answer.

    :param context: State and services shared by all requests of the node.
    :param answers: Applies what answers say of leaving and of pauses.
    :ivar quota: Lets requests start as far as their accounts' quotas allow.
    """

    def __init__(
        self, *, context: RoutingContext, answers: ReplicaAnswerPart
    ) -> None:
        super().__init__(context=context)
        self._answers = answers
        self.quota = QuotaGate(context=context, start=self._start)
        self._tasks: dict[int, RequestTask] = {}
        self._service_selector = WeightedRoundRobin()
        self._startup = StartupQueue()

    def list_handlers(self) -> EventHandlers:
        """Return the handler of each type of event."""
        return {
            ExchangeOpened: self._handle_opened,
            ExchangeAbandoned: self._handle_abandoned,
            ConfigurationReceived: self._handle_registry_change,
            ReplicasListed: self._handle_registry_change,
            AttemptReplied: self._handle_reply,
            AttemptRefused: self._handle_refusal,
            AttemptFailed: self._handle_failure,
            DelegationAnswered: self._handle_delegation_answer,
            DelegationUnacknowledged: self._handle_unacknowledged,
            TimerTick: self._handle_time,
        }

    @property
    def open_count(self) -> int:
        """Number of requests in progress."""
        self._remove_finished()
        return len(self._tasks) + len(self._startup) + len(self.quota)

    def end_all(self, now: float) -> None:
        """Answer all requests in progress that they have timed out.

        :param now: Current Unix time in seconds.
        """
        self.quota.end_all()
        for task in tuple(self._tasks.values()):
            if not task.finished:
                task.fail(RoutingErrorKind.TIMED_OUT, now)
        self._remove_finished()

    def get_wakeup_time(self) -> float | None:
        """Return the time of the next wake-up, if one is scheduled."""
        times = (self.context.timers.get_next_time(), self._startup.get_end())
        return min((at for at in times if at is not None), default=None)

    def _handle_opened(self, event: ExchangeOpened, now: float) -> None:
        configuration = self.state.routes.configuration
        if configuration is None and self._startup.add(event, now):
            return
        self._open(event, now)

    def _handle_registry_change(self, event: object, now: float) -> None:
        del event
        configuration = self.state.routes.configuration
        if configuration is not None and self.state.replicas_listed:
            self._open_kept(now)

    def _open_kept(self, now: float) -> None:
        for event in self._startup.take_all(now):
            self._open(event, now)

    def _open(self, event: ExchangeOpened, now: float) -> None:
        configuration = self.state.routes.configuration
        if configuration is None:
            self._refuse(event, RoutingErrorKind.NOT_CONFIGURED)
            return
        request = event.request
        terms = request.delegation
        if terms is not None and terms.resumes is not None:
            self._resume(event, terms.resumes, now)
            return
        route = self.state.routes.find(request.host, request.path)
        if not self._accepts_delegation(request.delegation, route):
            self._refuse(event, RoutingErrorKind.REFUSED)
            return
        if route is None:
            self._refuse(event, RoutingErrorKind.NO_ROUTE)
            return
        if self._comes_too_late(event, route, now):
            self._refuse(
                event,
                RoutingErrorKind.REFUSED,
                retry_after_s=OTHER_NODE_RETRY_AFTER_S,
            )
            return
        authentication = authenticate(
            request, route, self.state.routes.accounts
        )
        if not authentication.accepted:
            self._refuse(event, RoutingErrorKind.UNAUTHENTICATED)
            return
        self.quota.admit(
            Arrival(
                context=self.context,
                opened=dataclasses.replace(
                    event, request=authentication.request
                ),
                route=route,
                version=configuration.version,
                now=now,
                account=authentication.account,
            )
        )

    def _start(self, arrival: Arrival) -> None:
        event = arrival.opened
        now = arrival.now
        task = self._build_task(arrival)
        self._tasks[event.exchange] = task
        task.start(now)
        if task.finished:
            self._remove(event.exchange)

    def _resume(
        self, event: ExchangeOpened, exchange: int, now: float
    ) -> None:
        task = self.context.remainders.take(exchange, event.request.request_id)
        if task is None:
            self.context.emit(
                ErrorAnswer(
                    exchange=event.exchange,
                    kind=RoutingErrorKind.EXPIRED,
                    ran=True,
                )
            )
            self.context.log(
                "Refused to resume a delegated query that has ended.",
                event.request.request_id,
            )
            return
        self._tasks.pop(task.exchange, None)
        self._tasks[event.exchange] = task
        task.resume(event, now)

    def _comes_too_late(
        self, event: ExchangeOpened, route: Route, now: float
    ) -> bool:
        """Tell whether the end of the process could cut a request off.

        What may run at most once can't be repeated then; other nodes can
        still take it.
        """
        stop_by = self.state.stop_by
        if self.state.takes_callers or route.idempotent or stop_by is None:
            return False
        patience_s = event.request.patience_s
        limit_s = route.timeout_s
        if patience_s is not None:
            limit_s = min(limit_s, patience_s)
        return now - event.age_s + limit_s > stop_by

    def _accepts_delegation(
        self, terms: DelegationTerms | None, route: Route | None
    ) -> bool:
        if terms is None:
            return True
        return (
            route is not None
            and route.scatter is not None
            and not self.state.draining
        )

    def _build_task(self, arrival: Arrival) -> RequestTask:
        route = arrival.route
        rule = route.scatter
        if rule is None:
            return ForwardTask(
                arrival=arrival,
                service=self._service_selector.choose_service(route),
            )
        terms = arrival.opened.request.delegation
        if terms is not None:
            return DelegatedScatterTask(
                arrival=_apply_terms(arrival, terms), terms=terms
            )
        return ScatterTask(arrival=arrival, rule=rule)

    def _refuse(
        self,
        event: ExchangeOpened,
        kind: RoutingErrorKind,
        retry_after_s: float | None = None,
    ) -> None:
        if retry_after_s is None:
            retry_after_s = spread(RETRY_AFTER_S, self.state.rng)
        self.context.emit(
            ErrorAnswer(
                exchange=event.exchange,
                kind=kind,
                ran=False,
                retry_after_s=retry_after_s,
            )
        )
        self.context.log(
            "Refused a request before routing it.",
            event.request.request_id,
            error=kind.value,
            host=event.request.host,
            path=event.request.path,
            version=self.state.routes.version,
        )

    def _handle_abandoned(self, event: ExchangeAbandoned, now: float) -> None:
        self._startup.discard(event.exchange)
        self.quota.discard(event.exchange)
        task = self._tasks.get(event.exchange)
        if task is None:
            return
        if not task.finished:
            task.abandon(now)
        self._remove(event.exchange)

    def _handle_reply(self, event: AttemptReplied, now: float) -> None:
        attempt = self.context.end(event.attempt)
        if attempt is None:
            return
        if event.condition is not UNKNOWN_CONDITION:
            self._answers.note_answer(attempt, event.condition, now)
            self.context.record_condition(attempt.record, event.condition, now)
        self.context.limits.note_answer(attempt, event.condition, now)
        reply = event.reply
        if reply.succeeded:
            self.context.record_reply(attempt, now, event.condition)
        elif reply.status >= 500:
            self.context.record_failure(attempt, f"status {reply.status}", now)
        if attempt.active:
            attempt.leg.handle_reply(attempt, reply, now)

    def _handle_refusal(self, event: AttemptRefused, now: float) -> None:
        attempt = self.context.end(event.attempt)
        if attempt is None:
            return
        self._answers.note_answer(attempt, event.condition, now)
        self.context.limits.note_answer(attempt, event.condition, now)
        if event.kind is RefusalKind.ADDRESS_REUSED:
            self._remove_replica(attempt.record.incarnation, now)
        else:
            self.context.record_condition(attempt.record, event.condition, now)
        self.context.record_refusal(attempt, now)
        queue = self.context.queues.find(attempt.leg.service)
        if queue is not None and event.kind is RefusalKind.OVERLOADED:
            queue.record_refusal(attempt.record, now)
        if attempt.active:
            attempt.leg.handle_refusal(attempt, now)

    def _handle_failure(self, event: AttemptFailed, now: float) -> None:
        delegation = self.context.delegations.end(event.attempt)
        if delegation is not None:
            if delegation.cancelled_in_time:
                return
            self.context.delegations.avoid_peer(delegation, event.reason, now)
            delegation.task.handle_delegation_failure(
                delegation, sent=event.sent, now=now
            )
            return
        attempt = self.context.end(event.attempt)
        if attempt is None or not attempt.active:
            return
        record = attempt.record
        # What waited for a connection to a replica that is leaving, quiet or
        # limited says nothing of its health.
        withdrawn = (
            record.leaving
            or record.quiet_until > now
            or record.rate_per_s is not None
        )
        if event.sent or not withdrawn:
            self.context.record_failure(attempt, event.reason, now)
        attempt.leg.handle_failure(attempt, sent=event.sent, now=now)

    def _handle_delegation_answer(
        self, event: DelegationAnswered, now: float
    ) -> None:
        delegation = self.context.delegations.end(event.attempt)
        if delegation is not None:
            delegation.peer.answered_at = now
            delegation.task.handle_delegation_answer(
                delegation, event.answer, now
            )

    def _handle_unacknowledged(
        self, event: DelegationUnacknowledged, now: float
    ) -> None:
        delegation = self.context.delegations.find(event.attempt)
        if delegation is not None:
            self.context.delegations.avoid_peer(
                delegation, "query not acknowledged", now
            )
            delegation.task.abandon_delegation(delegation, now)

    def _remove_replica(
        self, incarnation: tuple[str, int], now: float
    ) -> None:
        record = self.state.replicas.find(incarnation[0])
        if record is None or record.incarnation != incarnation:
            return
        self.state.replicas.remove(incarnation[0])
        self.context.emit(CloseReplicaConnections(replica=record.entry))
        self.context.log(
            "Removed a replica whose address now belongs to another one.",
            replica=incarnation[0],
            address=record.entry.address,
            age_s=round(now - record.added_at, 1),
        )

    def _handle_time(self, event: TimerTick, now: float) -> None:
        del event
        for timer in self.context.timers.pop_due(now):
            timer.handle_timeout(now)
        keep_until = self._startup.get_end()
        if keep_until is not None and now >= keep_until:
            self._open_kept(now)
        self._remove_finished()

    def _remove_finished(self) -> None:
        finished = [
            exchange for exchange, task in self._tasks.items() if task.finished
        ]
        for exchange in finished:
            self._remove(exchange)

    def _remove(self, exchange: int) -> None:
        task = self._tasks.pop(exchange)
        self.quota.settle(exchange, ran=task.may_have_run())


def _apply_terms(arrival: Arrival, terms: DelegationTerms) -> Arrival:
    route = dataclasses.replace(
        arrival.route, most_attempts=terms.most_attempts
    )
    return dataclasses.replace(arrival, route=route)
