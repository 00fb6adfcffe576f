"""Executes a repeatable request by legs that all read one snapshot."""

from bluebellbay.coordination.hedge_delay import compute_hedge_delay_factor
from bluebellbay.coordination.queries.dispatch import Dispatcher
from bluebellbay.coordination.queries.leg import Leg
from bluebellbay.coordination.queries.leg import RangeTask
from bluebellbay.coordination.queries.leg import RequestExecution
from bluebellbay.coordination.queries.merge import ReplyMerger
from bluebellbay.coordination.queries.snapshot import ReadPlan
from bluebellbay.coordination.servers.poll import MIN_POLL_INTERVAL_S
from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.error import FailedKind
from bluebellbay.protocol.error import NotRunKind
from bluebellbay.protocol.error import Outcome
from bluebellbay.protocol.key_range import KeyRange
from bluebellbay.protocol.leg import LegRefusal
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.leg import RefusalReason
from bluebellbay.protocol.process import LogField
from bluebellbay.protocol.profile import Profile
from bluebellbay.protocol.request import QueryRequest
from bluebellbay.state.server import ServerRecord

INITIAL_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.1
MAX_ROUNDS = 6  # tries of all candidates of a task, with back-offs between
MIN_TIME_FACTOR = 0.5  # time left, as a multiple of the estimated latency
UNPLACED_RETRY_S = 0.05
IDLE_POLL_INTERVAL_S = 1.0

_DATA_GONE_REASONS = (RefusalReason.NOT_HELD, RefusalReason.SNAPSHOT_GONE)


