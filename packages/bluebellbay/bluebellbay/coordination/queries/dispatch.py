"""Sends legs, keeps those in flight, and collects the resulting steps."""

from collections.abc import Iterable

from bluebellbay.coordination.hedge_delay import UNRESPONSIVE_FACTOR
from bluebellbay.coordination.part import Output
from bluebellbay.coordination.queries.budget import BudgetTable
from bluebellbay.coordination.queries.gate import AdmissionGate
from bluebellbay.coordination.queries.hedge import HedgePolicy
from bluebellbay.coordination.queries.leg import Leg
from bluebellbay.coordination.queries.leg import Run
from bluebellbay.coordination.queries.leg import Task
from bluebellbay.coordination.queries.reply import AnswerBuilder
from bluebellbay.coordination.queries.snapshot import SnapshotPlanner
from bluebellbay.coordination.servers.ejection import EjectionPolicy
from bluebellbay.coordination.servers.placement import ReplicaChooser
from bluebellbay.coordination.servers.poll import LEAST_GAP_S
from bluebellbay.coordination.servers.poll import MOST_POLLS_PER_S
from bluebellbay.coordination.servers.poll import PollTracker
from bluebellbay.coordination.timer import TimerQueue
from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.command import AnswerCaller
from bluebellbay.protocol.command import CancelLeg
from bluebellbay.protocol.command import LogDecision
from bluebellbay.protocol.command import LogField
from bluebellbay.protocol.command import PollServer
from bluebellbay.protocol.command import SendLeg
from bluebellbay.protocol.leg import LegRequest
from bluebellbay.state.latency import LatencyTable
from bluebellbay.state.node import NodeState
from bluebellbay.state.server import ServerRecord

PART = "query"
ATTEMPT_PREFIX_BITS = 64


