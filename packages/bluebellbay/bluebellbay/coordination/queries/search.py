"""A repeatable request: many legs, one snapshot, one answer."""

from bluebellbay.coordination.hedge_delay import compute_hedge_delay_factor
from bluebellbay.coordination.queries.dispatch import Dispatcher
from bluebellbay.coordination.queries.leg import Leg
from bluebellbay.coordination.queries.leg import Run
from bluebellbay.coordination.queries.leg import Task
from bluebellbay.coordination.queries.merge import Merger
from bluebellbay.coordination.queries.snapshot import Plan
from bluebellbay.coordination.servers.poll import LEAST_GAP_S
from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.command import LogField
from bluebellbay.protocol.error import FailedKind
from bluebellbay.protocol.error import NotRunKind
from bluebellbay.protocol.error import Outcome
from bluebellbay.protocol.key_range import KeyRange
from bluebellbay.protocol.leg import LegRefusal
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.leg import RefusalReason
from bluebellbay.protocol.profile import Profile
from bluebellbay.protocol.request import QueryRequest
from bluebellbay.state.server import ServerRecord

FIRST_PAUSE_S = 0.005
LONGEST_PAUSE_S = 0.1
LONGEST_TRIES = 6
LEAST_CHANCE = 0.5
RECHECK_S = 0.05
IDLE_SWEEP_GAP_S = 1.0

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
        self._budget = dispatcher.budgets.get(profile)
        self._merger: Merger | None = None
        self._open: dict[Task, None] = {}
        self._lost: dict[Task, None] = {}
        self._awaited: set[str] = set()
        self._given_up: set[int] = set()
        self._lost_snapshot = False
        self._met_leaving = False
        self._denied = False
        self._refused = False
        self._too_late = False
        self._replies = 0

    def start(self, now: float) -> None:
        """Choose the snapshot and send the first legs.

        :param now: Present time in seconds.
        """
        self._dispatcher.timers.add(self.deadline, self)
        plan = self._dispatcher.planner.choose(self.request.index, now)
        if self.deadline <= now or plan is None:
            self._finish(now)
            return
        self._dispatcher.counters.first_legs += len(plan.segments)
        self._begin(plan, now)

    def handle_timeout(self, now: float) -> None:
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
        merger = self._merger
        if merger is None:
            return
        merger.add(reply)
        task = leg.task
        self._replies += 1
        self._budget.add_first(now)
        if reply.start == task.start and reply.end == task.end:
            self._close(task, now)
            self._finish_if_done(now)
            return
        self._lost_snapshot = True
        self._denied = True
        self._deny_rest(leg, reply, now)
        task.may_have_run -= 1
        self._go_on(task, now)

    def take_refusal(self, leg: Leg, refusal: LegRefusal, now: float) -> None:
        """Ask another server, as this one ran nothing.

        :param leg: The leg.
        :param refusal: The refusal.
        :param now: Present time in seconds.
        """
        self._refused = True
        if refusal.reason in _HELD_NO_LONGER:
            self._lost_snapshot = True
            self._denied = True
            self._dispatcher.poll((leg.server,), now, LEAST_GAP_S)
        elif refusal.reason is RefusalReason.LEAVING:
            self._met_leaving = True
        else:
            leg.task.spared.add(leg.server)
        self._go_on(leg.task, now)

    def take_failure(
        self, leg: Leg, *, sent: bool, expired: bool, now: float
    ) -> None:
        """Ask another server for the range of a failed leg.

        :param leg: The leg.
        :param sent: False only if no byte of it left this process.
        :param expired: Whether the transport held it back as expired.
        :param now: Present time in seconds.
        """
        leg.task.spared.add(leg.server)
        self._go_on(leg.task, now)

    def hedge(self, leg: Leg, now: float) -> None:
        """Ask another replica too, as a leg has taken long.

        :param leg: The leg.
        :param now: Present time in seconds.
        """
        task = leg.task
        if task.legs[-1] is not leg:
            return
        share = self.profile.extra_load
        use = self._budget.measure_use(share, now)
        due_at = leg.sent_at + leg.usual_s * compute_hedge_delay_factor(use)
        if due_at > now:
            self._dispatcher.timers.add(due_at, leg)
            return
        record = self._choose(task, now)
        if record is None and task.spared:
            task.tried -= task.spared
            task.spared = set()
            record = self._choose(task, now)
        if record is None:
            return
        if not self._budget.take(share, now):
            self._dispatcher.timers.add(now + leg.usual_s, leg)
            return
        self._dispatcher.counters.hedges += 1
        self._send(task, record, "Hedged a leg.", now)

    def resume(self, task: Task, now: float) -> None:
        """Try again to get a range, after a pause.

        :param task: The range.
        :param now: Present time in seconds.
        """
        if task.legs:
            return
        self._lost.pop(task, None)
        task.tried -= task.spared
        task.spared = set()
        self._place(task, now)
        self._finish_if_done(now)

    def review(self, server: str, now: float) -> None:
        """Try again to get what is lost, as a server was heard of.

        :param server: Name of the server.
        :param now: Present time in seconds.
        """
        self._awaited.discard(server)
        for task in tuple(self._lost):
            if task in self._lost:
                del self._lost[task]
                self._place(task, now)
        self._finish_if_done(now)

    def abandon(self, now: float) -> None:
        """Stop, as nobody waits for the answer.

        :param now: Present time in seconds.
        """
        self._dispatcher.log(self, "Stopped, as the caller has gone.")
        self._stop(now)
        self._dispatcher.finish(self)

    def _begin(self, plan: Plan, now: float) -> None:
        self._merger = Merger(snapshot=plan.snapshot)
        self._dispatcher.log(
            self,
            "Chose a snapshot.",
            LogField(name="snapshot", value=plan.snapshot),
            LogField(name="segments", value=len(plan.segments)),
        )
        tasks = [
            Task(
                run=self,
                start=segment.start,
                end=segment.end,
                servers=segment.servers,
            )
            for segment in plan.segments
        ]
        if not plan.is_complete:
            tasks.extend(
                Task(run=self, start=start, end=end, servers=())
                for start, end in plan.list_holes()
            )
            self._lost_snapshot = True
        self._open.update(dict.fromkeys(tasks))
        for task in tasks:
            if task in self._open:
                self._place(task, now)
        self._finish_if_done(now)

    def _place(self, task: Task, now: float) -> None:
        record = self._choose(task, now)
        if record is None:
            self._replan(task, now)
            return
        if task.may_have_run:
            share = self.profile.extra_load
            if not self._budget.take(share, now):
                self._pause(task, now)
                return
            self._dispatcher.counters.retries += 1
            self._send(task, record, "Placed a leg again.", now)
            return
        if task.tried or task.pauses:
            self._dispatcher.counters.replacements += 1
        self._send(task, record, "Placed a leg.", now)

    def _choose(self, task: Task, now: float) -> ServerRecord | None:
        dispatcher = self._dispatcher
        record = dispatcher.chooser.choose(task.servers, task.tried, now)
        if record is None:
            return None
        estimate_s = dispatcher.latencies.get(record.name).estimate_s
        if self.deadline - now < LEAST_CHANCE * estimate_s:
            self._too_late = True
            return None
        return record

    def _send(
        self, task: Task, record: ServerRecord, sentence: str, now: float
    ) -> None:
        assert self._merger is not None  # noqa: S101
        dispatcher = self._dispatcher
        leg = dispatcher.send(
            self,
            task,
            record,
            snapshot=self._merger.snapshot,
            sentence=sentence,
            timeout_s=self.deadline - now,
            now=now,
        )
        leg.usual_s = dispatcher.hedges.find_wait(
            self.profile, record.name, task.servers
        )
        if dispatcher.state.settings.policy.hedging:
            dispatcher.timers.add(now + leg.usual_s, leg)

    def _go_on(self, task: Task, now: float) -> None:
        assert self._merger is not None  # noqa: S101
        if task.closed or task.legs:
            return
        holes = self._merger.list_holes(task.start, task.end)
        if holes == [(task.start, task.end)]:
            self._place(task, now)
            self._finish_if_done(now)
            return
        self._close(task, now)
        parts = [self._add_task(task, start, end) for start, end in holes]
        for part in parts:
            if not part.closed:
                self._place(part, now)
        self._finish_if_done(now)

    def _replan(self, task: Task, now: float) -> None:
        assert self._merger is not None  # noqa: S101
        hole = (task.start, task.end)
        plan = self._dispatcher.planner.plan_hole(
            self.request.index, self._merger.snapshot, hole, now, task.tried
        )
        if plan.size == task.end - task.start:
            self._split(task, plan, now)
            return
        if self._lost_snapshot and self._restart(now):
            return
        moved = self._lost_snapshot or self._met_leaving
        if moved and self._await_reports(task, now):
            return
        may_change = task.spared or self._met_leaving
        if may_change and task.pauses < LONGEST_TRIES - 1:
            self._pause(task, now)
            return
        self._split(task, plan, now)

    def _split(self, task: Task, plan: Plan, now: float) -> None:
        self._close(task, now)
        for segment in plan.segments:
            part = self._add_task(task, segment.start, segment.end)
            part.servers = segment.servers
            record = self._choose(part, now)
            if record is None:
                self._close(part, now)
                continue
            self._place(part, now)

    def _add_task(self, former: Task, start: int, end: int) -> Task:
        task = Task(run=self, start=start, end=end, servers=former.servers)
        task.tried = set(former.tried)
        task.spared = set(former.spared)
        task.pauses = former.pauses
        task.may_have_run = former.may_have_run
        self._open[task] = None
        return task

    def _pause(self, task: Task, now: float) -> None:
        pause_s = min(FIRST_PAUSE_S * 2**task.pauses, LONGEST_PAUSE_S)
        task.pauses += 1
        self._dispatcher.timers.add(now + pause_s, task)

    def _await_reports(self, task: Task, now: float) -> bool:
        dispatcher = self._dispatcher
        index = self.request.index
        moving = self._denied or dispatcher.planner.is_claimed(
            index, task.start, task.end
        )
        gap_s = IDLE_SWEEP_GAP_S
        if moving:
            gap_s = dispatcher.find_sweep_gap(index)
        self._awaited |= dispatcher.sweep(index, now, gap_s)
        if not self._awaited and not moving:
            return False
        self._lost[task] = None
        dispatcher.waiting[self] = None
        dispatcher.timers.add(now + RECHECK_S, task)
        return True

    def _restart(self, now: float) -> bool:
        assert self._merger is not None  # noqa: S101
        without = frozenset((*self._given_up, self._merger.snapshot))
        plan = self._dispatcher.planner.choose(
            self.request.index, now, without
        )
        if plan is None or not plan.is_complete:
            return False
        self._given_up.add(self._merger.snapshot)
        self._dispatcher.counters.restarts += 1
        self._dispatcher.log(
            self,
            "Restarted on another snapshot.",
            LogField(name="former", value=self._merger.snapshot),
            LogField(name="snapshot", value=plan.snapshot),
        )
        ran = sum(1 for task in self._open if task.may_have_run)
        self._budget.add_extra(ran + self._replies, now)
        self._replies = 0
        self._stop(now)
        self._begin(plan, now)
        return True

    def _deny_rest(self, leg: Leg, reply: LegReply, now: float) -> None:
        table = self._dispatcher.state.servers.holdings[self.request.index]
        for start, end in (
            (leg.task.start, reply.start),
            (reply.end, leg.task.end),
        ):
            if start < end:
                table.record_denial(
                    server=leg.server,
                    snapshot=leg.snapshot,
                    key_range=KeyRange(start=start, end=end),
                    now=now,
                )
        self._dispatcher.poll((leg.server,), now, LEAST_GAP_S)

    def _close(self, task: Task, now: float) -> None:
        self._open.pop(task, None)
        self._lost.pop(task, None)
        self._dispatcher.cancel_all((task,), now)

    def _stop(self, now: float) -> None:
        self._dispatcher.cancel_all(self._open, now)
        self._open.clear()
        self._lost.clear()

    def _finish_if_done(self, now: float) -> None:
        if not self._open and not self.finished:
            self._finish(now)

    def _finish(self, now: float) -> None:
        if self.finished:
            return
        self._stop(now)
        answer = self._build_answer(now)
        self._dispatcher.finish(self)
        self._dispatcher.answer(self, answer)

    def _build_answer(self, now: float) -> Answer:
        dispatcher = self._dispatcher
        merger = self._merger
        if merger is None or merger.is_empty:
            proof = self.ledger.prove_not_run()
            if proof.is_some():
                kind = self._name_refusal(now)
                return dispatcher.answers.build_not_run(
                    self.request, kind, proof.value, now
                )
            if merger is None:
                kind_failed = self._name_failure()
                return dispatcher.answers.build_failure(
                    self.request, kind_failed, now
                )
        assert merger is not None  # noqa: S101
        coverage = merger.measure()
        if (
            not coverage.complete
            and coverage.fraction < self.profile.coverage_floor
        ):
            return dispatcher.answers.build_failure(
                self.request, self._name_failure(), now
            )
        outcome = Outcome.ANSWERED if coverage.complete else Outcome.PARTIAL
        return Answer(
            request_id=self.request.request_id,
            outcome=outcome,
            profile=self.request.profile,
            snapshot=merger.snapshot,
            coverage=coverage,
            config_revision=dispatcher.state.configuration.revision,
            config_confirmed=dispatcher.answers.is_confirmed(now),
            rows=merger.list_rows(),
        )

    def _name_refusal(self, now: float) -> NotRunKind:
        if self._refused:
            return NotRunKind.REFUSED_BY_SERVERS
        if self._too_late or now >= self.deadline:
            return NotRunKind.DELAY_PASSED_UNSENT
        return NotRunKind.NO_SERVER

    def _name_failure(self) -> FailedKind:
        if self._lost_snapshot and self._given_up:
            return FailedKind.SNAPSHOT_LOST
        return FailedKind.BELOW_FLOOR
