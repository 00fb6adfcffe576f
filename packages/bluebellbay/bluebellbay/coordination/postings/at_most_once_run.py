"""Execution of a non-repeatable request: one claim, at most one execution."""

from typing import Protocol

from automat import TypeMachineBuilder

from bluebellbay.coordination.queries.dispatch import Dispatcher
from bluebellbay.coordination.queries.leg import Leg
from bluebellbay.coordination.queries.leg import RangeTask
from bluebellbay.coordination.queries.leg import RequestExecution
from bluebellbay.coordination.queries.merge import ReplyMerger
from bluebellbay.coordination.queries.snapshot import ReadPlan
from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.error import NotRunKind
from bluebellbay.protocol.error import Outcome
from bluebellbay.protocol.error import UnknownKind
from bluebellbay.protocol.event import ClaimFinished
from bluebellbay.protocol.event import ClaimRequested
from bluebellbay.protocol.key_range import KEY_SPACE_END
from bluebellbay.protocol.leg import LegRefusal
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.leg import RefusalReason
from bluebellbay.protocol.profile import Profile
from bluebellbay.protocol.request import QueryRequest

# Time after the deadline in which a leg may still bring the outcome that is
# recorded.
OUTCOME_GRACE_S = 2.0


class _Inputs(Protocol):
    def grant(self, now: float) -> None:
        """The claim was granted to this node."""

    def set_outcome(self, answer: Answer) -> None:
        """The outcome is known."""

    def lose_claim(self, answer: Answer) -> None:
        """Another attempt holds the claim."""

    def time_out(self, now: float) -> None:
        """The deadline of the request has passed."""


