"""A request that is not repeatable: one claim, one leg, one outcome."""

from typing import Protocol

from automat import TypeMachineBuilder

from bluebellbay.coordination.queries.dispatch import Dispatcher
from bluebellbay.coordination.queries.leg import Leg
from bluebellbay.coordination.queries.leg import Run
from bluebellbay.coordination.queries.leg import Task
from bluebellbay.coordination.queries.merge import Merger
from bluebellbay.coordination.queries.snapshot import Plan
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

OUTCOME_WAIT_S = 2.0


class _Inputs(Protocol):
    def grant(self, now: float) -> None:
        """The claim is this node's."""

    def settle(self, answer: Answer) -> None:
        """The outcome is known."""

    def yield_to(self, answer: Answer) -> None:
        """Another attempt holds the claim."""

    def pass_delay(self, now: float) -> None:
        """The delay has passed."""


class Posting(Run):
    """Runs a request at most once, under a claim in the platform's store.

    :param dispatcher: What the runs of this node share.
    :param caller: Number of the exchange with the caller.
    :param request: The request.
    :param profile: The profile in force when it arrived.
    :param now: Present time in seconds.
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
        self._task: Task | None = None
        self._snapshot = 0
        self._refusal: NotRunKind | None = None
        self._machine = _build_machine(self)

    def start(self, now: float) -> None:
        """Ask for the claim.

        :param now: Present time in seconds.
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
        """Tell the caller what is known, as the delay has passed.

        :param now: Present time in seconds.
        """
        if now >= self.deadline:
            self._machine.pass_delay(now)

    def take_grant(self, now: float) -> None:
        """Send, as the claim is this node's.

        :param now: Present time in seconds.
        """
        self._machine.grant(now)

    def take_store_failure(self, now: float) -> None:
        """Refuse, as the store could not take the claim.

        :param now: Present time in seconds.
        """
        self._settle_not_run(NotRunKind.STORE_UNAVAILABLE, now)

    def take_held(self, outcome: Answer | None, now: float) -> None:
        """Report what is known of the attempt that holds the claim.

        :param outcome: The outcome that it recorded, if any.
        :param now: Present time in seconds.
        """
        if outcome is None:
            outcome = self._dispatcher.answers.build_failure(
                self.request, UnknownKind.CLAIMED_ELSEWHERE, now
            )
        self._machine.yield_to(outcome)

    def take_reply(self, leg: Leg, reply: LegReply, now: float) -> None:
        """Take the outcome.

        :param leg: The leg.
        :param reply: A reply that fits it.
        :param now: Present time in seconds.
        """
        merger = Merger(snapshot=reply.snapshot)
        merger.add(reply)
        self._machine.settle(
            Answer(
                request_id=self.request.request_id,
                outcome=Outcome.ANSWERED,
                profile=self.request.profile,
                snapshot=reply.snapshot,
                coverage=merger.measure(),
                config_revision=self._dispatcher.state.configuration.revision,
                config_confirmed=self._dispatcher.answers.is_confirmed(now),
                rows=merger.list_rows(),
            )
        )

    def take_refusal(self, leg: Leg, refusal: LegRefusal, now: float) -> None:
        """Try another server, as this one ran nothing.

        :param leg: The leg.
        :param refusal: The refusal.
        :param now: Present time in seconds.
        """
        self._refusal = NotRunKind.REFUSED_BY_SERVERS
        if refusal.reason is RefusalReason.EXPIRED:
            self._settle_not_run(NotRunKind.EXPIRED, now)
            return
        self.send(now)

    def take_failure(
        self, leg: Leg, *, sent: bool, expired: bool, now: float
    ) -> None:
        """Try another server only if no byte left this process.

        :param leg: The leg.
        :param sent: False only if no byte of it left this process.
        :param expired: Whether the transport held it back as expired.
        :param now: Present time in seconds.
        """
        if sent:
            self._machine.settle(
                self._dispatcher.answers.build_failure(
                    self.request, UnknownKind.OUTCOME_LOST, now
                )
            )
            return
        if expired:
            self._settle_not_run(NotRunKind.EXPIRED, now)
            return
        self.send(now)

    def abandon(self, now: float) -> None:
        """Go on for the sake of the outcome record.

        :param now: Present time in seconds.
        """
        self._answered = True

    def send(self, now: float) -> None:
        """Send to a server that has not been asked, if there is time.

        :param now: Present time in seconds.
        """
        expires_at = self.request.expires_at
        if expires_at is None or expires_at <= now:
            self._settle_not_run(NotRunKind.EXPIRED, now)
            return
        if self.deadline <= now:
            kind = self._refusal or NotRunKind.DELAY_PASSED_UNSENT
            self._settle_not_run(kind, now)
            return
        dispatcher = self._dispatcher
        if self._task is None:
            self._task = self._find_target(now)
        task = self._task
        if task is None:
            self._settle_not_run(NotRunKind.NO_SERVER, now)
            return
        record = dispatcher.chooser.choose(task.servers, task.tried, now)
        if record is None:
            kind = self._refusal or NotRunKind.NO_SERVER
            self._settle_not_run(kind, now)
            return
        dispatcher.counters.first_legs += 1
        dispatcher.send(
            self,
            task,
            record,
            snapshot=self._snapshot,
            sentence="Placed the only leg.",
            timeout_s=self.deadline - now + OUTCOME_WAIT_S,
            now=now,
        )

    def refuse_unsent(self, now: float) -> None:
        """Answer that the store took no claim before the delay passed.

        :param now: Present time in seconds.
        """
        proof = self.ledger.prove_not_run()
        self.conclude(
            self._dispatcher.answers.build_not_run(
                self.request, NotRunKind.STORE_UNAVAILABLE, proof.value, now
            )
        )

    def answer_unknown(self, now: float) -> None:
        """Tell the caller that the outcome is not known yet.

        :param now: Present time in seconds.
        """
        self._answer(
            self._dispatcher.answers.build_failure(
                self.request, UnknownKind.OUTCOME_LOST, now
            )
        )

    def conclude(self, answer: Answer) -> None:
        """Record the outcome, and answer unless that is done.

        :param answer: The outcome.
        """
        self._dispatcher.emit(
            ClaimFinished(request_id=self.request.request_id, answer=answer)
        )
        self.give_up_claim(answer)

    def give_up_claim(self, answer: Answer) -> None:
        """Answer without recording, as the claim is another's.

        :param answer: What is known.
        """
        self._dispatcher.finish(self)
        self._answer(answer)

    def _answer(self, answer: Answer) -> None:
        if self._answered:
            return
        self._answered = True
        self._dispatcher.answer(self, answer)

    def _settle_not_run(self, kind: NotRunKind, now: float) -> None:
        proof = self.ledger.prove_not_run()
        if proof.is_none():
            answer = self._dispatcher.answers.build_failure(
                self.request, UnknownKind.OUTCOME_LOST, now
            )
        else:
            answer = self._dispatcher.answers.build_not_run(
                self.request, kind, proof.value, now
            )
        self._machine.settle(answer)

    def _find_target(self, now: float) -> Task | None:
        plan = self._dispatcher.planner.choose(self.request.index, now)
        if plan is None:
            return None
        self._snapshot = plan.snapshot
        key = self.request.key
        if key is None:
            return Task(
                run=self, start=0, end=KEY_SPACE_END, servers=_list_all(plan)
            )
        for segment in plan.segments:
            if segment.start <= key < segment.end:
                return Task(
                    run=self, start=key, end=key + 1, servers=segment.servers
                )
        return None