class ScatterGatherExecution(RequestExecution):
    """Reads the key space in parallel legs and merges their replies.

    All replies come from one snapshot. If servers no longer hold all of it,
    the execution restarts on another snapshot that is held in full. At the
    deadline it answers with the rows read so far, if they reach the
    profile's coverage floor.

    :param dispatcher: Dispatcher shared by the node's executions.
    :param caller: Number of the HTTP exchange with the caller.
    :param request: The request.
    :param profile: The profile in force when the request arrived.
    :param now: Current Unix time in seconds.
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
        self._merger: ReplyMerger | None = None
        self._open_tasks: dict[RangeTask, None] = {}
        self._unplaced_tasks: dict[RangeTask, None] = {}
        self._awaited_polls: set[str] = set()
        self._abandoned_snapshots: set[int] = set()
        self._snapshot_incomplete = False
        self._server_was_leaving = False
        self._holding_denied = False
        self._leg_refused = False
        self._deadline_too_close = False
        self._reply_count = 0

    def start(self, now: float) -> None:
        """Choose the snapshot and send the first legs.

        :param now: Current Unix time in seconds.
        """
        self._dispatcher.timers.add(self.deadline, self)
        plan = self._dispatcher.planner.choose_snapshot(
            self.request.index, now
        )
        if self.deadline <= now or plan is None:
            self._finish(now)
            return
        self._dispatcher.counters.first_legs += len(plan.segments)
        self._read_snapshot(plan, now)

    def handle_timeout(self, now: float) -> None:
        """Finish with the rows read so far, if the deadline has passed.

        :param now: Current Unix time in seconds.
        """
        if now >= self.deadline:
            self._finish(now)

    def handle_reply(self, leg: Leg, reply: LegReply, now: float) -> None:
        """Merge a reply; a range that it left out goes to other servers.

        :param leg: The leg.
        :param reply: Its reply, which has passed ``matches_leg``.
        :param now: Current Unix time in seconds.
        """
        merger = self._merger
        if merger is None:
            return
        merger.add(reply)
        task = leg.task
        self._reply_count += 1
        self._budget.record_first_leg(task.first_sent_at)
        if reply.start == task.start and reply.end == task.end:
            self._close_task(task, now)
            self._finish_if_done(now)
            return
        self._snapshot_incomplete = True
        self._holding_denied = True
        self._deny_unread_ranges(leg, reply, now)
        task.possible_executions -= 1
        self._continue_task(task, now)

    def handle_refusal(
        self, leg: Leg, refusal: LegRefusal, now: float
    ) -> None:
        """Send the range of a refused leg to another server.

        :param leg: The leg.
        :param refusal: The refusal.
        :param now: Current Unix time in seconds.
        """
        self._leg_refused = True
        if refusal.reason in _DATA_GONE_REASONS:
            self._snapshot_incomplete = True
            self._holding_denied = True
            self._dispatcher.poll_servers(
                (leg.server,), now, MIN_POLL_INTERVAL_S
            )
        elif refusal.reason is RefusalReason.LEAVING:
            self._server_was_leaving = True
        else:
            leg.task.retryable_servers.add(leg.server)
        self._continue_task(leg.task, now)

    def handle_failure(
        self, leg: Leg, *, sent: bool, expired: bool, now: float
    ) -> None:
        """Send the range of a failed leg to another server.

        :param leg: The leg.
        :param sent: False only if no byte of it left this process.
        :param expired: Whether the transport did not send it because the
            request had expired.
        :param now: Current Unix time in seconds.
        """
        leg.task.retryable_servers.add(leg.server)
        self._continue_task(leg.task, now)

    def hedge(self, leg: Leg, now: float) -> None:
        """Send a hedge to another replica if the extra load budget allows.

        The hedge is put off while little of the budget is left.

        :param leg: The leg.
        :param now: Current Unix time in seconds.
        """
        task = leg.task
        if task.legs[-1] is not leg:
            return
        share = self.profile.extra_load
        utilization = self._budget.compute_utilization(share, now)
        due_at = leg.sent_at + leg.hedge_delay_s * compute_hedge_delay_factor(
            utilization
        )
        if due_at > now:
            self._dispatcher.timers.add(due_at, leg)
            return
        record = self._choose_server(task, now)
        if record is None and task.retryable_servers:
            task.tried_servers -= task.retryable_servers
            task.retryable_servers = set()
            record = self._choose_server(task, now)
        if record is None:
            return
        if not self._budget.try_acquire(share, now):
            self._dispatcher.timers.add(now + leg.hedge_delay_s, leg)
            return
        self._dispatcher.counters.hedges += 1
        self._send_leg(
            task, record, "Sent a hedge because a leg was slow.", now
        )

    def retry_task(self, task: RangeTask, now: float) -> None:
        """Retry a task whose back-off has ended.

        :param task: The task.
        :param now: Current Unix time in seconds.
        """
        if task.legs:
            return
        self._unplaced_tasks.pop(task, None)
        task.tried_servers -= task.retryable_servers
        task.retryable_servers = set()
        self._place_task(task, now)
        self._finish_if_done(now)

    def handle_poll(self, server: str, now: float) -> None:
        """Retry the tasks that had no candidate server.

        :param server: Name of the server.
        :param now: Current Unix time in seconds.
        """
        self._awaited_polls.discard(server)
        for task in tuple(self._unplaced_tasks):
            if task in self._unplaced_tasks:
                del self._unplaced_tasks[task]
                self._place_task(task, now)
        self._finish_if_done(now)

    def handle_disconnect(self, now: float) -> None:
        """Cancel all legs and finish without an answer.

        :param now: Current Unix time in seconds.
        """
        self._dispatcher.log(
            self, "Stopped the query because the caller disconnected."
        )
        self._close_all_tasks(now)
        self._dispatcher.finish(self)

    def _read_snapshot(self, plan: ReadPlan, now: float) -> None:
        self._merger = ReplyMerger(snapshot=plan.snapshot)
        self._dispatcher.log(
            self,
            "Chose the snapshot to read.",
            LogField(name="snapshot", value=plan.snapshot),
            LogField(name="segments", value=len(plan.segments)),
        )
        tasks = [
            RangeTask(
                execution=self,
                start=segment.start,
                end=segment.end,
                servers=segment.servers,
            )
            for segment in plan.segments
        ]
        if not plan.is_complete:
            tasks.extend(
                RangeTask(execution=self, start=start, end=end, servers=())
                for start, end in plan.list_gaps()
            )
            self._snapshot_incomplete = True
        self._open_tasks.update(dict.fromkeys(tasks))
        for task in tasks:
            if task in self._open_tasks:
                self._place_task(task, now)
        self._finish_if_done(now)

    def _place_task(self, task: RangeTask, now: float) -> None:
        record = self._choose_server(task, now)
        if record is None:
            self._replan_task(task, now)
            return
        if task.possible_executions:
            share = self.profile.extra_load
            if not self._budget.try_acquire(share, now):
                self._back_off(task, now)
                return
            self._dispatcher.counters.retries += 1
            self._send_leg(
                task, record, "Sent a retry of a leg that may have run.", now
            )
            return
        if task.tried_servers or task.backoff_count:
            self._dispatcher.counters.replacements += 1
        self._send_leg(task, record, "Sent a leg to the chosen replica.", now)

    def _choose_server(
        self, task: RangeTask, now: float
    ) -> ServerRecord | None:
        dispatcher = self._dispatcher
        record = dispatcher.chooser.choose(
            task.servers, task.tried_servers, now
        )
        if record is None:
            return None
        estimate_s = dispatcher.latencies.get(record.name).estimate_s
        if self.deadline - now < MIN_TIME_FACTOR * estimate_s:
            self._deadline_too_close = True
            return None
        return record

    def _send_leg(
        self, task: RangeTask, record: ServerRecord, sentence: str, now: float
    ) -> None:
        assert self._merger is not None  # noqa: S101
        dispatcher = self._dispatcher
        leg = dispatcher.send_leg(
            self,
            task,
            record,
            snapshot=self._merger.snapshot,
            sentence=sentence,
            timeout_s=self.deadline - now,
            now=now,
        )
        leg.hedge_delay_s = dispatcher.hedge_policy.compute_hedge_delay(
            self.profile, record.name, task.servers
        )
        if dispatcher.state.settings.policy.hedging:
            dispatcher.timers.add(now + leg.hedge_delay_s, leg)

    def _continue_task(self, task: RangeTask, now: float) -> None:
        assert self._merger is not None  # noqa: S101
        if task.closed or task.legs:
            return
        gaps = self._merger.list_gaps(task.start, task.end)
        if gaps == [(task.start, task.end)]:
            self._place_task(task, now)
            self._finish_if_done(now)
            return
        self._close_task(task, now)
        parts = [self._add_task(task, start, end) for start, end in gaps]
        for part in parts:
            if not part.closed:
                self._place_task(part, now)
        self._finish_if_done(now)

    def _replan_task(self, task: RangeTask, now: float) -> None:
        # In order: other servers for this snapshot, another snapshot, newer
        # health reports, a back-off. If none helps, the part of the range
        # that no server can serve stays unread.
        assert self._merger is not None  # noqa: S101
        gap = (task.start, task.end)
        plan = self._dispatcher.planner.plan_gap(
            self.request.index,
            self._merger.snapshot,
            gap,
            now,
            task.tried_servers,
        )
        if plan.size == task.end - task.start:
            self._split_task(task, plan, now)
            return
        if self._snapshot_incomplete and self._restart_on_other_snapshot(now):
            return
        may_have_moved = self._snapshot_incomplete or self._server_was_leaving
        if may_have_moved and self._await_polls(task, now):
            return
        may_recover = task.retryable_servers or self._server_was_leaving
        if may_recover and task.backoff_count < MAX_ROUNDS - 1:
            self._back_off(task, now)
            return
        self._split_task(task, plan, now)

    def _split_task(self, task: RangeTask, plan: ReadPlan, now: float) -> None:
        self._close_task(task, now)
        for segment in plan.segments:
            part = self._add_task(task, segment.start, segment.end)
            part.servers = segment.servers
            record = self._choose_server(part, now)
            if record is None:
                self._close_task(part, now)
                continue
            self._place_task(part, now)

    def _add_task(self, former: RangeTask, start: int, end: int) -> RangeTask:
        task = RangeTask(
            execution=self, start=start, end=end, servers=former.servers
        )
        task.tried_servers = set(former.tried_servers)
        task.retryable_servers = set(former.retryable_servers)
        task.backoff_count = former.backoff_count
        task.possible_executions = former.possible_executions
        self._open_tasks[task] = None
        return task

    def _back_off(self, task: RangeTask, now: float) -> None:
        backoff_s = min(
            INITIAL_BACKOFF_S * 2**task.backoff_count, MAX_BACKOFF_S
        )
        task.backoff_count += 1
        self._dispatcher.timers.add(now + backoff_s, task)

    def _await_polls(self, task: RangeTask, now: float) -> bool:
        dispatcher = self._dispatcher
        index = self.request.index
        is_moving = self._holding_denied or dispatcher.planner.is_reported(
            index, task.start, task.end
        )
        min_interval_s = IDLE_POLL_INTERVAL_S
        if is_moving:
            min_interval_s = dispatcher.compute_poll_interval(index)
        self._awaited_polls |= dispatcher.poll_index(
            index, now, min_interval_s
        )
        if not self._awaited_polls and not is_moving:
            return False
        self._unplaced_tasks[task] = None
        dispatcher.awaiting_polls[self] = None
        dispatcher.timers.add(now + UNPLACED_RETRY_S, task)
        return True

    def _restart_on_other_snapshot(self, now: float) -> bool:
        assert self._merger is not None  # noqa: S101
        excluded = frozenset(
            (*self._abandoned_snapshots, self._merger.snapshot)
        )
        plan = self._dispatcher.planner.choose_snapshot(
            self.request.index, now, excluded
        )
        if plan is None or not plan.is_complete:
            return False
        self._abandoned_snapshots.add(self._merger.snapshot)
        self._dispatcher.counters.restarts += 1
        self._dispatcher.log(
            self,
            "Restarted on another snapshot; the former is incomplete.",
            LogField(name="former", value=self._merger.snapshot),
            LogField(name="snapshot", value=plan.snapshot),
        )
        ran = sum(1 for task in self._open_tasks if task.possible_executions)
        self._budget.record_extra_legs(ran + self._reply_count, now)
        self._reply_count = 0
        self._close_all_tasks(now)
        self._read_snapshot(plan, now)
        return True

    def _deny_unread_ranges(
        self, leg: Leg, reply: LegReply, now: float
    ) -> None:
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
        self._dispatcher.poll_servers((leg.server,), now, MIN_POLL_INTERVAL_S)

    def _close_task(self, task: RangeTask, now: float) -> None:
        self._open_tasks.pop(task, None)
        self._unplaced_tasks.pop(task, None)
        self._dispatcher.cancel_tasks((task,), now)

    def _close_all_tasks(self, now: float) -> None:
        self._dispatcher.cancel_tasks(self._open_tasks, now)
        self._open_tasks.clear()
        self._unplaced_tasks.clear()

    def _finish_if_done(self, now: float) -> None:
        if not self._open_tasks and not self.finished:
            self._finish(now)

    def _finish(self, now: float) -> None:
        if self.finished:
            return
        self._close_all_tasks(now)
        answer = self._build_answer(now)
        self._dispatcher.finish(self)
        self._dispatcher.send_answer(self, answer)

    def _build_answer(self, now: float) -> Answer:
        dispatcher = self._dispatcher
        merger = self._merger
        if merger is None or merger.is_empty:
            proof = self.ledger.prove_not_run()
            if proof.is_some():
                kind = self._classify_not_run(now)
                return dispatcher.answer_builder.build_not_run(
                    self.request, kind, proof.value, now
                )
            if merger is None:
                kind_failed = self._classify_failure()
                return dispatcher.answer_builder.build_failure(
                    self.request, kind_failed, now
                )
        assert merger is not None  # noqa: S101
        coverage = merger.compute_coverage()
        if (
            not coverage.complete
            and coverage.fraction < self.profile.coverage_floor
        ):
            return dispatcher.answer_builder.build_failure(
                self.request, self._classify_failure(), now
            )
        outcome = Outcome.ANSWERED if coverage.complete else Outcome.PARTIAL
        return Answer(
            request_id=self.request.request_id,
            outcome=outcome,
            profile=self.request.profile,
            snapshot=merger.snapshot,
            coverage=coverage,
            config_revision=dispatcher.state.configuration.revision,
            config_confirmed=dispatcher.answer_builder.is_confirmed(now),
            rows=merger.list_rows(),
        )

    def _classify_not_run(self, now: float) -> NotRunKind:
        if self._leg_refused:
            return NotRunKind.REFUSED_BY_SERVERS
        if self._deadline_too_close or now >= self.deadline:
            return NotRunKind.DELAY_PASSED_UNSENT
        return NotRunKind.NO_SERVER

    def _classify_failure(self) -> FailedKind:
        if self._snapshot_incomplete and self._abandoned_snapshots:
            return FailedKind.SNAPSHOT_LOST
        return FailedKind.BELOW_FLOOR
