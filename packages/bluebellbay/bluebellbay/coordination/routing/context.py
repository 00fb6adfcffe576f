"""State and services shared by all requests of one node."""

from collections.abc import Iterable

from bluebellbay.coordination.base_part import Output
from bluebellbay.coordination.routing.admission import AdmissionTable
from bluebellbay.coordination.routing.attempt import Attempt
from bluebellbay.coordination.routing.attempt import HedgeTimer
from bluebellbay.coordination.routing.delegation_table import DelegationTable
from bluebellbay.coordination.routing.division import QueryDivider
from bluebellbay.coordination.routing.fair_shares import RankHistory
from bluebellbay.coordination.routing.hedging import compute_hedge_delay
from bluebellbay.coordination.routing.hedging import compute_shard_hedge_delay
from bluebellbay.coordination.routing.leg import Leg
from bluebellbay.coordination.routing.objective import AnswerTiming
from bluebellbay.coordination.routing.ownership import ShardOwners
from bluebellbay.coordination.routing.pace import judge_reply
from bluebellbay.coordination.routing.pace import note_answer
from bluebellbay.coordination.routing.pace import Verdict
from bluebellbay.coordination.routing.permit_borrower import PermitBorrower
from bluebellbay.coordination.routing.rate_limits import RateLimitTracker
from bluebellbay.coordination.routing.remainders import RemainderTable
from bluebellbay.coordination.routing.retry_budget import RetryBudgetTable
from bluebellbay.coordination.routing.selection import ReplicaSelector
from bluebellbay.coordination.routing.service_queue import ServiceQueueTable
from bluebellbay.coordination.routing.slack_share import SlackShares
from bluebellbay.coordination.timer import TimerQueue
from bluebellbay.coordination.timer import TimerTarget
from bluebellbay.protocol.exchange import CancelAttempt
from bluebellbay.protocol.exchange import MAX_ANSWER_BYTES
from bluebellbay.protocol.exchange import MAX_SHARD_REPLY_BYTES
from bluebellbay.protocol.exchange import SendAttempt
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import LogField
from bluebellbay.protocol.registry import SetConnectionLimit
from bluebellbay.protocol.replica import ReplicaCondition
from bluebellbay.protocol.replica import UNKNOWN_CONDITION
from bluebellbay.state.peer import PeerRecord
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.router import RouterState

PART_NAME = "router"
EJECTION_FAILURES = 3
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
SILENCE_FACTOR = 4.0
# Cancelling closes the connection; a late reply within this time keeps it.
CANCEL_DELAY_S = 0.25
# All replicas of a release may send the same header that can't be read.
REPORT_INTERVAL_S = 1.0