class AtMostOnceRun(RequestExecution):
    """Executes a request at most once, under a claim in the platform's store.

    :param dispatcher: Services that the runs of this node share.
    :param caller: Number of the exchange with the caller.
    :param request: The request, which has an expiry.
    :param profile: The profile in force when the request arrived.
    :param now: Current time in seconds.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        caller: int,
        request: QueryRequest,
        profile: Profile,
        now: float,
    ) -> None:
        super().__init__(
            caller=caller, request=request, profile=profile, now=now
        )
        self._dispatcher = dispatcher
        self._answered = False
        self._task: RangeTask | None = None
        self._snapshot = 0
        self._refusal_kind: NotRunKind | None = None
        self._machine = _build_machine(self)

    def start(self, now: float) -> None:
        """Request the claim.

        :param now: Current time in seconds.
        """
        assert self.request.expires_at is not None  # noqa: S101
        self._dispatcher.timers.add(self.deadline, self)
        self._dispatcher.emit(
            ClaimRequested(
                request_id=self.request.request_id,
                expires_at=self.request.expires_at,
                deadline=self.deadline,
            )
        )

    def handle_timeout(self, now: float) -> None:
        """Answer the caller with what is known, if the deadline has passed.

        :param now: Current time in seconds.
        """
        if now >= self.deadline:
            self._machine.time_out(now)

    def handle_claim_granted(self, now: float) -> None:
        """Send the request, as its claim was granted to this node.

        :param now: Current time in seconds.
        """
        self._machine.grant(now)

    def handle_claim_refused(self, now: float) -> None:
        """Answer not-run, as the store did not accept the claim in time.

        :param now: Current time in seconds.
        """
        self._finish_not_run(NotRunKind.STORE_UNAVAILABLE, now)

    def handle_claim_held(self, outcome: Answer | None, now: float) -> None:
        """Answer with the outcome of the attempt that holds the claim.

        :param outcome: The recorded outcome; if ``None``, the caller is told
            that the outcome is unknown.
        :param now: Current time in seconds.
        """
        if outcome is None:
            outcome = self._dispatcher.answer_builder.build_failure(
                self.request, UnknownKind.CLAIMED_ELSEWHERE, now
            )
        self._machine.lose_claim(outcome)

    def handle_reply(self, leg: Leg, reply: LegReply, now: float) -> None:
        """Answer the caller from the reply, and record it as the outcome.

        :param leg: The leg, which has just ended.
        :param reply: The reply to the leg.
        :param now: Current time in seconds.
        """
        merger = ReplyMerger(snapshot=reply.snapshot)
        merger.add(reply)
        self._machine.set_outcome(
            Answer(
                request_id=self.request.request_id,
                outcome=Outcome.ANSWERED,
                profile=self.request.profile,
                snapshot=reply.snapshot,
                coverage=merger.compute_coverage(),
                config_revision=self._dispatcher.state.configuration.revision,
                config_confirmed=self._dispatcher.answer_builder.is_confirmed(
                    now
                ),
                rows=merger.list_rows(),
            )
        )

    def handle_refusal(
        self, leg: Leg, refusal: LegRefusal, now: float
    ) -> None:
        """Send to another server, as this one did not execute the leg.

        A leg that was refused as expired is not sent again.

        :param leg: The leg, which has just ended.
        :param refusal: The refusal.
        :param now: Current time in seconds.
        """
        self._refusal_kind = NotRunKind.REFUSED_BY_SERVERS
        if refusal.reason is RefusalReason.EXPIRED:
            self._finish_not_run(NotRunKind.EXPIRED, now)
            return
        self.send_leg(now)

    def handle_failure(
        self, leg: Leg, *, sent: bool, expired: bool, now: float
    ) -> None:
        """Send to another server only if no byte of the leg was sent.

        A server may have executed a leg of which any byte was sent, so its
        outcome is unknown.

        :param leg: The leg, which has just ended.
        :param sent: False only if no byte of the leg left this process.
        :param expired: Whether the transport did not send the leg because
            the request had expired.
        :param now: Current time in seconds.
        """
        if sent:
            self._machine.set_outcome(
                self._dispatcher.answer_builder.build_failure(
                    self.request, UnknownKind.OUTCOME_LOST, now
                )
            )
            return
        if expired:
            self._finish_not_run(NotRunKind.EXPIRED, now)
            return
        self.send_leg(now)

    def handle_disconnect(self, now: float) -> None:
        """Continue without answering, so that the outcome is recorded.

        :param now: Current time in seconds.
        """
        self._answered = True

    def send_leg(self, now: float) -> None:
        """Send to a server that has not been tried yet, if time is left.

        :param now: Current time in seconds.
        """
        expires_at = self.request.expires_at
        if expires_at is None or expires_at <= now:
            self._finish_not_run(NotRunKind.EXPIRED, now)
            return
        if self.deadline <= now:
            kind = self._refusal_kind or NotRunKind.DELAY_PASSED_UNSENT
            self._finish_not_run(kind, now)
            return
        dispatcher = self._dispatcher
        if self._task is None:
            self._task = self._plan_task(now)
        task = self._task
        if task is None:
            self._finish_not_run(NotRunKind.NO_SERVER, now)
            return
        record = dispatcher.chooser.choose(
            task.servers, task.tried_servers, now
        )
        if record is None:
            kind = self._refusal_kind or NotRunKind.NO_SERVER
            self._finish_not_run(kind, now)
            return
        dispatcher.counters.first_legs += 1
        dispatcher.send_leg(
            self,
            task,
            record,
            snapshot=self._snapshot,
            sentence="Sent the claimed request to one server.",
            timeout_s=self.deadline - now + OUTCOME_GRACE_S,
            now=now,
        )

    def answer_store_unavailable(self, now: float) -> None:
        """Answer not-run, as the claim was not granted by the deadline.

        :param now: Current time in seconds.
        """
        proof = self.ledger.prove_not_run()
        self.record_outcome(
            self._dispatcher.answer_builder.build_not_run(
                self.request, NotRunKind.STORE_UNAVAILABLE, proof.value, now
            )
        )

    def answer_unknown(self, now: float) -> None:
        """Answer that the outcome is not known at the deadline.

        :param now: Current time in seconds.
        """
        self._answer_once(
            self._dispatcher.answer_builder.build_failure(
                self.request, UnknownKind.OUTCOME_LOST, now
            )
        )

    def record_outcome(self, answer: Answer) -> None:
        """Pass on the outcome to be recorded, and finish the run.

        :param answer: The outcome.
        """
        self._dispatcher.emit(
            ClaimFinished(request_id=self.request.request_id, answer=answer)
        )
        self.finish(answer)

    def finish(self, answer: Answer) -> None:
        """Finish the run, and answer the caller unless that is done.

        :param answer: The answer.
        """
        self._dispatcher.finish(self)
        self._answer_once(answer)

    def _answer_once(self, answer: Answer) -> None:
        if self._answered:
            return
        self._answered = True
        self._dispatcher.send_answer(self, answer)

    def _finish_not_run(self, kind: NotRunKind, now: float) -> None:
        proof = self.ledger.prove_not_run()
        if proof.is_none():
            answer = self._dispatcher.answer_builder.build_failure(
                self.request, UnknownKind.OUTCOME_LOST, now
            )
        else:
            answer = self._dispatcher.answer_builder.build_not_run(
                self.request, kind, proof.value, now
            )
        self._machine.set_outcome(answer)

    def _plan_task(self, now: float) -> RangeTask | None:
        plan = self._dispatcher.planner.choose_snapshot(
            self.request.index, now
        )
        if plan is None:
            return None
        self._snapshot = plan.snapshot
        key = self.request.key
        if key is None:
            return RangeTask(
                execution=self,
                start=0,
                end=KEY_SPACE_END,
                servers=_list_plan_servers(plan),
            )
        for segment in plan.segments:
            if segment.start <= key < segment.end:
                return RangeTask(
                    execution=self,
                    start=key,
                    end=key + 1,
                    servers=segment.servers,
                )
        return None


def _list_plan_servers(plan: ReadPlan) -> tuple[str, ...]:
    names = (name for segment in plan.segments for name in segment.servers)
    return tuple(dict.fromkeys(names))


def _do_send_leg(inputs: _Inputs, run: AtMostOnceRun, now: float) -> None:
    run.send_leg(now)


def _do_answer_store_unavailable(
    inputs: _Inputs, run: AtMostOnceRun, now: float
) -> None:
    run.answer_store_unavailable(now)


def _do_answer_unknown(
    inputs: _Inputs, run: AtMostOnceRun, now: float
) -> None:
    run.answer_unknown(now)


def _do_record_outcome(
    inputs: _Inputs, run: AtMostOnceRun, answer: Answer
) -> None:
    run.record_outcome(answer)


def _do_finish(inputs: _Inputs, run: AtMostOnceRun, answer: Answer) -> None:
    run.finish(answer)


def _make_builder() -> TypeMachineBuilder[_Inputs, AtMostOnceRun]:
    builder = TypeMachineBuilder(_Inputs, AtMostOnceRun)
    claiming = builder.state("claiming")
    sent = builder.state("sent")
    outcome_pending = builder.state("outcome_pending")
    finished = builder.state("finished")
    claiming.upon(_Inputs.grant).to(sent)(_do_send_leg)
    claiming.upon(_Inputs.set_outcome).to(finished)(_do_record_outcome)
    claiming.upon(_Inputs.lose_claim).to(finished)(_do_finish)
    claiming.upon(_Inputs.time_out).to(finished)(_do_answer_store_unavailable)
    sent.upon(_Inputs.set_outcome).to(finished)(_do_record_outcome)
    sent.upon(_Inputs.time_out).to(outcome_pending)(_do_answer_unknown)
    outcome_pending.upon(_Inputs.set_outcome).to(finished)(_do_record_outcome)
    for state in (sent, outcome_pending, finished):
        state.upon(_Inputs.grant).loop().returns(None)
        state.upon(_Inputs.lose_claim).loop().returns(None)
    for state in (outcome_pending, finished):
        state.upon(_Inputs.time_out).loop().returns(None)
    finished.upon(_Inputs.set_outcome).loop().returns(None)
    return builder


_build_machine = _make_builder().build()