def _list_all(plan: Plan) -> tuple[str, ...]:
    names = (name for segment in plan.segments for name in segment.servers)
    return tuple(dict.fromkeys(names))


def _do_send(inputs: _Inputs, run: Posting, now: float) -> None:
    run.send(now)


def _do_refuse_unsent(inputs: _Inputs, run: Posting, now: float) -> None:
    run.refuse_unsent(now)


def _do_answer_unknown(inputs: _Inputs, run: Posting, now: float) -> None:
    run.answer_unknown(now)


def _do_conclude(inputs: _Inputs, run: Posting, answer: Answer) -> None:
    run.conclude(answer)


def _do_give_up(inputs: _Inputs, run: Posting, answer: Answer) -> None:
    run.give_up_claim(answer)


def _make_builder() -> TypeMachineBuilder[_Inputs, Posting]:
    builder = TypeMachineBuilder(_Inputs, Posting)
    claiming = builder.state("claiming")
    sent = builder.state("sent")
    late = builder.state("late")
    over = builder.state("over")
    claiming.upon(_Inputs.grant).to(sent)(_do_send)
    claiming.upon(_Inputs.settle).to(over)(_do_conclude)
    claiming.upon(_Inputs.yield_to).to(over)(_do_give_up)
    claiming.upon(_Inputs.pass_delay).to(over)(_do_refuse_unsent)
    sent.upon(_Inputs.settle).to(over)(_do_conclude)
    sent.upon(_Inputs.pass_delay).to(late)(_do_answer_unknown)
    late.upon(_Inputs.settle).to(over)(_do_conclude)
    for state in (sent, late, over):
        state.upon(_Inputs.grant).loop().returns(None)
        state.upon(_Inputs.yield_to).loop().returns(None)
    for state in (late, over):
        state.upon(_Inputs.pass_delay).loop().returns(None)
    over.upon(_Inputs.settle).loop().returns(None)
    return builder


_build_machine = _make_builder().build()
