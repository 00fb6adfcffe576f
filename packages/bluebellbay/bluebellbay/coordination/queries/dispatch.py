"""Sends legs, tracks those in flight, and collects the resulting steps."""

from collections.abc import Iterable

from bluebellbay.coordination.hedge_delay import UNRESPONSIVE_FACTOR
from bluebellbay.coordination.part import Output
from bluebellbay.coordination.queries.admission_control import (
    AdmissionController,
)
from bluebellbay.coordination.queries.answer_builder import AnswerBuilder
from bluebellbay.coordination.queries.budget import BudgetTable
from bluebellbay.coordination.queries.hedge import HedgePolicy
from bluebellbay.coordination.queries.leg import Leg
from bluebellbay.coordination.queries.leg import RangeTask
from bluebellbay.coordination.queries.leg import RequestExecution
from bluebellbay.coordination.queries.snapshot import SnapshotPlanner
from bluebellbay.coordination.servers.ejection import EjectionPolicy
from bluebellbay.coordination.servers.placement import ReplicaChooser
from bluebellbay.coordination.servers.poll import MAX_POLLS_PER_S
from bluebellbay.coordination.servers.poll import MIN_POLL_INTERVAL_S
from bluebellbay.coordination.servers.poll import PollTracker
from bluebellbay.coordination.timer import TimerQueue
from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.command import AnswerCaller
from bluebellbay.protocol.command import CancelLeg
from bluebellbay.protocol.command import PollServer
from bluebellbay.protocol.command import SendLeg
from bluebellbay.protocol.leg import LegRequest
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import LogField
from bluebellbay.state.latency import LatencyTable
from bluebellbay.state.node import NodeState
from bluebellbay.state.server import ServerRecord

PART = "query"
ATTEMPT_ID_PREFIX_BITS = 64