class RoutingContext:
    """Sends attempts and updates replica statistics with their outcomes.

    :param state: State of the routing core.
    :ivar ranks: Ranks of the requests to each service.
    :ivar remote_suspected: Whether a peer or replica in another failure
        domain failed, so that those domains are to be probed.
    :ivar suspected_peers: Names of peers in this failure domain that failed
        and are to be probed.
    """

    def __init__(self, *, state: RouterState) -> None:
        self.state = state
        self.selector = ReplicaSelector(state=state)
        self.timers = TimerQueue()
        self.timing = AnswerTiming()
        self.admission = AdmissionTable()
        self.queues = ServiceQueueTable(state=state, timers=self.timers)
        self.ranks: dict[str, RankHistory] = {}
        self.attempts: dict[int, Attempt] = {}
        self.owners = ShardOwners(state=state)
        self.slack = SlackShares(state=state, owners=self.owners)
        self.budgets = RetryBudgetTable(state=state, slack=self.slack)
        self.divider = QueryDivider(state=state, owners=self.owners)
        self.remainders = RemainderTable()
        self.remote_suspected = False
        self.suspected_peers: set[str] = set()
        self.delegations = DelegationTable(context=self)
        self.limits = RateLimitTracker(context=self)
        self.borrower = PermitBorrower(context=self)
        self._steps: list[Output] = []
        self._last_number = 0
        self._next_report_at = 0.0

    def emit(self, step: Output) -> None:
        """Queue a step for the event being handled.

        :param step: A command or an internal event.
        """
        self._steps.append(step)

    def take_steps(self) -> Iterable[Output]:
        """Remove and return the queued steps."""
        steps = self._steps
        self._steps = []
        return steps

    def log(
        self, sentence: str, request_id: str = "", **values: object
    ) -> None:
        """Log a decision.

        :param sentence: The message.
        :param request_id: The request concerned, if any.
        :param values: Fields of the log line.
        """
        fields = tuple(
            LogField(name=name, value=value) for name, value in values.items()
        )
        self._steps.append(
            LogDecision(
                part=PART_NAME,
                sentence=sentence,
                request_id=request_id,
                fields=fields,
            )
        )

    def suspect(self, peer: PeerRecord) -> None:
        """Schedule a probe of a peer that failed or did not answer in time.

        A peer in another failure domain causes a round of probes over all
        other domains.
        """
        if peer.entry.failure_domain == self.state.failure_domain:
            self.suspected_peers.add(peer.entry.name)
        else:
            self.remote_suspected = True

    def allocate_number(self) -> int:
        """Return the next number for an attempt or a delegation."""
        self._last_number += 1
        return self._last_number

    def withdraw_waiting(self, record: ReplicaRecord) -> None:
        """Fail the requests that wait for a connection, as not sent.

        :param record: The replica.
        """
        if record.leaving or record.connection_limit == 0:
            return
        for limit in (0, record.connection_limit):
            self.emit(SetConnectionLimit(replica=record.entry, limit=limit))

    def send(
        self,
        leg: Leg,
        record: ReplicaRecord,
        *,
        is_retry: bool,
        now: float,
        is_lent: bool = False,
    ) -> Attempt:
        """Send a leg to a replica and schedule its hedge.

        Only idempotent requests are hedged.

        :param is_retry: Whether it was charged to the retry budget.
        :param is_lent: Whether a lender of the replica's rate limit counts it.
        :param now: Current Unix time in seconds.
        """
        task = leg.task
        pooled = self.selector.get_pooled(task.route.name)
        budget = self.budgets.get(leg.service, now)
        left_s = task.objective_at - now
        use = budget.measure_utilization(now)
        usual_delay_s = hedge_delay_s = compute_hedge_delay(
            pooled,
            left_s=left_s,
            objective_s=task.route.objective_s,
            budget_use=use,
        )
        rule = task.route.scatter
        # Early hedges mostly go to other failure domains, so they are for
        # queries that lack shards without them.
        if (
            rule
            and self.timing.is_often_incomplete(task.route.name, now)
            and not self.admission.is_congested(rule.shards, now)
        ):
            hedge_delay_s = compute_shard_hedge_delay(
                pooled, usual_s=usual_delay_s, left_s=left_s, budget_use=use
            )
        attempt = Attempt(
            number=self.allocate_number(),
            leg=leg,
            record=record,
            sent_at=now,
            overdue_at=now + usual_delay_s,
            is_retry=is_retry,
        )
        self.attempts[attempt.number] = attempt
        if record.cold_until > now:
            self.selector.permits.record_send(record, now)
        if record.limit is not None:
            record.limit.note_send(now)
            if not is_lent:
                self.selector.rate_permits.spend(record, now)
        record.in_flight[attempt.number] = attempt.overdue_at
        self._steps.append(
            SendAttempt(
                attempt=attempt.number,
                request=task.request,
                replica=record.entry,
                deadline_s=task.deadline - now,
                max_body_bytes=(
                    MAX_ANSWER_BYTES
                    if task.route.scatter is None
                    else MAX_SHARD_REPLY_BYTES
                ),
            )
        )
        if task.route.idempotent:
            self.timers.add(now + hedge_delay_s, HedgeTimer(attempt=attempt))
        return attempt

    def end(self, number: int) -> Attempt | None:
        """Remove an attempt whose end the transport has reported.

        :param number: Number of the attempt.
        :returns: The attempt, or ``None`` if it was not in flight.
        """
        attempt = self.attempts.pop(number, None)
        if attempt is not None:
            attempt.record.in_flight.pop(number, None)
        return attempt

    def record_condition(
        self, record: ReplicaRecord, condition: ReplicaCondition, now: float
    ) -> None:
        """Record what an answer tells of its replica.

        :param condition: The condition.
        :param now: Current Unix time in seconds.
        """
        if condition is UNKNOWN_CONDITION:
            return
        record.note_condition(condition, now)
        if condition.unreadable and now >= self._next_report_at:
            self._next_report_at = now + REPORT_INTERVAL_S
            self.log(
                "Ignored headers of a replica's answer that can't be read.",
                replica=record.entry.replica_id,
                service=record.entry.service,
                headers=", ".join(condition.unreadable),
            )

    def record_reply(
        self,
        attempt: Attempt,
        now: float,
        condition: ReplicaCondition = UNKNOWN_CONDITION,
    ) -> None:
        """Record a successful reply and end the replica's ejection.

        :param condition: What it tells of the replica.
        :param now: Current Unix time in seconds.
        """
        route = attempt.leg.task.route.name
        seconds = now - attempt.sent_at
        record = attempt.record
        record.get_latency_window(route).add(seconds, now)
        self._record_contact(record, now)
        record.refusal_rate.add(0.0, now)
        record.failures = 0
        if record.ejected_until > now:
            record.begin_pace(now)
        record.ejected_until = 0.0
        pooled = self.selector.get_pooled(route)
        if record.pace is not None:
            verdict = judge_reply(seconds, pooled.estimate_s, condition)
            self._note_pace(attempt, verdict, now)
        pooled.add(seconds, now)
        queue = self.queues.find(record.entry.service)
        if queue is not None:
            queue.record_reply(record, seconds, now)

    def record_refusal(self, attempt: Attempt, now: float) -> None:
        """Record that a replica refused an attempt.

        :param now: Current Unix time in seconds.
        """
        self._record_contact(attempt.record, now)
        attempt.record.refusal_rate.add(1.0, now)
        self._note_pace(attempt, Verdict.BAD, now)

    def record_failure(
        self, attempt: Attempt, reason: str, now: float
    ) -> None:
        """Record a failure or time-out; eject the replica after several.

        The ejection time doubles with each further failure in a row.

        :param reason: Short phrase for the log.
        :param now: Current Unix time in seconds.
        """
        record = attempt.record
        self._note_pace(attempt, Verdict.BAD, now)
        record.failures += 1
        excess_failures = record.failures - EJECTION_FAILURES
        if excess_failures < 0 or record.ejected_until > now:
            return
        duration_s = min(
            MAX_EJECTION_S, INITIAL_EJECTION_S * 2**excess_failures
        )
        record.ejected_until = now + duration_s
        record.begin_pace(record.ejected_until)
        if self.state.is_remote(record):
            self.remote_suspected = True
        self.log(
            "Ejected a replica after repeated failures.",
            attempt.leg.task.request.request_id,
            replica=record.entry.replica_id,
            service=record.entry.service,
            failures=record.failures,
            reason=reason,
            seconds=duration_s,
        )

    def cancel(self, attempt: Attempt, now: float) -> None:
        """Cancel an attempt; its replica stops the request.

        An overdue attempt counts as a latency sample. If it was silent for
        ``SILENCE_FACTOR`` times its hedge delay, and the replica answered
        nothing else meanwhile, it also counts as a failure.

        :param now: Current Unix time in seconds.
        """
        attempt.active = False
        waited_s = now - attempt.sent_at
        if now >= attempt.overdue_at:
            window = attempt.record.get_latency_window(
                attempt.leg.task.route.name
            )
            window.add_unanswered(waited_s, now)
            usual_s = self.selector.get_pooled(
                attempt.leg.task.route.name
            ).estimate_s
            verdict = judge_reply(waited_s, usual_s, UNKNOWN_CONDITION)
            if verdict is Verdict.BAD:
                self._note_pace(attempt, verdict, now)
            hedge_delay_s = attempt.overdue_at - attempt.sent_at
            heard_since = attempt.record.last_answer_at > attempt.sent_at
            if waited_s > SILENCE_FACTOR * hedge_delay_s and not heard_since:
                self.record_failure(attempt, "silent", now)
        self._steps.append(CancelAttempt(attempt=attempt.number))

    def cancel_later(self, attempt: Attempt, now: float) -> None:
        """Cancel an attempt unless it ends within ``CANCEL_DELAY_S``.

        :param attempt: An attempt whose reply is no longer used.
        :param now: Current Unix time in seconds.
        """
        attempt.active = False
        self.timers.add(
            now + CANCEL_DELAY_S, CancelTimer(context=self, attempt=attempt)
        )

    def _note_pace(
        self, attempt: Attempt, verdict: Verdict, now: float
    ) -> None:
        pace = attempt.record.pace
        if pace is None:
            return
        former = pace.level
        note_answer(
            pace,
            verdict,
            sent_at=attempt.sent_at,
            now=now,
            nodes=self.state.nodes,
        )
        if pace.level < former:
            self.log(
                "Lowered the share of a replica that came back.",
                attempt.leg.task.request.request_id,
                replica=attempt.record.entry.replica_id,
                service=attempt.record.entry.service,
                level=pace.level,
                answer_s=round(now - attempt.sent_at, 3),
                cold_s=round(max(0.0, attempt.record.cold_until - now), 1),
                nodes=self.state.nodes,
            )

    def _record_contact(self, record: ReplicaRecord, now: float) -> None:
        record.last_answer_at = now
        if self.state.is_remote(record):
            self.state.last_remote_answer_at = now


class CancelTimer(TimerTarget):
    """Cancels an attempt that is still in flight after its request.

    :param context: State and services shared by all requests of the node.
    """

    __slots__ = ("_attempt", "_context")

    def __init__(self, *, context: RoutingContext, attempt: Attempt) -> None:
        self._context = context
        self._attempt = attempt

    @property
    def is_finished(self) -> bool:
        """Whether the attempt has ended."""
        return self._attempt.number not in self._context.attempts

    def handle_timeout(self, now: float) -> None:
        """Cancel the attempt.

        :param now: Current Unix time in seconds.
        """
        self._context.cancel(self._attempt, now)
