"""Handles callers' requests from arrival to the answer."""

from collections.abc import Iterable

from bluebellbay.coordination.part import Output
from bluebellbay.coordination.part import Part
from bluebellbay.coordination.postings.at_most_once_run import AtMostOnceRun
from bluebellbay.coordination.queries.admission_control import (
    AdmissionController,
)
from bluebellbay.coordination.queries.dispatch import Dispatcher
from bluebellbay.coordination.queries.dispatch import PART
from bluebellbay.coordination.queries.leg import Leg
from bluebellbay.coordination.queries.leg import RequestExecution
from bluebellbay.coordination.queries.merge import matches_leg
from bluebellbay.coordination.queries.scatter_gather import (
    ScatterGatherExecution,
)
from bluebellbay.coordination.queries.validation import validate_request
from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.command import AnswerCaller
from bluebellbay.protocol.error import NotRunKind
from bluebellbay.protocol.error import UnknownKind
from bluebellbay.protocol.event import AdmissionClosed
from bluebellbay.protocol.event import CallerDisconnected
from bluebellbay.protocol.event import ClaimGranted
from bluebellbay.protocol.event import ClaimHeld
from bluebellbay.protocol.event import ClaimRefused
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import LegFailed
from bluebellbay.protocol.event import LegRefused
from bluebellbay.protocol.event import LegReplied
from bluebellbay.protocol.event import QueriesDrained
from bluebellbay.protocol.event import QueryArrived
from bluebellbay.protocol.event import ServerPolled
from bluebellbay.protocol.key_range import KeyRange
from bluebellbay.protocol.leg import RefusalReason
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.proof import prove_not_sent
from bluebellbay.protocol.request import QueryRequest
from bluebellbay.state.node import NodeState