class Dispatcher:
    """State and operations shared by all executions of one node.

    ``legs`` holds the legs in flight by attempt id, cancelled ones included,
    ``awaiting_polls`` the executions that retry when a poll ends, and
    ``finished_executions`` those to be removed after the current event.

    :param state: The node's shared state.
    """

    def __init__(self, *, state: NodeState) -> None:
        self.state = state
        self.counters = state.query_counters
        self.planner = SnapshotPlanner(servers=state.servers)
        self.latencies = LatencyTable()
        self.chooser = ReplicaChooser(state=state, latencies=self.latencies)
        self.hedge_policy = HedgePolicy(
            settings=state.settings.policy, latencies=self.latencies
        )
        self.ejection = EjectionPolicy(state=state)
        self.budgets = BudgetTable()
        self.poll_tracker = PollTracker()
        self.timers = TimerQueue()
        self.answer_builder = AnswerBuilder(state=state)
        self.legs: dict[str, Leg] = {}
        self.admission = {
            name: AdmissionController(
                state=state, index=name, timers=self.timers
            )
            for name in state.servers.indexes
        }
        self.finished_executions: list[RequestExecution] = []
        self.awaiting_polls: dict[RequestExecution, None] = {}
        self._steps: list[Output] = []
        self._attempt_count = 0
        self._attempt_id_prefix = (
            f"{state.settings.node.name}-"
            f"{state.rng.getrandbits(ATTEMPT_ID_PREFIX_BITS):016x}-"
        )
        self._log_decisions = state.settings.log.decisions

    def emit(self, step: Output) -> None:
        """Append a step to the result of the current event.

        :param step: A command or an internal event.
        """
        self._steps.append(step)

    def take_steps(self) -> Iterable[Output]:
        """Return the steps collected since the last call, and clear them."""
        steps = self._steps
        self._steps = []
        return steps

    def log(
        self, execution: RequestExecution, sentence: str, *fields: LogField
    ) -> None:
        """Log a decision, if ``log.decisions`` is set.

        :param execution: The execution concerned.
        :param sentence: The message.
        :param fields: Values that explain the decision.
        """
        if not self._log_decisions:
            return
        self._steps.append(
            LogDecision(
                part=PART,
                sentence=sentence,
                request_id=execution.request.request_id,
                fields=fields,
            )
        )

    def send_leg(
        self,
        execution: RequestExecution,
        task: RangeTask,
        record: ServerRecord,
        *,
        snapshot: int,
        sentence: str,
        timeout_s: float,
        now: float,
    ) -> Leg:
        """Send a leg to a server.

        :param execution: The execution that sends it.
        :param task: The task whose range it reads.
        :param record: The server.
        :param snapshot: The snapshot to read.
        :param sentence: The log message.
        :param timeout_s: Seconds until the transport gives up.
        :param now: Current Unix time in seconds.
        :returns: The leg.
        """
        self._attempt_count += 1
        attempt = f"{self._attempt_id_prefix}{self._attempt_count}"
        leg = Leg(
            attempt=attempt,
            execution=execution,
            task=task,
            record=record,
            snapshot=snapshot,
            sent_at=now,
        )
        extra = task.possible_executions > 0
        if not extra:
            task.first_sent_at = now
        self.legs[attempt] = leg
        task.legs.append(leg)
        task.tried_servers.add(record.name)
        task.possible_executions += 1
        execution.ledger.record_sent()
        record.outstanding += 1
        self.admission[execution.request.index].outstanding += 1
        request = execution.request
        if self._log_decisions:
            self.log(
                execution,
                sentence,
                LogField(name="server", value=record.name),
                LogField(name="service", value=record.service),
                LogField(name="attempt", value=attempt),
            )
        self._steps.append(
            SendLeg(
                server=record.name,
                address=record.address,
                timeout_s=timeout_s,
                profile=request.profile,
                extra=extra,
                leg=LegRequest(
                    attempt=attempt,
                    request_id=request.request_id,
                    index=request.index,
                    service=record.service,
                    snapshot=snapshot,
                    start=task.start,
                    end=task.end,
                    query=request.query,
                    repeatable=request.repeatable,
                    deadline_ms=max(1, int((execution.deadline - now) * 1000)),
                    expires_at=request.expires_at,
                ),
            )
        )
        return leg

    def end(self, leg: Leg) -> bool:
        """Remove a leg whose end the transport has reported.

        :param leg: The leg.
        :returns: Whether its result is still needed; false if it had been
            cancelled.
        """
        del self.legs[leg.attempt]
        leg.record.outstanding -= 1
        self.admission[leg.execution.request.index].outstanding -= 1
        if not leg.pending:
            return False
        leg.pending = False
        leg.task.legs.remove(leg)
        return True

    def record_not_executed(self, leg: Leg) -> None:
        """Record that a leg is known not to have run.

        :param leg: The leg.
        """
        leg.task.possible_executions -= 1
        leg.execution.ledger.record_not_run()

    def record_reply(self, leg: Leg, now: float) -> None:
        """Record the latency of a leg that was answered, and a success.

        :param leg: The leg.
        :param now: Current Unix time in seconds.
        """
        self.latencies.add(leg.server, now - leg.sent_at, now)
        self.ejection.record_success(leg.record)

    def record_failure(self, leg: Leg, now: float) -> None:
        """Record a leg that failed or timed out; ejects the server if due.

        :param leg: The leg.
        :param now: Current Unix time in seconds.
        """
        if not self.ejection.record_failure(leg.record, now):
            return
        self.latencies.get(leg.server).reset_estimate()
        self.log(
            leg.execution,
            "Ejected a server after repeated failures.",
            LogField(name="server", value=leg.server),
            LogField(name="until", value=leg.record.ejected_until),
        )

    def cancel_leg(self, leg: Leg, now: float) -> None:
        """Tell a server that a leg is no longer needed.

        The leg still counts as outstanding until the transport has reported
        its end. If its hedge delay has passed, the time it went unanswered
        is recorded as a latency sample: the slowest legs are the ones that
        are cancelled, so the estimate would otherwise miss them. After
        ``UNRESPONSIVE_FACTOR`` hedge delays it also counts as a failure.

        :param leg: The leg.
        :param now: Current Unix time in seconds.
        """
        leg.pending = False
        waited_s = now - leg.sent_at
        if leg.hedge_delay_s and waited_s >= leg.hedge_delay_s:
            self.latencies.get(leg.server).add_unanswered(waited_s, now)
            if waited_s > UNRESPONSIVE_FACTOR * leg.hedge_delay_s:
                self.record_failure(leg, now)
        self.counters.cancelled += 1
        self._steps.append(
            CancelLeg(
                server=leg.record.name,
                address=leg.record.address,
                attempt=leg.attempt,
            )
        )

    def cancel_tasks(self, tasks: Iterable[RangeTask], now: float) -> None:
        """Close tasks and cancel their legs in flight.

        :param tasks: The tasks.
        :param now: Current Unix time in seconds.
        """
        for task in tasks:
            task.closed = True
            for leg in task.legs:
                self.cancel_leg(leg, now)
            task.legs = []

    def poll_servers(
        self, names: Iterable[str], now: float, min_interval_s: float
    ) -> set[str]:
        """Poll the health of servers whose report may be out of date.

        Unknown and leaving servers are skipped.

        :param names: Names of the servers.
        :param now: Current Unix time in seconds.
        :param min_interval_s: Least time in seconds since its last poll.
        :returns: Names of those with a poll in progress.
        """
        in_progress = set()
        for name in names:
            record = self.state.servers.servers.get(name)
            if record is None or record.leaving:
                continue
            if self.poll_tracker.try_begin(name, now, min_interval_s):
                self._steps.append(
                    PollServer(server=name, address=record.address)
                )
            if self.poll_tracker.is_in_progress(name, now):
                in_progress.add(name)
        return in_progress

    def poll_index(
        self, index: str, now: float, min_interval_s: float
    ) -> set[str]:
        """Poll the health of all servers of an index.

        :param index: Name of the index.
        :param now: Current Unix time in seconds.
        :param min_interval_s: Least time in seconds since its last poll.
        :returns: Names of those with a poll in progress.
        """
        names = [
            record.name
            for record in self.state.servers.servers.values()
            if record.index == index
        ]
        return self.poll_servers(names, now, min_interval_s)

    def compute_poll_interval(self, index: str) -> float:
        """Compute the interval that keeps an index within the poll rate.

        :param index: Name of the index.
        :returns: Least time in seconds between two polls of a server.
        """
        settings = self.state.servers.indexes[index]
        servers = settings.services * settings.replicas
        return max(MIN_POLL_INTERVAL_S, servers / MAX_POLLS_PER_S)

    def send_answer(self, execution: RequestExecution, answer: Answer) -> None:
        """Answer the caller of an execution.

        :param execution: The execution.
        :param answer: The complete answer.
        """
        sentence = f"Answered the caller with outcome {answer.outcome.value}."
        kind = answer.error.kind if answer.error else ""
        self.log(
            execution,
            sentence,
            LogField(name="error", value=kind),
            LogField(name="snapshot", value=answer.snapshot),
            LogField(name="fraction", value=answer.coverage.fraction),
        )
        self._steps.append(
            AnswerCaller(caller=execution.caller, answer=answer)
        )

    def finish(self, execution: RequestExecution) -> None:
        """Mark an execution as finished, to be removed after this event.

        :param execution: The execution.
        """
        execution.finished = True
        self.finished_executions.append(execution)