class Dispatcher:
    """What the runs of one node share.

    :param state: What the node knows.
    """

    def __init__(self, *, state: NodeState) -> None:
        self.state = state
        self.counters = state.query_counters
        self.planner = SnapshotPlanner(servers=state.servers)
        self.latencies = LatencyTable()
        self.chooser = ReplicaChooser(state=state, latencies=self.latencies)
        self.hedges = HedgePolicy(
            settings=state.settings.policy, latencies=self.latencies
        )
        self.ejection = EjectionPolicy(state=state)
        self.budgets = BudgetTable()
        self.polls = PollTracker()
        self.timers = TimerQueue()
        self.answers = AnswerBuilder(state=state)
        self.legs: dict[str, Leg] = {}
        self.gates = {
            name: AdmissionGate(state=state, index=name, timers=self.timers)
            for name in state.servers.indexes
        }
        self.finished: list[Run] = []
        self.waiting: dict[Run, None] = {}
        self._steps: list[Output] = []
        self._attempts = 0
        self._prefix = (
            f"{state.settings.node.name}-"
            f"{state.rng.getrandbits(ATTEMPT_PREFIX_BITS):016x}-"
        )
        self._logs = state.settings.log.decisions

    def emit(self, step: Output) -> None:
        """Add a step to those that the present event leads to.

        :param step: A command or an internal event.
        """
        self._steps.append(step)

    def drain(self) -> Iterable[Output]:
        """Take the steps collected since the last call."""
        steps = self._steps
        self._steps = []
        return steps

    def log(self, run: Run, sentence: str, *fields: LogField) -> None:
        """Log a decision about a run.

        :param run: The run.
        :param sentence: One short sentence.
        :param fields: Values behind the decision.
        """
        if not self._logs:
            return
        self._steps.append(
            LogDecision(
                part=PART,
                sentence=sentence,
                request_id=run.request.request_id,
                fields=fields,
            )
        )

    def send(
        self,
        run: Run,
        task: Task,
        record: ServerRecord,
        *,
        snapshot: int,
        sentence: str,
        timeout_s: float,
        now: float,
    ) -> Leg:
        """Send a leg of a run to a server.

        :param run: The run.
        :param task: The range wanted.
        :param record: The server.
        :param snapshot: The snapshot to read.
        :param sentence: The decision, for the log.
        :param timeout_s: Time in seconds until the transport gives up.
        :param now: Present time in seconds.
        :returns: The leg.
        """
        self._attempts += 1
        attempt = f"{self._prefix}{self._attempts}"
        leg = Leg(
            attempt=attempt,
            run=run,
            task=task,
            record=record,
            snapshot=snapshot,
            sent_at=now,
        )
        extra = task.may_have_run > 0
        self.legs[attempt] = leg
        task.legs.append(leg)
        task.tried.add(record.name)
        task.may_have_run += 1
        run.ledger.record_sent()
        record.outstanding += 1
        self.gates[run.request.index].outstanding += 1
        request = run.request
        if self._logs:
            self.log(
                run,
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
                    deadline_ms=max(1, int((run.deadline - now) * 1000)),
                    expires_at=request.expires_at,
                ),
            )
        )
        return leg

    def end(self, leg: Leg) -> bool:
        """Note that the transport has reported the end of a leg.

        :param leg: The leg.
        :returns: Whether it was still wanted.
        """
        del self.legs[leg.attempt]
        leg.record.outstanding -= 1
        self.gates[leg.run.request.index].outstanding -= 1
        if not leg.wanted:
            return False
        leg.wanted = False
        leg.task.legs.remove(leg)
        return True

    def note_not_run(self, leg: Leg) -> None:
        """Note that a leg positively did not run.

        :param leg: The leg.
        """
        leg.task.may_have_run -= 1
        leg.run.ledger.record_not_run()

    def note_reply(self, leg: Leg, now: float) -> None:
        """Learn from a leg that was answered.

        :param leg: The leg.
        :param now: Present time in seconds.
        """
        self.latencies.add(leg.server, now - leg.sent_at, now)
        self.ejection.note_success(leg.record)

    def note_failure(self, leg: Leg, now: float) -> None:
        """Learn from a leg that failed or was silent for too long.

        :param leg: The leg.
        :param now: Present time in seconds.
        """
        if not self.ejection.note_failure(leg.record, now):
            return
        self.latencies.get(leg.server).reset_estimate()
        self.log(
            leg.run,
            "Set a server aside.",
            LogField(name="server", value=leg.server),
            LogField(name="until", value=leg.record.ejected_until),
        )

    def cancel(self, leg: Leg, now: float) -> None:
        """Tell a server that a leg is no longer wanted.

        The leg still counts against the server until the transport has
        reported its end. Its latency so far is learned, as it would else
        be the slow legs that are never seen.

        :param leg: The leg.
        :param now: Present time in seconds.
        """
        leg.wanted = False
        waited_s = now - leg.sent_at
        if leg.usual_s and waited_s >= leg.usual_s:
            self.latencies.get(leg.server).add_unanswered(waited_s, now)
            if waited_s > UNRESPONSIVE_FACTOR * leg.usual_s:
                self.note_failure(leg, now)
        self.counters.cancelled += 1
        self._steps.append(
            CancelLeg(
                server=leg.record.name,
                address=leg.record.address,
                attempt=leg.attempt,
            )
        )

    def cancel_all(self, tasks: Iterable[Task], now: float) -> None:
        """Cancel every leg that is under way for some tasks.

        :param tasks: The tasks.
        :param now: Present time in seconds.
        """
        for task in tasks:
            task.closed = True
            for leg in task.legs:
                self.cancel(leg, now)
            task.legs = []

    def poll(self, names: Iterable[str], now: float, gap_s: float) -> set[str]:
        """Read the health of servers whose report may be out of date.

        :param names: Names of the servers.
        :param now: Present time in seconds.
        :param gap_s: Least time in seconds since the last such read.
        :returns: Names of those whose answer is under way now.
        """
        under_way = set()
        for name in names:
            record = self.state.servers.servers.get(name)
            if record is None or record.leaving:
                continue
            if self.polls.begin(name, now, gap_s):
                self._steps.append(
                    PollServer(server=name, address=record.address)
                )
            if self.polls.is_under_way(name, now):
                under_way.add(name)
        return under_way

    def sweep(self, index: str, now: float, gap_s: float) -> set[str]:
        """Read the health of all servers of an index.

        :param index: Name of the index.
        :param now: Present time in seconds.
        :param gap_s: Least time in seconds since the last such read.
        :returns: Names of those whose answer is under way now.
        """
        names = [
            record.name
            for record in self.state.servers.servers.values()
            if record.index == index
        ]
        return self.poll(names, now, gap_s)

    def find_sweep_gap(self, index: str) -> float:
        """Give the time between two sweeps that bounds their load.

        :param index: Name of the index.
        :returns: Time in seconds.
        """
        settings = self.state.servers.indexes[index]
        servers = settings.services * settings.replicas
        return max(LEAST_GAP_S, servers / MOST_POLLS_PER_S)

    def answer(self, run: Run, answer: Answer) -> None:
        """Answer a run's caller.

        :param run: The run.
        :param answer: The whole answer.
        """
        sentence = f"Answered as {answer.outcome.value}."
        kind = answer.error.kind if answer.error else ""
        self.log(
            run,
            sentence,
            LogField(name="error", value=kind),
            LogField(name="snapshot", value=answer.snapshot),
            LogField(name="fraction", value=answer.coverage.fraction),
        )
        self._steps.append(AnswerCaller(caller=run.caller, answer=answer))

    def finish(self, run: Run) -> None:
        """Note that a run is over.

        :param run: The run.
        """
        run.finished = True
        self.finished.append(run)