class QueryPart(Part):
    """Admits callers' requests and passes events on to their executions.

    :param state: The node's shared state.
    """

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        self._dispatcher = Dispatcher(state=state)
        self._by_caller: dict[int, RequestExecution] = {}
        self._by_request_id: dict[str, RequestExecution] = {}
        self._admission_closed = False

    @property
    def event_types(self) -> tuple[type, ...]:
        """The event types that the part subscribes to."""
        return (
            QueryArrived,
            CallerDisconnected,
            LegReplied,
            LegRefused,
            LegFailed,
            ClaimGranted,
            ClaimRefused,
            ClaimHeld,
            ServerPolled,
            AdmissionClosed,
            TimerTick,
        )

    def get_wakeup_time(self) -> float | None:
        """Return the time at which ``TimerTick`` is due.

        :returns: Unix time in seconds, or ``None`` if no timer is set.
        """
        return self._dispatcher.timers.get_next_time()

    def step(self, event: Event, now: float) -> Iterable[Output]:
        """Handle one event, then fire due timers and start admitted requests.

        :param event: The event.
        :param now: Current Unix time in seconds.
        :returns: Commands and internal events, in order.
        """
        match event:
            case LegReplied():
                self._handle_reply(event, now)
            case LegRefused():
                self._handle_refusal(event, now)
            case LegFailed():
                self._handle_failure(event, now)
            case QueryArrived():
                self._handle_query(event, now)
            case CallerDisconnected():
                self._handle_disconnect(event, now)
            case ClaimGranted() | ClaimRefused() | ClaimHeld():
                self._handle_claim(event, now)
            case ServerPolled():
                self._handle_poll(event, now)
            case AdmissionClosed():
                self._close_admission()
        for timed in self._dispatcher.timers.pop_due(now):
            timed.handle_timeout(now)
        for controller in self._dispatcher.admission.values():
            self._start_admitted(controller, now)
        self._remove_finished()
        return self._dispatcher.take_steps()

    def _handle_query(self, event: QueryArrived, now: float) -> None:
        request = event.request
        kind = self._find_not_run_kind(request, now)
        if kind is not None:
            self._answer_not_run(event, kind, now)
            return
        existing = self._by_request_id.get(request.request_id)
        if existing is not None:
            self._refuse_duplicate(event, existing, now)
            return
        profile = self.state.configuration.find_profile(request.profile)
        assert profile is not None  # noqa: S101
        execution_class = (
            ScatterGatherExecution if request.repeatable else AtMostOnceRun
        )
        execution = execution_class(
            dispatcher=self._dispatcher,
            caller=event.caller,
            request=request,
            profile=profile,
            now=now,
        )
        self._by_caller[event.caller] = execution
        if request.request_id:
            self._by_request_id[request.request_id] = execution
        if self._dispatcher.admission[request.index].admit(execution, now):
            execution.start(now)

    def _start_admitted(
        self, controller: AdmissionController, now: float
    ) -> None:
        for shed in controller.pop_shed():
            self._answer_unstarted(shed, NotRunKind.OVERLOADED, now)
        while (execution := controller.pop_admitted(now)) is not None:
            expires_at = execution.request.expires_at
            if expires_at is not None and expires_at <= now:
                self._answer_unstarted(execution, NotRunKind.EXPIRED, now)
                continue
            execution.start(now)

    def _answer_unstarted(
        self, execution: RequestExecution, kind: NotRunKind, now: float
    ) -> None:
        dispatcher = self._dispatcher
        proof = execution.ledger.prove_not_run().value
        answer = dispatcher.answer_builder.build_not_run(
            execution.request, kind, proof, now
        )
        dispatcher.finish(execution)
        dispatcher.send_answer(execution, answer)

    def _find_not_run_kind(
        self, request: QueryRequest, now: float
    ) -> NotRunKind | None:
        if self._admission_closed:
            return NotRunKind.SHUTTING_DOWN
        kind = validate_request(request, self.state, now)
        if kind is not None:
            return kind
        if len(self._by_caller) >= self.state.settings.limits.queries:
            return NotRunKind.OVERLOADED
        return None

    def _answer_not_run(
        self, event: QueryArrived, kind: NotRunKind, now: float
    ) -> None:
        proof = prove_not_sent()
        answer = self._dispatcher.answer_builder.build_not_run(
            event.request, kind, proof, now
        )
        self._answer_refused(event, kind, answer)

    def _refuse_duplicate(
        self, event: QueryArrived, existing: RequestExecution, now: float
    ) -> None:
        if event.request.repeatable and existing.request.repeatable:
            self._answer_not_run(event, NotRunKind.REQUEST_ID_IN_USE, now)
            return
        # The attempt in progress may still run. If the answer were "not run",
        # the caller could send the request again under another id and have
        # it run twice.
        kind = UnknownKind.CLAIMED_ELSEWHERE
        answer = self._dispatcher.answer_builder.build_failure(
            event.request, kind, now
        )
        self._answer_refused(event, kind, answer)

    def _answer_refused(
        self,
        event: QueryArrived,
        kind: NotRunKind | UnknownKind,
        answer: Answer,
    ) -> None:
        self._log_refusal(event, kind.value)
        self._dispatcher.emit(AnswerCaller(caller=event.caller, answer=answer))

    def _log_refusal(self, event: QueryArrived, kind: str) -> None:
        if not self.state.settings.log.decisions:
            return
        self._dispatcher.emit(
            LogDecision(
                part=PART,
                sentence=f"Refused the request on arrival: {kind}.",
                request_id=event.request.request_id,
            )
        )

    def _handle_disconnect(
        self, event: CallerDisconnected, now: float
    ) -> None:
        execution = self._by_caller.get(event.caller)
        if execution is None:
            return
        if self._dispatcher.admission[execution.request.index].remove(
            execution
        ):
            self._dispatcher.finish(execution)
            return
        execution.handle_disconnect(now)

    def _handle_reply(self, event: LegReplied, now: float) -> None:
        leg = self._find_leg(event.server, event.attempt)
        if leg is None:
            return
        dispatcher = self._dispatcher
        pending = dispatcher.end(leg)
        reply = event.reply
        if reply.attempt != leg.attempt or not matches_leg(
            reply,
            snapshot=leg.snapshot,
            start=leg.task.start,
            end=leg.task.end,
        ):
            dispatcher.counters.dropped += 1
            if pending:
                dispatcher.record_failure(leg, now)
                leg.execution.handle_failure(
                    leg, sent=True, expired=False, now=now
                )
            return
        leg.record.reported_load = reply.load
        if not pending:
            dispatcher.counters.dropped += 1
            return
        dispatcher.record_reply(leg, now)
        leg.execution.handle_reply(leg, reply, now)

    def _handle_refusal(self, event: LegRefused, now: float) -> None:
        leg = self._find_leg(event.server, event.attempt)
        if leg is None:
            return
        dispatcher = self._dispatcher
        pending = dispatcher.end(leg)
        refusal = event.refusal
        if refusal.attempt != leg.attempt:
            dispatcher.counters.dropped += 1
            if pending:
                dispatcher.record_failure(leg, now)
                leg.execution.handle_failure(
                    leg, sent=True, expired=False, now=now
                )
            return
        dispatcher.record_not_executed(leg)
        leg.record.reported_load = refusal.load
        self._record_refusal(leg, refusal.reason, now)
        if pending:
            leg.execution.handle_refusal(leg, refusal, now)

    def _handle_failure(self, event: LegFailed, now: float) -> None:
        leg = self._find_leg(event.server, event.attempt)
        if leg is None:
            return
        dispatcher = self._dispatcher
        pending = dispatcher.end(leg)
        if not event.sent:
            dispatcher.record_not_executed(leg)
        if not pending:
            return
        if not event.expired:
            dispatcher.record_failure(leg, now)
        leg.execution.handle_failure(
            leg, sent=event.sent, expired=event.expired, now=now
        )

    def _find_leg(self, server: str, attempt: str) -> Leg | None:
        leg = self._dispatcher.legs.get(attempt)
        if leg is None or leg.server != server:
            self._dispatcher.counters.dropped += 1
            return None
        return leg

    def _record_refusal(
        self, leg: Leg, reason: RefusalReason, now: float
    ) -> None:
        table = self.state.servers.holdings[leg.execution.request.index]
        match reason:
            case RefusalReason.NOT_HELD:
                denied_range = KeyRange(start=leg.task.start, end=leg.task.end)
                table.record_denial(
                    server=leg.server,
                    snapshot=leg.snapshot,
                    key_range=denied_range,
                    now=now,
                )
            case RefusalReason.SNAPSHOT_GONE:
                table.record_snapshot_denial(
                    server=leg.server, snapshot=leg.snapshot, now=now
                )
            case RefusalReason.OVERLOADED:
                dispatcher = self._dispatcher
                dispatcher.admission[
                    leg.execution.request.index
                ].record_overload(now)

    def _handle_poll(self, event: ServerPolled, now: float) -> None:
        dispatcher = self._dispatcher
        dispatcher.poll_tracker.end(event.server)
        for execution in tuple(dispatcher.awaiting_polls):
            execution.handle_poll(event.server, now)

    def _handle_claim(
        self, event: ClaimGranted | ClaimRefused | ClaimHeld, now: float
    ) -> None:
        execution = self._by_request_id.get(event.request_id)
        if not isinstance(execution, AtMostOnceRun):
            return
        match event:
            case ClaimGranted():
                execution.handle_claim_granted(now)
            case ClaimRefused():
                execution.handle_claim_refused(now)
            case ClaimHeld():
                execution.handle_claim_held(event.outcome, now)

    def _close_admission(self) -> None:
        if self._admission_closed:
            return
        self._admission_closed = True
        if not self._by_caller:
            self._dispatcher.emit(QueriesDrained())

    def _remove_finished(self) -> None:
        finished = self._dispatcher.finished_executions
        if not finished:
            return
        for execution in finished:
            del self._by_caller[execution.caller]
            self._dispatcher.awaiting_polls.pop(execution, None)
            if execution.request.request_id:
                del self._by_request_id[execution.request.request_id]
        finished.clear()
        if self._admission_closed and not self._by_caller:
            self._dispatcher.emit(QueriesDrained())
