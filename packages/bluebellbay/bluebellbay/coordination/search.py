"""A repeatable request: many legs, one snapshot, one answer."""

from bluebellbay.coordination.dispatch import Dispatcher
from bluebellbay.coordination.leg import Leg
from bluebellbay.coordination.leg import Run
from bluebellbay.coordination.leg import Task
from bluebellbay.coordination.merge import Merger
from bluebellbay.coordination.snapshot import Plan
from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.command import Field
from bluebellbay.protocol.error import FailedKind
from bluebellbay.protocol.error import NotRunKind
from bluebellbay.protocol.error import Outcome
from bluebellbay.protocol.key_range import KeyRange
from bluebellbay.protocol.leg import LegRefusal
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.leg import RefusalReason
from bluebellbay.protocol.profile import Profile
from bluebellbay.protocol.request import QueryRequest

_HELD_NO_LONGER = (RefusalReason.NOT_HELD, RefusalReason.SNAPSHOT_GONE)


class Search(Run):
    """Reads one snapshot as far as servers and delay allow.

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
        self._merger: Merger | None = None
        self._plan: Plan | None = None
        self._open: dict[Task, None] = {}
        self._given_up: set[int] = set()
        self._lost_snapshot = False
        self._refused = False

    def start(self, now: float) -> None:
        """Choose the snapshot and send the first legs.

        :param now: Present time in seconds.
        """
        self._dispatcher.timers.add(self.deadline, self)
        plan = self._dispatcher.planner.choose(self.request.index, now)
        if self.deadline <= now or plan is None:
            self._finish(now)
            return
        self._begin(plan, now)

    def wake(self, now: float) -> None:
        """End with what there is, as the delay has passed.

        :param now: Present time in seconds.
        """
        if now >= self.deadline:
            self._finish(now)

    def take_reply(self, leg: Leg, reply: LegReply, now: float) -> None:
        """Merge a reply, and ask others for what it left open.

        :param leg: The leg.
        :param reply: A reply that fits it.
        :param now: Present time in seconds.
        """
        assert self._merger is not None  # noqa: S101
        self._merger.add(reply)
        task = leg.task
        if reply.start > task.start or reply.end < task.end:
            self._lost_snapshot = True
            self._deny_rest(leg, reply, now)
        holes = self._merger.list_holes(task.start, task.end)
        if not holes:
            self._close(task)
            self._finish_if_done(now)
            return
        if task.legs:
            return
        self._close(task)
        self._fill(holes, task.tried, now)
        self._finish_if_done(now)

    def take_refusal(self, leg: Leg, refusal: LegRefusal, now: float) -> None:
        """Correct what is believed of the server, and ask another.

        :param leg: The leg.
        :param refusal: The refusal.
        :param now: Present time in seconds.
        """
        self._refused = True
        if refusal.reason in _HELD_NO_LONGER:
            self._lost_snapshot = True
        self._retry(leg.task, now)

    def take_failure(
        self, leg: Leg, *, sent: bool, expired: bool, now: float
    ) -> None:
        """Ask another server for the range of a failed leg.

        :param leg: The leg.
        :param sent: False only if no byte of it left this process.
        :param expired: Whether the transport held it back as expired.
        :param now: Present time in seconds.
        """
        self._retry(leg.task, now)

    def abandon(self, now: float) -> None:
        """Stop, as nobody waits for the answer.

        :param now: Present time in seconds.
        """
        self._dispatcher.log(self, "Stopped, as the caller has gone.")
        self._stop()
        self._dispatcher.finish(self)

    def _begin(self, plan: Plan, now: float) -> None:
        self._plan = plan
        self._merger = Merger(snapshot=plan.snapshot)
        self._dispatcher.log(
            self,
            "Chose a snapshot.",
            Field(name="snapshot", value=plan.snapshot),
            Field(name="segments", value=len(plan.segments)),
        )
        for segment in plan.segments:
            task = Task(
                start=segment.start, end=segment.end, servers=segment.servers
            )
            self._open[task] = None
            if self._send(task, "Placed a leg.", now):
                self._dispatcher.counters.first_legs += 1
        for task in [task for task in self._open if not task.legs]:
            self._retry(task, now)

    def _send(self, task: Task, sentence: str, now: float) -> bool:
        assert self._merger is not None  # noqa: S101
        remaining = self.deadline - now
        if remaining <= 0:
            return False
        dispatcher = self._dispatcher
        record = dispatcher.chooser.choose(task.servers, task.tried, now)
        if record is None:
            return False
        dispatcher.send(
            self,
            task,
            record,
            snapshot=self._merger.snapshot,
            sentence=sentence,
            timeout_s=remaining,
            now=now,
        )
        return True

    def _retry(self, task: Task, now: float) -> None:
        if task not in self._open or task.legs:
            return
        if self._send(task, "Placed a leg again.", now):
            self._dispatcher.counters.retries += 1
            return
        self._close(task)
        self._fill([(task.start, task.end)], task.tried, now)
        self._finish_if_done(now)

    def _fill(
        self, holes: list[tuple[int, int]], tried: set[str], now: float
    ) -> None:
        assert self._merger is not None  # noqa: S101
        for hole in holes:
            plan = self._dispatcher.planner.plan_hole(
                self.request.index, self._merger.snapshot, hole, now, tried
            )
            if plan.size < hole[1] - hole[0] and self._restart(now):
                return
            for segment in plan.segments:
                task = Task(
                    start=segment.start,
                    end=segment.end,
                    servers=segment.servers,
                )
                task.tried |= tried
                if self._send(task, "Placed a leg for a hole.", now):
                    self._open[task] = None
                    self._dispatcher.counters.replacements += 1

    def _restart(self, now: float) -> bool:
        assert self._merger is not None  # noqa: S101
        if not self._lost_snapshot or now >= self.deadline:
            return False
        self._given_up.add(self._merger.snapshot)
        plan = self._dispatcher.planner.choose(
            self.request.index, now, frozenset(self._given_up)
        )
        if plan is None or not plan.is_complete:
            return False
        self._dispatcher.counters.restarts += 1
        self._dispatcher.log(
            self,
            "Restarted on another snapshot.",
            Field(name="former", value=self._merger.snapshot),
            Field(name="snapshot", value=plan.snapshot),
        )
        self._stop()
        self._begin(plan, now)
        return True

    def _deny_rest(self, leg: Leg, reply: LegReply, now: float) -> None:
        table = self._dispatcher.state.servers.holdings[self.request.index]
        for start, end in (
            (leg.task.start, reply.start),
            (reply.end, leg.task.end),
        ):
            if start < end:
                table.deny(
                    server=leg.server,
                    snapshot=leg.snapshot,
                    key_range=KeyRange(start=start, end=end),
                    now=now,
                )

    def _close(self, task: Task) -> None:
        self._open.pop(task, None)
        if task.legs:
            self._dispatcher.cancel_all((task,))

    def _stop(self) -> None:
        self._dispatcher.cancel_all(self._open)
        self._open.clear()

    def _finish_if_done(self, now: float) -> None:
        if not self._open and not self.finished:
            self._finish(now)

    def _finish(self, now: float) -> None:
        self._stop()
        answer = self._build_answer(now)
        self._dispatcher.finish(self)
        self._dispatcher.answer(self, answer)

    def _build_answer(self, now: float) -> Answer:
        dispatcher = self._dispatcher
        merger = self._merger
        if merger is None or merger.is_empty:
            proof = self.ledger.prove_nothing_ran()
            if proof.is_some():
                kind = self._name_refusal(now)
                return dispatcher.build_not_run(self, kind, proof.value, now)
            if merger is None:
                kind_failed = self._name_failure()
                return dispatcher.build_failure(self, kind_failed, now)
        assert merger is not None  # noqa: S101
        coverage = merger.measure()
        if (
            not coverage.complete
            and coverage.fraction < self.profile.coverage_floor
        ):
            return dispatcher.build_failure(self, self._name_failure(), now)
        outcome = Outcome.ANSWERED if coverage.complete else Outcome.PARTIAL
        return Answer(
            request_id=self.request.request_id,
            outcome=outcome,
            profile=self.request.profile,
            snapshot=merger.snapshot,
            coverage=coverage,
            config_revision=dispatcher.state.configuration.revision,
            config_confirmed=dispatcher.is_confirmed(now),
            rows=merger.list_rows(),
        )

    def _name_refusal(self, now: float) -> NotRunKind:
        if self._refused:
            return NotRunKind.REFUSED_BY_SERVERS
        if now >= self.deadline:
            return NotRunKind.DELAY_PASSED_UNSENT
        return NotRunKind.NO_SERVER

    def _name_failure(self) -> FailedKind:
        if self._lost_snapshot and self._given_up:
            return FailedKind.SNAPSHOT_LOST
        return FailedKind.BELOW_FLOOR
