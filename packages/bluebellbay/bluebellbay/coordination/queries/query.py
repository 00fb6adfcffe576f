"""Queries of callers: from arrival to the one answer."""

from collections.abc import Iterable

from bluebellbay.coordination.part import Output
from bluebellbay.coordination.part import Part
from bluebellbay.coordination.postings.posting import Posting
from bluebellbay.coordination.queries.admission import check_request
from bluebellbay.coordination.queries.dispatch import Dispatcher
from bluebellbay.coordination.queries.dispatch import PART
from bluebellbay.coordination.queries.gate import AdmissionGate
from bluebellbay.coordination.queries.leg import Leg
from bluebellbay.coordination.queries.leg import Run
from bluebellbay.coordination.queries.merge import fits_leg
from bluebellbay.coordination.queries.search import Search
from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.command import AnswerCaller
from bluebellbay.protocol.command import LogDecision
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
from bluebellbay.protocol.event import TimerTick
from bluebellbay.protocol.key_range import KeyRange
from bluebellbay.protocol.leg import RefusalReason
from bluebellbay.protocol.proof import prove_not_sent
from bluebellbay.protocol.request import QueryRequest
from bluebellbay.state.node import NodeState


class QueryPart(Part):
    """Decides everything about callers' requests.

    :param state: The node's shared state.
    """

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        self._dispatcher = Dispatcher(state=state)
        self._by_caller: dict[int, Run] = {}
        self._by_request_id: dict[str, Run] = {}
        self._closed = False

    @property
    def event_types(self) -> tuple[type, ...]:
        """The kinds of event that the part wants to be told."""
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
        """Name the time at which ``TimerTick`` is due.

        :returns: Time in seconds, or none if no timer is set.
        """
        return self._dispatcher.timers.get_next_time()

    def step(self, event: Event, now: float) -> Iterable[Output]:
        """Take one event.

        :param event: The event.
        :param now: Present time in seconds, Unix time.
        :returns: Commands and internal events, in order.
        """
        match event:
            case LegReplied():
                self._take_reply(event, now)
            case LegRefused():
                self._take_refusal(event, now)
            case LegFailed():
                self._take_failure(event, now)
            case QueryArrived():
                self._take_query(event, now)
            case CallerDisconnected():
                self._take_gone(event, now)
            case ClaimGranted() | ClaimRefused() | ClaimHeld():
                self._take_claim(event, now)
            case ServerPolled():
                self._take_report(event, now)
            case AdmissionClosed():
                self._close_admission()
        for timed in self._dispatcher.timers.pop_due(now):
            timed.handle_timeout(now)
        for gate in self._dispatcher.gates.values():
            self._pass_gate(gate, now)
        self._forget_finished()
        return self._dispatcher.drain()

    def _take_query(self, event: QueryArrived, now: float) -> None:
        request = event.request
        kind = self._find_fault(request, now)
        if kind is not None:
            self._refuse(event, kind, now)
            return
        rival = self._by_request_id.get(request.request_id)
        if rival is not None:
            self._refuse_rival(event, rival, now)
            return
        profile = self.state.configuration.find_profile(request.profile)
        assert profile is not None  # noqa: S101
        run_class = Search if request.repeatable else Posting
        run = run_class(
            dispatcher=self._dispatcher,
            caller=event.caller,
            request=request,
            profile=profile,
            now=now,
        )
        self._by_caller[event.caller] = run
        if request.request_id:
            self._by_request_id[request.request_id] = run
        if self._dispatcher.gates[request.index].admit(run, now):
            run.start(now)

    def _pass_gate(self, gate: AdmissionGate, now: float) -> None:
        for shed in gate.pop_shed():
            self._drop_unstarted(shed, NotRunKind.OVERLOADED, now)
        while (run := gate.pop_admitted(now)) is not None:
            expires_at = run.request.expires_at
            if expires_at is not None and expires_at <= now:
                self._drop_unstarted(run, NotRunKind.EXPIRED, now)
                continue
            run.start(now)

    def _drop_unstarted(self, run: Run, kind: NotRunKind, now: float) -> None:
        dispatcher = self._dispatcher
        proof = run.ledger.prove_not_run().value
        answer = dispatcher.answers.build_not_run(
            run.request, kind, proof, now
        )
        dispatcher.finish(run)
        dispatcher.answer(run, answer)

    def _find_fault(
        self, request: QueryRequest, now: float
    ) -> NotRunKind | None:
        if self._closed:
            return NotRunKind.SHUTTING_DOWN
        kind = check_request(request, self.state, now)
        if kind is not None:
            return kind
        if len(self._by_caller) >= self.state.settings.limits.queries:
            return NotRunKind.OVERLOADED
        return None

    def _refuse(
        self, event: QueryArrived, kind: NotRunKind, now: float
    ) -> None:
        proof = prove_not_sent()
        answer = self._dispatcher.answers.build_not_run(
            event.request, kind, proof, now
        )
        self._turn_away(event, kind, answer)

    def _refuse_rival(
        self, event: QueryArrived, rival: Run, now: float
    ) -> None:
        if event.request.repeatable and rival.request.repeatable:
            self._refuse(event, NotRunKind.REQUEST_ID_IN_USE, now)
            return
        # The attempt under way may run, so "not run" would mislead whoever
        # then posts again under another id.
        kind = UnknownKind.CLAIMED_ELSEWHERE
        answer = self._dispatcher.answers.build_failure(
            event.request, kind, now
        )
        self._turn_away(event, kind, answer)

    def _turn_away(
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
                sentence=f"Refused as {kind}.",
                request_id=event.request.request_id,
            )
        )

    def _take_gone(self, event: CallerDisconnected, now: float) -> None:
        run = self._by_caller.get(event.caller)
        if run is None:
            return
        if self._dispatcher.gates[run.request.index].remove(run):
            self._dispatcher.finish(run)
            return
        run.abandon(now)

    def _take_reply(self, event: LegReplied, now: float) -> None:
        leg = self._find_leg(event.server, event.attempt)
        if leg is None:
            return
        dispatcher = self._dispatcher
        wanted = dispatcher.end(leg)
        reply = event.reply
        if reply.attempt != leg.attempt or not fits_leg(
            reply,
            snapshot=leg.snapshot,
            start=leg.task.start,
            end=leg.task.end,
        ):
            dispatcher.counters.dropped += 1
            if wanted:
                dispatcher.note_failure(leg, now)
                leg.run.take_failure(leg, sent=True, expired=False, now=now)
            return
        leg.record.reported_load = reply.load
        if not wanted:
            dispatcher.counters.dropped += 1
            return
        dispatcher.note_reply(leg, now)
        leg.run.take_reply(leg, reply, now)

    def _take_refusal(self, event: LegRefused, now: float) -> None:
        leg = self._find_leg(event.server, event.attempt)
        if leg is None:
            return
        dispatcher = self._dispatcher
        wanted = dispatcher.end(leg)
        refusal = event.refusal
        if refusal.attempt != leg.attempt:
            dispatcher.counters.dropped += 1
            if wanted:
                dispatcher.note_failure(leg, now)
                leg.run.take_failure(leg, sent=True, expired=False, now=now)
            return
        dispatcher.note_not_run(leg)
        leg.record.reported_load = refusal.load
        self._note_refusal(leg, refusal.reason, now)
        if wanted:
            leg.run.take_refusal(leg, refusal, now)

    def _take_failure(self, event: LegFailed, now: float) -> None:
        leg = self._find_leg(event.server, event.attempt)
        if leg is None:
            return
        dispatcher = self._dispatcher
        wanted = dispatcher.end(leg)
        if not event.sent:
            dispatcher.note_not_run(leg)
        if not wanted:
            return
        if not event.expired:
            dispatcher.note_failure(leg, now)
        leg.run.take_failure(
            leg, sent=event.sent, expired=event.expired, now=now
        )

    def _find_leg(self, server: str, attempt: str) -> Leg | None:
        leg = self._dispatcher.legs.get(attempt)
        if leg is None or leg.server != server:
            self._dispatcher.counters.dropped += 1
            return None
        return leg

    def _note_refusal(
        self, leg: Leg, reason: RefusalReason, now: float
    ) -> None:
        table = self.state.servers.holdings[leg.run.request.index]
        match reason:
            case RefusalReason.NOT_HELD:
                denied = KeyRange(start=leg.task.start, end=leg.task.end)
                table.record_denial(
                    server=leg.server,
                    snapshot=leg.snapshot,
                    key_range=denied,
                    now=now,
                )
            case RefusalReason.SNAPSHOT_GONE:
                table.record_snapshot_denial(
                    server=leg.server, snapshot=leg.snapshot, now=now
                )
            case RefusalReason.OVERLOADED:
                dispatcher = self._dispatcher
                dispatcher.gates[leg.run.request.index].note_overload(now)

    def _take_report(self, event: ServerPolled, now: float) -> None:
        dispatcher = self._dispatcher
        dispatcher.polls.end(event.server)
        for run in tuple(dispatcher.waiting):
            run.review(event.server, now)

    def _take_claim(
        self, event: ClaimGranted | ClaimRefused | ClaimHeld, now: float
    ) -> None:
        run = self._by_request_id.get(event.request_id)
        if not isinstance(run, Posting):
            return
        match event:
            case ClaimGranted():
                run.take_grant(now)
            case ClaimRefused():
                run.take_store_failure(now)
            case ClaimHeld():
                run.take_held(event.outcome, now)

    def _close_admission(self) -> None:
        if self._closed:
            return
        self._closed = True
        if not self._by_caller:
            self._dispatcher.emit(QueriesDrained())

    def _forget_finished(self) -> None:
        finished = self._dispatcher.finished
        if not finished:
            return
        for run in finished:
            del self._by_caller[run.caller]
            self._dispatcher.waiting.pop(run, None)
            if run.request.request_id:
                del self._by_request_id[run.request.request_id]
        finished.clear()
        if self._closed and not self._by_caller:
            self._dispatcher.emit(QueriesDrained())
